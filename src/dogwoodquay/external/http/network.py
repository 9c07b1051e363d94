"""TCP connections for the HTTP library.

A read takes what has come without waiting and a write returns at once while
the connection takes more, so that neither needs a cancel scope or a turn of
the loop. A timeout is a timer of the one wait that it bounds: it may stay open
while its task does something else.
"""

from __future__ import annotations

import asyncio
import socket
import typing

import anyio
import httpcore

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['NetworkBackend']

MAX_BUFFERED_BYTES: typing.Final = 256 * 1024
# A silent connection ends within the time in which instances must follow a
# change, so that none is missed because of it.
PROBE_AFTER_SECONDS: typing.Final = 1
PROBE_SECONDS: typing.Final = 1
PROBES: typing.Final = 2
SILENT_MILLISECONDS: typing.Final = 3000

_Error = type[httpcore.ReadTimeout] | type[httpcore.WriteTimeout]


class NetworkBackend(httpcore.AsyncNetworkBackend):
    """Opens connections over TCP."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: abc.Iterable[typing.Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection within a time."""
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(timeout):
                _, connection = await loop.create_connection(
                    _Connection, host, port
                )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(str(error)) from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        transport = connection.transport
        _watch_silence(transport.get_extra_info('socket'))
        return _Stream(connection)


class _Connection(asyncio.Protocol):
    """Gathers what comes and waits while the other side takes no more."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._paused = False
        self._ended = False
        self._error: Exception | None = None
        self._readable: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._full = False
        self._lost = False

    @property
    def transport(self) -> asyncio.Transport:
        """The transport of an open connection."""
        return self._made()

    @property
    def is_readable(self) -> bool:
        """Whether there is something to read, or the end."""
        return bool(self._parts) or self._ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection on."""
        self._transport = typing.cast('asyncio.Transport', transport)

    def data_received(self, data: bytes) -> None:
        """Keep what came."""
        self._parts.append(data)
        self._size += len(data)
        if self._size > MAX_BUFFERED_BYTES:
            self._paused = True
            self._made().pause_reading()
        _wake(self._readable)

    def eof_received(self) -> bool:
        """Note that nothing more comes."""
        self._ended = True
        _wake(self._readable)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self._ended = True
        self._error = exc
        self._full = False
        self._lost = True
        _wake(self._readable)
        _wake(self._writable)

    def pause_writing(self) -> None:
        """Note that the other side takes no more."""
        self._full = True

    def resume_writing(self) -> None:
        """Note that the other side takes more."""
        self._full = False
        _wake(self._writable)

    async def read(self, max_bytes: int, timeout: float | None) -> bytes:
        """Return what came, waiting for it; empty at the end."""
        if not self.is_readable:
            self._readable = self._loop.create_future()
            await self._wait(self._readable, timeout, httpcore.ReadTimeout)
        if self._parts:
            return self._take(max_bytes)
        if self._error is not None:
            raise httpcore.ReadError(str(self._error)) from self._error
        return b''

    async def write(self, data: bytes, timeout: float | None) -> None:
        """Write, waiting while the other side takes no more."""
        transport = self._made()
        if self._lost or transport.is_closing():
            raise httpcore.WriteError('the connection is closed')
        transport.write(data)
        if self._full:
            self._writable = self._loop.create_future()
            await self._wait(self._writable, timeout, httpcore.WriteTimeout)
        if self._error is not None:
            raise httpcore.WriteError(str(self._error)) from self._error

    def close(self) -> None:
        """Drop the connection and what was not sent."""
        self._made().abort()

    def _made(self) -> asyncio.Transport:
        if self._transport is None:
            raise RuntimeError('the connection was not made yet')
        return self._transport

    def _take(self, max_bytes: int) -> bytes:
        parts = self._parts
        data = parts[0] if len(parts) == 1 else b''.join(parts)
        rest = data[max_bytes:]
        self._parts = [rest] if rest else []
        self._size = len(rest)
        if self._paused and self._size <= MAX_BUFFERED_BYTES:
            self._paused = False
            self._made().resume_reading()
        return data[:max_bytes]

    async def _wait(
        self,
        future: asyncio.Future[None],
        timeout: float | None,
        error: _Error,
    ) -> None:
        if timeout is None:
            await future
            return
        timer = self._loop.call_later(timeout, _fail, future, error)
        try:
            await future
        finally:
            timer.cancel()


class _Stream(httpcore.AsyncNetworkStream):
    """The library's face of a connection."""

    def __init__(self, connection: _Connection) -> None:
        self._connection = connection

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Return what came, waiting for it; empty at the end."""
        return await self._connection.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all of it."""
        if buffer:
            await self._connection.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        self._connection.close()

    def get_extra_info(self, info: str) -> typing.Any:
        """Tell whether there is something to read."""
        if info == 'is_readable':
            return self._connection.is_readable
        return None


def _watch_silence(connection: socket.socket) -> None:
    """Let the kernel end a connection whose other side is gone."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MILLISECONDS),
    )
    for level, option, value in options:
        connection.setsockopt(level, option, value)


def _wake(future: asyncio.Future[None] | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)


def _fail(future: asyncio.Future[None], error: _Error) -> None:
    if not future.done():
        future.set_exception(error('no progress in time'))
