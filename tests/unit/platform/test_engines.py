"""Tests of reports and orders over connections with extra answers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import typing
import unittest

from dogwoodquay import clock as clocks
from dogwoodquay.external.http import client
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.gateway import api as gateway_api
from dogwoodquay.platform import engines
from dogwoodquay.residency import api

if typing.TYPE_CHECKING:
    from collections import abc

_REQUEST_ANSWER: typing.Final = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: c0ffee\r\nContent-Length: 2\r\n\r\n{}'
)

# More requests than a connection remembers at least.
_MANY: typing.Final = 64


def _answer(status: int, body: bytes = b'') -> bytes:
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


class ExtraAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers that belong to other requests; these have no ids."""

    @contextlib.asynccontextmanager
    async def _engine(
        self, *extra: bytes
    ) -> abc.AsyncIterator[fleet_api.ServerEntry]:
        """Run an engine that refuses orders with 409.

        It writes extra answers when a request comes on a used connection.
        """
        self.orders = 0
        self.opened = 0
        self.notices: list[gateway_api.ServerNotice | None] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self.opened += 1
            pending: list[bytes] = []
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    head = await reader.readuntil(b'\r\n\r\n')
                    lines = head.decode().lower().split('\r\n')
                    fields = dict(
                        line.split(': ', 1) for line in lines[1:] if line
                    )
                    length = int(fields.get('content-length', '0'))
                    await reader.readexactly(length)
                    writer.write(b''.join(pending))
                    pending = list(extra)
                    if '/order' in lines[0]:
                        self.orders += 1
                        writer.write(_answer(409))
                    else:
                        body = json.dumps({'Sequence': 7}).encode()
                        writer.write(_answer(200, body))
                    await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.connections = client.Connections(clocks.SteadyClock())
        self.subject = engines.EngineClient(
            self.connections, 'here', self._on_answer
        )
        try:
            yield fleet_api.ServerEntry(
                'e1',
                's',
                '127.0.0.1',
                int(server.sockets[0].getsockname()[1]),
                'd1',
                fleet_api.ServerState.LIVE,
                4,
                0,
                1,
                (),
            )
        finally:
            await self.connections.close()
            server.close()
            # Connections end in the next turn of the loop.
            await asyncio.sleep(0.01)

    def _on_answer(
        self, server: fleet_api.ServerEntry, terms: gateway_api.AnswerTerms
    ) -> None:
        self.notices.append(terms.notice)

    async def _order(
        self, server: fleet_api.ServerEntry, seconds: float = 2.0
    ) -> api.OrderAnswer:
        return await self.subject.order(
            server,
            api.LoadModel('m'),
            0,
            16,
            self.connections.now() + seconds,
        )

    async def _report(self, server: fleet_api.ServerEntry) -> int:
        found = await self.subject.report(server, self.connections.now() + 2.0)
        return found.ok.order_number if found.is_ok() else -1

    async def test_extra_answer_to_an_order(self) -> None:
        """It is not taken for the answer to the next order."""
        async with self._engine(_answer(202)) as server:
            for _ in range(3):
                self.assertIs(
                    api.OrderAnswer.CONFLICT, await self._order(server)
                )
            self.assertEqual(3, self.orders)

    async def test_extra_report(self) -> None:
        """A report that is written again is no answer to an order."""
        async with self._engine(_answer(200, b'{"Sequence": 7}')) as server:
            self.assertEqual(7, await self._report(server))
            self.assertIs(api.OrderAnswer.CONFLICT, await self._order(server))

    async def test_extra_answer_to_an_order_before_a_report(self) -> None:
        """It looks like the report of an engine that holds nothing."""
        async with self._engine(_answer(200, b'{}')) as server:
            await self._order(server)
            self.assertEqual(7, await self._report(server))

    async def test_request_named_like_a_header(self) -> None:
        """Callers choose ids, and a report has many headers."""
        async with self._engine() as server:
            await self.connections.fetch(
                server.address,
                server.port,
                'GET',
                '/',
                self.connections.now() + 2.0,
                request_id='15',
            )
            self.assertEqual(7, await self._report(server))

    async def test_request_named_like_a_kind(self) -> None:
        """Its id is not that of reports."""
        extra = _REQUEST_ANSWER.replace(b'c0ffee', b'report')
        async with self._engine(extra) as server:
            await self.connections.fetch(
                server.address,
                server.port,
                'GET',
                '/',
                self.connections.now() + 2.0,
                request_id='report',
            )
            self.assertEqual(7, await self._report(server))

    async def test_late_order(self) -> None:
        """Many requests later a connection is not used for an order again."""
        async with self._engine() as server:
            await self._order(server, 1.0)
            await asyncio.sleep(1.0)
            for number in range(_MANY):
                await self.connections.fetch(
                    server.address,
                    server.port,
                    'GET',
                    '/',
                    self.connections.now() + 2.0,
                    request_id=f'a{number}',
                )
            self.assertEqual(1, self.opened)
            await self._order(server)
            self.assertEqual(2, self.opened)

    async def test_extra_answer_to_a_request(self) -> None:
        """It has an id, and is no report."""
        async with self._engine(_REQUEST_ANSWER) as server:
            self.assertEqual(7, await self._report(server))
            self.assertEqual(-1, await self._report(server))
            self.assertEqual(7, await self._report(server))
