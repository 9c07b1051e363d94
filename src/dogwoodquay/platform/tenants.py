"""Decodes the tenants of the operators' configuration.

An odd record, or an odd part of one, costs no other tenant its service: what
cannot be used is dropped and reported, without its keys.
"""

from __future__ import annotations

import math
import typing

import msgspec

from ..external import decoding
from ..tenants import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Decoded', 'decode']

_TOKENS: typing.Final = 'token_count'
_NULL: typing.Final = b'null'
_NOTHING: typing.Final = msgspec.Raw(_NULL)


class _Tenant(msgspec.Struct, rename='pascal'):
    """A record whose fields are decoded one by one."""

    name: msgspec.Raw = _NOTHING
    api_keys: msgspec.Raw = _NOTHING
    priority: msgspec.Raw = _NOTHING
    # In units per second over all instances; zero is no limit.
    rate_per_s: msgspec.Raw = msgspec.field(name='RatePerS', default=_NOTHING)
    burst: msgspec.Raw = _NOTHING
    unit: msgspec.Raw = _NOTHING
    plain_tokens: msgspec.Raw = _NOTHING


class Decoded(typing.NamedTuple):
    """The usable tenants, and what was dropped."""

    tenants: tuple[api.Tenant, ...]
    dropped: tuple[api.Dropped, ...]


def decode(records: abc.Iterable[msgspec.Raw]) -> Decoded:
    """Decode the records of tenants."""
    tenants: dict[str, api.Tenant] = {}
    dropped: list[api.Dropped] = []
    for position, record in enumerate(records):
        reasons: list[api.DropReason] = []
        tenant = _tenant(record, reasons)
        name = f'#{position}'
        if isinstance(tenant, api.DropReason):
            reasons.append(tenant)
        else:
            name = tenant.name
            if name in tenants:
                reasons.append(api.DropReason.NAME_TWICE)
            tenants.setdefault(name, tenant)
        dropped.extend(api.Dropped(name, reason) for reason in reasons)
    return Decoded(tuple(tenants.values()), tuple(dropped))


def _tenant(
    record: msgspec.Raw, reasons: list[api.DropReason]
) -> api.Tenant | api.DropReason:
    """Return a tenant, or why its whole record is dropped.

    :param reasons: gets the parts that are dropped.
    """
    decoded = decoding.decode_json(bytes(record), _Tenant)
    if decoded.is_error():
        return api.DropReason.UNREADABLE
    fields = decoded.ok
    name = _text(fields.name)
    if not name or not _fits_header(name):
        return api.DropReason.NAME
    keys = _keys(fields.api_keys, reasons)
    if not keys:
        return api.DropReason.NO_KEYS
    rate, burst = _number(fields.rate_per_s), _number(fields.burst)
    if rate is None or burst is None:
        return api.DropReason.RATE_UNREADABLE
    if not _in_range(rate):
        reasons.append(api.DropReason.RATE)
    if not _in_range(burst):
        reasons.append(api.DropReason.BURST)
    unit = _text(fields.unit)
    if unit != _TOKENS and bytes(fields.unit) not in (_NULL, b'""'):
        reasons.append(api.DropReason.UNIT)
    return api.Tenant(
        name,
        keys,
        _count(fields.priority, None, api.DropReason.PRIORITY, reasons),
        # A rate that is no limit by mistake would let a tenant use all.
        None if rate == 0 else rate if _in_range(rate) else 0.0,
        burst if _in_range(burst) else 0.0,
        api.Unit.TOKENS if unit == _TOKENS else api.Unit.REQUESTS,
        _count(fields.plain_tokens, 0, api.DropReason.PLAIN_TOKENS, reasons)
        or 0,
    )


def _keys(
    listed: msgspec.Raw, reasons: list[api.DropReason]
) -> tuple[str, ...]:
    decoded = decoding.decode_json(bytes(listed), list[msgspec.Raw])
    if decoded.is_error():
        return ()
    texts = [_text(item) for item in decoded.ok]
    keys = tuple(text for text in texts if text)
    if len(keys) < len(texts):
        reasons.append(api.DropReason.KEY)
    return keys


def _text(value: msgspec.Raw) -> str | None:
    decoded = decoding.decode_json(bytes(value), str)
    return None if decoded.is_error() else decoded.ok


def _number(value: msgspec.Raw) -> float | None:
    """Return a number, also one that is out of range, ``None`` for others.

    An absent one is zero.
    """
    text = bytes(value)
    if text == _NULL:
        return 0.0
    try:
        return float(text)
    except ValueError:
        return None


def _in_range(number: float) -> bool:
    return math.isfinite(number) and number >= 0


def _count(
    value: msgspec.Raw,
    absent: int | None,
    reason: api.DropReason,
    reasons: list[api.DropReason],
) -> int | None:
    """Return a whole number, ``absent`` if there is none that can be used."""
    if bytes(value) == _NULL:
        return absent
    number = _number(value)
    if number is None or not _in_range(number) or number % 1:
        reasons.append(reason)
        return absent
    return min(int(number), decoding.MAX_COUNT)


def _fits_header(name: str) -> bool:
    """Whether a name arrives unchanged as the value of a header."""
    return name.isascii() and name.isprintable() and name == name.strip()
