"""Connections kept open for each address, the last used first.

Each transport holds one connection: httpcore's own pool looks at all of its
connections for every request, which costs more than the request itself when
many are open.
"""

from __future__ import annotations

import collections
import ssl
import typing

import httpx

from ... import clock

__all__ = ['TransportPool']

CLOSED_AT_ONCE: typing.Final = 2

_Place = tuple[str, int]


class _Idle(typing.NamedTuple):
    """A transport that nobody uses, and since when."""

    transport: httpx.AsyncHTTPTransport
    since: float


class TransportPool:
    """Hands out transports with one connection each."""

    def __init__(self, time: clock.Clock, keep_alive_seconds: float) -> None:
        self._time = time
        self._keep_alive_seconds = keep_alive_seconds
        self._limits = httpx.Limits(
            max_connections=1,
            max_keepalive_connections=1,
            keepalive_expiry=keep_alive_seconds,
        )
        self._tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._idle: dict[_Place, collections.deque[_Idle]] = {}

    def take(self, address: str, port: int) -> httpx.AsyncHTTPTransport:
        """Return a transport for the caller alone."""
        idle = self._idle.get((address, port))
        if idle:
            return idle.pop().transport
        return httpx.AsyncHTTPTransport(
            verify=self._tls, limits=self._limits, trust_env=False
        )

    async def put_back(
        self, address: str, port: int, transport: httpx.AsyncHTTPTransport
    ) -> None:
        """Keep a transport for the next request, and close a few old."""
        now = self._time.now()
        place = (address, port)
        idle = self._idle.setdefault(place, collections.deque())
        idle.append(_Idle(transport, now))
        horizon = now - self._keep_alive_seconds
        for _ in range(CLOSED_AT_ONCE):
            if not idle or idle[0].since >= horizon:
                return
            await idle.popleft().transport.aclose()

    async def forget(self, address: str, port: int) -> None:
        """Close the connections to an address that nobody uses."""
        for idle in self._idle.pop((address, port), ()):
            await idle.transport.aclose()

    async def close(self) -> None:
        """Close every connection that nobody uses."""
        for address, port in list(self._idle):
            await self.forget(address, port)
