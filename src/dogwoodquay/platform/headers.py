"""Parses and builds the headers of requests and answers."""

from __future__ import annotations

import math
import typing

from ..gateway import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'answer_terms',
    'caller_terms',
    'for_caller',
    'for_server',
    'without_tenant',
]

_ATTEMPT: typing.Final = b'attempt-id'
# Despite its name a duration: the total time that the caller waits.
_DEADLINE: typing.Final = b'deadline-ms'
_LAST_EVENT: typing.Final = b'last-event-id'
# The attempt that brought the first event of the stream that goes on.
_RESUMES: typing.Final = b'resumes'
_MODEL: typing.Final = b'model'
# Two numbers: the tokens of the prompt and the maximum for the answer.
_TOKENS: typing.Final = b'token-usage'
_PREFIX: typing.Final = b'prompt-prefix'
_EXPECTED_SERVER: typing.Final = b'expect-instance'
_PRIORITY: typing.Final = b'request-priority'
_API_KEY: typing.Final = b'api-key'
# The name of the tenant that a request belongs to, as told to servers.
_TENANT: typing.Final = b'tenant'
_NOT_EXECUTED: typing.Final = b'not-executed'
# Marks an answer as made by the server itself.
_STAMP: typing.Final = b'response-stamp'
_LOAD: typing.Final = b'server-load'
_LIMIT: typing.Final = b'server-limit'
_LEAVING: typing.Final = b'server-leaving'
# With status 503: the server wants no requests from this instance meanwhile.
_RETRY_AFTER: typing.Final = b'retry-after'

_MISDIRECTED: typing.Final = 421
_UNAVAILABLE: typing.Final = 503
# Longer pauses are taken for this one.
_MAX_PAUSE_SECONDS: typing.Final = 600.0
_MAX_PRIORITY: typing.Final = 9
# The fourth figure of the load header in percent of the usual time of work.
# Values out of range are taken for none.
_USUAL_PACE: typing.Final = 100.0
_MIN_PACE: typing.Final = 10.0
_MAX_PACE: typing.Final = 10_000.0
# Requests, tokens and rates are below this number by far.
_MAX_COUNT: typing.Final = 1_000_000_000
_MAX_DIGITS: typing.Final = 15

_HOP_BY_HOP: typing.Final = frozenset(
    {
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)
# Where tenants are declared, callers cannot send these to servers.
_OF_TENANT: typing.Final = frozenset({_API_KEY, _TENANT})
_NOT_FORWARDED: typing.Final = frozenset(
    {
        _DEADLINE,
        _EXPECTED_SERVER,
        _LAST_EVENT,
        _PRIORITY,
        b'content-length',
        b'expect-version',
        b'hold',
        b'kv-backup',
        b'kv-fetch',
        b'kv-from',
        b'pin-ms',
    }
)


def caller_terms(
    headers: abc.Iterable[tuple[bytes, bytes]],
) -> api.CallerTerms:
    """Parse the headers of a caller's request; names are in lower case."""
    listed = tuple(headers)
    found = dict(listed)
    keys = [value for name, value in listed if name == _API_KEY]
    model, _, adapter = _text(found, _MODEL).partition('/')
    prompt, _, output = _text(found, _TOKENS).partition(',')
    wait = _number(_text(found, _DEADLINE))
    last_event = _digits(_text(found, _LAST_EVENT).strip())
    return api.CallerTerms(
        attempt_id=_text(found, _ATTEMPT),
        wait_seconds=math.inf if wait is None else wait / 1000,
        model=model,
        adapter=adapter,
        prompt_tokens=_count(prompt) or 0,
        output_tokens=_count(output) or 0,
        prompt_parts=_parts(_text(found, _PREFIX)),
        last_event=api.NO_EVENT if last_event is None else last_event,
        resumes=_text(found, _RESUMES).strip(),
        api_key=keys[0] if len(keys) == 1 else b'',
    )


def for_server(
    headers: api.RawHeaders, outgoing: api.AddedHeaders
) -> list[tuple[bytes, bytes]]:
    """Build the headers of a request to a server."""
    hop_by_hop = _connection_names(headers)
    if outgoing.tenants_declared:
        headers = without_tenant(headers)
    forwarded = [
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP
        and name not in _NOT_FORWARDED
        and name not in hop_by_hop
    ]
    wait_ms = max(1, int(outgoing.wait_seconds * 1000))
    forwarded.append((_DEADLINE, b'%d' % wait_ms))
    forwarded.append((_EXPECTED_SERVER, outgoing.server_id.encode('latin-1')))
    priority = min(max(outgoing.priority, 0), _MAX_PRIORITY)
    forwarded.append((_PRIORITY, b'%d' % priority))
    if outgoing.last_event != api.NO_EVENT:
        forwarded.append((_LAST_EVENT, b'%d' % outgoing.last_event))
    if outgoing.tenant:
        forwarded.append((_TENANT, outgoing.tenant.encode('ascii')))
    return forwarded


def without_tenant(headers: api.RawHeaders) -> api.RawHeaders:
    """Return a caller's headers without a key or the name of a tenant.

    Some servers take an underscore in a name for a hyphen.
    """
    return tuple(
        item
        for item in headers
        if item[0].lower().replace(b'_', b'-') not in _OF_TENANT
    )


def for_caller(
    headers: abc.Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Build the headers of an answer to its caller."""
    lowered = [(name.lower(), value) for name, value in headers]
    hop_by_hop = _connection_names(lowered)
    return [
        (name, value)
        for name, value in lowered
        if name not in _HOP_BY_HOP and name not in hop_by_hop
    ]


def answer_terms(
    status: int, headers: abc.Iterable[tuple[bytes, bytes]]
) -> api.AnswerTerms:
    """Parse the headers of a server's answer."""
    found = {name.lower(): value for name, value in headers}
    load = _text(found, _LOAD).split(',')
    counts = [_count(item) for item in load]
    known = len(counts) >= 2 and None not in counts[:3]
    limit = _decimal(_text(found, _LIMIT)) if _LIMIT in found else None
    return api.AnswerTerms(
        attempt_id=_text(found, _ATTEMPT),
        stamped=_STAMP in found,
        not_executed=_NOT_EXECUTED in found or status == _MISDIRECTED,
        closing=b'close' in found.get(b'connection', b'').lower(),
        running=counts[0] if known else None,
        waiting=counts[1] if known else None,
        idle_seconds=_idle_seconds(_text(found, b'keep-alive')),
        encoded=found.get(b'content-encoding', b'identity') != b'identity',
        rate_limit=limit,
        rate_limit_unreadable=_LIMIT in found and limit is None,
        notice=_notice(status, found),
        pace=_pace(load[3]) if len(load) > 3 else None,
        slots=counts[2] if len(counts) > 2 else None,
    )


def _pace(text: str) -> float | None:
    """Return how long work takes relative to its usual time, in percent."""
    percent = _decimal(text)
    if percent is None or not _MIN_PACE <= percent <= _MAX_PACE:
        return None
    return percent / _USUAL_PACE


def _notice(status: int, found: dict[bytes, bytes]) -> api.ServerNotice | None:
    pauses = status == _UNAVAILABLE and _RETRY_AFTER in found
    if not pauses and _LEAVING not in found:
        return None
    unreadable = b''
    leaving = found.get(_LEAVING, b'').strip() == b'1'
    if _LEAVING in found and not leaving:
        unreadable = _LEAVING
    seconds = _decimal(_text(found, _RETRY_AFTER)) if pauses else 0.0
    if seconds is None:
        unreadable = _RETRY_AFTER
    seconds = min(seconds or 0.0, _MAX_PAUSE_SECONDS)
    return api.ServerNotice(leaving, seconds, unreadable.decode('ascii'))


def _connection_names(
    headers: abc.Iterable[tuple[bytes, bytes]],
) -> frozenset[bytes]:
    """Return the hop-by-hop headers that a Connection header lists."""
    return frozenset(
        item.strip()
        for name, value in headers
        if name == b'connection'
        for item in value.lower().split(b',')
    )


def _text(found: dict[bytes, bytes], name: bytes) -> str:
    return found.get(name, b'').decode('latin-1')


def _number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _count(text: str) -> int | None:
    """Return the whole part of a number, ``None`` if it is out of range."""
    number = _number(text)
    return None if number is None or number > _MAX_COUNT else int(number)


def _digits(text: str) -> int | None:
    """Return a number of a few decimal digits."""
    if not (text.isascii() and text.isdecimal()) or len(text) > _MAX_DIGITS:
        return None
    return int(text)


def _decimal(text: str) -> float | None:
    """Return a decimal number in range that is not negative."""
    plain = text.strip().replace('.', '', 1)
    if not (plain.isascii() and plain.isdecimal()):
        return None
    number = _number(text)
    return None if number is None else min(number, _MAX_COUNT)


def _parts(text: str) -> tuple[api.PromptPart, ...]:
    parts = []
    for item in text.split(','):
        name, _, tokens = item.strip().partition(':')
        count = _digits(tokens)
        if name and count is not None:
            parts.append(api.PromptPart(name, count))
    return tuple(parts)


def _idle_seconds(text: str) -> float:
    for item in text.split(','):
        name, _, value = item.strip().partition('=')
        if name.lower() == 'timeout':
            return _number(value) or 0.0
    return 0.0
