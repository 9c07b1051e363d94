"""Servers as the platform lists them, independent of its format."""

from __future__ import annotations

import enum
import typing

__all__ = ['LoadedModel', 'ServerEntry', 'ServerState']


class ServerState(enum.Enum):
    """Whether a server accepts new requests or is shutting down."""

    LIVE = 'live'
    LEAVING = 'leaving'


class LoadedModel(typing.NamedTuple):
    """A model in a server's memory with its loaded adapters."""

    name: str
    version: int
    adapters: frozenset[str]


class ServerEntry(typing.NamedTuple):
    """A server's own entry in the platform's list.

    ``started_ms`` is the start of the server's process in Unix milliseconds;
    it distinguishes processes with the same ``server_id``. ``report_number``
    counts the reports of one process. ``version`` is the one of the server's
    software, not of the weights of a model; empty if the entry has none.
    """

    server_id: str
    service: str
    address: str
    port: int
    failure_domain: str
    state: ServerState
    slots: int
    started_ms: int
    report_number: int
    models: tuple[LoadedModel, ...]
    version: str = ''
