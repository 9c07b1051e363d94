"""Tests of connections whose call was given up."""

from __future__ import annotations

import asyncio
import contextlib
import typing
import unittest

import anyio

from dogwoodquay import clock as clock_module
from dogwoodquay.external.http import client

DEADLINE_SECONDS: typing.Final = 60.0
# Where the first answer stops until its call has been given up.
_CUTS: typing.Final = (0, 9, 37, 40)


def _answer(body: bytes) -> bytes:
    return b'HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\n' + body


class GivenUpTest(unittest.IsolatedAsyncioTestCase):
    """The late answer to a call without an id reaches no later call."""

    async def _second(self, cut: int, download: bool, seconds: float) -> bytes:
        """Return the body of a call after one that was given up.

        :param cut: the bytes of the first answer that come in time.
        :param seconds: when it is cancelled; else it ends at its deadline.
        """
        late = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    head = await reader.readuntil(b'\r\n\r\n')
                    own = _answer(head.split(b' ')[1][1:])
                    if b'/first' in head:
                        writer.write(own[:cut])
                        await late.wait()
                        own = own[cut:]
                    writer.write(own)
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        clock = clock_module.SystemClock()
        async with client.Connections(clock) as connections:

            async def call(path: str, span: float) -> bytes:
                deadline = clock.now() + span
                if download:
                    found = await connections.download(
                        '127.0.0.1', port, path, deadline, lambda _: None
                    )
                else:
                    found = await connections.fetch(
                        '127.0.0.1', port, 'GET', path, deadline
                    )
                return found.ok.content if found.is_ok() else b''

            with anyio.move_on_after(0.1):
                await call('/first', seconds)
            late.set()
            body = await call('/later', DEADLINE_SECONDS)
        server.close()
        # Connections end in the next turn of the loop.
        await asyncio.sleep(0.01)
        return body

    async def test_cancelled(self) -> None:
        """The task that waits for it is cancelled, as a poll is."""
        for cut in _CUTS:
            for download in (False, True):
                found = await self._second(cut, download, DEADLINE_SECONDS)
                self.assertEqual(b'later', found, cut)

    async def test_deadline(self) -> None:
        """It has a deadline, which ends a download in its head only."""
        for cut, download in ((0, False), (42, False), (0, True)):
            found = await self._second(cut, download, 0.05)
            self.assertEqual(b'later', found, cut)


if __name__ == '__main__':
    unittest.main()
