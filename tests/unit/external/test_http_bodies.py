"""Tests of the answer bodies that the HTTP adapter reads from sockets."""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing
import unittest

import anyio

from dogwoodquay import clock as clock_module
from dogwoodquay.external import api
from dogwoodquay.external import errors
from dogwoodquay.external.http import client
from dogwoodquay.external.http import engine as http_engine
from dogwoodquay.external.http import network

if typing.TYPE_CHECKING:
    from collections import abc

CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
DEADLINE_SECONDS = 60.0
SHORT_TIMEOUT_SECONDS = 0.05
LARGE_BODY_BYTES = 16 << 20

_Serve = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    typing.Coroutine[typing.Any, typing.Any, None],
]


def chunk(data: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(data), data)


class _Upstream:
    """A server that answers each request by calling a test's function."""

    def __init__(self, serve: _Serve) -> None:
        self._serve = serve
        self.connections = 0
        self.closed = asyncio.Event()

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            await reader.readuntil(b'\r\n\r\n')
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed.set()
            writer.close()


@contextlib.asynccontextmanager
async def open_answer(
    upstream: _Upstream, read_timeout_seconds: float = DEADLINE_SECONDS
) -> abc.AsyncIterator[api.UpstreamAnswer]:
    """Request a stream from an upstream and yield the answer."""
    async with contextlib.AsyncExitStack() as stack:
        server = await asyncio.start_server(upstream, '127.0.0.1', 0)
        stack.callback(server.close)
        connections = await stack.enter_async_context(
            client.Connections(
                clock_module.SystemClock(),
                read_timeout_seconds=read_timeout_seconds,
            )
        )
        call = api.UpstreamCall(
            attempt_id='a-00',
            method='GET',
            path='/',
            headers=(),
            body=b'',
            deadline=time.time() + DEADLINE_SECONDS,
            priority=0,
            stream=True,
        )
        port = server.sockets[0].getsockname()[1]
        answer = await stack.enter_async_context(
            http_engine.HttpEngine(connections).call('127.0.0.1', port, call)
        )
        yield answer.ok


class CoalescedBodyTest(unittest.IsolatedAsyncioTestCase):
    """Joining of available chunks, and detection of incomplete bodies."""

    async def test_available_chunks_are_joined(self) -> None:
        async def serve(
            _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            data = chunk(b'one') + chunk(b'two') + chunk(b'three')
            writer.write(CHUNKED + data + b'0\r\n\r\n')

        async with open_answer(_Upstream(serve)) as answer:
            parts = [part async for part in answer]
        self.assertEqual([b'onetwothree'], parts)

    async def test_cut_body_raises_after_the_received_chunks(self) -> None:
        async def serve(
            _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(CHUNKED + chunk(b'one') + b'5\r\ntw')

        parts = []
        with self.assertRaises(errors.UpstreamBroken) as caught:
            async with open_answer(_Upstream(serve)) as answer:
                async for part in answer:
                    parts.append(part)
        self.assertEqual(b'onetw', b''.join(parts))
        self.assertEqual('protocol', caught.exception.reason)

    async def test_silent_upstream_times_out(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(CHUNKED + chunk(b'one'))
            await reader.read()

        with self.assertRaises(errors.UpstreamBroken) as caught:
            async with open_answer(
                _Upstream(serve), SHORT_TIMEOUT_SECONDS
            ) as answer:
                async for _ in answer:
                    pass
        self.assertEqual('idle', caught.exception.reason)

    async def test_leaving_during_a_pending_read_closes_the_connection(
        self,
    ) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(CHUNKED + chunk(b'one'))
            await reader.read()

        upstream = _Upstream(serve)
        async with open_answer(upstream) as answer:
            self.assertEqual(b'one', await anext(answer.__aiter__()))
        await upstream.closed.wait()

    async def test_cancelling_a_read_closes_the_connection(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(CHUNKED + chunk(b'one'))
            await reader.read()

        upstream = _Upstream(serve)
        with anyio.move_on_after(SHORT_TIMEOUT_SECONDS) as scope:
            async with open_answer(upstream) as answer:
                async for _ in answer:
                    pass
        self.assertTrue(scope.cancelled_caught)
        await upstream.closed.wait()

    async def test_pending_read_survives_other_waits_of_its_task(self) -> None:
        """A pending read neither times out nor loses data in the meantime."""
        continue_sending = asyncio.Event()

        async def serve(
            _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(CHUNKED + chunk(b'one'))
            await continue_sending.wait()
            writer.write(chunk(b'two') + b'0\r\n\r\n')

        async with open_answer(
            _Upstream(serve), SHORT_TIMEOUT_SECONDS * 2
        ) as answer:
            chunks = answer.__aiter__()
            self.assertEqual(b'one', await anext(chunks))
            continue_sending.set()
            with anyio.move_on_after(SHORT_TIMEOUT_SECONDS * 4):
                await anyio.sleep_forever()
            self.assertEqual(b'two', await anext(chunks))


class NetworkTest(unittest.IsolatedAsyncioTestCase):
    """Flow control and read sizes of a connection."""

    async def test_slow_reader_stops_the_sender(self) -> None:
        sent = 0

        async def serve(
            _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal sent
            writer.write(CHUNKED)
            while sent < LARGE_BODY_BYTES:
                writer.write(chunk(bytes(1 << 16)))
                await writer.drain()
                sent += 1 << 16
            writer.write(b'0\r\n\r\n')

        async with open_answer(_Upstream(serve)) as answer:
            chunks = answer.__aiter__()
            size = len(await anext(chunks))
            with anyio.move_on_after(SHORT_TIMEOUT_SECONDS * 4):
                await anyio.sleep_forever()
            self.assertLess(sent, LARGE_BODY_BYTES)
            async for part in chunks:
                size += len(part)
        self.assertEqual(LARGE_BODY_BYTES, size)

    async def test_reads_return_at_most_the_requested_size(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b'abcde')
            writer.write_eof()
            await reader.read()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        stream = await network.NetworkBackend().connect_tcp('127.0.0.1', port)
        parts = [await stream.read(3, 1.0) for _ in range(3)]
        await stream.aclose()
        server.close()
        self.assertEqual([b'abc', b'de', b''], parts)
