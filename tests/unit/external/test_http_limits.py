"""Tests of the limits of answers that the HTTP client reads."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
import typing
import unittest
from unittest import mock

import httpx

from dogwoodquay import clock as clock_module
from dogwoodquay.external import api
from dogwoodquay.external.http import bodies
from dogwoodquay.external.http import client
from dogwoodquay.external.http import network
from dogwoodquay.external.http import sending

if typing.TYPE_CHECKING:
    from collections import abc

    import expression

DEADLINE_SECONDS = 60.0
LIMIT_BYTES = 1000
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'transfer-encoding: chunked\r\n\r\n'
EMPTY = OK + b'content-length: 0\r\n\r\n'


class _Upstream:
    """A server that sends a head once and then a part without end."""

    def __init__(self, head: bytes, endless: bytes) -> None:
        self._head = head
        self._endless = endless
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = asyncio.Event()
        self.begin_endless = asyncio.Event()
        self.begin_endless.set()

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self._head)
            await self.begin_endless.wait()
            while self._endless:
                writer.write(self._endless)
                await writer.drain()
            await reader.read()
        self.closed.set()
        writer.close()


@contextlib.asynccontextmanager
async def connected(
    upstream: _Upstream,
) -> abc.AsyncIterator[tuple[client.Connections, int]]:
    """Yield a client and the port of an upstream."""
    server = await asyncio.start_server(upstream, '127.0.0.1', 0)
    try:
        async with client.Connections(clock_module.SystemClock()) as found:
            yield found, server.sockets[0].getsockname()[1]
    finally:
        server.close()


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer over a limit is given up and its connection closed."""

    async def _fetch(self, head: bytes, endless: bytes = b'') -> str:
        """Return why an answer failed, once its connection is closed."""
        upstream = _Upstream(head, endless)
        async with connected(upstream) as (connections, port):
            deadline = time.time() + DEADLINE_SECONDS
            result: expression.Result[
                httpx.Response, sending.SendError
            ] = await connections.fetch(
                '127.0.0.1', port, 'GET', '/', deadline, max_bytes=LIMIT_BYTES
            )
            await upstream.closed.wait()
        self.assertIsInstance(result.error, api.Ambiguous)
        return result.error.reason

    async def test_head(self) -> None:
        reason = await self._fetch(OK + b'x: ', b'x' * 4096)
        self.assertEqual('head_too_large', reason)

    async def test_informational_heads(self) -> None:
        reason = await self._fetch(b'', b'HTTP/1.1 100 Go on\r\n\r\n' * 64)
        self.assertEqual('head_too_large', reason)

    async def test_announced_body_is_not_read(self) -> None:
        reason = await self._fetch(
            OK + b'content-length: %d\r\n\r\n' % (LIMIT_BYTES + 1)
        )
        self.assertEqual('answer_too_large', reason)

    async def test_unannounced_body(self) -> None:
        reason = await self._fetch(OK + b'\r\n', b'x' * 4096)
        self.assertEqual('answer_too_large', reason)

    async def test_chunks(self) -> None:
        reason = await self._fetch(CHUNKED, b'1\r\nx\r\n' * 512)
        self.assertEqual('answer_too_large', reason)

    async def test_chunk_extension(self) -> None:
        reason = await self._fetch(CHUNKED + b'1;', b'x' * 4096)
        self.assertEqual('answer_too_large', reason)

    async def test_trailers(self) -> None:
        reason = await self._fetch(CHUNKED + b'0\r\n', b'a: b\r\n' * 512)
        self.assertEqual('answer_too_large', reason)

    async def test_download(self) -> None:
        """Pages and reads of the store have a limit of their own."""
        upstream = _Upstream(OK + b'\r\n', b'x' * 4096)
        async with connected(upstream) as (connections, port):
            deadline = time.time() + DEADLINE_SECONDS
            with mock.patch.object(bodies, 'MAX_DOWNLOAD_BYTES', LIMIT_BYTES):
                result = await connections.download(
                    '127.0.0.1', port, '/', deadline, lambda _: None
                )
            await upstream.closed.wait()
        self.assertEqual('answer_too_large', result.error.reason)

    async def test_bytes_on_an_idle_connection(self) -> None:
        """Bytes after a whole answer close the idle connection."""
        upstream = _Upstream(EMPTY, b'x' * 4096)
        upstream.begin_endless.clear()
        async with connected(upstream) as (connections, port):
            deadline = time.time() + DEADLINE_SECONDS
            result = await connections.fetch(
                '127.0.0.1', port, 'GET', '/', deadline
            )
            self.assertTrue(result.is_ok())
            upstream.begin_endless.set()
            await upstream.closed.wait()

    async def test_end_of_an_idle_connection(self) -> None:
        """A connection that its peer has closed keeps no descriptor."""
        upstream = _Upstream(EMPTY, b'')
        async with connected(upstream) as (connections, port):
            before = set(os.listdir('/proc/self/fd'))
            deadline = time.time() + DEADLINE_SECONDS
            result = await connections.fetch(
                '127.0.0.1', port, 'GET', '/', deadline
            )
            self.assertTrue(result.is_ok())
            self.assertEqual((0, 1), (connections.in_use, connections.idle))
            for writer in upstream.writers:
                writer.close()
            await asyncio.sleep(0.05)
            left = set(os.listdir('/proc/self/fd')) - before
            self.assertEqual(set(), left)


class SoundAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers up to a limit are read."""

    async def _fetch(self, answer: bytes) -> httpx.Response:
        upstream = _Upstream(answer, b'')
        async with connected(upstream) as (connections, port):
            deadline = time.time() + DEADLINE_SECONDS
            result: expression.Result[
                httpx.Response, sending.SendError
            ] = await connections.fetch(
                '127.0.0.1', port, 'GET', '/', deadline, max_bytes=LIMIT_BYTES
            )
        return result.ok

    async def test_body_of_the_limit(self) -> None:
        length = b'content-length: %d\r\n\r\n' % LIMIT_BYTES
        response = await self._fetch(OK + length + b'x' * LIMIT_BYTES)
        self.assertEqual(LIMIT_BYTES, len(response.content))

    async def test_informational_heads(self) -> None:
        """Status lines in a body are not counted as heads."""
        early = b'HTTP/1.1 103 Hints\r\n\r\n' * 4
        body = b'\nHTTP/1.1 100 Go on' * network.MAX_INFORMATIONAL_HEADS * 2
        length = b'content-length: %d\r\n\r\n' % len(body)
        response = await self._fetch(early + OK + length + body)
        self.assertEqual(body, response.content)

    async def test_large_head(self) -> None:
        """A head may have what h11 accepts."""
        head = b''.join(b'x-%d: %s\r\n' % (n, b'x' * 900) for n in range(100))
        response = await self._fetch(OK + head + b'content-length: 0\r\n\r\n')
        self.assertEqual(101, len(response.headers))
