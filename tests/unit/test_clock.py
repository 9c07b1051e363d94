"""Tests of the clocks."""

from __future__ import annotations

import unittest

from dogwoodquay import clock


class ManualClockTest(unittest.TestCase):
    """The clock for tests."""

    def test_moves_only_when_told(self) -> None:
        """Reading does not move it, advancing does."""
        subject = clock.ManualClock(5.0)
        self.assertEqual(5.0, subject.now())
        subject.advance(2.5)
        self.assertEqual(7.5, subject.now())

    def test_does_not_go_back(self) -> None:
        """A negative step is refused."""
        with self.assertRaises(ValueError):
            clock.ManualClock().advance(-0.1)


class SystemClockTest(unittest.TestCase):
    """The machine's time."""

    def test_never_goes_back(self) -> None:
        """Successive readings do not fall."""
        subject = clock.SystemClock()
        readings = [subject.now() for _ in range(100)]
        self.assertEqual(sorted(readings), readings)
