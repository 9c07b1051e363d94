"""Tests of attempts whose answers do not end."""

from __future__ import annotations

import asyncio
import unittest

from . import loopback
from dogwoodquay.external.http import bodies
from dogwoodquay.routes import api as routes_api

_ANNOUNCED = f'Content-Length: {bodies.MAX_ANSWER_BYTES + 1}\r\n\r\n'
_CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'
_FAILED = 'gateway_attempts_failed_total'
_LARGE_CHUNK = loopback.chunked(b'x' * 65536, end=False)


def _endless(end_of_head: str, repeated: bytes) -> loopback.Script:
    async def script(
        request: loopback.Received, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = request.headers['attempt-id']
        head = f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n'
        head += f'Response-Stamp: 3e1b\r\n{end_of_head}'
        writer.write(head.encode())
        while repeated:
            writer.write(repeated)
            await writer.drain()
        await asyncio.sleep(60.0)
        return False

    return script


async def _sound(
    request: loopback.Received, writer: asyncio.StreamWriter
) -> bool:
    attempt = request.headers['attempt-id']
    head = f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n'
    head += 'Response-Stamp: 3e1b\r\nContent-Length: 4\r\n\r\n'
    writer.write(head.encode() + b'done')
    await writer.drain()
    return True


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer that is too large is a broken attempt."""

    async def _reasons(
        self, script: loopback.Script, kind: routes_api.RouteKind
    ) -> str:
        """Return why the only attempt failed, for a 502."""
        upstream = loopback.Upstream('u1', script)
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(kind=kind, max_attempts=1))
            answer = await site.call()
            counts = site.counts(_FAILED)
        self.assertEqual(502, answer.status)
        self.assertEqual(1, len(upstream.received))
        self.assertEqual([1], list(counts.values()))
        return next(iter(counts))

    async def test_announced_body(self) -> None:
        """A body that is announced as too large is not waited for."""
        reason = await self._reasons(
            _endless(_ANNOUNCED, b''), routes_api.RouteKind.NON_IDEMPOTENT
        )
        self.assertEqual('answer_too_large', reason)

    async def test_body(self) -> None:
        reason = await self._reasons(
            _endless(_CHUNKED, _LARGE_CHUNK),
            routes_api.RouteKind.NON_IDEMPOTENT,
        )
        self.assertEqual('answer_too_large', reason)

    async def test_event(self) -> None:
        reason = await self._reasons(
            _endless(_CHUNKED, _LARGE_CHUNK), routes_api.RouteKind.STREAMING
        )
        self.assertEqual('event_too_large', reason)

    async def test_head(self) -> None:
        reason = await self._reasons(
            _endless('X: ', b'x' * 4096),
            routes_api.RouteKind.NON_IDEMPOTENT,
        )
        self.assertEqual('head_too_large', reason)

    async def test_retry(self) -> None:
        """Another server answers where the route allows a repetition."""
        endless = loopback.Upstream('u1', _endless(_CHUNKED, _LARGE_CHUNK))
        sound = loopback.Upstream('u2', _sound)
        async with loopback.Site(endless, sound).running() as site:
            site.configure(loopback.route())
            answers = [await site.call() for _ in range(6)]
            failed = site.counts(_FAILED).get('answer_too_large', 0)
        self.assertEqual([200] * 6, [answer.status for answer in answers])
        self.assertEqual(len(endless.received), failed)
        self.assertGreater(failed, 0)
