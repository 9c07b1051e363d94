"""Tests of what is given up when clients' connections hold too much."""

from __future__ import annotations

import math
import random
import unittest

from dogwoodquay.inbound import api
from dogwoodquay.inbound import budget as budgets

_NOW = 1000.0
_LISTENER = 'callers'
_LARGE = 1 << 20
_SEED = 62


class _BudgetTest(unittest.TestCase):
    """The base of tests of a budget for eight large requests."""

    def setUp(self) -> None:
        """Create the budget."""
        super().setUp()
        self.budget = budgets.Budget(
            api.Limits(8.0 * _LARGE, {_LISTENER: 20.0})
        )
        self.opened = 0

    def connect(self, now: float = _NOW) -> int:
        """Open a connection that is not given up."""
        self.opened += 1
        self.assertEqual([], self.budget.open(self.opened, _LISTENER, now))
        return self.opened

    def receive(
        self, number: int, size: int, now: float = _NOW, lines: int = 0
    ) -> list[api.Effect]:
        """Receive bytes on a connection."""
        return self.budget.receive(number, size, lines, now + 3.0, now)

    def request(
        self, size: int, phase: api.Phase = api.Phase.BODY, now: float = _NOW
    ) -> int:
        """Open a connection with a request that holds this much."""
        number = self.connect(now)
        self.receive(number, 0, now)
        self.budget.begin(number, 0, now)
        self.budget.advance(number, phase)
        self.assertEqual([], self.receive(number, size, now))
        return number


class MemoryTest(_BudgetTest):
    """More is held than the limit."""

    def test_within_the_limit(self) -> None:
        """Nothing is given up."""
        for _ in range(8):
            self.request(_LARGE)
        self.assertEqual(8 * _LARGE, self.budget.held_bytes)

    def test_largest_body_goes_first(self) -> None:
        """It was sent to no server, so that it is refused."""
        for _ in range(6):
            self.request(_LARGE)
        large = self.request(7 * _LARGE // 4)
        (effect,) = self.receive(1, _LARGE // 2)
        self.assertIsInstance(effect, api.Refuse)
        self.assertEqual(large, effect.released.connection)
        self.assertEqual(api.Phase.BODY, effect.released.phase)

    def test_body_without_progress_goes_first(self) -> None:
        """It is smaller than others that go on."""
        stalled = self.request(_LARGE // 2)
        others = [self.request(_LARGE, now=_NOW + 2.0) for _ in range(7)]
        effects = self.receive(others[0], _LARGE, _NOW + 2.0)
        self.assertEqual(stalled, effects[0].released.connection)

    def test_body_goes_before_a_whole_request(self) -> None:
        """The whole one is kept though it is larger."""
        self.request(4 * _LARGE, api.Phase.WAITING)
        body = self.request(2 * _LARGE)
        self.request(_LARGE, api.Phase.RUNNING)
        effects = self.receive(self.connect(), 2 * _LARGE)
        self.assertEqual(
            [body], [item.released.connection for item in effects[:1]]
        )

    def test_unread_answer_goes_before_a_whole_request(self) -> None:
        """The connection of the answer is closed."""
        unread = self.request(_LARGE, api.Phase.RUNNING)
        self.budget.write(unread, _NOW + 30.0, _NOW)
        self.request(4 * _LARGE, api.Phase.WAITING, _NOW + 2.0)
        running = self.request(3 * _LARGE, api.Phase.RUNNING, _NOW + 2.0)
        effects = self.budget.hold_answer(running, _LARGE, _NOW + 2.0)
        self.assertIsInstance(effects[0], api.Close)
        self.assertEqual(unread, effects[0].released.connection)

    def test_running_requests_are_kept(self) -> None:
        """There is nothing to give up, and that is known."""
        running = [self.request(2 * _LARGE, api.Phase.RUNNING) for _ in '1234']
        self.assertEqual([], self.budget.hold_answer(running[0], 1, _NOW))
        self.assertTrue(self.budget.is_exceeded)

    def test_small_request_beside_large_ones(self) -> None:
        """A large one goes for it."""
        self.request(7 * _LARGE, api.Phase.RUNNING)
        large = self.request(_LARGE - 100)
        effects = self.receive(self.connect(), 200)
        self.assertEqual(
            [large], [item.released.connection for item in effects]
        )

    def test_fields_count(self) -> None:
        """A head of many short fields holds more than its bytes."""
        number = self.connect()
        self.receive(number, 16 << 10)
        self.budget.begin(number, 4000, _NOW)
        self.assertGreater(self.budget.held_bytes, 60 * (16 << 10))

    def test_fields_count_before_they_are_parsed(self) -> None:
        """A head that is one too many is closed; the estimate is replaced."""
        held = set()
        for _ in range(20):
            number = self.connect()
            held.add(number)
            effects = self.receive(number, 20_000, lines=4000)
            held -= {effect.released.connection for effect in effects}
        self.assertLess(len(held), 9)
        for number in held:
            self.budget.begin(number, 10, _NOW)
        self.assertLess(self.budget.held_bytes, 9 * 25_000)

    def test_answered_request_holds_nothing(self) -> None:
        """Neither its body nor its answer counts."""
        number = self.request(_LARGE, api.Phase.RUNNING)
        self.budget.hold_answer(number, _LARGE, _NOW)
        self.budget.finish(number, 10, _NOW + 3.0, _NOW)
        self.assertEqual(10, self.budget.held_bytes)


class RoomTest(_BudgetTest):
    """Whether a body of a known length is taken."""

    def test_alone(self) -> None:
        """The whole limit is for one client."""
        number = self.request(0)
        self.assertTrue(self.budget.expect(number, 8 * _LARGE, _NOW))

    def test_beside_bodies_that_arrive(self) -> None:
        """What they have announced counts."""
        first = self.request(0)
        self.assertTrue(self.budget.expect(first, 6 * _LARGE, _NOW))
        self.assertFalse(self.budget.expect(self.request(0), 3 * _LARGE, _NOW))

    def test_beside_bodies_without_progress(self) -> None:
        """What they have announced is not waited for."""
        first = self.request(_LARGE)
        self.assertTrue(self.budget.expect(first, 6 * _LARGE, _NOW))
        later = _NOW + 2.0
        second = self.request(0, now=later)
        self.assertTrue(self.budget.expect(second, 8 * _LARGE, later))

    def test_small_body(self) -> None:
        """It is taken in any case."""
        self.request(8 * _LARGE, api.Phase.RUNNING)
        self.assertTrue(self.budget.expect(self.request(0), 1000, _NOW))


class ConnectionsTest(_BudgetTest):
    """There are more connections than the limit."""

    def setUp(self) -> None:
        """Open as many connections as the limit allows."""
        super().setUp()
        self.numbers = [self.connect() for _ in range(20)]

    def _open_one_more(self) -> int:
        (effect,) = self.budget.open(100, _LISTENER, _NOW)
        self.assertIsInstance(effect, api.Close)
        return effect.released.connection

    def test_longest_unused_goes(self) -> None:
        """Before those that had a request."""
        self.budget.begin(self.numbers[0], 0, _NOW)
        self.budget.finish(self.numbers[0], 0, math.inf, _NOW)
        self.assertEqual(self.numbers[1], self._open_one_more())

    def test_request_is_kept(self) -> None:
        """The new connection goes where all others have requests."""
        for number in self.numbers:
            self.budget.begin(number, 0, _NOW)
        self.assertEqual(100, self._open_one_more())

    def test_closed_connection_makes_room(self) -> None:
        """Nothing is closed for the next one."""
        self.budget.forget(self.numbers[0])
        self.assertEqual([], self.budget.open(100, _LISTENER, _NOW))

    def test_other_listener(self) -> None:
        """It has a limit of its own."""
        self.assertEqual([], self.budget.open(100, 'readiness', _NOW))


class TimesTest(_BudgetTest):
    """Connections without progress are closed in time."""

    def test_head(self) -> None:
        """It has to be whole by its deadline."""
        number = self.connect()
        self.receive(number, 10)
        self.assertEqual([], self.budget.expire(_NOW + 2.9))
        (effect,) = self.budget.expire(_NOW + 3.0)
        self.assertEqual(api.Reason.HEAD_TIMEOUT, effect.released.reason)
        self.assertEqual([], self.budget.expire(_NOW + 4.0))

    def test_answer(self) -> None:
        """It has to be taken by its deadline, unless it was written."""
        first, second = (self.request(0, api.Phase.RUNNING) for _ in '12')
        self.budget.write(first, _NOW + 3.0, _NOW)
        self.budget.write(second, _NOW + 3.0, _NOW)
        self.budget.written(second)
        (effect,) = self.budget.expire(_NOW + 3.0)
        self.assertEqual(first, effect.released.connection)
        self.assertEqual(api.Reason.WRITE_TIMEOUT, effect.released.reason)

    def test_request_within_its_head_time(self) -> None:
        """A request that runs has no deadline here."""
        self.request(0, api.Phase.RUNNING)
        self.assertEqual([], self.budget.expire(_NOW + 1000.0))


class DrawnTest(_BudgetTest):
    """Connections that do anything in any order."""

    def test_sum(self) -> None:
        """What is held is the sum of all, and no running request goes."""
        rng = random.Random(_SEED)
        live: dict[int, api.Phase] = {}
        now = _NOW
        for step in range(20_000):
            now += rng.expovariate(100.0)
            effects: list[api.Effect] = []
            number = rng.choice([*live, 0])
            phase = live.get(number)
            if number == 0:
                number = step + 1000
                live[number] = api.Phase.IDLE
                effects = self.budget.open(number, _LISTENER, now)
            elif rng.random() < 0.05:
                del live[number]
                self.budget.forget(number)
            elif phase is api.Phase.IDLE:
                effects = self.receive(number, rng.randrange(40_000), now)
                effects += self.budget.begin(number, 10, now)
                live[number] = api.Phase.BODY
            elif phase is api.Phase.BODY and rng.random() < 0.7:
                effects = self.receive(number, rng.randrange(_LARGE), now)
            elif phase is api.Phase.BODY:
                live[number] = api.Phase.RUNNING
                self.budget.advance(number, api.Phase.RUNNING)
            else:
                live[number] = api.Phase.IDLE
                self.budget.finish(number, 0, math.inf, now)
            effects += self.budget.expire(now)
            for effect in effects:
                given_up = effect.released.connection
                if given_up in live:
                    self.assertIsNot(api.Phase.RUNNING, live.pop(given_up))
                self.budget.forget(given_up)
            self.assertGreaterEqual(self.budget.held_bytes, 0)
            self.assertEqual(len(live), self.budget.connections)
        for number in live:
            self.budget.forget(number)
        self.assertEqual(0, self.budget.held_bytes)
