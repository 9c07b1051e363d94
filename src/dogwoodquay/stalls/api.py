"""What instances tell each other of servers that make no progress."""

from __future__ import annotations

import typing

__all__ = ['Progress', 'STALL_SECONDS', 'ServerKey', 'Stall']

# A server that sends nothing to any instance for so long, while requests wait
# for their first byte, is stalled: under full load its streams still have an
# event several times in this time, as it runs all of them together.
STALL_SECONDS: typing.Final = 0.6


class ServerKey(typing.NamedTuple):
    """One process of a server."""

    server_id: str
    started_ms: int


class Progress(typing.NamedTuple):
    """The progress of one instance's requests at a server.

    ``pending`` counts the requests that have waited for their first byte for
    ``STALL_SECONDS`` or longer. ``heard_at`` is when the server last sent
    anything to the instance.
    """

    server: ServerKey
    pending: int
    heard_at: float


class Stall(typing.NamedTuple):
    """A server that is not used before a time."""

    server: ServerKey
    until: float
