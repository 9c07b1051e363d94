"""Tests of what an instance takes while it is stopped."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from dogwoodquay.routes import api as routes_api
from dogwoodquay.stopping import durations
from dogwoodquay.stopping import intake
from dogwoodquay.stopping import plan
from tests.unit.gateway import loopback

Kind = routes_api.RouteKind

_OFFERS = strategies.builds(
    intake.Offer,
    deadline=strategies.floats(10.0, 20.0),
    likely_end=strategies.floats(0.0, 10.0),
    streaming=strategies.booleans(),
    repeatable=strategies.booleans(),
)
_ENDS = strategies.floats(0.0, 20.0)


class AdmitsTest(unittest.TestCase):
    """Requests by the step of the stop."""

    @hypothesis.given(_OFFERS, _ENDS)
    def test_may_be_lost(self, offer: intake.Offer, ends_at: float) -> None:
        """What runs once is taken in a stop only if it ends in time."""
        for step in (intake.Leaving(ends_at), intake.Draining(ends_at)):
            if intake.admits(step, offer) and not offer.repeatable:
                self.assertLessEqual(offer.likely_end, ends_at)

    @hypothesis.given(_OFFERS, _ENDS)
    def test_no_more_than_before(
        self, offer: intake.Offer, ends_at: float
    ) -> None:
        """Each step takes no more than the one before."""
        taken = [
            intake.admits(step, offer)
            for step in (
                intake.Serving(),
                intake.Leaving(ends_at),
                intake.Draining(ends_at),
            )
        ]
        self.assertEqual(sorted(taken, reverse=True), taken)
        self.assertTrue(taken[0])

    def test_repeatable(self) -> None:
        """While callers still come, what may be repeated is taken."""
        offer = intake.Offer(9.0, 9.0, streaming=False, repeatable=True)
        self.assertTrue(intake.admits(intake.Leaving(5.0), offer))
        self.assertFalse(intake.admits(intake.Draining(5.0), offer))


class LearnedTest(unittest.TestCase):
    """Requests of a route whose requests end long before their deadlines."""

    def setUp(self) -> None:
        """Begin a stop that ends in five seconds."""
        self.intake = intake.Intake()
        self.intake.leave(5.0)

    def _end(self, seconds: float) -> None:
        number = self.intake.durations.begin('r', -seconds)
        self.intake.durations.end('r', number, 0.0, sent=True)

    def _admits(self, now: float = 0.0) -> bool:
        route = loopback.route(kind=Kind.STREAMING, resumable=False)
        return self.intake.admits(route, 20.0, now)

    def test_few_requests(self) -> None:
        """The deadline counts until there are enough."""
        for _ in range(durations.MIN_REQUESTS - 1):
            self._end(1.0)
        self.assertFalse(self._admits())
        self._end(1.0)
        self.assertTrue(self._admits())
        self.assertFalse(self._admits(now=4.1))

    def test_one_long_request(self) -> None:
        """The longest counts, as long as it is one of the last."""
        self._end(6.0)
        for _ in range(durations.KEPT_REQUESTS - 1):
            self._end(1.0)
        self.assertFalse(self._admits())
        self._end(1.0)
        self.assertTrue(self._admits())

    def test_longer_one_in_flight(self) -> None:
        """It shows that requests may last longer than those that ended."""
        for _ in range(durations.MIN_REQUESTS):
            self._end(1.0)
        number = self.intake.durations.begin('r', -2.0)
        self.assertFalse(self._admits())
        self.intake.durations.end('r', number, 0.0, sent=False)
        self.assertTrue(self._admits())

    def test_removed_by_the_balancer(self) -> None:
        """The deadline alone counts for what comes late."""
        for _ in range(durations.KEPT_REQUESTS):
            self._end(0.1)
        self.intake.drain(5.0)
        route = loopback.route()
        self.assertFalse(self.intake.admits(route, 5.1, 0.0))
        self.assertTrue(self.intake.admits(route, 5.0, 0.0))

    def test_undeclared_route(self) -> None:
        """Another route may have its name later."""
        for _ in range(durations.KEPT_REQUESTS):
            self._end(0.1)
        number = self.intake.durations.begin('r', -9.0)
        self.intake.durations.keep_only({'other'})
        self.assertFalse(self._admits())
        self._end(0.1)
        self.intake.durations.end('r', number, 0.0, sent=True)
        for _ in range(durations.MIN_REQUESTS - 2):
            self._end(0.1)
        self.assertFalse(self._admits())


class PlanTest(unittest.TestCase):
    """The order of the steps."""

    @hypothesis.given(strategies.floats(0.0, 100.0))
    def test_order(self, seconds: float) -> None:
        """Short stops leave out the wait for the load balancer."""
        found = plan.plan_stop(7.0, seconds)
        self.assertLessEqual(7.0, found.removed_at)
        self.assertLessEqual(found.removed_at, found.ends_at)
        if seconds >= 2 * plan.STOP_MARGIN_SECONDS:
            left = 7.0 + seconds - found.ends_at
            self.assertLess(plan.ANSWER_SECONDS, left)


if __name__ == '__main__':
    unittest.main()
