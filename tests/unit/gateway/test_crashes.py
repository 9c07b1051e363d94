"""Tests of how ends of servers are told from broken connections."""

from __future__ import annotations

import typing
import unittest

import anyio

from . import fakes
from ..fleet import entries
from dogwoodquay import clock as clocks
from dogwoodquay.gateway import api
from dogwoodquay.gateway import crashes
from dogwoodquay.gateway import messages
from dogwoodquay.gateway import outcomes
from dogwoodquay.quarantine import core
from dogwoodquay.quarantine import requests

_RESET: typing.Final = outcomes.Broken('connection')


class _Connections:
    """Tells whether servers accept connections."""

    def __init__(self) -> None:
        self.refused = True
        self.asked: list[str] = []

    async def is_refused(
        self, address: str, port: int, seconds: float
    ) -> bool:
        """Answer as the test says."""
        self.asked.append(address)
        await anyio.sleep(0)
        return self.refused


def _call(*parts: str, identity: str = '') -> api.Call:
    terms = api.CallerTerms(
        'c',
        5.0,
        'm',
        '',
        10,
        10,
        tuple(api.PromptPart(part, 10) for part in parts),
        api.NO_EVENT,
    )
    return typing.cast('api.Call', _Terms(terms, identity))


class _Terms(typing.NamedTuple):
    """The part of a request that is looked at."""

    terms: api.CallerTerms
    identity: str = ''
    request_id: str = 'r'
    arrived_at: float = 0.0


class CrashWatchTest(unittest.IsolatedAsyncioTestCase):
    """A refused connection proves that a server has ended."""

    async def asyncSetUp(self) -> None:
        """Create a watch that runs until the test ends."""
        self.clock = clocks.ManualClock()
        self.connections = _Connections()
        self.reports = 0
        self.watch = crashes.CrashWatch(
            typing.cast('typing.Any', self.connections),
            self.clock,
            fakes.make_metrics(),
            'front-0',
        )
        self.watch.on_report(self._on_report)
        self.lines = fakes.log_lines(self)

    def _on_report(self) -> None:
        self.reports += 1

    async def _run(
        self, *steps: typing.Callable[[], None], after: float = 0.0
    ) -> None:
        """Run the watch, and these steps with its tasks between them."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.watch.run)
            await anyio.wait_all_tasks_blocked()
            for step in steps:
                step()
                await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()
        self.clock.advance(after)
        self.watch.step()

    def _begin(self, server_id: str, *parts: str) -> requests.InFlight | None:
        return self.watch.begin(_call(*parts), entries.make_server(server_id))

    def _rows(self) -> list[tuple[str, list[tuple[str, ...]]]]:
        """Return the servers that are reported, and the shared parts."""
        rows, _, _ = self.watch.load_rows()
        return [
            (row.server_id, [item.shared for item in row.requests])
            for row in rows
        ]

    async def test_refused_connection(self) -> None:
        """The requests that broke off are reported."""
        one = self._begin('s1', 'a', 'b', 'own-1')
        other = self._begin('s1', 'a', 'own-2')

        def break_off() -> None:
            self.watch.end(one, _RESET)
            self.watch.end(other, outcomes.Broken('event_cut'))

        await self._run(break_off)
        self.assertEqual([('s1', [('a', 'b'), ('a',)])], self._rows())
        self.assertEqual(1, len(self.connections.asked))

    async def test_accepted_connection(self) -> None:
        """A broken connection to a server that goes on is no crash."""
        self.connections.refused = False
        one = self._begin('s1', 'a', 'own-1')
        await self._run(lambda: self.watch.end(one, _RESET))
        self.assertEqual([], self._rows())

    async def test_other_failures(self) -> None:
        """A request that times out is no crash either."""
        one = self._begin('s1', 'a', 'own-1')
        await self._run(
            lambda: self.watch.end(one, outcomes.Broken('timeout')),
            lambda: self.watch.end(one, outcomes.NotRun('connect', False)),
        )
        self.assertEqual([], self.connections.asked)

    async def test_answer_that_had_begun_before(self) -> None:
        """A server that has written for longer did not end by that."""
        one = self._begin('s1', 'old', 'own-1')
        assert one is not None
        one.started_at = self.clock.now()
        self.clock.advance(requests.FRESH_SECONDS + 0.1)
        other = self._begin('s1', 'new', 'own-2')

        def break_off() -> None:
            self.watch.end(one, _RESET)
            self.watch.end(other, _RESET)

        await self._run(break_off)
        self.assertEqual([('s1', [('new',)])], self._rows())

    async def test_request_that_breaks_off_later(self) -> None:
        """It joins the report, and the server has ended once."""
        one = self._begin('s1', 'a', 'own-1')
        other = self._begin('s1', 'b', 'own-2')
        await self._run(
            lambda: self.watch.end(one, _RESET),
            lambda: self.watch.end(other, _RESET),
        )
        parts = [item for _, rows in self._rows() for item in rows]
        self.assertEqual([('a',), ('b',)], sorted(parts))
        ended = [
            line
            for line in self.lines
            if line['message_type'] == 'quarantine:server_ended'
        ]
        self.assertEqual(1, len(ended))
        self.assertEqual(2, self.reports)

    async def test_answer_that_ended_with_its_connection(self) -> None:
        """A server that is gone then may have ended within it."""
        one = self._begin('s1', 'a', 'own-1')
        gone = entries.entry('s1')
        await self._run(
            lambda: self.watch.end(one, outcomes.Streamed(framed=False)),
            lambda: self.watch.on_unreachable(gone),
        )
        self.assertEqual([('s1', [('a',)])], self._rows())

    async def test_complete_answers(self) -> None:
        """Their parts are reported no more, without framing after a while."""
        one = self._begin('s1', 'a', 'own-1')
        other = self._begin('s1', 'b', 'own-2')
        await self._run(
            lambda: self.watch.end(one, outcomes.Streamed()),
            lambda: self.watch.end(other, outcomes.Streamed(framed=False)),
            after=requests.PROOF_SECONDS + 0.1,
        )
        again = self._begin('s2', 'a', 'b', 'c', 'own-3')
        await self._run(lambda: self.watch.end(again, _RESET))
        self.assertEqual([('s2', [('c',)])], self._rows())

    async def test_without_shared_parts(self) -> None:
        """Requests without prompts or with parts of their own only."""
        for parts in ((), ('own',)):
            self.assertIsNone(self._begin('s1', *parts))
            self.assertFalse(self.watch.is_refused(_call(*parts)))
            self.assertTrue(self.watch.may_repeat(_call(*parts), _RESET))

    async def test_whole_requests(self) -> None:
        """A plain request is reported, unless it had a complete answer."""

        def begin(name: str) -> requests.InFlight | None:
            server = entries.make_server('s1')
            return self.watch.begin(_call(identity=name), server)

        answered, failed = begin('a'), begin('f')
        await self._run(
            lambda: self.watch.end(answered, outcomes.Whole(404, (), b'')),
            lambda: self.watch.end(failed, outcomes.Whole(500, (), b'')),
        )
        again = [begin(name) for name in ('a', 'f', 'g')]

        def break_off() -> None:
            for item in again:
                self.watch.end(item, _RESET)

        await self._run(break_off)
        self.assertEqual(
            [('s1', [('request=f',), ('request=g',)])], self._rows()
        )


class VerdictTest(unittest.IsolatedAsyncioTestCase):
    """What the owner's view means for requests."""

    def setUp(self) -> None:
        """Create a watch."""
        self.watch = fakes.make_crashes(clocks.ManualClock())

    def _view(
        self, suspects: tuple[str, ...], *verdicts: str
    ) -> messages.FleetView:
        rows = tuple(
            messages.VerdictRow((part,), 0.0, core.MAX_SUSPECTS)
            for part in verdicts
        )
        return messages.FleetView(
            'o', (), (), 1, 1, suspects=suspects, verdicts=rows
        )

    async def test_suspect(self) -> None:
        """A request with a suspect part is not repeated after a crash."""
        self.watch.on_view(self._view(('bad',)), is_owner=False)
        call = _call('bad', 'own')
        self.assertFalse(self.watch.may_repeat(call, _RESET))
        not_run = outcomes.NotRun('connect', False)
        self.assertTrue(self.watch.may_repeat(call, not_run))
        self.assertFalse(self.watch.is_refused(call))

    async def test_verdict(self) -> None:
        """A request with a convicted part is refused, until released."""
        self.watch.on_view(self._view((), 'bad'), is_owner=False)
        self.assertTrue(self.watch.is_refused(_call('a', 'bad', 'own')))
        self.assertFalse(self.watch.is_refused(_call('a', 'bad')))
        self.watch.on_view(self._view(()), is_owner=False)
        self.assertFalse(self.watch.is_refused(_call('a', 'bad', 'own')))

    async def test_verdict_on_waiting_requests(self) -> None:
        """Requests that wait for a server are refused at once."""
        ended: dict[str, bool] = {}

        async def wait(part: str) -> None:
            with self.watch.waiting(_call(part, 'own')) as scope:
                await anyio.sleep_forever()
            ended[part] = scope.cancelled_caught

        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as group:
                for part in ('bad', 'good'):
                    group.start_soon(wait, part)
                await anyio.wait_all_tasks_blocked()
                view = self._view((), 'bad')
                self.watch.on_view(view, is_owner=False)
                while not ended:
                    await anyio.sleep(0)
                group.cancel_scope.cancel()
        self.assertEqual({'bad': True}, ended)
