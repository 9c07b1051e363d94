"""Tests of overload control in the scheduler and between instances."""

from __future__ import annotations

import asyncio
import typing
import unittest
from unittest import mock

import anyio
import msgspec

from ..fleet import entries
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import choice
from dogwoodquay.fleet import queue
from dogwoodquay.fleet import rate
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import api
from dogwoodquay.gateway import messages
from dogwoodquay.gateway import outcomes
from dogwoodquay.gateway import refusals
from dogwoodquay.gateway import scheduler as schedulers
from dogwoodquay.routes import api as routes_api
from dogwoodquay.traffic import overload_control
from tests.unit.gateway import fakes
from tests.unit.gateway import loopback

_OUTCOME = outcomes.Whole(200, (), b'')
_CAPACITY = 64 + schedulers.SERVICE_QUEUE_DEPTH


class _Case(unittest.IsolatedAsyncioTestCase):
    """A plain service with one full server that takes 640 per second."""

    def setUp(self) -> None:
        """Create a scheduler whose server has as much as it may have."""
        self.clock = clocks.ManualClock()
        self.registry = registries.Registry()
        entry = entries.entry(slots=64)
        self.registry.update(entry, 0.0)
        self.control = overload_control.OverloadControl(
            self.registry, self.clock
        )
        self.scheduler = schedulers.Scheduler(
            self.registry,
            'd1',
            self.clock,
            fakes.rng(),
            typing.cast('typing.Any', None),
            fakes.make_limits(self.registry, self.clock),
            fakes.make_capacity(self.registry, self.clock),
            self.control,
        )
        service = routes_api.Service(entry.service, '/', 100, None)
        self.scheduler.configure({entry.service: service})
        self.control.configure(True)
        self.service = entry.service
        self.server = self.registry.of_service(entry.service)[0]

    def call(
        self,
        seconds: float = 0.8,
        identity: str = '',
        objective: float = 0.2,
    ) -> api.Call:
        """Return a plain request."""
        now = self.clock.now()
        terms = api.CallerTerms('c', seconds, '', '', 0, 0, (), api.NO_EVENT)
        route = loopback.route(kind=routes_api.RouteKind.IDEMPOTENT)
        route = route._replace(objective_seconds=objective)
        return api.Call(
            'c',
            'GET',
            '/',
            (),
            b'',
            terms,
            route,
            self.service,
            now,
            now + seconds,
            identity,
        )

    def learn(self, others_waiting: int) -> None:
        """Let the pool be known, with requests that wait elsewhere."""
        call = self.call()
        for _ in range(8):
            self.control.on_arrival(call)
            self.control.on_outcome(call, _OUTCOME, 0.1, True)
        self.server.update_others_load(_CAPACITY, self.clock.now())
        waiting = messages.WaitingRow(
            call.route.priority, others_waiting, 0, 9
        )
        row = messages.PoolRow(self.service, '', 64.0, 6.4, 64, (waiting,))
        view = messages.FleetView('o', (), (), 9, 1, pools=(row,))
        now = self.clock.now()
        self.control.exchange.on_view(view, now, now)

    def place(self, call: api.Call) -> overload_control.Place | None:
        """Return the place of a request that has to wait."""
        need = choice.Need(call.service)
        return self.control.place(call, need, call.deadline - 0.4, False)


class PlaceTest(_Case):
    """Which requests wait, and until when."""

    async def test_refused_at_once(self) -> None:
        """Guards against 503 after a wait that could not help."""
        self.learn(others_waiting=900)
        found = await self.scheduler.acquire(
            self.call(), frozenset(), self.clock.now() + 0.4
        )
        self.assertIsNone(found)

    async def test_waits_until_latest_start(self) -> None:
        """Guards against the end of a wait while an answer is possible."""
        self.learn(others_waiting=60)
        place = self.place(self.call())
        assert place is not None
        latest = self.clock.now() + 0.8 - 0.1 - 0.02
        self.assertAlmostEqual(latest, place.wait_deadline, 3)

    async def test_unknown(self) -> None:
        """Guards against decisions without any completion seen."""
        self.server.update_others_load(_CAPACITY, self.clock.now())
        place = self.place(self.call())
        assert place is not None
        self.assertAlmostEqual(self.clock.now() + 0.4, place.wait_deadline, 3)

    async def test_not_enabled(self) -> None:
        """Guards against new rules where no tenants are declared."""
        self.learn(others_waiting=900)
        self.control.configure(False)
        call = self.call()
        place = self.place(call)
        self.assertEqual(
            overload_control.Place(call.deadline - 0.4, call.objective_at),
            place,
        )
        self.assertIsNone(self.control.rank(self.clock.now()))
        self.assertIsNone(self.control.retry_after(call))
        self.assertEqual(((), b''), self.control.load_rows())

    async def test_paced(self) -> None:
        """Guards against services left out that state their pace."""
        self.control.configure(False)
        self.control.on_paced(self.service)
        self.assertTrue(self.control.enabled(self.service))
        self.assertFalse(self.control.enabled('other'))

    async def test_overdue(self) -> None:
        """Guards against waiting on after the pool has got a backlog."""
        self.learn(others_waiting=0)
        results: list[object] = []

        async def wait() -> None:
            results.append(
                await self.scheduler.acquire(
                    self.call(), frozenset(), self.clock.now() + 0.4
                )
            )

        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(1, self.scheduler.waiting)
            self.clock.advance(0.1)
            self.learn(others_waiting=2000)
            self.scheduler.assign_waiting()
        self.assertEqual([None], results)


class ReturnTest(_Case):
    """Refused callers and when they come back."""

    async def test_turn_at_another_instance(self) -> None:
        """Guards against a caller that waited as told and gains nothing."""
        self.learn(others_waiting=900)
        call = self.call(20.0, 'ab' * 12, objective=6.0)
        end = refusals.Refusals(self.scheduler, self.clock, fakes.rng())
        relay = typing.cast('typing.Any', mock.MagicMock())
        relay.started = False
        result = end.end_unplaced(call, None, relay, False)
        assert isinstance(result, api.Refusal)
        self.assertGreater(result.retry_after, 1.0)
        _, turns = self.control.load_rows()
        other = overload_control.OverloadControl(self.registry, self.clock)
        other.configure(True)
        other.attach((), lambda _: _CAPACITY)
        view = messages.FleetView('o', (), (), 9, 1, turns=turns)
        sent = msgspec.msgpack.encode(view)
        view = msgspec.msgpack.decode(sent, type=messages.FleetView)
        now = self.clock.now()
        other.exchange.on_view(view, now, now)
        need = choice.Need(call.service)
        for pause, in_turn in ((0.1, False), (result.retry_after, True)):
            self.clock.advance(pause)
            back = self.call(10.0, 'ab' * 12, objective=6.0)
            place = other.place(back, need, back.deadline, False)
            assert place is not None
            self.assertEqual(in_turn, place.in_turn)

    async def test_rejected(self) -> None:
        """Guards against attempts at one full server after another."""
        rejected = outcomes.NotRun('status_503', arrived=True)
        self.assertFalse(self.control.holds(self.server))
        self.control.on_outcome(self.call(), rejected, 0.01, True)
        self.assertTrue(self.control.holds(self.server))
        self.server.update_others_load(1, self.clock.now())
        self.assertFalse(self.control.holds(self.server))


class RankTest(_Case):
    """The order of the queue."""

    def ticket(
        self, number: int, priority: int, objective: float, **more: typing.Any
    ) -> queue.Ticket:
        """Return a waiting request."""
        now = self.clock.now()
        need = choice.Need(self.service)
        return queue.Ticket(
            number, priority, now + objective, now + 9, now, need, **more
        )

    async def test_order(self) -> None:
        """Guards against late requests before those that can be on time."""
        tickets = [
            self.ticket(0, 0, -0.1),
            self.ticket(1, 2, 0.1),
            self.ticket(2, 0, 0.1),
            self.ticket(3, 0, 0.1, in_turn=True),
        ]
        self.control.attach(tickets, lambda _: 0)
        rank = self.control.rank(self.clock.now())
        assert rank is not None
        tickets.sort(key=typing.cast('typing.Any', rank))
        self.assertEqual([3, 2, 1, 0], [item.number for item in tickets])

    async def test_yields_to_others(self) -> None:
        """Guards against late requests that delay urgent ones elsewhere."""
        self.learn(others_waiting=50)
        tickets = [self.ticket(0, 0, -0.1), self.ticket(1, 0, 5.0)]
        self.control.attach(tickets, lambda _: _CAPACITY)
        rank = self.control.rank(self.clock.now())
        assert rank is not None
        self.assertIsNone(rank(tickets[0]))
        self.assertIsNotNone(rank(tickets[1]))


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    """Requests pass a gateway under control."""

    async def test_answers_are_counted(self) -> None:
        """Guards against a drain rate that stays unknown."""

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            await asyncio.sleep(0.05)
            writer.write(
                b'HTTP/1.1 200 OK\r\nAttempt-Id: c0ffee\r\n'
                b'Response-Stamp: 1\r\nContent-Length: 2\r\n\r\nab'
            )
            return True

        upstream = loopback.Upstream('u1', script)
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route())
            control = site.scheduler.overload
            control.configure(True)
            answers = await asyncio.gather(*(site.call() for _ in range(12)))
        self.assertEqual({200}, {answer.status for answer in answers})
        (row,), _ = control.load_rows()
        self.assertEqual(('s', '', 0), (row.service, row.model, row.running))
        self.assertGreater(row.completed * rate.DECAY_SECONDS, 3.0)
        self.assertGreater(row.work / row.completed, 0.05)
