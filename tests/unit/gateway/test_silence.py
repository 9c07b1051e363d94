"""Tests of requests whose server falls silent and goes on."""

from __future__ import annotations

import asyncio
import typing
import unittest

import anyio

from . import fakes
from . import loopback
from dogwoodquay.routes import api as routes_api

Kind = routes_api.RouteKind

# Longer than the patience with a pause, shorter than a caller's.
SILENCE_SECONDS: typing.Final = 1.8
# Long enough for all streams of a test also on a busy machine.
TIME_MS: typing.Final = 9000
EVENTS: typing.Final = 4


def _event(number: int) -> bytes:
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


def _events(first: int = 1) -> bytes:
    return b''.join(_event(number) for number in range(first, EVENTS + 1))


def _route(**changes: typing.Any) -> routes_api.Route:
    route = loopback.route(
        kind=Kind.STREAMING,
        resumable=True,
        timeout_seconds=TIME_MS / 1000,
    )
    return route._replace(**changes)


class _Server:
    """Sends streams that pause before some event, or before the head."""

    def __init__(self, silent_before: int | None) -> None:
        self._silent_before = silent_before
        self.whole = 0

    async def run(
        self, request: loopback.Received, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer with the events that the caller lacks."""
        first = int(request.headers.get('last-event-id', '0')) + 1
        attempt = request.headers['attempt-id']
        if self._silent_before == 0:
            await asyncio.sleep(SILENCE_SECONDS)
        writer.write(
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n'
            'Response-Stamp: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n'
            ''.encode()
        )
        for number in range(first, EVENTS + 1):
            if number == self._silent_before:
                await asyncio.sleep(SILENCE_SECONDS)
            writer.write(loopback.chunked(_event(number), end=False))
            await writer.drain()
        writer.write(loopback.chunked())
        await writer.drain()
        self.whole += 1
        return True


class SilentServerTest(unittest.IsolatedAsyncioTestCase):
    """A silent server is left only for a successor that is secured."""

    def setUp(self) -> None:
        self.lines = fakes.log_lines(self)

    def _logged(self, kind: str) -> list[dict[str, typing.Any]]:
        return [
            line
            for line in self.lines
            if line['message_type'] == f'request:{kind}'
        ]

    async def _stream(
        self, site: loopback.Site, **changes: typing.Any
    ) -> loopback.Answer:
        site.configure(_route(**changes))
        return await site.call('POST', body=b'x', deadline_ms=TIME_MS)

    def _check_idle(self, site: loopback.Site) -> None:
        """Check that no request is counted or waits any more."""
        self.assertEqual(0, site.scheduler.waiting)
        for server in site.registry.servers.values():
            self.assertEqual(0, server.in_flight)
            self.assertEqual(0, server.awaiting_first_byte)

    async def test_no_other_server(self) -> None:
        """The answer waits for the only server, in the head or a stream."""
        for silent_before in (0, 1, 3):
            server = _Server(silent_before)
            upstream = loopback.Upstream('u1', server.run)
            async with loopback.Site(upstream).running() as site:
                answer = await self._stream(site)
                self._check_idle(site)
            self.assertEqual((200, True), (answer.status, answer.whole))
            self.assertEqual(_events(), answer.body)
            self.assertEqual(1, len(upstream.received))

    async def test_other_server(self) -> None:
        """The request moves to a free server, the first attempt ends."""
        for silent_before in (0, 3):
            order: list[str] = []
            servers = {'u1': _Server(None), 'u2': _Server(None)}

            def script(name: str) -> loopback.Script:
                async def run(
                    request: loopback.Received, writer: asyncio.StreamWriter
                ) -> bool:
                    order.append(name)
                    if len(order) == 1:
                        silent = _Server(silent_before)
                        return await silent.run(request, writer)
                    return await servers[name].run(request, writer)

                return run

            upstreams = [loopback.Upstream(n, script(n)) for n in servers]
            async with loopback.Site(*upstreams).running() as site:
                answer = await self._stream(site)
                self._check_idle(site)
            self.assertTrue(answer.whole)
            self.assertEqual(_events(), answer.body)
            self.assertEqual(2, len(set(order)))
            (moved,) = self._logged('moved')
            self.assertEqual(
                (order, 'pause_limit' if silent_before else 'head_limit'),
                ([moved['server'], moved['successor']], moved['ended_by']),
            )
            self.lines.clear()
            self.assertEqual(1, servers[order[1]].whole)
            self.assertEqual(0, servers[order[0]].whole)

    async def test_attempts_used_up(self) -> None:
        """A route with one attempt keeps its silent server."""
        servers = [_Server(3), _Server(3)]
        upstreams = [
            loopback.Upstream(f'u{number}', server.run)
            for number, server in enumerate(servers)
        ]
        async with loopback.Site(*upstreams).running() as site:
            answer = await self._stream(site, max_attempts=1)
            self._check_idle(site)
        self.assertEqual(_events(), answer.body)
        self.assertTrue(answer.whole)
        self.assertEqual(1, sum(len(item.received) for item in upstreams))

    async def test_no_retry_in_the_budget(self) -> None:
        """Without a retry in the budget, the silent server is kept."""
        upstreams = [
            loopback.Upstream(name, _Server(3).run) for name in ('u1', 'u2')
        ]
        site = loopback.Site(*upstreams, extra_retries=0)
        async with site.running():
            answer = await self._stream(site)
            self._check_idle(site)
        self.assertEqual(_events(), answer.body)
        self.assertTrue(answer.whole)
        self.assertEqual(1, sum(len(item.received) for item in upstreams))

    async def test_no_free_capacity(self) -> None:
        """A server without free capacity does not end the attempt."""
        silent, full = _Server(3), _Server(None)
        upstreams = [
            loopback.Upstream('silent', silent.run),
            loopback.Upstream('full', full.run),
        ]
        async with loopback.Site(*upstreams).running() as site:
            other = site.registry.get('full')
            assert other is not None
            for _ in range(10):
                other.begin()
            answer = await self._stream(site)
            self.assertEqual(0, site.scheduler.waiting)
        self.assertEqual(_events(), answer.body)
        self.assertEqual(1, silent.whole)
        self.assertEqual([], upstreams[1].received)

    async def test_request_without_model(self) -> None:
        """A plain idempotent request waits for its only server too."""

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            await asyncio.sleep(SILENCE_SECONDS)
            writer.write(
                b'HTTP/1.1 200 OK\r\nAttempt-Id: c0ffee\r\n'
                b'Response-Stamp: 1\r\nContent-Length: 2\r\n\r\nab'
            )
            return True

        upstream = loopback.Upstream('u1', script)
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(timeout_seconds=3.0))
            answer = await site.call(deadline_ms=3000)
        self.assertEqual((200, b'ab'), (answer.status, answer.body))
        self.assertEqual(1, len(upstream.received))

    async def test_many_streams_at_once(self) -> None:
        """All streams of a server that pauses are whole."""
        count = 60
        upstream = loopback.Upstream('u1', _Server(3).run)
        answers: list[loopback.Answer] = []
        async with loopback.Site(upstream, extra_retries=2).running() as site:
            entry = upstream.entry()._replace(slots=count, report_number=2)
            site.registry.update(entry, 0.0)
            site.configure(_route())

            async def call() -> None:
                answers.append(
                    await site.call('POST', body=b'x', deadline_ms=TIME_MS)
                )

            async with anyio.create_task_group() as group:
                for _ in range(count):
                    group.start_soon(call)
            self._check_idle(site)
        self.assertEqual(count, len(answers))
        self.assertEqual({(_events(), True)}, {item[2:] for item in answers})

    async def test_health(self) -> None:
        """A server that stays silent gets no new requests for a time."""
        upstream = loopback.Upstream('u1', _Server(3).run)
        async with loopback.Site(upstream).running() as site:
            site.configure(_route())
            async with anyio.create_task_group() as group:
                for _ in range(4):
                    group.start_soon(
                        site.call, 'POST', '/r/x', b'x', '', TIME_MS
                    )
        ejected = [line['ejected'] for line in self._logged('server_silent')]
        self.assertEqual(4, len(ejected))
        self.assertIn(True, ejected)
        self.assertEqual([], self._logged('cut'))
