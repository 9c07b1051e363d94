"""An HTTP server for one stand-in, which can be killed and restarted."""

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
_STOP_TIMEOUT_SECONDS: typing.Final = 1.0
_BACKLOG: typing.Final = 1024


class _Listener(socket.socket):
    """A listening socket that can shut down all accepted connections."""

    def __init__(self, port: int) -> None:
        super().__init__(socket.AF_INET, socket.SOCK_STREAM)
        self.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.setblocking(False)
        self.bind((LOOPBACK, port))
        self.listen(_BACKLOG)
        self._accepted: weakref.WeakSet[socket.socket] = weakref.WeakSet()

    def accept(self) -> tuple[socket.socket, typing.Any]:
        """Accept and track a connection."""
        connection, peer = super().accept()
        self._accepted.add(connection)
        return connection, peer

    def break_connections(self) -> None:
        """Shut down all connections, as the end of a process does."""
        for connection in list(self._accepted):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class _Config(hypercorn.config.Config):
    """Hypercorn settings for a socket that is already open."""

    def __init__(self, listener: _Listener) -> None:
        super().__init__()
        self._listener = listener
        self.backlog = _BACKLOG
        self.accesslog = None
        self.errorlog = None
        self.graceful_timeout = _STOP_TIMEOUT_SECONDS
        self.keep_alive_timeout = _KEEP_ALIVE_SECONDS
        self.keep_alive_max_requests = 10**9
        self.include_server_header = False

    def create_sockets(self) -> hypercorn.config.Sockets:
        """Return the open socket."""
        return hypercorn.config.Sockets([], [self._listener], [])


class Server:
    """Serves an application on loopback; a restart keeps the port."""

    def __init__(self, app: asgi.App, port: int = 0) -> None:
        self._app = app
        self._port = port
        self._listener: _Listener | None = None
        self._stop = anyio.Event()
        self._stopped = anyio.Event()

    @property
    def port(self) -> int:
        """The port; zero before the first start unless it was given."""
        return self._port

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Start to listen, and serve in a task group until killed."""
        self._listener = _Listener(self._port)
        self._port = self._listener.getsockname()[1]
        self._stop = anyio.Event()
        self._stopped = anyio.Event()
        group.start_soon(
            self._serve, self._listener, self._stop, self._stopped
        )

    async def kill(self) -> None:
        """Close the port and shut down all connections."""
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
