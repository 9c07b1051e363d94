"""Tests of the waits for permits, and of when callers come back."""

from __future__ import annotations

import unittest

from dogwoodquay.ratelimit import api
from dogwoodquay.ratelimit import core
from dogwoodquay.ratelimit import fallback
from dogwoodquay.ratelimit import returns
from dogwoodquay.ratelimit import waits

_SERVERS = [api.ServerKey(f's{number}', 1) for number in range(2)]


class BacklogTest(unittest.TestCase):
    """The wait follows from the limits and from those who wait."""

    def test_seconds(self) -> None:
        """Permits that are there are used at once, others come in turn."""
        subject = waits.Backlog(5.0, 4, 1)
        self.assertEqual(0.0, subject.seconds(0))
        self.assertEqual(1.0, subject.seconds(1))
        self.assertEqual(1.2, subject.seconds(2))

    def test_longest_wait(self) -> None:
        """Few permits are waited for, however short the objective is."""
        self.assertEqual(0.5, waits.Backlog(30.0, 0, 0).longest_wait(0.2))
        self.assertEqual(3.0, waits.Backlog(1.0, 0, 0).longest_wait(0.2))
        self.assertEqual(4.0, waits.Backlog(30.0, 0, 0).longest_wait(4.0))

    def test_own_rate(self) -> None:
        """The part of an instance follows from what others want."""
        self.assertEqual(6.0, waits.Backlog(6.0, 0, 0).own_rate(5))
        self.assertEqual(2.0, waits.Backlog(6.0, 4, 0).own_rate(1))

    def test_less_urgent_wants(self) -> None:
        """What others want less urgently holds no request up."""
        limits = core.RateLimits('a', 0.0)
        limits.on_answer(_SERVERS[0], 2.0, 0.0, 1.0)
        waiting = ((0, 1), (2, 9))
        limits.on_grants([api.Grant(_SERVERS[0], 0, waiting)], 1.0, 1.0)
        for priority, expected in ((0, 1), (1, 1), (2, 10)):
            backlog = waits.Backlog.of(limits, _SERVERS[:1], priority, 1.0)
            self.assertEqual(expected, backlog.waiting)


class WantsTest(unittest.TestCase):
    """Waiting requests ask for permits."""

    def test_spread_by_limits(self) -> None:
        """Each request counts once, more of them at higher limits."""
        limits = core.RateLimits('a', 0.0)
        for server, rate in zip(_SERVERS, (2.0, 4.0), strict=True):
            limits.on_answer(server, rate, 0.0, 1.0)
        wants = waits.spread_wants([(1, _SERVERS)] * 6, limits, 0, 1.0)
        self.assertEqual(
            {_SERVERS[0]: 2, _SERVERS[1]: 4},
            {want.server: want.permits for want in wants},
        )

    def test_equal_servers_take_turns(self) -> None:
        """Instances with one request each do not all ask for one server."""
        limits = core.RateLimits('a', 0.0)
        for server in _SERVERS:
            limits.on_answer(server, 2.0, 0.0, 1.0)
        asked = {
            waits.spread_wants([(1, _SERVERS)], limits, turn, 1.0)[0].server
            for turn in range(2)
        }
        self.assertEqual(set(_SERVERS), asked)
        limits.on_grants([api.Grant(_SERVERS[0], 0, ((5, 1),))], 1.0, 1.0)
        for turn in range(2):
            wants = waits.spread_wants([(1, _SERVERS)], limits, turn, 1.0)
            self.assertEqual(_SERVERS[1], wants[0].server)

    def test_permits_at_hand(self) -> None:
        """Requests for which there are permits want none."""
        limits = core.RateLimits('a', 0.0)
        limits.on_answer(_SERVERS[0], 2.0, 0.0, 1.0)
        limits.on_grants([api.Grant(_SERVERS[0], 1)], 1.0, 1.0)
        requests = [(0, _SERVERS[:1]), (2, _SERVERS[:1])]
        self.assertEqual(
            [api.Want(_SERVERS[0], 2, 1)],
            waits.spread_wants(requests, limits, 0, 1.1),
        )


class ReturnTimesTest(unittest.TestCase):
    """Refused callers come back one after the other."""

    def test_later_ones(self) -> None:
        """The pace is the rate, up to a longest time."""
        subject = returns.ReturnTimes()
        pauses = [subject.next('s', 2.0, 1.0, 10.0) for _ in range(40)]
        self.assertEqual([1.0, 1.5, 2.0], pauses[:3])
        self.assertEqual(returns.MAX_SECONDS, pauses[-1])
        self.assertAlmostEqual(
            returns.MIN_SECONDS, subject.next('s', 2.0, 0.0, 90.0)
        )


class FallbackTest(unittest.TestCase):
    """Without an owner one instance goes on for each server."""

    def test_one_of_all(self) -> None:
        """All instances name the same one."""
        members = [f'front-{number}' for number in range(9)]
        chosen = fallback.designated(_SERVERS[0], members)
        self.assertIn(chosen, members)
        self.assertEqual(
            chosen, fallback.designated(_SERVERS[0], reversed(members))
        )
        self.assertEqual('', fallback.designated(_SERVERS[0], ()))

    def test_pace(self) -> None:
        """The designated instance sends one request at a time."""
        subject = core.RateLimits('a', 0.0)
        subject.update_members(['a'])
        subject.on_answer(_SERVERS[0], 8.0, 0.0, 0.5)
        self.assertFalse(subject.available(_SERVERS[0], 0.9))
        sent = []
        for step in range(110, 600):
            if subject.available(_SERVERS[0], step / 100):
                subject.take(_SERVERS[0], step / 100)
                sent.append(step / 100)
        self.assertEqual([2.1, 3.1, 4.1, 5.1], sent)
        subject.on_grants([], 6.0, 6.0)
        self.assertFalse(subject.available(_SERVERS[0], 6.1))

    def test_others(self) -> None:
        """An instance that is not designated sends nothing."""
        subject = core.RateLimits('b', 0.0)
        subject.update_members(['a'])
        subject.on_answer(_SERVERS[0], 8.0, 0.0, 0.5)
        self.assertFalse(subject.available(_SERVERS[0], 60.0))
