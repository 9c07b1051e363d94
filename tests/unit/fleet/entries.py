"""Server entries, loaded models and servers for tests."""

from __future__ import annotations

import typing

from dogwoodquay.fleet import api
from dogwoodquay.fleet import server

__all__ = ['entry', 'loaded_model', 'make_server']


def loaded_model(name: str, *adapters: str) -> api.LoadedModel:
    """Return a loaded model."""
    return api.LoadedModel(name, 1, frozenset(adapters))


def entry(server_id: str = 's1', **changes: typing.Any) -> api.ServerEntry:
    """Return the list entry of a live server."""
    default_entry = api.ServerEntry(
        server_id=server_id,
        service='models',
        address='10.0.0.1',
        port=80,
        failure_domain='d1',
        state=api.ServerState.LIVE,
        slots=4,
        started_ms=1000,
        report_number=1,
        models=(),
    )
    return default_entry._replace(**changes)


def make_server(server_id: str = 's1', **changes: typing.Any) -> server.Server:
    """Return the state of a live server."""
    return server.Server(entry(server_id, **changes))
