"""TCP connections for httpcore.

Reads return buffered data, and writes return while the send buffer has space,
without a cancel scope or a switch to the event loop. Timeouts are timers of
the event loop rather than cancel scopes, because a pending read may stay open
while its task does something else.
"""

from __future__ import annotations

import asyncio
import re
import socket
import typing

import anyio
import httpcore

from . import earlier_answers

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'HeadTooLarge',
    'LostBeforeSent',
    'NetworkBackend',
    'Stream',
    'is_refused',
]

# Receives the number of bytes that no request has asked for.
_OnUnsolicited = typing.Callable[[int], None]

WRITE_BYTES: typing.Final = 64 << 10
MAX_BUFFERED_BYTES: typing.Final = 256 * 1024
# All that is read until the end of an answer's head, with the informational
# heads before it. A sound head, of which h11 keeps 100 KiB, fits with a read.
MAX_HEAD_BYTES: typing.Final = 192 * 1024
# Parsing many of these takes long; servers send one or two.
MAX_INFORMATIONAL_HEADS: typing.Final = 16
# Extra answers before an answer, which are as large as others.
MAX_DROPPED_BYTES: typing.Final = 4 << 20
# What is parsed of extra answers before others run.
DROP_STEP_BYTES: typing.Final = 4096
_INFORMATIONAL: typing.Final = re.compile(rb'^HTTP/1\.[01] 1', re.MULTILINE)
_FINAL: typing.Final = re.compile(rb'^HTTP/1\.[01] [2-9]', re.MULTILINE)
# Connections to silent peers are closed within the time in which instances
# have to follow a change, so that none is missed on a dead connection.
KEEPALIVE_IDLE_SECONDS: typing.Final = 1
KEEPALIVE_INTERVAL_SECONDS: typing.Final = 1
KEEPALIVE_PROBES: typing.Final = 2
TCP_USER_TIMEOUT_MILLISECONDS: typing.Final = 3000

_TimeoutErrorType = type[httpcore.ReadTimeout] | type[httpcore.WriteTimeout]


class HeadTooLarge(httpcore.RemoteProtocolError):
    """A head, or the informational ones before it, do not end."""


class LostBeforeSent(httpcore.NetworkError):
    """An idle connection was closed before a byte of a request was sent.

    It is no ``WriteError``, after which httpcore awaits an answer.
    """


class NetworkBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: abc.Iterable[typing.Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection before the timeout."""
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(timeout):
                _, connection = await loop.create_connection(
                    _Connection, host, port
                )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(str(error)) from error
        except (OSError, ArithmeticError, ValueError) as error:
            # The latter are raised for addresses and ports out of range.
            raise httpcore.ConnectError(str(error)) from error
        transport = connection.transport
        _enable_keepalive(transport.get_extra_info('socket'))
        return Stream(connection)


async def is_refused(host: str, port: int, seconds: float) -> bool:
    """Whether nothing listens at an address, without sending anything."""
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(seconds):
            transport, _ = await loop.create_connection(
                asyncio.Protocol, host, port
            )
    except (ConnectionRefusedError, ConnectionResetError):
        return True
    except OSError:
        return False
    transport.abort()
    return False


class _Connection(asyncio.Protocol):
    """Buffers received data and applies flow control in both directions."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parts: list[bytes] = []
        self._buffered_bytes = 0
        self._read_paused = False
        self._eof = False
        self._error: Exception | None = None
        self._readable: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._write_paused = False
        self._closed = False
        self._idle = False
        self._on_unsolicited: _OnUnsolicited | None = None

    @property
    def transport(self) -> asyncio.Transport:
        """The transport of an open connection."""
        return self._require_transport()

    @property
    def is_readable(self) -> bool:
        """Whether a read returns at once: data or the end of the stream."""
        return bool(self._parts) or self._eof

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast('asyncio.Transport', transport)

    def data_received(self, data: bytes) -> None:
        """Buffer received data; pause reading when the buffer is full."""
        if self._idle:
            self._record_unsolicited(len(data))
            self._eof = True
            self.close()
            return
        self._parts.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._read_paused = True
            self._require_transport().pause_reading()
        _complete(self._readable)

    def eof_received(self) -> bool:
        """Record the end of the stream.

        An idle connection is closed; else the transport stays open.
        """
        self._eof = True
        _complete(self._readable)
        return not self._idle

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss of the connection and wake pending calls."""
        self._eof = True
        self._error = exc
        self._write_paused = False
        self._closed = True
        _complete(self._readable)
        _complete(self._writable)

    def pause_writing(self) -> None:
        """Make writes wait, since the send buffer is full."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Wake the pending write, since the send buffer has space."""
        self._write_paused = False
        _complete(self._writable)

    async def read(self, max_bytes: int, timeout: float | None) -> bytes:
        """Return received data, waiting for some; empty at the end."""
        if not self.is_readable:
            self._readable = self._loop.create_future()
            await self._wait(self._readable, timeout, httpcore.ReadTimeout)
        if self._parts:
            return self._take_buffered(max_bytes)
        if self._error is not None:
            raise httpcore.ReadError(str(self._error)) from self._error
        return b''

    async def write(self, data: bytes, timeout: float | None) -> None:
        """Write data, waiting while the send buffer is full."""
        was_idle, self._idle = self._idle, False
        transport = self._require_transport()
        if self._closed or transport.is_closing():
            if was_idle:
                raise LostBeforeSent('the idle connection is closed')
            raise httpcore.WriteError('the connection is closed')
        # The transport copies what it cannot send at once.
        view = memoryview(data)
        for start in range(0, len(data), WRITE_BYTES):
            if start and self._closed:
                raise httpcore.WriteError('the connection is closed')
            transport.write(view[start : start + WRITE_BYTES])
            if self._write_paused:
                self._writable = self._loop.create_future()
                await self._wait(
                    self._writable, timeout, httpcore.WriteTimeout
                )
            if self._error is not None:
                raise httpcore.WriteError(str(self._error)) from self._error

    def expect_nothing(self, on_unsolicited: _OnUnsolicited) -> None:
        """Close the connection if anything arrives before the next write.

        :param on_unsolicited: called with the number of bytes that arrived.
        """
        self._idle = True
        self._on_unsolicited = on_unsolicited
        if self._parts:
            self._record_unsolicited(self._buffered_bytes)
        if self.is_readable and not self._closed:
            self.close()

    def _record_unsolicited(self, size: int) -> None:
        notify, self._on_unsolicited = self._on_unsolicited, None
        if notify is not None:
            notify(size)

    def close(self) -> None:
        """Abort the connection and discard unsent data."""
        self._require_transport().abort()

    def _require_transport(self) -> asyncio.Transport:
        if self._transport is None:
            raise RuntimeError('the connection is not open yet')
        return self._transport

    def _take_buffered(self, max_bytes: int) -> bytes:
        parts = self._parts
        data = parts[0] if len(parts) == 1 else b''.join(parts)
        rest = data[max_bytes:]
        self._parts = [rest] if rest else []
        self._buffered_bytes = len(rest)
        if self._read_paused and self._buffered_bytes <= MAX_BUFFERED_BYTES:
            self._read_paused = False
            self._require_transport().resume_reading()
        return data[:max_bytes]

    async def _wait(
        self,
        future: asyncio.Future[None],
        timeout: float | None,
        error: _TimeoutErrorType,
    ) -> None:
        if timeout is None:
            await future
            return
        timer = self._loop.call_later(timeout, _time_out, future, error)
        try:
            await future
        finally:
            timer.cancel()


class Stream(httpcore.AsyncNetworkStream):
    """Adapts a connection to the stream interface of httpcore.

    What is read after a write is limited until the head has ended.
    """

    def __init__(self, connection: _Connection) -> None:
        self._connection = connection
        self._in_head = True
        self._head_bytes = 0
        self._dropped_bytes = 0
        self._informational_heads = 0
        self._earlier: earlier_answers.EarlierAnswers | None = None

    def drop_answers(self, earlier: earlier_answers.EarlierAnswers) -> None:
        """Drop extra answers to earlier requests from the next answer."""
        self._earlier = earlier

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Return received data, waiting for some; empty at the end."""
        if not self._in_head:
            return await self._connection.read(max_bytes, timeout)
        while True:
            data = await self._read_head(max_bytes, timeout)
            if not data or self._earlier is None:
                return data
            data = await _drop_answers(self._earlier, data)
            if data:
                return data
            if self._earlier.dropping:
                self._count_dropped()

    async def _read_head(self, max_bytes: int, timeout: float | None) -> bytes:
        """Return received data that may be a part of a head."""
        if self._head_bytes:
            # Parsing many small heads takes long; let others run.
            await asyncio.sleep(0)
        data = await self._connection.read(max_bytes, timeout)
        self._head_bytes += len(data)
        if self._informational_heads or _INFORMATIONAL.match(data):
            self._count_informational(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise HeadTooLarge('the head does not end')
        return data

    def _count_dropped(self) -> None:
        """Count what was read as part of an extra answer, not of a head."""
        self._dropped_bytes += self._head_bytes
        self._head_bytes = 0
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            raise HeadTooLarge('an extra answer does not end')

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all of the buffer."""
        if buffer:
            self._in_head = True
            self._head_bytes = 0
            self._dropped_bytes = 0
            self._informational_heads = 0
            await self._connection.write(buffer, timeout)

    def _count_informational(self, data: bytes) -> None:
        final = _FINAL.search(data)
        heads = data if final is None else data[: final.start()]
        self._informational_heads += len(_INFORMATIONAL.findall(heads))
        if self._informational_heads > MAX_INFORMATIONAL_HEADS:
            raise HeadTooLarge('too many informational heads')

    def end_head(self) -> None:
        """Read the body, whose size its reader limits."""
        self._in_head = False

    def expect_nothing(self, on_unsolicited: _OnUnsolicited) -> None:
        """Close the connection if anything arrives before the next write.

        :param on_unsolicited: called with the number of bytes that arrived.
        """
        self._earlier = None
        self._connection.expect_nothing(on_unsolicited)

    async def aclose(self) -> None:
        """Close the connection."""
        self._connection.close()

    def get_extra_info(self, info: str) -> typing.Any:
        """Return the value of ``is_readable``, the only supported key."""
        if info == 'is_readable':
            return self._connection.is_readable
        return None


async def _drop_answers(
    earlier: earlier_answers.EarlierAnswers, data: bytes
) -> bytes:
    """Return what belongs to the awaited answer; others run in between."""
    try:
        while data:
            passed = earlier.feed(data[:DROP_STEP_BYTES])
            data = data[DROP_STEP_BYTES:]
            if passed:
                return passed + data
            if data:
                await asyncio.sleep(0)
    except earlier_answers.Unreadable as error:
        raise httpcore.RemoteProtocolError(str(error)) from error
    return b''


def _enable_keepalive(connection: socket.socket) -> None:
    """Make the kernel close the connection when the peer stops answering."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            TCP_USER_TIMEOUT_MILLISECONDS,
        ),
    )
    for level, option, value in options:
        connection.setsockopt(level, option, value)


def _complete(future: asyncio.Future[None] | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)


def _time_out(future: asyncio.Future[None], error: _TimeoutErrorType) -> None:
    if not future.done():
        future.set_exception(error('the read or write timed out'))
