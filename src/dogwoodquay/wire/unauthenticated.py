"""Limits the connections of peers that are not authenticated yet."""

from __future__ import annotations

import typing

from websockets.asyncio import server as ws_server

if typing.TYPE_CHECKING:
    import asyncio
    from collections import abc

__all__ = ['Unauthenticated']


class Unauthenticated:
    """The accepted connections whose peers have not proved who they are.

    One more than the limit closes the oldest.
    """

    def __init__(
        self, max_count: int, on_closed: abc.Callable[[str], None]
    ) -> None:
        """Create the limit.

        :param on_closed: called with the address of a peer whose connection
            is closed for the limit.
        """
        self._max_count = max_count
        self._on_closed = on_closed
        self._connections: dict[ws_server.ServerConnection, None] = {}

    def add(self, connection: ws_server.ServerConnection) -> None:
        """Count an accepted connection."""
        self._connections[connection] = None
        if len(self._connections) > self._max_count:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.transport.abort()
            # A peer that has gone has no address any more.
            address, *_ = oldest.remote_address or ('',)
            self._on_closed(str(address))

    def discard(self, connection: object) -> None:
        """Stop counting a connection."""
        self._connections.pop(
            typing.cast('ws_server.ServerConnection', connection), None
        )

    def create(
        self, *args: typing.Any, **options: typing.Any
    ) -> ws_server.ServerConnection:
        """Create a connection that is counted while it is open."""
        return _Connection(self, *args, **options)


class _Connection(ws_server.ServerConnection):
    """A connection that reports its begin and end."""

    def __init__(
        self,
        unauthenticated: Unauthenticated,
        *args: typing.Any,
        **options: typing.Any,
    ) -> None:
        super().__init__(*args, **options)
        self._unauthenticated = unauthenticated

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._unauthenticated.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._unauthenticated.discard(self)
        super().connection_lost(exc)
