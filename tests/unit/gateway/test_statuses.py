"""Tests of answers whose status is none, or none that is known."""

from __future__ import annotations

import asyncio
import typing
import unittest

from . import loopback
from dogwoodquay import clock as clocks
from dogwoodquay.external import api as external_api
from dogwoodquay.external.http import client
from dogwoodquay.routes import api as routes_api

if typing.TYPE_CHECKING:
    from collections import abc

Kind = routes_api.RouteKind

_BAD_GATEWAY: typing.Final = 502
_UNAVAILABLE: typing.Final = 503
# Callers take these as a guarantee that the request did not run.
_NOT_RUN: typing.Final = frozenset({408, 421, 429, 503})
_BODILESS: typing.Final = frozenset({204, 304})
_BODY: typing.Final = b'id: 1\ndata: x\n\n'
_INFORMATIONAL: typing.Final = b'HTTP/1.1 103 Early\r\nLink: x\r\n\r\n'
_INVALID: typing.Final = (
    *(b'%03d' % status for status in (0, 1, 99, 101, 600, 700, 999)),
    b'0200',
    b'20',
    b'2x0',
    b'',
    b'-200',
    b'1000',
)
_KINDS: typing.Final = (
    {'kind': Kind.IDEMPOTENT},
    {'kind': Kind.NON_IDEMPOTENT},
    {'kind': Kind.STREAMING},
    {'kind': Kind.STREAMING, 'resumable': True},
)


def _answer(status: bytes, request_id: str, more: bytes = b'') -> bytes:
    """Return an answer with a status and a server's marks."""
    body = _BODY
    if status.isdigit() and int(status) in _BODILESS:
        body = b''
    return (
        b'HTTP/1.1 %s Odd\r\nResponse-Stamp: 3e1b\r\n'
        b'Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s'
    ) % (status, request_id.encode(), more, len(body), body)


class _Case(unittest.IsolatedAsyncioTestCase):
    """A gateway before a server whose answers a test sets."""

    def setUp(self) -> None:
        """Create the server."""
        self.answer: abc.Callable[[str], bytes] = lambda _: b''
        self.keeps = False
        self.upstream = loopback.Upstream('u1', self._script)
        self.site = loopback.Site(self.upstream)

    async def _script(
        self, request: loopback.Received, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(self.answer(request.headers['attempt-id']))
        await writer.drain()
        return self.keeps

    async def call(self, request_id: str = 'c0ffee') -> loopback.Answer:
        """Send a request."""
        return await self.site.call('POST', body=b'x', request_id=request_id)


class InvalidStatusTest(_Case):
    """No caller gets an answer whose status is none (MIXED)."""

    async def _assert_refused(
        self, prefix: bytes = b'', more: bytes = b''
    ) -> None:
        async with self.site.running():
            for changes in _KINDS:
                self.site.configure(loopback.route(max_attempts=1, **changes))
                for status in _INVALID:
                    self.answer = lambda name, status=status: (
                        prefix + _answer(status, name, more)
                    )
                    answer = await self.call()
                    self.assertEqual(
                        _BAD_GATEWAY, answer.status, (changes, status)
                    )
                    self.assertNotIn('response-stamp', answer.headers)

    async def test_alone(self) -> None:
        """The answer is whole otherwise."""
        await self._assert_refused()

    async def test_after_an_informational_head(self) -> None:
        """The informational head is sound."""
        await self._assert_refused(_INFORMATIONAL)

    async def test_said_not_to_have_run(self) -> None:
        """What no server would say is no promise either."""
        await self._assert_refused(more=b'Not-Executed: 1\r\n')

    async def test_another_attempt(self) -> None:
        """Requests that may be repeated go to a server once more."""
        statuses = [b'000', b'200']
        self.answer = lambda name: _answer(statuses.pop(0), name)
        async with self.site.running():
            self.site.configure(loopback.route(max_attempts=2))
            answer = await self.call()
        self.assertEqual(200, answer.status)
        self.assertEqual([], statuses)

    async def test_kept_connection(self) -> None:
        """The connection is not used again."""
        self.keeps = True
        async with self.site.running():
            self.site.configure(loopback.route(max_attempts=1))
            for status in _INVALID:
                self.answer = lambda name: _answer(b'200', name)
                for number in range(2):
                    answer = await self.call(f'before-{number}')
                    self.assertEqual(200, answer.status)
                self.answer = lambda name, status=status: _answer(status, name)
                answer = await self.call('odd')
                self.assertEqual(_BAD_GATEWAY, answer.status, status)

    async def test_extra_answer(self) -> None:
        """An extra answer to the request before has no status."""
        self.keeps = True
        async with self.site.running():
            for changes in _KINDS[:2]:
                self.site.configure(loopback.route(max_attempts=1, **changes))
                for status in _INVALID:
                    self.answer = lambda name: _answer(b'200', name)
                    self.assertEqual(200, (await self.call('first')).status)
                    self.answer = lambda name, status=status: (
                        _answer(status, 'first') + _answer(b'200', name)
                    )
                    answer = await self.call('second')
                    self.assertIn(answer.status, (200, _BAD_GATEWAY), status)
                    own = answer.headers.get('attempt-id') == 'second'
                    self.assertEqual(answer.status == 200, own)

    async def test_head_within_a_head(self) -> None:
        """A head that breaks off is followed by one without a status."""
        cut = b'HTTP/1.1 200 OK\r\nResponse-Stamp: 3e1b\r\nX: '
        async with self.site.running():
            self.site.configure(loopback.route(max_attempts=1))
            for status in _INVALID[:7]:
                self.answer = lambda name, status=status: (
                    cut + _answer(status, name)
                )
                answer = await self.call()
                self.assertEqual(_BAD_GATEWAY, answer.status, status)


class WholeRangeTest(_Case):
    """Each status of three digits, on each kind of route."""

    async def test_all(self) -> None:
        """Servers' statuses are passed on, others are a failure."""
        async with self.site.running():
            for changes in _KINDS:
                self.site.configure(loopback.route(max_attempts=1, **changes))
                await self._assert_range(changes)

    async def _assert_range(self, changes: dict[str, typing.Any]) -> None:
        repeatable = changes['kind'] is Kind.IDEMPOTENT or changes.get(
            'resumable', False
        )
        for status in range(1000):
            self.answer = lambda name, status=status: _answer(
                b'%03d' % status, name
            )
            answer = await self.call()
            passed_on = 200 <= status < 500 or (
                500 <= status < 600 and not repeatable
            )
            if status in _NOT_RUN:
                # A refusal of the instance itself is as true.
                expected = (status, _BAD_GATEWAY, _UNAVAILABLE)
            elif passed_on:
                expected = (status,)
            elif 200 <= status < 600:
                expected = (status, _BAD_GATEWAY)
            else:
                expected = (_BAD_GATEWAY,)
            self.assertIn(answer.status, expected, changes)


class CallTest(unittest.IsolatedAsyncioTestCase):
    """Orders, reports, health checks and calls to the store."""

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_answer(self.status, 'x'))
        await writer.drain()
        writer.close()

    async def test_no_answer(self) -> None:
        """It is not known what a call without a status has done."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = int(server.sockets[0].getsockname()[1])
        clock = clocks.SystemClock()
        connections = client.Connections(clock)
        try:
            for self.status in _INVALID:
                deadline = clock.now() + 5.0
                fetched = await connections.fetch(
                    '127.0.0.1', port, 'GET', '/report', deadline
                )
                self.assertIsInstance(fetched.error, external_api.Ambiguous)
                read = await connections.download(
                    '127.0.0.1', port, '/log-read', deadline, lambda _: None
                )
                self.assertIsInstance(read.error, external_api.Ambiguous)
        finally:
            await connections.close()
            server.close()
