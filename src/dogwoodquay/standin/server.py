"""One stand-in on an address of its own, which can be killed."""

from __future__ import annotations

import contextlib
import socket
import typing
import weakref

import anyio
import anyio.abc
import hypercorn.asyncio
import hypercorn.config

if typing.TYPE_CHECKING:
    from . import asgi

__all__ = ['LOOPBACK', 'Server']

LOOPBACK: typing.Final = '127.0.0.1'
_KEEP_ALIVE_SECONDS: typing.Final = 30.0
_STOP_SECONDS: typing.Final = 1.0
_BACKLOG: typing.Final = 1024


class _Listener(socket.socket):
    """A listening socket that can break all connections made to it."""

    def __init__(self, port: int) -> None:
        super().__init__(socket.AF_INET, socket.SOCK_STREAM)
        self.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.setblocking(False)
        self.bind((LOOPBACK, port))
        self.listen(_BACKLOG)
        self._accepted: weakref.WeakSet[socket.socket] = weakref.WeakSet()

    def accept(self) -> tuple[socket.socket, typing.Any]:
        """Accept a connection and remember it."""
        connection, peer = super().accept()
        self._accepted.add(connection)
        return connection, peer

    def break_connections(self) -> None:
        """Let every connection end as if its process had died."""
        for connection in list(self._accepted):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class _Config(hypercorn.config.Config):
    """Settings of one server around a socket that is already open."""

    def __init__(self, listener: _Listener) -> None:
        super().__init__()
        self._listener = listener
        self.backlog = _BACKLOG
        self.accesslog = None
        self.errorlog = None
        self.graceful_timeout = _STOP_SECONDS
        self.keep_alive_timeout = _KEEP_ALIVE_SECONDS
        self.keep_alive_max_requests = 10**9
        self.include_server_header = False

    def create_sockets(self) -> hypercorn.config.Sockets:
        """Return the socket that was opened before."""
        return hypercorn.config.Sockets([], [self._listener], [])


class Server:
    """Serves an application on loopback; keeps its port over a restart."""

    def __init__(self, app: asgi.App, port: int = 0) -> None:
        self._app = app
        self._port = port
        self._listener: _Listener | None = None
        self._stop = anyio.Event()
        self._stopped = anyio.Event()

    @property
    def port(self) -> int:
        """The port, known once the server has been started."""
        return self._port

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Listen, and serve in a task group until stopped."""
        self._listener = _Listener(self._port)
        self._port = self._listener.getsockname()[1]
        self._stop = anyio.Event()
        self._stopped = anyio.Event()
        group.start_soon(
            self._serve, self._listener, self._stop, self._stopped
        )

    async def kill(self) -> None:
        """Close the port and break every connection."""
        if self._listener is None:
            return
        self._listener.break_connections()
        self._listener = None
        self._stop.set()
        await self._stopped.wait()

    async def _serve(
        self, listener: _Listener, stop: anyio.Event, stopped: anyio.Event
    ) -> None:
        try:
            await hypercorn.asyncio.serve(
                self._app,  # type: ignore[arg-type]
                _Config(listener),
                shutdown_trigger=stop.wait,
            )
        finally:
            listener.close()
            stopped.set()
