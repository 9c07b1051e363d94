"""Tests of callers that send requests before the answers to earlier ones."""

from __future__ import annotations

import asyncio
import unittest

from . import loopback

_IDS = ('a', 'b', 'c')


class OrderTest(unittest.IsolatedAsyncioTestCase):
    """The answers of a connection are those of its requests, in order."""

    def setUp(self) -> None:
        """Let the server answer the first request late."""
        self.arrived = asyncio.Event()
        self.late = asyncio.Event()

    async def _script(
        self, request: loopback.Received, writer: asyncio.StreamWriter
    ) -> bool:
        name = request.headers['attempt-id']
        if name == _IDS[0]:
            self.arrived.set()
            await self.late.wait()
        head = f'HTTP/1.1 200 X\r\nAttempt-Id: {name}\r\nResponse-Stamp: x\r\n'
        writer.write(f'{head}Content-Length: 1\r\n\r\n{name}'.encode())
        await writer.drain()
        return True

    def _request(self, name: str, deadline_ms: int) -> bytes:
        return (
            f'GET /r/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {name}\r\n'
            f'Deadline-Ms: {deadline_ms}\r\n\r\n'
        ).encode()

    async def test_first_ended_at_its_deadline(self) -> None:
        """Its late answer is not that to the next request."""
        site = loopback.Site(loopback.Upstream('u1', self._script))
        async with site.running():
            site.configure(loopback.route(max_attempts=1))
            reader, writer = await site.connect()
            spans = (500, 2000, 2000)
            writer.write(b''.join(map(self._request, _IDS, spans)))
            found = [await loopback.read_answer(reader)]
            self.late.set()
            found += [await loopback.read_answer(reader) for _ in _IDS[1:]]
            writer.close()
        self.assertEqual([504, 200, 200], [item.status for item in found])
        self.assertEqual([b'b', b'c'], [item.body for item in found[1:]])

    async def test_first_ended_by_a_stop(self) -> None:
        """Its connection is closed, with no further answer."""
        site = loopback.Site(loopback.Upstream('u1', self._script))
        async with site.running():
            site.configure(loopback.route(max_attempts=1))
            reader, writer = await site.connect()
            writer.write(self._request('a', 2000) + self._request('b', 2000))
            await self.arrived.wait()
            site.intake.leave(site.connections.now())
            site.app.end_requests()
            found = await loopback.read_answer(reader)
            self.late.set()
            rest = await reader.read()
            writer.close()
        self.assertEqual((504, b''), (found.status, rest))


if __name__ == '__main__':
    unittest.main()
