"""Connections kept open for each address, the last used first.

Connections are used without httpcore's own pool, which looks at all of its
connections for every request and so costs more than the request itself when
many are open.
"""

from __future__ import annotations

import collections
import typing

import httpcore

from ... import clock
from . import network

__all__ = ['ConnectionPool']

CLOSED_AT_ONCE: typing.Final = 2

_Place = tuple[str, int]


class _Idle(typing.NamedTuple):
    """A connection that nobody uses, and until when it may be."""

    connection: httpcore.AsyncHTTPConnection
    until: float


class ConnectionPool:
    """Hands out connections, each for one request at a time."""

    def __init__(self, time: clock.Clock, keep_alive_seconds: float) -> None:
        self._time = time
        self._keep_alive_seconds = keep_alive_seconds
        self._backend = network.NetworkBackend()
        self._idle: dict[_Place, collections.deque[_Idle]] = {}

    async def take(
        self, address: str, port: int
    ) -> httpcore.AsyncHTTPConnection:
        """Return a connection for the caller alone."""
        idle = self._idle.get((address, port))
        while idle:
            connection, until = idle.pop()
            if self._time.now() < until and not connection.has_expired():
                return connection
            await connection.aclose()
        return httpcore.AsyncHTTPConnection(
            httpcore.Origin(b'http', address.encode('ascii'), port),
            keepalive_expiry=self._keep_alive_seconds,
            network_backend=self._backend,
        )

    async def put_back(
        self,
        address: str,
        port: int,
        connection: httpcore.AsyncHTTPConnection,
        idle_seconds: float | None = None,
    ) -> None:
        """Keep a connection for the next request, and close a few old.

        :param idle_seconds: how long the other side keeps it, if known.
        """
        now = self._time.now()
        place = (address, port)
        idle = self._idle.setdefault(place, collections.deque())
        if connection.is_idle():
            seconds = self._keep_alive_seconds
            if idle_seconds is not None:
                seconds = min(seconds, idle_seconds)
            idle.append(_Idle(connection, now + seconds))
        else:
            await connection.aclose()
        for _ in range(CLOSED_AT_ONCE):
            if not idle or idle[0].until >= now:
                return
            await idle.popleft().connection.aclose()

    async def forget(self, address: str, port: int) -> None:
        """Close the connections to an address that nobody uses."""
        for idle in self._idle.pop((address, port), ()):
            await idle.connection.aclose()

    async def close(self) -> None:
        """Close every connection that nobody uses."""
        for address, port in list(self._idle):
            await self.forget(address, port)
