"""Tests of decisions about single requests."""

from __future__ import annotations

import unittest

from dogwoodquay.overload import admission
from dogwoodquay.overload import api
from dogwoodquay.overload import backlog

_NOW = 100.0


def _state(
    *waiting: api.Waiting,
    free: int = 0,
    drain: float | None = 10.0,
    others: tuple[api.Waiting, ...] = (),
) -> backlog.State:
    return backlog.State(free, drain, waiting, others)


def _request(
    objective: float, latest: float, priority: int = 1
) -> api.Request:
    return api.Request(priority, _NOW + objective, _NOW + latest)


class DecideTest(unittest.TestCase):
    """A pool takes 10 requests per second."""

    def test_cannot_be_answered(self) -> None:
        """Guards against holding a request that is refused in the end."""
        state = _state(api.Waiting(0, 20, 0, 0.0))
        verdict = admission.decide(_request(0.2, 0.8), state, _NOW)
        self.assertEqual(api.Refuse(2.0), verdict)

    def test_less_urgent_do_not_count(self) -> None:
        """Guards against refusals for requests that go behind anyway."""
        state = _state(api.Waiting(2, 20, 0, 0.0))
        verdict = admission.decide(_request(0.2, 0.8), state, _NOW)
        self.assertEqual(api.Wait(_NOW + 0.8), verdict)

    def test_late(self) -> None:
        """Guards against late requests that delay those still on time."""
        state = _state(api.Waiting(1, 5, 0, 0.0))
        verdict = admission.decide(_request(0.2, 0.8), state, _NOW)
        self.assertEqual(api.Wait(_NOW + 0.8, on_time=False), verdict)

    def test_overtaken(self) -> None:
        """Guards against a late request that waits while all overtake it."""
        state = _state(api.Waiting(1, 5, 0, 12.0))
        verdict = admission.decide(_request(0.2, 8.0), state, _NOW)
        self.assertIsInstance(verdict, api.Refuse)

    def test_room(self) -> None:
        """Guards against a refusal while servers have room."""
        state = _state(api.Waiting(0, 5, 0, 12.0), free=6)
        verdict = admission.decide(_request(-1.0, -1.0), state, _NOW)
        self.assertEqual(api.Admit(), verdict)

    def test_unknown(self) -> None:
        """Guards against a refusal without any knowledge."""
        state = _state(api.Waiting(0, 500, 0, 12.0), drain=None)
        request = _request(0.2, 0.8)
        self.assertIsNone(admission.decide(request, state, _NOW))
        self.assertEqual([], admission.overdue([('a', request)], state, _NOW))

    def test_overdue(self) -> None:
        """Guards against waiting on when the pool has become slower."""
        state = _state(api.Waiting(1, 3, 0, 0.0), drain=2.0)
        # They start after 0, 0.5 and 1 second.
        waiting = [(name, _request(0.9, 0.9)) for name in 'abc']
        found = admission.overdue(waiting, state, _NOW)
        self.assertEqual(['c'], found)

    def test_yields(self) -> None:
        """Guards against a late request that takes an urgent one's server."""
        others = (api.Waiting(0, 3, 0, 0.0),)
        state = _state(others=others)
        self.assertTrue(admission.yields(True, 0, state))
        self.assertTrue(admission.yields(False, 1, state))
        self.assertFalse(admission.yields(False, 0, state))
        # What was reported 0.4 s ago has started by now.
        old = state._replace(others_seconds=0.4)
        self.assertFalse(admission.yields(True, 0, old))


class BacklogTest(unittest.TestCase):
    """The drain rate, and the sums of the owner."""

    def test_burst_begins(self) -> None:
        """Guards against the low rate of completions before a burst."""
        pool = backlog.PoolBacklog()
        for number in range(20):
            pool.on_completed(0.1, _NOW + number / 2)
        for _ in range(24):
            pool.on_started()
        drain = pool.state({}, 0, _NOW + 9.5).drain
        assert drain is not None
        self.assertAlmostEqual(240.0, drain, 3)

    def test_old_figures_of_others(self) -> None:
        """Guards against a backlog that others reported seconds ago."""
        pool = backlog.PoolBacklog()
        figures = api.Figures(5.0, 5.0, 5, (api.Waiting(0, 9, 0, 1.0),))
        pool.on_others(figures, _NOW)
        self.assertEqual(9, pool.state({}, 0, _NOW + 1.0).waiting)
        self.assertEqual(0, pool.state({}, 0, _NOW + 2.1).waiting)

    def test_own_figures_are_left_out(self) -> None:
        """Guards against counting an instance's own requests twice."""
        totals, pool = backlog.Totals(), api.Pool('s', 'm')
        for member, count in (('a', 3), ('b', 4)):
            rows = (api.Waiting(0, count, 1, 1.0),)
            figures = api.Figures(1.0, 2.0, count, rows)
            totals.on_load(member, {pool: figures}, _NOW)
        found = totals.others('a', _NOW)[pool]
        self.assertEqual(4, found.running)
        self.assertEqual(4, found.waiting[0].on_time)

    def test_false_figures(self) -> None:
        """Guards against figures that no instance can have."""
        totals, pool = backlog.Totals(), api.Pool('s', 'm')
        for value in (-1.0, float('nan'), float('inf'), 1e9):
            totals.on_load('a', {pool: api.Figures(value)}, _NOW)
            self.assertEqual({}, totals.others('a', _NOW))
