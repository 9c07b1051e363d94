"""Tests of what a layout is worth."""

from __future__ import annotations

import unittest

from dogwoodquay.residency import layout

Demand = layout.Demand


def _layout(**demand: Demand) -> layout.Layout:
    return layout.Layout(demand, 64, layout.LayoutSettings())


class CopiesTest(unittest.TestCase):
    """A further copy is worth what it takes off the others."""

    def test_less_with_each(self) -> None:
        """The first copy serves, the next ones make it faster."""
        subject = _layout(hot=Demand(40.0, 60, 0, 0.0))
        gains = [subject.add('hot', f's{number}') for number in range(5)]
        self.assertEqual(sorted(gains, reverse=True), gains)
        self.assertGreater(gains[1], 0.0)

    def test_back_and_forth(self) -> None:
        """Removing a copy loses what adding it gained."""
        subject = _layout(
            hot=Demand(40.0, 60, 50, 0.0), warm=Demand(9.0, 9, 0, 0.0)
        )
        subject.add('warm', 's1')
        for server_id in ('s1', 's2'):
            gain = subject.add('hot', server_id)
            loss = subject.remove('hot', server_id)
            self.assertAlmostEqual(gain, -loss)
            subject.add('hot', server_id)

    def test_idle_server_is_better(self) -> None:
        """A copy helps more where little else is asked for."""
        subject = _layout(
            hot=Demand(30.0, 45, 0, 0.0), warm=Demand(20.0, 30, 0, 0.0)
        )
        subject.add('hot', 's1')
        subject.add('warm', 's2')
        busy = subject.add('hot', 's2')
        subject.remove('hot', 's2')
        idle = subject.add('hot', 's3')
        self.assertGreater(idle, busy)

    def test_second_copy_for_a_few_waiting(self) -> None:
        """One copy is enough for a few who wait, not for a crowd."""
        few = _layout(rare=Demand(0.4, 0, 6, 2.0))
        few.add('rare', 's1')
        self.assertLess(few.add('rare', 's2'), 1.0)
        crowd = _layout(rare=Demand(0.4, 0, 60, 2.0))
        crowd.add('rare', 's1')
        self.assertGreater(crowd.add('rare', 's2'), 20.0)


class OnlyCopyTest(unittest.TestCase):
    """No model is dropped to make others faster."""

    def test_overloaded_server(self) -> None:
        """Even where that would relieve a crowded server."""
        subject = _layout(
            hot=Demand(40.0, 60, 0, 0.0), warm=Demand(10.0, 15, 0, 0.0)
        )
        subject.add('hot', 's1')
        subject.add('warm', 's1')
        self.assertLess(subject.remove('warm', 's1'), 0.0)

    def test_callers_with_time(self) -> None:
        """A model that can be brought back in time costs less."""
        urgent = _layout(m=Demand(1.0, 0, 0, 0.0, 0.25))
        patient = _layout(m=Demand(1.0, 0, 0, 0.0, 3.0))
        for subject in (urgent, patient):
            subject.add('m', 's1')
        self.assertLess(urgent.remove('m', 's1'), patient.remove('m', 's1'))
