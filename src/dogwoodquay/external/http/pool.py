"""A pool of idle connections for each address, last in first out.

The pool of httpcore is not used: it examines all of its connections for each
request, which costs more than the request itself when many are open.
"""

from __future__ import annotations

import collections
import itertools
import typing

import httpcore

from ... import clock
from . import network
from . import uses as connection_uses

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Acquired', 'ConnectionPool']

MAX_CLOSED_PER_RELEASE: typing.Final = 2
# Idle connections to all addresses together.
MAX_IDLE_CONNECTIONS: typing.Final = 1024

_Endpoint = tuple[str, int]


class _IdleConnection(typing.NamedTuple):
    """An unused connection and the time until which it may be reused."""

    connection: httpcore.AsyncHTTPConnection
    expires_at: float
    uses: connection_uses.Uses
    stream: network.Stream | None


class Acquired(typing.NamedTuple):
    """A connection in use by one request.

    ``stream`` is what it reads from, ``None`` before its first answer.
    """

    connection: httpcore.AsyncHTTPConnection
    uses: connection_uses.Uses
    stream: network.Stream | None = None


class ConnectionPool:
    """Provides connections, each to one request at a time."""

    def __init__(self, time: clock.Clock, keep_alive_seconds: float) -> None:
        self._time = time
        self._keep_alive_seconds = keep_alive_seconds
        self._backend = network.NetworkBackend()
        self._idle: dict[_Endpoint, collections.deque[_IdleConnection]] = {}
        self._idle_count = 0
        self._in_use = 0
        self._numbers = itertools.count(1)

    @property
    def in_use(self) -> int:
        """The number of connections that requests use, or are opening."""
        return self._in_use

    @property
    def idle(self) -> int:
        """The number of idle connections, with those closed by their peer."""
        return self._idle_count

    async def acquire(
        self, address: str, port: int, apart_from: abc.Collection[str] = ()
    ) -> Acquired:
        """Return an idle connection, or a new one, for exclusive use.

        :param apart_from: connections that were used for one of these
            requests are left out.
        """
        idle = self._idle.get((address, port))
        left_out = []
        found = None
        while idle and found is None:
            item = idle.pop()
            self._idle_count -= 1
            connection = item.connection
            if self._time.now() >= item.expires_at or connection.has_expired():
                await connection.aclose()
            elif item.uses.includes(apart_from):
                left_out.append(item)
            else:
                found = Acquired(connection, item.uses, item.stream)
        if left_out and idle is not None:
            idle.extend(reversed(left_out))
            self._idle_count += len(left_out)
        self._in_use += 1
        return found or Acquired(
            httpcore.AsyncHTTPConnection(
                httpcore.Origin(b'http', address.encode('ascii'), port),
                keepalive_expiry=self._keep_alive_seconds,
                network_backend=self._backend,
            ),
            connection_uses.Uses(next(self._numbers)),
        )

    async def release(
        self,
        address: str,
        port: int,
        acquired: Acquired,
        server_keep_alive_seconds: float | None = None,
    ) -> None:
        """Return a connection for reuse and close a few expired ones.

        :param server_keep_alive_seconds: how long the server keeps the
            connection open, if known.
        """
        self._in_use -= 1
        connection, uses, stream = acquired
        now = self._time.now()
        endpoint = (address, port)
        idle = self._idle.setdefault(endpoint, collections.deque())
        reusable = connection.is_idle() and not connection.has_expired()
        has_room = self._idle_count < MAX_IDLE_CONNECTIONS
        if reusable and not uses.exhausted and has_room:
            seconds = self._keep_alive_seconds
            if server_keep_alive_seconds is not None:
                seconds = min(seconds, server_keep_alive_seconds)
            idle.append(
                _IdleConnection(connection, now + seconds, uses, stream)
            )
            self._idle_count += 1
        else:
            await connection.aclose()
        for _ in range(MAX_CLOSED_PER_RELEASE):
            if not idle or idle[0].expires_at >= now:
                return
            self._idle_count -= 1
            await idle.popleft().connection.aclose()

    async def discard(self, acquired: Acquired) -> None:
        """Close a connection instead of returning it."""
        self._in_use -= 1
        await acquired.connection.aclose()

    async def keep_only(
        self, endpoints: abc.Container[tuple[str, int]]
    ) -> None:
        """Close the idle connections to all other addresses."""
        for endpoint in list(self._idle):
            if endpoint not in endpoints:
                unused = self._idle.pop(endpoint)
                self._idle_count -= len(unused)
                for item in unused:
                    await item.connection.aclose()

    async def close(self) -> None:
        """Close all idle connections."""
        await self.keep_only(())
