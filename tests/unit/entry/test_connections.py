"""Tests of callers' connections that are closed when idle."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import typing
import unittest

from hypercorn import config as hypercorn_config

from dogwoodquay.entry import asgi
from dogwoodquay.entry import connections
from dogwoodquay.entry import guard as guards

if typing.TYPE_CHECKING:
    from collections import abc

_SEED: typing.Final = 22
_IDLE_SECONDS: typing.Final = 0.05
_CALLERS: typing.Final = 40
_ROUNDS: typing.Final = 12
# The time around the idle close at which a request is sent.
_EARLIEST_SECONDS: typing.Final = -0.002
_LATEST_SECONDS: typing.Final = 0.002
# Turns of the event loop between the begin of a stop and a request.
_STOP_TURNS: typing.Final = 12


class _App:
    """Answers each request after a short time and counts both."""

    def __init__(self) -> None:
        self.read: set[bytes] = set()
        self.answer_seconds = 0.005
        self.padding = b''

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve a request."""
        path = scope['raw_path']
        body = path + self.padding
        self.read.add(path)
        await asyncio.sleep(self.answer_seconds)
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', b'%d' % len(body))],
            }
        )
        await send({'type': 'http.response.body', 'body': body})


@contextlib.asynccontextmanager
async def _serving(
    app: abc.Callable[..., abc.Awaitable[None]],
    graceful_seconds: float = 0.5,
    guard: guards.ConnectionGuard | None = None,
    idle_seconds: float = _IDLE_SECONDS,
) -> abc.AsyncIterator[tuple[int, asyncio.Event]]:
    """Serve an application; yields its port and the event that stops it."""
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setblocking(False)
    port = int(listener.getsockname()[1])
    config = hypercorn_config.Config()
    config.bind = [f'fd://{listener.detach()}']
    config.keep_alive_timeout = idle_seconds
    config.graceful_timeout = graceful_seconds
    config.accesslog = None
    stop = asyncio.Event()
    server = asyncio.ensure_future(
        connections.serve(app, config, stop.wait, guard)
    )
    try:
        yield port, stop
    finally:
        stop.set()
        await server


class _Caller:
    """Sends requests and notes those that get their whole answers."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.answered: set[bytes] = set()

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection."""
        return await asyncio.open_connection('127.0.0.1', self._port)

    async def call(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        path: bytes,
    ) -> bool:
        """Send a request; return whether its answer is whole."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            writer.write(b'GET %s HTTP/1.1\r\nHost: a\r\n\r\n' % path)
            await reader.readuntil(b'\r\n\r\n')
            if await reader.readexactly(len(path)) == path:
                self.answered.add(path)
                return True
        return False


class IdleCloseTest(unittest.IsolatedAsyncioTestCase):
    """An idle connection is closed before or after a request, not within."""

    async def test_request_at_the_idle_close(self) -> None:
        """Each request that is read gets its answer."""
        app = _App()
        rng = random.Random(_SEED)
        async with asyncio.timeout(60.0), _serving(app) as (port, _):
            caller = _Caller(port)

            async def run(number: int) -> None:
                for turn in range(_ROUNDS):
                    reader, writer = await caller.connect()
                    name = b'/%d/%d' % (number, turn)
                    if await caller.call(reader, writer, name + b'/first'):
                        offset = rng.uniform(
                            _EARLIEST_SECONDS, _LATEST_SECONDS
                        )
                        await asyncio.sleep(_IDLE_SECONDS + offset)
                        await caller.call(reader, writer, name + b'/second')
                    writer.close()

            await asyncio.gather(*(run(number) for number in range(_CALLERS)))
            # A request that was read late may still be served.
            await asyncio.sleep(10 * app.answer_seconds)
        second = {path for path in app.read if path.endswith(b'second')}
        self.assertEqual(set(), app.read - caller.answered)
        # Requests were sent on both sides of the close.
        self.assertLess(0, len(second))
        self.assertLess(len(second), _CALLERS * _ROUNDS)

    async def test_idle_connection(self) -> None:
        """It is closed after the idle time, also before any request."""
        async with asyncio.timeout(60.0), _serving(_App()) as (port, _):
            caller = _Caller(port)
            reader, writer = await caller.connect()
            self.assertEqual(b'', await reader.read())
            writer.close()


class OtherProtocolsTest(unittest.IsolatedAsyncioTestCase):
    """Requests for another protocol are served with HTTP/1.1."""

    async def _answer(self, *fields: bytes) -> bytes:
        """Send a request and return the head of its answer."""
        lines = [*fields, b'Host: a', b'', b'']
        async with asyncio.timeout(20.0), _serving(_App()) as (port, _):
            reader, writer = await _Caller(port).connect()
            writer.write(b'\r\n'.join(lines))
            head = await reader.readuntil(b'\r\n\r\n')
            writer.close()
            return head

    async def test_websocket(self) -> None:
        """The upgrade is passed over."""
        head = await self._answer(
            b'GET /x HTTP/1.1',
            b'Connection: Upgrade',
            b'Upgrade: websocket',
            b'Sec-WebSocket-Version: 13',
            b'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==',
        )
        self.assertTrue(head.startswith(b'HTTP/1.1 200'), head)

    async def test_http2_by_upgrade(self) -> None:
        """The upgrade is passed over."""
        head = await self._answer(
            b'GET /x HTTP/1.1',
            b'Connection: Upgrade, HTTP2-Settings',
            b'Upgrade: h2c',
            b'HTTP2-Settings: AAMAAABkAAQAAP__',
        )
        self.assertTrue(head.startswith(b'HTTP/1.1 200'), head)

    async def test_http2_by_prior_knowledge(self) -> None:
        """The preface of HTTP/2 is a request like any other."""
        head = await self._answer(b'PRI * HTTP/2.0')
        self.assertTrue(head.startswith(b'HTTP/1.1 '), head)


class UnreadBodyTest(unittest.IsolatedAsyncioTestCase):
    """A request that is answered before its body is read."""

    async def test_client_that_goes_on_sending(self) -> None:
        """Its connection is closed after the answer."""
        app = _App()
        app.answer_seconds = 0.2
        async with asyncio.timeout(20.0), _serving(app) as (port, _):
            reader, writer = await _Caller(port).connect()
            writer.write(b'POST /x HTTP/1.1\r\nHost: a\r\n')
            writer.write(b'Content-Length: 1000000000\r\n\r\n')
            with self.assertRaises(OSError):
                while True:
                    writer.write(bytes(64 << 10))
                    await writer.drain()


class SentAheadTest(unittest.IsolatedAsyncioTestCase):
    """A request that is sent ahead waits for the answer before it."""

    async def _stream(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Send a body without end, until the caller has left."""
        await send({'type': 'http.response.start', 'status': 200})
        part = {'type': 'http.response.body', 'body': bytes(1 << 20)}

        async def send_parts() -> None:
            while True:
                await send(part | {'more_body': True})
                await asyncio.sleep(0)

        parts = asyncio.create_task(send_parts())
        while (await receive())['type'] != asgi.DISCONNECT:
            pass
        parts.cancel()

    async def test_client_that_leaves(self) -> None:
        """Nothing is kept of a connection whose stream is not read."""
        async with asyncio.timeout(20.0), _serving(self._stream) as (port, _):
            before = len(asyncio.all_tasks())
            reader, writer = await _Caller(port).connect()
            writer.write(b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n' * 3)
            await reader.readuntil(b'\r\n\r\n')
            writer.transport.abort()
            while len(asyncio.all_tasks()) > before:
                await asyncio.sleep(0.01)


class TimesTest(unittest.IsolatedAsyncioTestCase):
    """Clients that make no progress lose their connections."""

    @contextlib.asynccontextmanager
    async def _guarded(self, app: _App) -> abc.AsyncIterator[int]:
        """Serve with short times for heads and answers."""
        guard = guards.ConnectionGuard(
            guards.GuardSettings(head_seconds=0.1, write_seconds=0.1),
            on_released=lambda *labels: self.released.append(labels),
        )
        self.released: list[tuple[str, str]] = []
        async with (
            asyncio.timeout(20.0),
            _serving(app, guard=guard, idle_seconds=60.0) as (port, _),
        ):
            checks = asyncio.ensure_future(guard.run())
            yield port
            while guard.count():
                await asyncio.sleep(0.01)
            checks.cancel()
        self.assertEqual(0, guard.held())

    async def test_head_that_does_not_end(self) -> None:
        """A byte now and then does not count as progress."""
        async with self._guarded(_App()) as port:
            _, writer = await _Caller(port).connect()
            writer.write(b'GET /x HTTP/1.1\r\nHost: a\r\nX: ')
            with self.assertRaises(OSError):
                while True:
                    writer.write(b'x')
                    await writer.drain()
                    await asyncio.sleep(0.02)
        self.assertEqual([('head_timeout', 'head')], self.released)

    async def test_answer_that_is_not_read(self) -> None:
        """The client keeps its connection open."""
        app = _App()
        app.padding = bytes(32 << 20)
        async with self._guarded(app) as port:
            _, writer = await _Caller(port).connect()
            writer.transport.pause_reading()
            writer.write(b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n')
            while not self.released:
                await asyncio.sleep(0.01)
            writer.close()
        self.assertEqual([('write_timeout', 'answering')], self.released)

    async def test_requests(self) -> None:
        """Clients that make progress keep theirs."""
        async with self._guarded(_App()) as port:
            caller = _Caller(port)
            reader, writer = await caller.connect()
            for number in range(60):
                path = b'/%d' % number
                self.assertTrue(await caller.call(reader, writer, path))
                await asyncio.sleep(0.02)
            writer.close()
        self.assertEqual([], self.released)


class StopTest(unittest.IsolatedAsyncioTestCase):
    """A stop closes idle connections and lets requests end."""

    async def test_request_in_flight(self) -> None:
        """A request in flight is answered; then its connection closes."""
        app = _App()
        app.answer_seconds = 0.2
        async with asyncio.timeout(60.0), _serving(app) as (port, stop):
            caller = _Caller(port)
            idle_reader, idle_writer = await caller.connect()
            reader, writer = await caller.connect()
            call = asyncio.ensure_future(caller.call(reader, writer, b'/x'))
            while not app.read:
                await asyncio.sleep(0.001)
            stop.set()
            self.assertEqual(b'', await idle_reader.read())
            self.assertTrue(await call)
            self.assertEqual(b'', await reader.read())
            with self.assertRaises(OSError):
                await caller.connect()
            writer.close()
            idle_writer.close()

    async def test_request_at_the_stop(self) -> None:
        """A request that is read as the stop begins gets its answer."""
        app = _App()
        app.answer_seconds = 0.0
        sent = set()
        answered = set()
        for turns in range(_STOP_TURNS):
            async with asyncio.timeout(20.0), _serving(app) as (port, stop):
                caller = _Caller(port)
                reader, writer = await caller.connect()
                name = b'/%d' % turns
                await caller.call(reader, writer, name + b'/first')
                stop.set()
                for _ in range(turns):
                    await asyncio.sleep(0)
                sent.add(name + b'/second')
                await caller.call(reader, writer, name + b'/second')
                writer.close()
            answered |= caller.answered
        self.assertEqual(set(), app.read - answered)
        # Requests were sent on both sides of the close.
        self.assertLess(set(), sent & answered)
        self.assertLess(sent & answered, sent)

    async def test_connection_at_the_stop(self) -> None:
        """A connection that is accepted as a stop begins does not hang."""
        hanging = []
        for turns in range(_STOP_TURNS):
            async with _serving(_App()) as (port, stop):
                await asyncio.sleep(0.01)
                caller = socket.socket()
                caller.setblocking(False)
                caller.connect_ex(('127.0.0.1', port))
                for _ in range(turns):
                    await asyncio.sleep(0)
                stop.set()
                with contextlib.closing(caller):
                    if not await self._is_closed(caller):
                        hanging.append(turns)
        self.assertEqual([], hanging)

    async def _is_closed(self, caller: socket.socket) -> bool:
        """Return whether a connection is closed or was never made."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            try:
                async with asyncio.timeout(2.0):
                    return await loop.sock_recv(caller, 1) == b''
            except TimeoutError:
                return False
        return True

    async def test_caller_that_does_not_read(self) -> None:
        """Its connection does not outlast the graceful timeout."""
        app = _App()
        app.padding = b'x' * (16 << 20)
        async with asyncio.timeout(20.0):
            async with _serving(app, graceful_seconds=0.1) as (port, stop):
                caller = _Caller(port)
                reader, writer = await caller.connect()
                writer.write(b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n')
                await reader.readuntil(b'\r\n\r\n')
                writer.transport.pause_reading()
                stop.set()
            writer.close()

    async def test_graceful_timeout(self) -> None:
        """A request that lasts longer is ended."""
        app = _App()
        app.answer_seconds = 30.0
        async with asyncio.timeout(20.0):
            async with _serving(app, graceful_seconds=0.1) as (port, stop):
                caller = _Caller(port)
                reader, writer = await caller.connect()
                call = asyncio.ensure_future(
                    caller.call(reader, writer, b'/x')
                )
                while not app.read:
                    await asyncio.sleep(0.001)
                stop.set()
                self.assertFalse(await call)
                writer.close()
