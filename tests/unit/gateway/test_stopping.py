"""Tests of requests that a planned stop finds at an instance."""

from __future__ import annotations

import asyncio
import unittest

from . import loopback
from dogwoodquay.routes import api as routes_api
from dogwoodquay.stopping import durations

Kind = routes_api.RouteKind


def _answer(request: loopback.Received, line: str, *more: str) -> bytes:
    lines = [
        f'HTTP/1.1 {line}',
        f'Attempt-Id: {request.headers["attempt-id"]}',
        'Content-Length: 0',
        *more,
    ]
    return '\r\n'.join([*lines, '', '']).encode()


class StopTest(unittest.IsolatedAsyncioTestCase):
    """A stop that begins while a request that runs once is on its way."""

    async def _served(
        self, request: loopback.Received, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(_answer(request, '200 OK', 'Response-Stamp: 3e1b'))
        await writer.drain()
        return True

    async def _call_in_stop(
        self, kind: Kind = Kind.NON_IDEMPOTENT
    ) -> tuple[int, int]:
        """Return the status, and how often the request reached a server.

        A server refuses the first attempt as a stop begins, which ends before
        the deadline of the request.
        """

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            if site.intake.stopping:
                return await self._served(request, writer)
            site.intake.leave(site.connections.now() + 1.0)
            writer.write(_answer(request, '503 X', 'Not-Executed: 1'))
            await writer.drain()
            return True

        upstream = loopback.Upstream('u1', script)
        site = loopback.Site(upstream)
        async with site.running():
            site.configure(loopback.route(kind=kind, max_attempts=3))
            found = await site.call('POST', body=b'x')
        return found.status, len(upstream.received)

    async def test_not_sent_again(self) -> None:
        """It has not run, and might not end in time (LOST)."""
        self.assertEqual((503, 1), await self._call_in_stop())

    async def test_repeatable(self) -> None:
        """What may be repeated is sent."""
        found = await self._call_in_stop(Kind.IDEMPOTENT)
        self.assertEqual((200, 2), found)

    async def _call_after_quick_ones(self, kind: Kind) -> loopback.Answer:
        """Return the answer on a route whose requests end at once."""
        site = loopback.Site(loopback.Upstream('u1', self._served))
        async with site.running():
            site.configure(loopback.route(kind=kind))
            for number in range(durations.MIN_REQUESTS):
                await site.call(request_id=f'a{number}')
            site.intake.leave(site.connections.now() + 1.0)
            return await site.call()

    async def test_route_of_quick_streams(self) -> None:
        """One is taken if others on the route have ended soon enough."""
        found = await self._call_after_quick_ones(Kind.STREAMING)
        self.assertEqual(
            (200, 'close'), (found.status, found.headers['connection'])
        )

    async def test_route_of_quick_requests(self) -> None:
        """A plain request may last until its deadline (LOST)."""
        found = await self._call_after_quick_ones(Kind.NON_IDEMPOTENT)
        self.assertEqual(503, found.status)

    async def test_before_the_first_configuration(self) -> None:
        """Another instance may have one."""
        site = loopback.Site()
        async with site.running():
            site.intake.leave(site.connections.now() + 1.0)
            site.hold.release()
            found = await site.call()
        self.assertEqual(
            (503, '0.020'), (found.status, found.headers['retry-after'])
        )


if __name__ == '__main__':
    unittest.main()
