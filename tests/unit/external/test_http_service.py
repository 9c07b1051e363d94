"""Tests of calls of plain services over connections with extra answers."""

from __future__ import annotations

import asyncio
import contextlib
import typing
import unittest

from dogwoodquay import clock as clock_module
from dogwoodquay.external import api
from dogwoodquay.external.http import client
from dogwoodquay.external.http import service

DEADLINE_SECONDS: typing.Final = 60.0


def _answer(attempt_id: str, body: bytes) -> bytes:
    head = f'HTTP/1.1 200 X\r\nX-Request-Id: {attempt_id}\r\n'
    return f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body


def _refusal(attempt_id: str) -> bytes:
    head = f'HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Request-Id: {attempt_id}\r\n'
    return f'{head}Content-Length: 0\r\n\r\n'.encode()


class ExtraAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer to another attempt is not taken for the awaited one."""

    async def _call(self, extra: bytes, attempt_id: str) -> str:
        """Return the body of a second call, or why there is none.

        :param extra: what the service writes before it on the connection of
            the first call, whose attempt has the id ``r-00``.
        """

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            pending = b''
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    head = await reader.readuntil(b'\r\n\r\n')
                    found = head.lower().partition(b'x-request-id: ')[2]
                    own = found.partition(b'\r\n')[0].decode()
                    writer.write(pending + _answer(own, b'own'))
                    pending = extra
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        clock = clock_module.SystemClock()
        async with client.Connections(clock) as connections:
            subject = service.HttpPlainService(connections)
            port = server.sockets[0].getsockname()[1]
            found = ''
            for name in ('r-00', attempt_id):
                call = api.UpstreamCall(
                    name, 'GET', '/', (), b'', clock.now() + DEADLINE_SECONDS
                )
                async with subject.call('127.0.0.1', port, call) as opened:
                    if opened.is_error():
                        found = opened.error.reason
                    else:
                        parts = [part async for part in opened.ok]
                        found = b''.join(parts).decode()
        server.close()
        # Connections end in the next turn of the loop.
        await asyncio.sleep(0.01)
        return found

    async def test_to_an_earlier_attempt(self) -> None:
        """It is read past."""
        extra = _answer('r-00', b'extra')
        self.assertEqual('own', await self._call(extra, 'r-01'))

    async def test_refusal_of_an_earlier_attempt(self) -> None:
        """The second one has run, and must not be repeated."""
        self.assertEqual('own', await self._call(_refusal('r-00'), 'r-01'))

    async def test_refusal_of_an_unknown_attempt(self) -> None:
        """It is no proof that this one has not run."""
        found = await self._call(_refusal('q-00'), 'r-01')
        self.assertEqual('answer_crossed', found)

    async def test_same_attempt(self) -> None:
        """A resumed attempt has the same id, and needs a new connection."""
        extra = _answer('r-00', b'extra')
        self.assertEqual('own', await self._call(extra, 'r-00'))


if __name__ == '__main__':
    unittest.main()
