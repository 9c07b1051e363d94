"""Tests of control calls to engines over connections with extra answers."""

from __future__ import annotations

import asyncio
import contextlib
import typing
import unittest

from dogwoodquay import clock as clock_module
from dogwoodquay.external import api
from dogwoodquay.external.http import client
from dogwoodquay.external.http import engine

if typing.TYPE_CHECKING:
    from collections import abc

DEADLINE_SECONDS: typing.Final = 60.0
_ORDER: typing.Final = api.Order('o1', 1, api.OrderKind.LOAD, 'm@1', 1)


def _answer(status: int, body: bytes, attempt_id: str = '') -> bytes:
    named = f'X-Request-Id: {attempt_id}\r\n' if attempt_id else ''
    head = f'HTTP/1.1 {status} X\r\n{named}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


class ExtraAnswerTest(unittest.IsolatedAsyncioTestCase):
    """The answer to one call is not taken for that to another."""

    @contextlib.asynccontextmanager
    async def _engine(self, extra: bytes) -> abc.AsyncIterator[int]:
        """Run an engine whose answers are the paths of the calls.

        It writes an extra answer when a call comes on a used connection.
        """

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            pending = b''
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    head = await reader.readuntil(b'\r\n\r\n')
                    found = head.lower().partition(b'content-length: ')[2]
                    length = int(found.partition(b'\r\n')[0] or b'0')
                    await reader.readexactly(length)
                    found = head.lower().partition(b'x-request-id: ')[2]
                    own = found.partition(b'\r\n')[0].decode()
                    path = head.split(b' ')[1]
                    writer.write(pending + _answer(404, path, own))
                    pending = extra
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.clock = clock_module.SystemClock()
        async with client.Connections(self.clock) as connections:
            self.subject = engine.HttpEngine(connections)
            yield server.sockets[0].getsockname()[1]
        server.close()
        # Connections end in the next turn of the loop.
        await asyncio.sleep(0.01)

    @property
    def _deadline(self) -> float:
        return self.clock.now() + DEADLINE_SECONDS

    async def test_of_another_kind(self) -> None:
        """An order that is refused is not taken for one that is done."""
        async with self._engine(_answer(204, b'')) as port:
            found = []
            for number in range(3):
                await self.subject.cancel(
                    '127.0.0.1', port, f'a{number}', self._deadline
                )
                found.append(
                    await self.subject.import_cache(
                        '127.0.0.1', port, b'block', self._deadline
                    )
                )
        self.assertEqual([True] * 3, [item.is_error() for item in found])

    async def test_of_the_same_kind(self) -> None:
        """Blocks of the cache are not taken for those of another prefix."""
        async with self._engine(_answer(200, b'other')) as port:
            for block in range(3):
                found = await self.subject.export_cache(
                    '127.0.0.1', port, block, self._deadline
                )
                self.assertTrue(found.is_error())

    async def test_of_an_attempt(self) -> None:
        """It is read past."""
        async with self._engine(_answer(200, b'{}', 'r-00')) as port:
            call = api.UpstreamCall(
                'r-00', 'GET', '/', (), b'', self._deadline
            )
            async with self.subject.call('127.0.0.1', port, call) as opened:
                self.assertEqual([b'/'], [part async for part in opened.ok])
            found = await self.subject.order(
                '127.0.0.1', port, _ORDER, self._deadline
            )
            self.assertIsInstance(found.error, api.Refused)


if __name__ == '__main__':
    unittest.main()
