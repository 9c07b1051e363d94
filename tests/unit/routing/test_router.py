"""Tests of the scoring router."""

from __future__ import annotations

import collections
import dataclasses
import random
import unittest

from dogwoodquay.routing import api
from dogwoodquay.routing import router
from tests.unit.routing import views


def _router(count: int = 4) -> router.ScoringRouter:
    subject = router.ScoringRouter('d0')
    subject.update_view(
        views.view([views.server(n) for n in range(count)]), 0.0
    )
    return subject


def _chosen(
    subject: router.ScoringRouter,
    request: api.RouteRequest,
    now: float,
    rng: random.Random,
) -> str:
    choice = subject.choose(request, now, rng)
    assert isinstance(choice, api.Choice)
    return choice.replica.server_id


def _spread(
    subject: router.ScoringRouter, count: int, now: float, seed: int = 1
) -> collections.Counter[str]:
    """Return where requests go that end at once."""
    rng = random.Random(seed)
    found: collections.Counter[str] = collections.Counter()
    for number in range(count):
        found[_chosen(subject, views.request(number), now, rng)] += 1
        subject.first_token(str(number), now + 0.05)
        subject.finished(str(number), True, now + 0.05)
    return found


class HerdingTest(unittest.TestCase):
    """Many instances with the same stale view."""

    def test_equal_views_do_not_pick_one_server(self) -> None:
        """One idle server among loaded ones does not get everything."""
        found: collections.Counter[str] = collections.Counter()
        for instance in range(200):
            subject = _router(8)
            for number in range(8):
                queued = 0 if number == 3 else 2
                load = views.report(0.0, queued)
                subject.update_load(f's{number}', load, 1.0)
            rng = random.Random(instance)
            for number in range(4):
                found[_chosen(subject, views.request(number), 1.0, rng)] += 1
        self.assertLess(found['s3'], 0.4 * 800)
        self.assertEqual(8, len(found))

    def test_old_reports_lose_their_weight(self) -> None:
        """A minute later a reported queue no longer counts."""
        subject = _router(2)
        subject.update_load('s0', views.report(0.0, 50), 0.0)
        subject.update_load('s1', views.report(0.0, 0), 0.0)
        self.assertEqual(0, _spread(subject, 100, 0.1)['s0'])
        self.assertGreater(_spread(subject, 100, 60.0)['s0'], 25)

    def test_own_requests_are_not_counted_twice(self) -> None:
        """A report that shows only own requests adds no others."""
        subject = _router(1)
        rng = random.Random(1)
        for number in range(10):
            subject.choose(views.request(number), 0.0, rng)
        before = subject.choose(views.request('x'), 1.0, rng)
        subject.finished('x', True, 1.0)
        subject.update_load('s0', views.report(0.5, 10), 1.0)
        after = subject.choose(views.request('y'), 1.0, rng)
        assert isinstance(before, api.Choice)
        assert isinstance(after, api.Choice)
        self.assertAlmostEqual(before.first_token_at, after.first_token_at)


class LoadTest(unittest.TestCase):
    """What the choice weighs."""

    def test_own_work_in_flight_is_spread(self) -> None:
        """Requests without a first token weigh on their server."""
        subject = _router(2)
        rng = random.Random(1)
        found = collections.Counter(
            _chosen(subject, views.request(n), 0.0, rng) for n in range(40)
        )
        self.assertEqual({'s0': 20, 's1': 20}, dict(found))

    def test_a_slow_server_gets_less(self) -> None:
        """Its first tokens come ten times later."""
        subject = _router(2)
        rng = random.Random(1)
        found: collections.Counter[str] = collections.Counter()
        for number in range(200):
            now = number * 0.1
            name = _chosen(subject, views.request(number), now, rng)
            found[name] += 1
            seconds = 1.0 if name == 's0' else 0.1
            subject.first_token(str(number), now + seconds)
            subject.finished(str(number), True, now + seconds)
        self.assertLess(found['s0'], 60)
        self.assertGreater(found['s0'], 0)

    def test_a_new_replica_starts_slowly(self) -> None:
        """It gets less at first, and its full part later."""
        for now, least in ((100.1, 24), (200.0, 19)):
            subject = _router(1)
            both = [views.server(0), views.server(3)]
            subject.update_view(views.view(both, 2), 100.0)
            rng = random.Random(1)
            found = collections.Counter(
                _chosen(subject, views.request(number), now, rng)
                for number in range(40)
            )
            self.assertIn(found['s0'], range(least, least + 8))


class CacheTest(unittest.TestCase):
    """Prompt prefixes that servers have cached."""

    def test_a_cached_prefix_attracts(self) -> None:
        """The server that holds it is among the candidates."""
        subject = _router(64)
        subject.update_cache('s9', views.stored('e', 0, (1, 2, 3, 4)), 0.0)
        request = views.request('r', hashes=(1, 2, 3, 4))
        name = _chosen(subject, request, 0.0, random.Random(1))
        self.assertEqual('s9', name)

    def test_never_queues_behind_a_hot_server(self) -> None:
        """A long queue outweighs the whole prompt."""
        subject = _router(64)
        subject.update_cache('s9', views.stored('e', 0, (1, 2, 3, 4)), 0.0)
        for number in range(64):
            load = views.report(0.0, 30 if number == 9 else 0)
            subject.update_load(f's{number}', load, 0.0)
        request = views.request('r', hashes=(1, 2, 3, 4))
        name = _chosen(subject, request, 0.0, random.Random(1))
        self.assertNotEqual('s9', name)


class EjectionTest(unittest.TestCase):
    """Servers that fail."""

    def _fail(
        self, subject: router.ScoringRouter, bad: set[str], now: float
    ) -> None:
        rng = random.Random(3)
        for number in range(300):
            name = _chosen(subject, views.request(number), now, rng)
            subject.finished(str(number), name not in bad, now)

    def test_a_failing_server_gets_nothing_and_then_a_probe(self) -> None:
        """It comes back after its time."""
        subject = _router(4)
        self._fail(subject, {'s1'}, 0.0)
        self.assertEqual(0, _spread(subject, 100, 1.0)['s1'])
        self.assertGreater(_spread(subject, 100, 6.0)['s1'], 0)

    def test_never_ejects_all(self) -> None:
        """When all fail, more than one still gets requests."""
        subject = _router(6)
        self._fail(subject, {f's{n}' for n in range(6)}, 0.0)
        self.assertGreaterEqual(len(_spread(subject, 100, 0.1)), 2)

    def test_one_replica_is_never_refused(self) -> None:
        """The only replica is used however it fails."""
        subject = _router(1)
        self._fail(subject, {'s0'}, 0.0)
        self.assertEqual({'s0': 100}, dict(_spread(subject, 100, 0.1)))


class AvailabilityTest(unittest.TestCase):
    """Who may get new work."""

    def test_leaving_and_withdrawing_servers_get_nothing(self) -> None:
        """Told by the view or by the instance list."""
        subject = router.ScoringRouter('d0')
        servers = [
            views.server(0),
            views.server(1, leaving=True),
            views.server(2, withdrawing=True),
            views.server(3, ready=False),
            views.server(4),
        ]
        subject.update_view(views.view(servers), 0.0)
        subject.mark_leaving('s4', 0.0)
        self.assertEqual({'s0': 50}, dict(_spread(subject, 50, 0.0)))
        names = [item.server_id for item in subject.replicas(views.ARTIFACT)]
        self.assertEqual(['s0'], names)

    def test_a_server_that_came_back_gets_work_at_once(self) -> None:
        """The list's word ends; that of the owner's view stays."""
        subject = router.ScoringRouter('d0')
        servers = [views.server(0), views.server(1, leaving=True)]
        subject.update_view(views.view(servers), 0.0)
        replica = api.Replica('p0', '127.0.0.1', 2, 'd1')
        subject.update_services({'charge': (replica,)}, 0.0)
        for name in ('s0', 's1', 'p0'):
            subject.mark_leaving(name, 0.0)
        self.assertEqual((), subject.replicas('charge'))
        for name in ('s0', 's1', 'p0', 'p0'):
            subject.mark_live(name, 1.0)
        names = [item.server_id for item in subject.replicas(views.ARTIFACT)]
        self.assertEqual(['s0'], names)
        self.assertEqual((replica,), subject.replicas('charge'))
        subject.update_view(views.view(servers, 2), 2.0)
        names = [item.server_id for item in subject.replicas(views.ARTIFACT)]
        self.assertEqual(['s0'], names)

    def test_an_older_view_changes_nothing(self) -> None:
        """Views may cross on their way."""
        subject = router.ScoringRouter('d0')
        subject.update_view(views.view([views.server(0)], 5), 0.0)
        subject.update_view(views.view([views.server(1)], 4), 1.0)
        self.assertEqual({'s0': 5}, dict(_spread(subject, 5, 1.0)))

    def test_no_replica_is_refused_with_a_time(self) -> None:
        """The caller is told when to come back."""
        answer = router.ScoringRouter('d0').choose(
            views.request('r'), 0.0, random.Random(1)
        )
        self.assertEqual(api.NoReplica('no_ready_replica', 2.0), answer)

    def test_a_hopeless_deadline_is_refused_before_sending(self) -> None:
        """The queue at every replica is longer than the deadline allows."""
        subject = _router(2)
        rng = random.Random(1)
        for number in range(100):
            subject.choose(views.request(number, 1000), 0.0, rng)
        request = dataclasses.replace(views.request('late'), deadline=0.1)
        answer = subject.choose(request, 0.0, rng)
        assert isinstance(answer, api.NoReplica)
        self.assertEqual('deadline_unmeetable', answer.reason)
        self.assertGreater(answer.retry_at, 0.1)

    def test_a_stall_does_not_refuse_for_ever(self) -> None:
        """After first tokens that took a minute, one attempt still goes."""
        subject = _router(1)
        rng = random.Random(1)
        for number in range(30):
            subject.choose(views.request(number), 0.0, rng)
        for number in range(30):
            subject.first_token(str(number), 60.0)
            subject.finished(str(number), True, 60.0)
        request = dataclasses.replace(views.request('next'), deadline=61.0)
        answer = subject.choose(request, 60.0, rng)
        self.assertIsInstance(answer, api.Choice)

    def test_a_slow_service_does_not_change_a_pool(self) -> None:
        """What a token takes is learned for each pool by itself."""
        subject = _router(1)
        rng = random.Random(1)
        before = subject.choose(views.request('a'), 0.0, rng)
        subject.finished('a', True, 0.0)
        replica = api.Replica('p0', '127.0.0.1', 2, 'd1')
        subject.update_services({'charge': (replica,)}, 0.0)
        call = dataclasses.replace(views.request('c'), artifact='charge')
        subject.choose(call, 0.0, rng)
        subject.first_token('c', 9.0)
        subject.finished('c', True, 9.0)
        after = subject.choose(views.request('b'), 9.0, rng)
        assert isinstance(before, api.Choice)
        assert isinstance(after, api.Choice)
        self.assertAlmostEqual(
            before.first_token_at, after.first_token_at - 9.0, places=3
        )

    def test_a_retry_goes_to_another_domain(self) -> None:
        """Then to another server, and to the same one only as the last."""
        subject = _router(4)
        rng = random.Random(1)
        request = views.request(
            'r',
            avoid_servers=frozenset({'s0'}),
            avoid_domains=frozenset({'d0'}),
        )
        names = {_chosen(subject, request, 0.0, rng) for _ in range(50)}
        self.assertEqual({'s1', 's2'}, names)
        lone = _router(1)
        self.assertEqual('s0', _chosen(lone, request, 0.0, rng))

    def test_services_are_routed_too(self) -> None:
        """A plain service has replicas without a pool."""
        subject = _router(1)
        replica = api.Replica('p0', '127.0.0.1', 2, 'd1')
        subject.update_services({'charge': (replica,)}, 0.0)
        self.assertEqual((replica,), subject.replicas('charge'))
        subject.update_services({}, 1.0)
        self.assertEqual((), subject.replicas('charge'))

    def test_attempts_of_a_vanished_server_end_quietly(self) -> None:
        """Their ends come after the view that dropped it."""
        subject = _router(1)
        subject.choose(views.request('r'), 0.0, random.Random(1))
        subject.update_view(views.view([], 2), 1.0)
        subject.first_token('r', 2.0)
        subject.finished('r', True, 3.0)
        self.assertEqual((), subject.replicas(views.ARTIFACT))
