"""Decodes the entries that servers write into the platform's store."""

from __future__ import annotations

import ipaddress
import typing

import expression
import msgspec

from ..external import decoding
from ..fleet import api

__all__ = ['decode']

_STATES = {
    'ready': api.ServerState.LIVE,
    'draining': api.ServerState.LEAVING,
}
_MAX_PORT: typing.Final = 65535
# Ids are sent in headers.
_MAX_ID_CHARACTERS: typing.Final = 256
# Used where an entry tells of no start: each process then has its own id.
_NO_START = 0
# Far in the future.
_MAX_START = 2**43


class _Body(msgspec.Struct, rename='pascal'):
    """The base of all parts of an entry; unknown fields are ignored."""


class _Model(_Body):
    name: str
    version: decoding.Count = 1
    adapters: list[str] = []


class _Entry(_Body):
    service: str
    address: str
    zone: str
    state: str
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    # The number of reports; in an engine's own report the same field counts
    # the accepted orders.
    sequence: decoding.Count
    # The version of the server's software.
    version: str
    models: list[_Model] = []
    # When the process was started, in Unix milliseconds.
    born: object = msgspec.field(name='born', default=_NO_START)


def decode(
    server_id: str, body: bytes
) -> expression.Result[api.ServerEntry, str]:
    """Decode an entry; the error says why it names no server to use."""
    if not _valid_id(server_id):
        return expression.Error('the id is no header value')
    decoded = decoding.decode_json(body, _Entry)
    if decoded.is_error():
        return expression.Error(decoded.error)
    entry = decoded.ok
    state = _STATES.get(entry.state)
    if state is None:
        return expression.Error('unknown state')
    address = _address(entry.address)
    if address is None:
        return expression.Error('the address is no IP address with a port')
    return expression.Ok(
        api.ServerEntry(
            server_id,
            entry.service,
            *address,
            entry.zone,
            state,
            entry.slots,
            _start(entry.born),
            entry.sequence,
            tuple(
                api.LoadedModel(
                    model.name, model.version, frozenset(model.adapters)
                )
                for model in entry.models
            ),
            entry.version,
        )
    )


def _valid_id(server_id: str) -> bool:
    sound = server_id.isascii() and server_id.isprintable()
    stripped = server_id == server_id.strip()
    return sound and stripped and 0 < len(server_id) <= _MAX_ID_CHARACTERS


def _start(born: object) -> int:
    """Return the start of a process, zero if it is not told."""
    if isinstance(born, int) and not isinstance(born, bool):
        return born if 0 <= born <= _MAX_START else _NO_START
    return _NO_START


def _address(text: str) -> tuple[str, int] | None:
    """Return an address and a port that can be connected to."""
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    if not (port.isascii() and port.isdecimal() and len(port) <= 5):
        return None
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    return (host, int(port)) if 0 < int(port) <= _MAX_PORT else None
