"""A pool of idle connections for each address, last in first out.

The pool of httpcore is not used: it examines all of its connections for each
request, which costs more than the request itself when many are open.
"""

from __future__ import annotations

import collections
import typing

import httpcore

from ... import clock
from . import network

__all__ = ['ConnectionPool']

MAX_CLOSED_PER_RELEASE: typing.Final = 2

_Endpoint = tuple[str, int]


class _IdleConnection(typing.NamedTuple):
    """An unused connection and the time until which it may be reused."""

    connection: httpcore.AsyncHTTPConnection
    expires_at: float


class ConnectionPool:
    """Provides connections, each to one request at a time."""

    def __init__(self, time: clock.Clock, keep_alive_seconds: float) -> None:
        self._time = time
        self._keep_alive_seconds = keep_alive_seconds
        self._backend = network.NetworkBackend()
        self._idle: dict[_Endpoint, collections.deque[_IdleConnection]] = {}

    async def acquire(
        self, address: str, port: int
    ) -> httpcore.AsyncHTTPConnection:
        """Return an idle connection, or a new one, for exclusive use."""
        idle = self._idle.get((address, port))
        while idle:
            connection, expires_at = idle.pop()
            if self._time.now() < expires_at and not connection.has_expired():
                return connection
            await connection.aclose()
        return httpcore.AsyncHTTPConnection(
            httpcore.Origin(b'http', address.encode('ascii'), port),
            keepalive_expiry=self._keep_alive_seconds,
            network_backend=self._backend,
        )

    async def release(
        self,
        address: str,
        port: int,
        connection: httpcore.AsyncHTTPConnection,
        server_keep_alive_seconds: float | None = None,
    ) -> None:
        """Return a connection for reuse and close a few expired ones.

        :param server_keep_alive_seconds: how long the server keeps the
            connection open, if known.
        """
        now = self._time.now()
        endpoint = (address, port)
        idle = self._idle.setdefault(endpoint, collections.deque())
        if connection.is_idle():
            seconds = self._keep_alive_seconds
            if server_keep_alive_seconds is not None:
                seconds = min(seconds, server_keep_alive_seconds)
            idle.append(_IdleConnection(connection, now + seconds))
        else:
            await connection.aclose()
        for _ in range(MAX_CLOSED_PER_RELEASE):
            if not idle or idle[0].expires_at >= now:
                return
            await idle.popleft().connection.aclose()

    async def close_idle(self, address: str, port: int) -> None:
        """Close the idle connections to an address."""
        for idle in self._idle.pop((address, port), ()):
            await idle.connection.aclose()

    async def close(self) -> None:
        """Close all idle connections."""
        for address, port in list(self._idle):
            await self.close_idle(address, port)
