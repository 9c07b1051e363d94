"""Tests of what an instance takes while it is stopped."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from dogwoodquay.stopping import intake
from dogwoodquay.stopping import plan

_OFFERS = strategies.builds(
    intake.Offer,
    deadline=strategies.floats(0.0, 20.0),
    streaming=strategies.booleans(),
    repeatable=strategies.booleans(),
)
_ENDS = strategies.floats(0.0, 20.0)


class AdmitsTest(unittest.TestCase):
    """Requests by the step of the stop."""

    @hypothesis.given(_OFFERS, _ENDS)
    def test_may_be_lost(self, offer: intake.Offer, ends_at: float) -> None:
        """What runs once is taken in a stop only if it ends in time."""
        for phase in (intake.Leaving(ends_at), intake.Draining(ends_at)):
            if intake.admits(phase, offer) and not offer.repeatable:
                self.assertLessEqual(offer.deadline, ends_at)

    @hypothesis.given(_OFFERS, _ENDS)
    def test_no_more_than_before(
        self, offer: intake.Offer, ends_at: float
    ) -> None:
        """Each step takes no more than the one before."""
        taken = [
            intake.admits(phase, offer)
            for phase in (
                intake.Serving(),
                intake.Leaving(ends_at),
                intake.Draining(ends_at),
            )
        ]
        self.assertEqual(sorted(taken, reverse=True), taken)
        self.assertTrue(taken[0])

    def test_repeatable(self) -> None:
        """While callers still come, what may be repeated is taken."""
        offer = intake.Offer(9.0, streaming=False, repeatable=True)
        self.assertTrue(intake.admits(intake.Leaving(5.0), offer))
        self.assertFalse(intake.admits(intake.Draining(5.0), offer))


class PlanTest(unittest.TestCase):
    """The order of the steps."""

    @hypothesis.given(strategies.floats(0.0, 100.0))
    def test_order(self, seconds: float) -> None:
        """Short stops leave out the wait for the load balancer."""
        found = plan.plan_stop(7.0, seconds)
        self.assertLessEqual(7.0, found.removed_at)
        self.assertLessEqual(found.removed_at, found.ends_at)
        if seconds >= plan.STOP_MARGIN_SECONDS:
            left = 7.0 + seconds - found.ends_at
            self.assertLess(plan.ANSWER_SECONDS, left)


if __name__ == '__main__':
    unittest.main()
