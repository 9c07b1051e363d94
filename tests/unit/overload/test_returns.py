"""Tests of when refused callers come back."""

from __future__ import annotations

import unittest

from dogwoodquay.overload import api
from dogwoodquay.overload import returns

_POOL = api.Pool('s')
_CALLER = '0123456789abcdef01234567'
_NOW = 100.0


class ReturnPlanTest(unittest.TestCase):
    """Callers of a pool come back at the rate at which it drains."""

    def test_spread(self) -> None:
        """Guards against callers that return together into a full queue."""
        plan = returns.ReturnPlan()
        times = [
            plan.seconds(_POOL, 10.0, 0.5, 9.0, 0.1, _NOW) for _ in range(4)
        ]
        self.assertEqual(
            [0.5, 0.6, 0.7, 0.8], [round(t or 0, 3) for t in times]
        )

    def test_bounds(self) -> None:
        """Guards against times that callers ignore or cannot use."""
        plan = returns.ReturnPlan()
        least = plan.seconds(_POOL, 1e9, 0.0, 9.0, 0.1, _NOW)
        self.assertAlmostEqual(0.1, least or 0.0)
        most = plan.seconds(_POOL, 10.0, 7.0, 9.0, 0.1, _NOW)
        self.assertAlmostEqual(3.0, most or 0.0)
        self.assertIsNone(plan.seconds(_POOL, 10.0, 7.0, 9.0, 7.0, _NOW))
        self.assertIsNone(plan.seconds(_POOL, 10.0, 0.0, 0.2, 0.1, _NOW))


class TurnsTest(unittest.TestCase):
    """A caller comes back to another instance than the one that refused."""

    def setUp(self) -> None:
        """Create two instances, the first one is the owner."""
        self.owner, self.other = returns.Turns(), returns.Turns()
        self.turn = returns.Turn(_NOW + 1.0, _NOW + 2.0, _NOW - 0.5)
        self.owner.add(_CALLER, self.turn)
        self.owner.on_load(self.owner.load_rows(_NOW), _NOW)
        self.other.on_view(self.owner.view_rows('b', _NOW), _NOW)

    def test_in_turn(self) -> None:
        """Guards against a turn that counts twice or is not passed on."""
        self.assertEqual(self.turn, self.other.take(_CALLER, _NOW + 1.5))
        self.assertIsNone(self.other.take(_CALLER, _NOW + 1.5))
        self.assertEqual(b'', self.owner.view_rows('b', _NOW))

    def test_early(self) -> None:
        """Guards against a caller that loses its turn by coming early."""
        for at in (0.5, 1.0):
            found = self.other.take(_CALLER, _NOW + at)
            self.assertEqual(self.turn, found)

    def test_too_late(self) -> None:
        """Guards against turns that last."""
        self.assertIsNone(self.other.take(_CALLER, _NOW + 2.5))

    def test_bounded(self) -> None:
        """Guards against tables that grow with each refusal, or bad rows."""
        turn = returns.Turn(_NOW, _NOW + 9.0, _NOW)
        for number in range(returns.MAX_TURNS + 10):
            self.owner.add(f'{number:024x}'[::-1], turn)
        self.assertLessEqual(len(self.owner), returns.MAX_TURNS)
        self.assertLess(len(self.owner.load_rows(_NOW)), 20_000)
        self.other.on_view(b'odd', _NOW)
        self.assertIsNone(self.other.take('', _NOW))
        self.assertIsNone(self.other.take('no digest', _NOW))
