"""Tests of servers that answer a request twice."""

from __future__ import annotations

import asyncio
import typing
import unittest

import anyio

from . import loopback
from dogwoodquay.external.http import network
from dogwoodquay.platform import engines
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
# More requests than a connection remembers at least.
_MANY: typing.Final = 64


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

    async def test_late_extra_answer(self) -> None:
        """It comes after the answers to many other requests."""
        first: list[asyncio.StreamWriter] = []

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            again = request.headers['attempt-id'] == 'c0ffee'
            if again and writer in first:
                writer.write(_answer(request, 200, b'extra', _STAMP))
            if again:
                first.append(writer)
            writer.write(_answer(request, 200, b'own', _STAMP))
            await writer.drain()
            return True

        site = loopback.Site(loopback.Upstream('u1', script))
        async with site.running():
            site.configure(loopback.route(timeout_seconds=60.0))
            await site.call(deadline_ms=60_000)
            for number in range(_MANY):
                await site.call(request_id=f'a{number}')
            found = await site.call()
        self.assertEqual(b'own', found.body)


class _SecondOfTwoCase(unittest.IsolatedAsyncioTestCase):
    """Two requests on one connection; the route allows no repeated run."""

    own_status = 200

    async def _call(
        self, *writes: bytes, first: bytes = b''
    ) -> loopback.Answer:
        """Return the answer to the second of the requests.

        :param writes: what the server sends after the second request, in
            parts that are read one by one; ``own`` stands for its answer.
        :param first: what it sends with the answer to the first.
        """

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            own = _answer(request, self.own_status, b'own', _STAMP)
            if request.headers['attempt-id'] == 'c0ffee':
                writer.write(own + first)
                await writer.drain()
                return True
            for number, data in enumerate(writes):
                if number:
                    await anyio.sleep(0.03)
                writer.write(data.replace(b'<own>', own))
                await writer.drain()
            return True

        upstream = loopback.Upstream('u1', script)
        site = loopback.Site(upstream)
        async with site.running():
            site.configure(loopback.route(kind=Kind.NON_IDEMPOTENT))
            await site.call('POST', body=b'x')
            found = await site.call('POST', body=b'x', request_id='b0b')
        self.assertEqual(2, len(upstream.received))
        return found


class EarlierAnswerTest(_SecondOfTwoCase):
    """The extra answer to an earlier request costs no later one its answer."""

    async def _body(self, *writes: bytes, first: bytes = b'') -> bytes:
        """Return the body of the answer to the second request."""
        return (await self._call(*writes, first=first)).body

    async def test_in_one_read_with_the_first_answer(self) -> None:
        """The connection is not used again."""
        found = await self._body(b'<own>', first=_extra())
        self.assertEqual(b'own', found)

    async def test_before_the_answer(self) -> None:
        """It comes while the second request waits for its answer."""
        self.assertEqual(b'own', await self._body(_extra(), b'<own>'))

    async def test_in_one_read_with_the_answer(self) -> None:
        """Both are read at once."""
        self.assertEqual(b'own', await self._body(_extra() + b'<own>'))

    async def test_in_parts(self) -> None:
        """Reads end within its head, its body and the answer."""
        data = _extra() + b'<own>'
        for cut in (9, 30, len(_extra()) - 2):
            found = await self._body(data[:cut], data[cut:])
            self.assertEqual(b'own', found)

    async def test_several(self) -> None:
        """The server writes it more than once, with and without chunks."""
        data = _extra() + _extra(chunked=True) + _extra()
        self.assertEqual(b'own', await self._body(data, b'<own>'))

    async def test_large(self) -> None:
        """It is longer than any head may be."""
        body = b'x' * (2 * network.MAX_HEAD_BYTES)
        data = _extra().replace(b'Length: 5', b'Length: %d' % len(body))
        data = data.replace(b'\r\nextra', b'\r\n' + body)
        self.assertEqual(b'own', await self._body(data + b'<own>'))

    async def test_without_a_marked_end(self) -> None:
        """The answer cannot be told from its body, so there is none."""
        data = _extra().replace(b'Content-Length: 5', b'Other: 5')
        found = await self._call(data + b'<own>')
        self.assertEqual(502, found.status)

    async def test_cut_short(self) -> None:
        """Its announced body takes a part of the answer, which is lost."""
        data = _extra().replace(b'Length: 5', b'Length: 9')
        found = await self._call(data + b'<own>')
        self.assertEqual(502, found.status)

    async def test_of_another_connection(self) -> None:
        """An id that this connection has not carried is not trusted."""
        data = _extra().replace(b'c0ffee', b'0ther')
        found = await self._call(data + b'<own>')
        self.assertEqual(502, found.status)


class CutAnswerTest(_SecondOfTwoCase):
    """What there is of an extra answer goes before the next one (MIXED).

    The server's own answer is a failure.
    """

    own_status = 500

    async def test_cut_in_its_head(self) -> None:
        """The status of one answer does not get the head of another."""
        extra = _extra()
        wrong = []
        for size in range(1, extra.index(b'\r\n\r\n') + 4):
            found = await self._call(extra[:size] + b'<own>')
            if found.status < 500:
                wrong.append(extra[:size])
        self.assertEqual([], wrong)

    async def test_cut_in_its_body(self) -> None:
        """The next answer is taken for its rest; that ends the wait."""
        extra = _extra().replace(b'Length: 5', b'Length: 999')
        found = await self._call(extra + b'<own>')
        self.assertEqual(502, found.status)

    async def test_extra_answer_to_the_second(self) -> None:
        """It comes where the awaited answer was taken for a rest."""
        size = len(_extra(request_id='b0b')) - len(b'extra') + len(b'own')
        for rest in (size - 1, size, size + 1):
            extra = _extra().replace(b'Length: 5', b'Length: %d' % (5 + rest))
            found = await self._call(
                extra + b'<own>', _extra(request_id='b0b')
            )
            self.assertEqual(502, found.status)


class BrokenHeadTest(unittest.IsolatedAsyncioTestCase):
    """A head that breaks off, and the next one, are no answer (MIXED)."""

    async def _call(
        self, status: int, first: bytes, kind: Kind = Kind.NON_IDEMPOTENT
    ) -> tuple[loopback.Answer, int]:
        """Return the answer on a new connection, and how many attempts came.

        :param first: the begin of a head, before the server's answer.
        """

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(first + _answer(request, status, b'own', _STAMP))
            await writer.drain()
            return True

        upstream = loopback.Upstream('u1', script)
        site = loopback.Site(upstream)
        async with site.running():
            site.configure(loopback.route(kind=kind, max_attempts=3))
            found = await site.call('POST', body=b'x')
        return found, len(upstream.received)

    async def test_success_in_place_of_a_failure(self) -> None:
        """The status is of the first head, id and stamp of the second."""
        head = _extra().partition(b'\r\n\r\n')[0]
        for size in range(1, len(head)):
            found, _ = await self._call(500, head[:size])
            self.assertGreaterEqual(found.status, 500)

    async def test_refusal_in_place_of_an_answer(self) -> None:
        """The server has run the request, which may run once (TWICE)."""
        found, attempts = await self._call(
            200, b'HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRetry-After: 0'
        )
        self.assertEqual((502, 1), (found.status, attempts))


class ReportTest(unittest.IsolatedAsyncioTestCase):
    """The extra answer to a report, which has no id."""

    async def test_before_the_answer_to_a_request(self) -> None:
        """It comes while a request waits that may not be repeated."""
        report = b'HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}'

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(report)
            if '/report' not in request.line:
                writer.write(_answer(request, 200, b'own', _STAMP))
            await writer.drain()
            return True

        upstream = loopback.Upstream('u1', script)
        site = loopback.Site(upstream)
        subject = engines.EngineClient(
            site.connections, 'here', lambda *_: None
        )
        async with site.running():
            site.configure(loopback.route(kind=Kind.NON_IDEMPOTENT))
            deadline = site.connections.now() + 2.0
            await subject.report(upstream.entry(), deadline)
            found = await site.call('POST', body=b'x')
        self.assertEqual(b'own', found.body)


def _extra(chunked: bool = False, request_id: str = 'c0ffee') -> bytes:
    """Return an extra answer, to the first request if not given."""
    head = f'HTTP/1.1 200 X\r\nAttempt-Id: {request_id}\r\n{_STAMP}\r\n'
    if chunked:
        framing, body = (
            'Transfer-Encoding: chunked',
            loopback.chunked(b'extra'),
        )
    else:
        framing, body = 'Content-Length: 5', b'extra'
    return f'{head}{framing}\r\n\r\n'.encode() + body
