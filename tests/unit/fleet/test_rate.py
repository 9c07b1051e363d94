"""Tests of decaying rates."""

from __future__ import annotations

import unittest

from dogwoodquay.fleet import rate


class DecayingRateTest(unittest.TestCase):
    """The rate follows the events of the last seconds."""

    def test_steady(self) -> None:
        """Evenly spaced events result in their rate."""
        subject = rate.DecayingRate()
        for number in range(200):
            subject.add(number * 0.1)
        self.assertAlmostEqual(10.0, subject.at(20.0), delta=0.5)

    def test_decays(self) -> None:
        """Without events the rate decays exponentially."""
        subject = rate.DecayingRate()
        subject.add(1.0)
        first = subject.at(1.0)
        self.assertLess(subject.at(1.0 + rate.DECAY_SECONDS), first / 2)
        self.assertEqual(rate.decayed(first, 3.0), subject.at(4.0))
