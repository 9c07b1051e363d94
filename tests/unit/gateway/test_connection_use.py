"""Tests of what is logged of the connections to servers."""

from __future__ import annotations

import asyncio
import typing
import unittest

import anyio

from . import fakes
from . import loopback
from dogwoodquay.gateway import idle_connections
from dogwoodquay.gateway import metrics as gateway_metrics
from dogwoodquay.gateway import settings
from dogwoodquay.observe import metrics

_Line = dict[str, typing.Any]


def _answer(request: loopback.Received, status: int = 200) -> bytes:
    return (
        f'HTTP/1.1 {status} X\r\n'
        f'Attempt-Id: {request.headers["attempt-id"]}\r\n'
        'Response-Stamp: 3e1b\r\nContent-Length: 2\r\n\r\nok'
    ).encode()


class LoggedUseTest(unittest.IsolatedAsyncioTestCase):
    """Which answer on which connection a caller got can be told."""

    def setUp(self) -> None:
        """Collect the lines."""
        self._lines = fakes.log_lines(self)

    def _of(self, kind: str) -> list[_Line]:
        return [line for line in self._lines if line['message_type'] == kind]

    async def test_answers_of_one_connection(self) -> None:
        """The lines count the requests before on the same connection."""

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(_answer(request))
            await writer.drain()
            return True

        site = loopback.Site(loopback.Upstream('u1', script))
        async with site.running():
            site.configure(loopback.route())
            for number in range(3):
                await site.call(request_id=f'a{number}')
            await site.call(request_id='a0')
        found = [
            (line['connection'], line['earlier'], line['server'])
            for line in self._of('request:answered')
        ]
        expected = [(1, number, 'u1') for number in range(3)]
        self.assertEqual([*expected, (2, 0, 'u1')], found)

    def _site(self, script: loopback.Script) -> loopback.Site:
        site = loopback.Site(loopback.Upstream('u1', script))
        idle_connections.IdleConnections(
            site.connections,
            site.registry,
            settings.Address('127.0.0.1', 1),
            gateway_metrics.GatewayMetrics(metrics.Registry('idle')),
        )
        return site

    async def test_rest_of_an_answer(self) -> None:
        """What follows a part of an answer was asked for."""

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(_answer(request).replace(b'Length: 2', b'Length: 9'))
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.write(b'rest')
            await writer.drain()
            return True

        site = self._site(script)
        async with site.running():
            async with site.connections.open_raw(
                '127.0.0.1',
                site.upstreams[0].port,
                'GET',
                '/',
                [(b'host', b'x'), (b'attempt-id', b'a')],
                b'',
                site.connections.now() + 2.0,
            ):
                await anyio.sleep(0.3)
        self.assertEqual([], self._of('connections:unsolicited'))

    async def test_unsolicited_bytes(self) -> None:
        """Bytes on an idle connection are logged with its last request."""

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(_answer(request, 500))
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.write(_answer(request))
            await writer.drain()
            return True

        site = self._site(script)
        async with site.running():
            site.configure(loopback.route(max_attempts=1))
            await site.call()
            await anyio.sleep(0.3)
        (line,) = self._of('connections:unsolicited')
        self.assertEqual(('c0ffee', 1), (line['request'], line['requests']))
        (answered,) = self._of('request:answered')
        self.assertEqual(answered['connection'], line['connection'])


if __name__ == '__main__':
    unittest.main()
