"""Tests of giving out permits."""

from __future__ import annotations

import unittest

from dogwoodquay.ratelimit import api
from dogwoodquay.ratelimit import grants
from dogwoodquay.ratelimit import permits

_SERVER = api.ServerKey('s', 1)


class PermitsTest(unittest.TestCase):
    """An instance uses permits before their deadlines."""

    def test_expired(self) -> None:
        """Expired permits are gone."""
        subject = permits.Permits()
        subject.add(_SERVER, 2, 5.0)
        subject.add(_SERVER, 1, 6.0)
        self.assertTrue(subject.take(_SERVER, 4.9))
        self.assertEqual(1, subject.count(_SERVER, 5.0))
        self.assertTrue(subject.take(_SERVER, 5.5))
        self.assertFalse(subject.take(_SERVER, 5.5))


class GranterTest(unittest.TestCase):
    """The owner gives out permits at the rate of the limit."""

    def setUp(self) -> None:
        """Begin as the first owner, with a limit of 4 a second."""
        self.subject = grants.Granter()
        self.subject.begin((), 0.0)
        self.rate: float | None = 4.0

    def grant(
        self, member: str, now: float, count: int = 0, priority: int = 1
    ) -> tuple[int, int]:
        """Return an instance's permits, and what the others want."""
        self.subject.record_call(member, now, now)
        found = self.subject.grant(
            member,
            [api.Want(_SERVER, priority, count)],
            lambda _: self.rate,
            now,
        )
        assert found is not None
        if not found:
            return 0, 0
        return found[0].permits, sum(count for _, count in found[0].waiting)

    def test_rate(self) -> None:
        """Permits accrue with the time; few are saved up."""
        self.assertEqual((0, 0), self.grant('a', 0.0, 9))
        self.assertEqual((2, 0), self.grant('a', 0.5, 9))
        self.assertEqual((2, 0), self.grant('a', 60.0, 9))

    def test_not_limited(self) -> None:
        """No permits are given out for servers without a limit."""
        self.rate = None
        self.assertEqual((0, 0), self.grant('a', 0.0, 9))

    def test_urgent_wants_of_others(self) -> None:
        """Permits are left for more urgent requests elsewhere."""
        self.grant('a', 0.0, 1, priority=0)
        self.assertEqual((0, 1), self.grant('b', 0.25, 1, priority=2))
        self.assertEqual((1, 1), self.grant('a', 0.26, 1, priority=0))
        self.assertEqual((1, 0), self.grant('b', 0.5, 1, priority=2))

    def test_share_of_the_members(self) -> None:
        """A new owner leaves the parts of those who do not follow it."""
        self.subject.begin(('a', 'b', 'c', 'd'), 100.0)
        self.grant('a', 100.0)
        self.assertEqual(0.25, self.subject.share(100.0, 100.0))
        for member in 'bcd':
            self.grant(member, 100.1)
        self.assertEqual(1.0, self.subject.share(100.1, 100.1))

    def test_lost_member(self) -> None:
        """Its part is free again once the store has confirmed the owner."""
        self.grant('a', 0.0)
        self.grant('b', 0.0)
        self.grant('a', 2.0)
        self.assertEqual(0.5, self.subject.share(2.0, 2.0))
        later = api.MEMBER_SECONDS + 0.1
        self.grant('a', later)
        self.assertEqual(1.0, self.subject.share(later, later))

    def test_unconfirmed_owner(self) -> None:
        """It goes on while nobody is missing, and not for long otherwise."""
        later = api.CONFIRMED_SECONDS + 0.1
        for member in 'ab':
            self.grant(member, later)
        self.assertEqual(1.0, self.subject.share(0.0, later))
        self.grant('a', later + 1.0)
        self.assertEqual(0.0, self.subject.share(0.0, later + 1.0))
        forgotten = later + api.MEMBER_SECONDS
        self.subject.record_call('a', 0.0, forgotten)
        found = self.subject.grant('a', (), lambda _: 4.0, forgotten)
        self.assertIsNone(found)
