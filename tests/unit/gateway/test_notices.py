"""Tests of servers that say in their answers that they leave or pause."""

from __future__ import annotations

import asyncio
import typing
import unittest

import anyio

from . import fakes
from ..fleet import entries
from . import loopback
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import choice
from dogwoodquay.fleet import registry as registries
from dogwoodquay.fleet import server as servers
from dogwoodquay.gateway import notices
from dogwoodquay.platform import headers
from dogwoodquay.routes import api as routes_api

Kind = routes_api.RouteKind

_STAMP: typing.Final = 'Response-Stamp: 3e1b'
_LEAVING: typing.Final = 'Server-Leaving: 1'
_NOT_RUN: typing.Final = 'Not-Executed: 1'


def _answers(status: int, *lines: str, cut: bool = False) -> loopback.Script:
    """Return a script that answers with a status and headers.

    :param cut: whether the body breaks off.
    """

    async def script(
        request: loopback.Received, writer: asyncio.StreamWriter
    ) -> bool:
        head = [
            f'HTTP/1.1 {status} X',
            f'Attempt-Id: {request.headers["attempt-id"]}',
            'Content-Length: 5',
            *lines,
        ]
        body = b'so' if cut else b'sound'
        writer.write('\r\n'.join([*head, '', '']).encode() + body)
        await writer.drain()
        return not cut

    return script


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """A server that says that it leaves gets no new request (DRAIN)."""

    async def _assert_left(self, script: loopback.Script) -> None:
        leaving = loopback.Upstream('u1', script)
        other = loopback.Upstream('u2', _answers(200, _STAMP))
        site = loopback.Site(leaving, other)
        async with site.running():
            site.configure(loopback.route())
            with anyio.fail_after(5.0):
                while not leaving.received:
                    await site.call()
            for _ in range(20):
                answer = await site.call()
                self.assertEqual(200, answer.status)
            self.assertEqual(1, len(leaving.received))
            (departure,) = site.registry.departures(0.0)
            self.assertEqual('u1', departure.server_id)
            self.assertTrue(departure.announced)

    async def test_success(self) -> None:
        """The answer is a success."""
        await self._assert_left(_answers(200, _STAMP, _LEAVING))

    async def test_failure(self) -> None:
        """The answer is a failure or a refusal."""
        await self._assert_left(_answers(500, _STAMP, _LEAVING))
        await self._assert_left(_answers(503, _NOT_RUN, _LEAVING))

    async def test_broken_answer(self) -> None:
        """The answer breaks off."""
        await self._assert_left(_answers(200, _STAMP, _LEAVING, cut=True))

    async def test_listed_as_ready(self) -> None:
        """What the list or a peer still says does not bring it back."""
        leaving = loopback.Upstream('u1', _answers(200, _STAMP, _LEAVING))
        site = loopback.Site(leaving)
        async with site.running():
            site.configure(loopback.route())
            await site.call()
            for number in (1, 2, 7):
                entry = leaving.entry()._replace(report_number=number)
                site.registry.update(entry, 1.0)
                answer = await site.call(deadline_ms=400)
                self.assertEqual(503, answer.status)
        self.assertEqual(1, len(leaving.received))

    async def test_other_values(self) -> None:
        """Any other value counts for nothing and is logged once."""
        for value in ('0', 'true', '', '11', '1, 1'):
            lines = fakes.log_lines(self)
            script = _answers(200, _STAMP, f'Server-Leaving: {value}')
            upstream = loopback.Upstream('u1', script)
            site = loopback.Site(upstream)
            async with site.running():
                site.configure(loopback.route())
                for _ in range(3):
                    self.assertEqual(200, (await site.call()).status)
            unreadable = [
                line
                for line in lines
                if line['message_type'] == 'servers:notice_unreadable'
            ]
            self.assertEqual(1, len(unreadable), value)

    async def test_answer_of_another_server(self) -> None:
        """A 421 may be the answer of another server at the address."""
        upstream = loopback.Upstream('u1', _answers(421, _LEAVING))
        site = loopback.Site(upstream)
        async with site.running():
            site.configure(loopback.route(max_attempts=1))
            await site.call(deadline_ms=400)
            self.assertEqual([], site.registry.departures(0.0))

    async def test_load_of_another_server(self) -> None:
        """The load in such an answer is not that of the server."""
        upstream = loopback.Upstream('u1', _answers(421, 'Server-Load: 0,0,8'))
        site = loopback.Site(upstream)
        async with site.running():
            site.configure(loopback.route(max_attempts=1))
            await site.call(deadline_ms=400)
            server = site.registry.get('u1')
            assert server is not None
            self.assertFalse(server.load_known(site.connections.now()))

    async def test_earlier_process(self) -> None:
        """An answer of an earlier process does not end the next one's use."""
        clock = clocks.ManualClock()
        registry = registries.Registry()
        registry.update(entries.entry('s1', started_ms=1), 0.0)
        before = registry.get('s1')
        assert before is not None
        registry.update(entries.entry('s1', started_ms=2), 0.0)
        subject = notices.ServerNotices(registry, clock, fakes.make_metrics())
        subject.on_answer(
            before, headers.answer_terms(200, [(b'server-leaving', b'1')])
        )
        self.assertEqual(1, len(registry.of_service('models')))


class PauseTest(unittest.IsolatedAsyncioTestCase):
    """A server that asks for a pause gets no request meanwhile (BUDGET)."""

    async def test_other_servers_take_the_work(self) -> None:
        """No caller notices, and the server is not ejected."""
        pausing = loopback.Upstream(
            'u1', _answers(503, _NOT_RUN, 'Retry-After: 0.8')
        )
        other = loopback.Upstream('u2', _answers(200, _STAMP))
        site = loopback.Site(pausing, other)
        async with site.running():
            site.configure(loopback.route())
            with anyio.fail_after(5.0):
                while not pausing.received:
                    self.assertEqual(200, (await site.call()).status)
            for _ in range(20):
                self.assertEqual(200, (await site.call()).status)
            self.assertEqual(1, len(pausing.received))
            server = site.registry.get('u1')
            assert server is not None
            now = clocks.SteadyClock().now()
            self.assertTrue(server.paused(now))
            self.assertFalse(server.ejected(now))
            await anyio.sleep(0.8)
            pausing.script = _answers(200, _STAMP)
            with anyio.fail_after(5.0):
                while len(pausing.received) < 2:
                    self.assertEqual(200, (await site.call()).status)

    async def test_no_server_left(self) -> None:
        """Callers are refused at once, with the time of the earliest end."""
        upstreams = [
            loopback.Upstream(
                name, _answers(503, _NOT_RUN, f'Retry-After: {seconds}')
            )
            for name, seconds in (('u1', '3.5'), ('u2', '9'))
        ]
        site = loopback.Site(*upstreams)
        async with site.running():
            site.configure(loopback.route())
            first = await site.call()
            self.assertEqual(503, first.status)
            began = clocks.SteadyClock().now()
            waits = set()
            for _ in range(5):
                answer = await site.call()
                self.assertEqual(503, answer.status)
                waits.add(answer.headers['retry-after'])
            self.assertLess(clocks.SteadyClock().now() - began, 1.0)
            self.assertEqual(5, len(waits))
            for text in waits:
                self.assertTrue(2.0 < float(text) < 5.0, text)
            self.assertEqual(2, sum(len(item.received) for item in upstreams))
            self.assertEqual(
                6, site.counts('gateway_refusals_total')['servers_paused']
            )

    async def test_waiting_requests(self) -> None:
        """Requests that wait are refused as the last server pauses."""
        release = asyncio.Event()

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            await release.wait()
            refuse = _answers(503, _NOT_RUN, 'Retry-After: 4')
            return await refuse(request, writer)

        upstream = loopback.Upstream('u1', script)
        site = loopback.Site(upstream)
        async with site.running():
            site.configure(loopback.route())
            answers: list[loopback.Answer] = []

            async def call() -> None:
                answers.append(await site.call())

            async with anyio.create_task_group() as group:
                for _ in range(8):
                    group.start_soon(call)
                with anyio.fail_after(5.0):
                    while not site.scheduler.waiting or (
                        len(upstream.received) < 6
                    ):
                        await anyio.sleep(0.01)
                sent = len(upstream.received)
                release.set()
            self.assertEqual({503}, {item.status for item in answers})
            self.assertEqual(sent, len(upstream.received))

    def test_values(self) -> None:
        """Odd values are bounded or count for nothing."""
        for text, seconds, unreadable in (
            (b'2', 2.0, ''),
            (b'0.25', 0.25, ''),
            (b'0', 0.0, ''),
            (b'99999999', 600.0, ''),
            (b'9' * 400, 0.0, 'retry-after'),
            (b'-1', 0.0, 'retry-after'),
            (b'1e3', 0.0, 'retry-after'),
            (b'nan', 0.0, 'retry-after'),
            (b'', 0.0, 'retry-after'),
            (b'Sat, 05 Dec 2026 05:00:00 GMT', 0.0, 'retry-after'),
        ):
            terms = headers.answer_terms(503, [(b'Retry-After', text)])
            assert terms.notice is not None
            self.assertEqual((False, seconds, unreadable), terms.notice, text)
        for status in (200, 429, 500):
            terms = headers.answer_terms(status, [(b'Retry-After', b'2')])
            self.assertIsNone(terms.notice)

    def test_earlier_end(self) -> None:
        """A later answer does not shorten a pause."""
        server = entries.make_server('s1')
        server.pause(10.0)
        server.pause(7.0)
        self.assertTrue(server.paused(9.9))
        self.assertFalse(server.paused(10.0))

    def test_gradual_return(self) -> None:
        """After its pause a server gets a growing share of its requests."""
        server = entries.make_server('s1')
        self.assertEqual(1.0, server.share_after_pause(0.0))
        server.pause(10.0)
        half = 10.0 + servers.RETURN_SECONDS / 2
        self.assertAlmostEqual(0.5, server.share_after_pause(half))
        later = 10.0 + servers.RETURN_SECONDS
        self.assertEqual(1.0, server.share_after_pause(later))

    def test_pause_end(self) -> None:
        """Only pauses of all servers that can run a request count."""
        first, second = (entries.make_server(name) for name in ('s1', 's2'))
        need = choice.Need('models')
        pair = [first, second]
        self.assertIsNone(choice.pause_end(pair, need, 0.0))
        first.pause(4.0)
        self.assertIsNone(choice.pause_end(pair, need, 0.0))
        second.pause(3.0)
        self.assertEqual(3.0, choice.pause_end(pair, need, 0.0))
        self.assertIsNone(choice.pause_end(pair, need, 3.0))
        self.assertEqual([], choice.usable(pair, need, 0.0))
