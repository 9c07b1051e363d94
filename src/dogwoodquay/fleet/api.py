"""What the platform says of servers, in the words of this project."""

from __future__ import annotations

import enum
import typing

__all__ = ['HeldModel', 'ServerEntry', 'ServerState']


class ServerState(enum.Enum):
    """Whether a server may be given new requests."""

    LIVE = 'live'
    LEAVING = 'leaving'


class HeldModel(typing.NamedTuple):
    """A model in a server's memory, with its adapters."""

    name: str
    version: int
    adapters: frozenset[str]


class ServerEntry(typing.NamedTuple):
    """What a server last said of itself on the platform's list.

    ``started_ms`` is the Unix millisecond of the server's start, which tells
    two processes of one ``server_id`` apart; ``report_number`` counts the
    reports of one process.
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
    models: tuple[HeldModel, ...]
