"""Tests of one instance's part in the quotas of tenants."""

from __future__ import annotations

import math
import random
import unittest

from dogwoodquay.allotments import api
from dogwoodquay.allotments import core
from dogwoodquay.allotments import fairness
from dogwoodquay.tenants import api as tenants_api

_TENANT = tenants_api.Tenant('acme', (), None, 10.0, 10.0)


class AllotmentsTest(unittest.TestCase):
    """An instance that is the owner, and its only follower."""

    def setUp(self) -> None:
        """Configure a tenant whose account is full."""
        self.subject = core.Allotments(api.Bounds(), random.Random(1), 0.0)
        self.subject.configure([_TENANT], 0.0)
        self.subject.on_owner(True, 0.0)
        self.exchange(20.0)

    def exchange(self, now: float, *odd: api.Usage) -> api.Account | None:
        """Send the load and apply the view."""
        rows = [*self.subject.load_rows(now), *odd]
        self.dropped = self.subject.on_load('a', rows, now, now)
        view = self.subject.view_rows('a', now)
        assert view is not None
        self.subject.on_view(view, 1, now)
        return view[0] if view else None

    def admitted(self, count: int, now: float) -> int:
        """Return how many of some requests of one unit are admitted."""
        decisions = [self.subject.admit('acme', 1, now) for _ in range(count)]
        return sum(isinstance(item, api.Admitted) for item in decisions)

    def test_clock_not_moving(self) -> None:
        """Guards against divisions by no time and refills out of nothing."""
        for _ in range(20):
            self.admitted(10, 20.0)
            self.exchange(20.0)
        self.assertEqual(0, self.admitted(10, 20.0))
        self.exchange(19.0)
        self.assertEqual(0, self.admitted(10, 19.0))

    def test_refund(self) -> None:
        """Guards against units lost with requests that did not run."""
        self.assertEqual(5, self.admitted(5, 20.0))
        self.exchange(20.0)
        for _ in range(5):
            self.subject.refund('acme', 1)
        account = self.exchange(20.0)
        assert account is not None
        self.assertEqual(10.0, account.level)

    def test_odd_rows(self) -> None:
        """Guards against false figures of a peer in the account."""
        self.admitted(1, 20.0)
        odd = [
            api.Usage('acme', *figures)
            for figures in (
                (math.nan, 1.0, 1.0),
                (math.inf, math.inf, 0.0),
                (1.0, 2.0, 0.0),
                (-1.0, -2.0, 0.0),
                (5.0, 5.0, math.nan),
                (5.0, 5.0, 6.0),
            )
        ]
        account = self.exchange(20.0, *odd, api.Usage('unknown', 9, 9, 9))
        assert account is not None
        self.assertEqual((6, 9.0), (self.dropped, account.level))
        dropped = self.subject.on_view(
            [api.Account('acme', math.nan, 1.0, 1.0)], 1, 20.0
        )
        self.assertEqual(1, dropped)
        self.assertEqual(1, self.admitted(1, 20.0))
        for level in (-1e9, 0.0, 1e9):
            self.subject.on_view([api.Account('acme', level, 0, 0)], 1, 20.0)
            self.assertEqual(level >= 0.0, self.admitted(1, 20.0) == 1)

    def test_alone_from_the_start(self) -> None:
        """Guards against a burst from each instance that knows no other."""
        subject = core.Allotments(api.Bounds(), random.Random(1), 0.0)
        subject.configure([_TENANT], 0.0)
        decisions = [subject.admit('acme', 1, 2.0) for _ in range(50)]
        admitted = sum(isinstance(item, api.Admitted) for item in decisions)
        self.assertLessEqual(admitted, 1)

    def test_owner_without_the_tenant(self) -> None:
        """Guards against no limit at all while the owner's version is old."""
        admitted = 0
        for number in range(20):
            now = 20.0 + 0.1 * number
            admitted += self.admitted(10, now)
            self.subject.load_rows(now)
            self.subject.on_view((), 1, now)
        # A burst, 2 s of refill, a debt of one horizon and a last request;
        # without a limit it would be 200.
        self.assertLessEqual(admitted, 10 + 20 + 6 + 1)

    def test_unlimited(self) -> None:
        """Guards against limits for tenants that have none any more."""
        self.admitted(50, 20.0)
        self.assertEqual({'acme'}, self.subject.limited(20.0))
        self.subject.configure([_TENANT._replace(rate=None)], 20.0)
        self.assertEqual(50, self.admitted(50, 20.0))
        self.assertEqual(set(), self.subject.limited(20.0))

    def test_idle_tenants_send_nothing(self) -> None:
        """Guards against rows for tenants without traffic."""
        self.admitted(1, 20.0)
        self.assertIsNotNone(self.exchange(21.0))
        self.assertIsNone(self.exchange(24.0))
        self.assertEqual([], self.subject.load_rows(24.0))


class FairOrderTest(unittest.TestCase):
    """Requests of several tenants wait in one queue."""

    def test_flood_of_one(self) -> None:
        """Guards against one tenant whose backlog is served first."""
        subject = fairness.FairOrder()
        waiting = [(subject.tag('large', 1, 1), 'large') for _ in range(50)]
        waiting += [(subject.tag('small', 1, 1), 'small') for _ in range(5)]
        first = [name for _, name in sorted(waiting)[:10]]
        self.assertEqual(5, first.count('small'))

    def test_weights(self) -> None:
        """Guards against equal shares for unequal quotas."""
        subject = fairness.FairOrder()
        waiting = [(subject.tag('a', 1, 3), 'a') for _ in range(40)]
        waiting += [(subject.tag('b', 1, 1), 'b') for _ in range(40)]
        first = [name for _, name in sorted(waiting)[:20]]
        self.assertEqual(15, first.count('a'))

    def test_no_credit_for_idle_time(self) -> None:
        """Guards against a tenant that saves up its share."""
        subject = fairness.FairOrder()
        for _ in range(9):
            subject.served(subject.tag('a', 1, 1))
        self.assertEqual(8.0, subject.tag('b', 1, 1))

    def test_withdrawn(self) -> None:
        """Guards against a tenant that pays for what was not served."""
        subject = fairness.FairOrder()
        for _ in range(9):
            subject.tag('a', 1, 1)
            subject.withdrawn('a', 1, 1)
        self.assertEqual(0.0, subject.tag('a', 1, 1))

    def test_bounded(self) -> None:
        """Guards against memory for each name that was ever seen."""
        subject = fairness.FairOrder()
        for number in range(3 * fairness.MAX_FLOWS):
            subject.tag(f'{number}', 1, 1)
        self.assertLessEqual(len(subject._finish), fairness.MAX_FLOWS)
