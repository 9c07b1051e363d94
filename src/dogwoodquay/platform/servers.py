"""Decodes the entries that servers write into the platform's store."""

from __future__ import annotations

import expression
import msgspec

from ..external import decoding
from ..fleet import api

__all__ = ['decode']

_STATES = {
    'ready': api.ServerState.LIVE,
    'draining': api.ServerState.LEAVING,
}
# Each process has an id of its own, so that starts need not be told apart.
_ONE_PROCESS_PER_ID = 0


class _Body(msgspec.Struct, rename='pascal'):
    """The base of all parts of an entry; unknown fields are ignored."""


class _Model(_Body):
    name: str
    version: int = 1
    adapters: list[str] = []


class _Entry(_Body):
    service: str
    address: str
    zone: str
    state: str
    slots: int
    # The number of reports; in an engine's own report the same field counts
    # the accepted orders.
    sequence: int
    # The version of the server's software.
    version: str
    models: list[_Model] = []


def decode(
    server_id: str, body: bytes
) -> expression.Result[api.ServerEntry, str]:
    """Decode an entry; the error says why it names no server to use."""
    decoded = decoding.decode_json(body, _Entry)
    if decoded.is_error():
        return expression.Error(decoded.error)
    entry = decoded.ok
    state = _STATES.get(entry.state)
    if state is None:
        return expression.Error(f'unknown state {entry.state!r}')
    host, _, port = entry.address.rpartition(':')
    if not host or not port.isdecimal():
        return expression.Error(f'address {entry.address!r} has no port')
    return expression.Ok(
        api.ServerEntry(
            server_id,
            entry.service,
            host,
            int(port),
            entry.zone,
            state,
            entry.slots,
            _ONE_PROCESS_PER_ID,
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
