"""Tests of the clocks."""

from __future__ import annotations

import unittest

from dogwoodquay import clock


class ManualClockTest(unittest.TestCase):
    """Tests of the clock for tests."""

    def test_moves_only_when_advanced(self) -> None:
        """Readings do not move the clock; ``advance`` does."""
        subject = clock.ManualClock(5.0)
        self.assertEqual(5.0, subject.now())
        subject.advance(2.5)
        self.assertEqual(7.5, subject.now())

    def test_cannot_be_moved_back(self) -> None:
        """A negative number of seconds is an error."""
        with self.assertRaises(ValueError):
            clock.ManualClock().advance(-0.1)


class SystemClockTest(unittest.TestCase):
    """Tests of the system time."""

    def test_never_decreases(self) -> None:
        """Successive readings do not decrease."""
        subject = clock.SystemClock()
        readings = [subject.now() for _ in range(100)]
        self.assertEqual(sorted(readings), readings)
