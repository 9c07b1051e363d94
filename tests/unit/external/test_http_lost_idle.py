"""Tests of connections that are lost just before a request is written."""

from __future__ import annotations

import asyncio
import socket
import typing
import unittest

from dogwoodquay import clock as clocks
from dogwoodquay.external import api
from dogwoodquay.external.http import client

if typing.TYPE_CHECKING:
    from collections import abc

    import expression
    import httpx

_ANSWER: typing.Final = b'HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n'
_TEST_TIMEOUT_SECONDS: typing.Final = 10.0


class LostBeforeSentTest(unittest.IsolatedAsyncioTestCase):
    """No byte of a request was written, so it cannot have run (LOST)."""

    async def asyncSetUp(self) -> None:
        """Listen on a free port."""
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        self.port = int(self.listener.getsockname()[1])
        self.connections = client.Connections(clocks.SteadyClock())
        self.received: list[bytes] = []

    async def _serve_one(self) -> socket.socket:
        """Answer one request on a new connection and return that."""
        loop = asyncio.get_running_loop()
        found, _ = await loop.sock_accept(self.listener)
        self.addCleanup(found.close)
        self.received.append(await loop.sock_recv(found, 4096))
        await loop.sock_sendall(found, _ANSWER)
        return found

    async def _send(
        self, on_use: abc.Callable[[typing.Any], None] = lambda _: None
    ) -> expression.Result[httpx.Response, typing.Any]:
        async with self.connections.open_raw(
            '127.0.0.1',
            self.port,
            'POST',
            '/x',
            [(b'host', b'x')],
            b'',
            self.connections.now() + _TEST_TIMEOUT_SECONDS,
            on_use=on_use,
        ) as sent:
            if sent.is_ok():
                await sent.ok.aread()
            return sent

    async def _lose(self, lose: abc.Callable[[socket.socket], None]) -> None:
        """Lose an idle connection once it is given to a request."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            serving = asyncio.create_task(self._serve_one())
            self.assertTrue((await self._send()).is_ok())
            kept = await serving
            lost: list[socket.socket] = []

            def lose_once(_: object) -> None:
                if not lost:
                    lost.append(kept)
                    lose(kept)

            again = asyncio.create_task(self._serve_one())
            sent = await self._send(lose_once)
            again.cancel()
            await asyncio.gather(again, return_exceptions=True)
            await self.connections.close()
        if sent.is_error():
            self.assertIsInstance(sent.error, api.Unavailable)

    async def test_extra_answer(self) -> None:
        """The bytes that nobody asked for make us close the connection."""
        await self._lose(lambda kept: kept.sendall(_ANSWER[:5]))

    async def test_closed_by_the_server(self) -> None:
        """The server has closed it."""
        await self._lose(lambda kept: kept.close())


if __name__ == '__main__':
    unittest.main()
