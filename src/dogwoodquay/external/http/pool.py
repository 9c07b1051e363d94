"""A pool of idle connections for each address, last in first out.

The pool of httpcore is not used: it examines all of its connections for each
request, which costs more than the request itself when many are open.
"""

from __future__ import annotations

import collections
import itertools
import typing

import httpcore
import msgspec

from ... import clock
from . import network

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Acquired', 'ConnectionPool', 'Use', 'Uses']

MAX_CLOSED_PER_RELEASE: typing.Final = 2
# Idle connections to all addresses together.
MAX_IDLE_CONNECTIONS: typing.Final = 1024
# A connection on which more requests than these were refused is closed.
MAX_BARRED_REQUESTS: typing.Final = 256
# Requests whose answers came on a connection and that it remembers. An extra
# answer precedes those to the requests that follow.
MAX_RECENT_REQUESTS: typing.Final = 32

_Endpoint = tuple[str, int]


class Use(typing.NamedTuple):
    """The use of a connection by one request, for logs.

    ``connection`` numbers the connections of a pool, and ``earlier`` is how
    many requests were sent on it before.
    """

    connection: int = 0
    earlier: int = 0


class Uses(msgspec.Struct):
    """The requests that a connection was used for, by id.

    A server may write an answer again. On a connection that is used for the
    same request once more, it could not be told from the next answer.

    :param number: the number of the connection in its pool.
    """

    number: int = 0
    _count: int = 0
    _recent: dict[str, None] = msgspec.field(default_factory=dict)
    _refused: set[str] = msgspec.field(default_factory=set)

    @property
    def exhausted(self) -> bool:
        """Whether too many requests were refused on the connection."""
        return len(self._refused) > MAX_BARRED_REQUESTS

    def begin(self) -> Use:
        """Count one more request on the connection."""
        use = Use(self.number, self._count)
        self._count += 1
        return use

    def includes(self, request_ids: abc.Iterable[str]) -> bool:
        """Whether the connection was used for one of these requests."""
        return any(
            item in self._recent or item in self._refused
            for item in request_ids
        )

    def add(self, request_id: str, refused: bool) -> None:
        """Record a request; one that was refused is never forgotten."""
        if refused:
            self._refused.add(request_id)
            return
        self._recent.pop(request_id, None)
        self._recent[request_id] = None
        if len(self._recent) > MAX_RECENT_REQUESTS:
            del self._recent[next(iter(self._recent))]


class _IdleConnection(typing.NamedTuple):
    """An unused connection and the time until which it may be reused."""

    connection: httpcore.AsyncHTTPConnection
    expires_at: float
    uses: Uses


class Acquired(typing.NamedTuple):
    """A connection in use by one request."""

    connection: httpcore.AsyncHTTPConnection
    uses: Uses


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
                found = Acquired(connection, item.uses)
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
            Uses(next(self._numbers)),
        )

    async def release(
        self,
        address: str,
        port: int,
        acquired: Acquired,
        server_keep_alive_seconds: float | None = None,
        request_id: str = '',
        refused: bool = False,
    ) -> None:
        """Return a connection for reuse and close a few expired ones.

        :param server_keep_alive_seconds: how long the server keeps the
            connection open, if known.
        :param request_id: the request that it was used for, if it has an id.
        :param refused: whether the request was refused as not run.
        """
        self._in_use -= 1
        connection, uses = acquired
        if request_id:
            uses.add(request_id, refused)
        now = self._time.now()
        endpoint = (address, port)
        idle = self._idle.setdefault(endpoint, collections.deque())
        reusable = connection.is_idle() and not connection.has_expired()
        has_room = self._idle_count < MAX_IDLE_CONNECTIONS
        if reusable and not uses.exhausted and has_room:
            seconds = self._keep_alive_seconds
            if server_keep_alive_seconds is not None:
                seconds = min(seconds, server_keep_alive_seconds)
            idle.append(_IdleConnection(connection, now + seconds, uses))
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
