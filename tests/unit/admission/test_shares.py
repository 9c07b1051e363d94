"""Tests of the instances' shares of an allowance."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from dogwoodquay.admission import shares

_INSTANCES = 4


def _estimators() -> list[shares.ShareEstimator]:
    return [
        shares.ShareEstimator(f'i{number}', 1) for number in range(_INSTANCES)
    ]


class DelayedReportTest(unittest.TestCase):
    """Reports that arrive late, but within the window."""

    @hypothesis.given(
        strategies.lists(
            strategies.lists(
                strategies.integers(0, 40),
                min_size=_INSTANCES,
                max_size=_INSTANCES,
            ),
            min_size=4,
            max_size=12,
        ),
        strategies.integers(0, 1_000_000),
    )
    def test_shares_never_exceed_the_allowance(
        self, steps: list[list[int]], lags: int
    ) -> None:
        """Demand moves between instances while reports are delayed."""
        subjects = _estimators()
        due: list[tuple[float, int, shares.UsageReport]] = []
        for step, demands in enumerate(steps):
            now = float(step)
            for number, demand in enumerate(demands):
                for _ in range(demand):
                    subjects[number].record_request('c', now)
                report = subjects[number].report(now)
                for other in range(_INSTANCES):
                    lag = (lags >> (2 * other + number)) % 3
                    due.append((now + lag, other, report))
            for at, other, report in due:
                if at == now:
                    subjects[other].receive(report, now)
            if step >= 3:
                total = sum(item.share('c', now) for item in subjects)
                self.assertLessEqual(total, 1.0 + 1e-9)

    def test_share_follows_demand(self) -> None:
        """The only instance with demand gets most of the allowance."""
        subjects = _estimators()
        for step in range(20):
            for _ in range(20):
                subjects[0].record_request('c', step)
            for item in [subject.report(step) for subject in subjects]:
                for subject in subjects:
                    subject.receive(item, step)
        self.assertGreater(subjects[0].share('c', 19.0), 0.8)

    def test_an_older_report_is_ignored(self) -> None:
        """Reports may arrive out of order."""
        subject = shares.ShareEstimator('i0', 1)
        subject.receive(shares.UsageReport('i1', 1, 5, {'c': 9.0}), 0.0)
        before = subject.share('c', 0.0)
        subject.receive(shares.UsageReport('i1', 1, 4, {'c': 0.0}), 0.0)
        self.assertEqual(before, subject.share('c', 0.0))

    def test_a_silent_instance_keeps_its_share_until_the_timeout(
        self,
    ) -> None:
        """A disconnected instance may still be using its share."""
        subject = shares.ShareEstimator('i0', 1)
        subject.report(0.0)
        subject.receive(shares.UsageReport('i1', 1, 1, {'c': 0.0}), 0.0)
        self.assertAlmostEqual(0.5, subject.share('c', 50.0))
        subject.report(61.0)
        self.assertAlmostEqual(1.0, subject.share('c', 61.0))
