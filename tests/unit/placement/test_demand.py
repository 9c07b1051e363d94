"""Tests of the demand estimates."""

from __future__ import annotations

import random
import unittest

from dogwoodquay.placement import demand


def _total_rate(subjects: list[demand.DemandEstimator], now: float) -> float:
    merged = demand.merge(subject.report(now) for subject in subjects)
    return sum(item.requests_per_second for item in merged)


def _arrivals(
    rng: random.Random, rate: float, start: float, end: float
) -> list[float]:
    """Return the arrival times of a Poisson process."""
    times = []
    now = start + rng.expovariate(rate)
    while now < end:
        times.append(now)
        now += rng.expovariate(rate)
    return times


class RiseTest(unittest.TestCase):
    """The estimate while demand rises tenfold within a minute."""

    def test_estimate_follows_within_ten_seconds(self) -> None:
        """Then the estimate is above three quarters of the new rate."""
        rng = random.Random(5)
        subjects = [demand.DemandEstimator(f'i{n}', 0.0) for n in range(6)]
        for start in range(0, 300, 5):
            ramp = min(1.0, max(0.0, (start - 200) / 60.0))
            rate = 3.0 * 10.0**ramp
            for at in _arrivals(rng, rate, start, start + 5):
                rng.choice(subjects).record_arrival('m@1', at)
            if start == 265:
                self.assertGreater(_total_rate(subjects, 270.0), 0.75 * 30.0)


class NoiseTest(unittest.TestCase):
    """The estimate of constant demand with random arrivals."""

    def test_constant_demand_is_not_overestimated(self) -> None:
        """The mean is near the true rate, and high outliers are rare."""
        rng = random.Random(6)
        subjects = [demand.DemandEstimator(f'i{n}', 0.0) for n in range(6)]
        seen = []
        for start in range(0, 600, 2):
            for at in _arrivals(rng, 5.0, start, start + 2):
                rng.choice(subjects).record_arrival('m@1', at)
            if start > 120:
                seen.append(_total_rate(subjects, start + 2.0))
        mean = sum(seen) / len(seen)
        self.assertGreater(mean, 4.5)
        self.assertLess(mean, 5.5)
        jumps = sum(rate > 7.5 for rate in seen)
        self.assertLess(jumps, len(seen) * 0.05)


class MergeTest(unittest.TestCase):
    """The sum of the instances' reports."""

    def test_queued_requests_count_as_demand(self) -> None:
        """An artifact with queued requests but no arrivals is reported."""
        subjects = [demand.DemandEstimator(f'i{n}', 0.0) for n in range(2)]
        for subject in subjects:
            subject.set_waiting('m@1', 3, 0.0)
        merged = demand.merge(subject.report(1.0) for subject in subjects)
        self.assertEqual([6], [item.waiting for item in merged])

    def test_artifacts_without_demand_are_not_reported(self) -> None:
        """An artifact is dropped once its rates are negligible."""
        subject = demand.DemandEstimator('i0', 0.0)
        subject.record_arrival('m@1', 0.0)
        self.assertEqual(1, len(subject.report(1.0).entries))
        self.assertEqual((), subject.report(1000.0).entries)
