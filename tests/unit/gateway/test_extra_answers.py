"""Tests of servers that answer a request twice."""

from __future__ import annotations

import asyncio
import typing
import unittest

from . import loopback
from dogwoodquay.routes import api as routes_api

Kind = routes_api.RouteKind


def _answer(
    request: loopback.Received, status: int, body: bytes, *more: str
) -> bytes:
    lines = [
        f'HTTP/1.1 {status} X',
        f'Attempt-Id: {request.headers["attempt-id"]}',
        f'Content-Length: {len(body)}',
        *more,
    ]
    return '\r\n'.join([*lines, '', '']).encode() + body


_STAMP: typing.Final = 'Response-Stamp: 3e1b'
_NOT_RUN: typing.Final = 'Not-Executed: 1'


class ExtraAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An extra answer is not taken for that to a further attempt (MIXED).

    It has the id of the request. Here it comes just when a further attempt
    has arrived on the connection of the first.
    """

    async def _call(
        self,
        kind: routes_api.RouteKind,
        first: tuple[int, bytes, str],
        extra: tuple[int, bytes, str],
        own: tuple[int, bytes, str],
    ) -> loopback.Answer:
        """Return the answer where a server writes an extra one.

        :param first: the answer to the first attempt.
        :param extra: what is written again on its connection.
        :param own: the answer to the further attempt.
        """
        used: set[asyncio.StreamWriter] = set()
        answers = [first]

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            if writer in used:
                writer.write(_answer(request, *extra))
                await writer.drain()
            used.add(writer)
            answer = answers.pop() if answers else own
            writer.write(_answer(request, *answer))
            await writer.drain()
            return True

        upstream = loopback.Upstream('u1', script)
        site = loopback.Site(upstream)
        async with site.running():
            site.configure(loopback.route(kind=kind, max_attempts=3))
            found = await site.call('POST', body=b'x')
        self.assertEqual(2, len(upstream.received))
        return found

    async def test_success_in_place_of_a_failure(self) -> None:
        """The server answered 500 and then 503."""
        found = await self._call(
            Kind.IDEMPOTENT,
            (500, b'first', _STAMP),
            (200, b'extra', _STAMP),
            (404, b'own', _STAMP),
        )
        self.assertEqual((404, b'own'), (found.status, found.body))

    async def test_failure_in_place_of_a_success(self) -> None:
        """The server answered 500 and then 200."""
        found = await self._call(
            Kind.IDEMPOTENT,
            (500, b'first', _STAMP),
            (503, b'extra', _NOT_RUN),
            (200, b'own', _STAMP),
        )
        self.assertEqual((200, b'own'), (found.status, found.body))

    async def test_other_body(self) -> None:
        """Both answers are successes."""
        found = await self._call(
            Kind.IDEMPOTENT,
            (500, b'first', _STAMP),
            (200, b'extra', _STAMP),
            (200, b'own', _STAMP),
        )
        self.assertEqual((200, b'own'), (found.status, found.body))

    async def test_after_a_refusal(self) -> None:
        """The route allows no repeated run, and the first one was refused."""
        for kind in (Kind.NON_IDEMPOTENT, Kind.IDEMPOTENT):
            found = await self._call(
                kind,
                (503, b'', _NOT_RUN),
                (200, b'extra', _STAMP),
                (500, b'own', _STAMP)
                if kind is Kind.NON_IDEMPOTENT
                else (404, b'own', _STAMP),
            )
            self.assertEqual(b'own', found.body)

    async def test_misdirected(self) -> None:
        """An extra answer that says the server is another one."""
        found = await self._call(
            Kind.IDEMPOTENT,
            (500, b'first', _STAMP),
            (421, b'', _NOT_RUN),
            (200, b'own', _STAMP),
        )
        self.assertEqual((200, b'own'), (found.status, found.body))


class RepeatedByCallerTest(unittest.IsolatedAsyncioTestCase):
    """A caller sends its request again, with the same id."""

    async def test_extra_answer_to_the_first(self) -> None:
        """It belongs to the first, whatever comes between."""
        used: list[asyncio.StreamWriter] = []

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            if writer in used:
                writer.write(_answer(request, 200, b'extra', _STAMP))
            body = b'%d' % len(used)
            used.append(writer)
            writer.write(_answer(request, 200, body, _STAMP))
            await writer.drain()
            return True

        site = loopback.Site(loopback.Upstream('u1', script))
        async with site.running():
            site.configure(loopback.route())
            for number in range(3):
                found = await site.call('POST', body=b'x')
                self.assertEqual(b'%d' % number, found.body)
