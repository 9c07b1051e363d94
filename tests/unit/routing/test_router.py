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


def _count_choices(
    subject: router.ScoringRouter, count: int, now: float, seed: int = 1
) -> collections.Counter[str]:
    """Route requests that end at once; count the choices by server."""
    rng = random.Random(seed)
    counts: collections.Counter[str] = collections.Counter()
    for number in range(count):
        counts[_chosen(subject, views.request(number), now, rng)] += 1
        subject.first_token(str(number), now + 0.05)
        subject.finished(str(number), True, now + 0.05)
    return counts


class HerdingTest(unittest.TestCase):
    """Choices of many instances with the same stale reports."""

    def test_instances_with_equal_reports_choose_different_servers(
        self,
    ) -> None:
        """The only idle server gets less than 40 % of the requests."""
        counts: collections.Counter[str] = collections.Counter()
        for instance in range(200):
            subject = _router(8)
            for number in range(8):
                queued = 0 if number == 3 else 2
                load = views.report(0.0, queued)
                subject.update_load(f's{number}', load, 1.0)
            rng = random.Random(instance)
            for number in range(4):
                counts[_chosen(subject, views.request(number), 1.0, rng)] += 1
        self.assertLess(counts['s3'], 0.4 * 800)
        self.assertEqual(8, len(counts))

    def test_the_weight_of_reports_decays(self) -> None:
        """A queue reported a minute ago no longer counts."""
        subject = _router(2)
        subject.update_load('s0', views.report(0.0, 50), 0.0)
        subject.update_load('s1', views.report(0.0, 0), 0.0)
        self.assertEqual(0, _count_choices(subject, 100, 0.1)['s0'])
        self.assertGreater(_count_choices(subject, 100, 60.0)['s0'], 25)

    def test_own_requests_are_not_counted_twice(self) -> None:
        """A report with only this instance's requests adds no load."""
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
    """The effect of load and latency on the choice."""

    def test_own_in_flight_requests_are_spread(self) -> None:
        """Requests without a first token count as load of their server."""
        subject = _router(2)
        rng = random.Random(1)
        counts = collections.Counter(
            _chosen(subject, views.request(n), 0.0, rng) for n in range(40)
        )
        self.assertEqual({'s0': 20, 's1': 20}, dict(counts))

    def test_a_slow_server_gets_fewer_requests(self) -> None:
        """The time to first token is ten times as long as elsewhere."""
        subject = _router(2)
        rng = random.Random(1)
        counts: collections.Counter[str] = collections.Counter()
        for number in range(200):
            now = number * 0.1
            name = _chosen(subject, views.request(number), now, rng)
            counts[name] += 1
            seconds = 1.0 if name == 's0' else 0.1
            subject.first_token(str(number), now + seconds)
            subject.finished(str(number), True, now + seconds)
        self.assertLess(counts['s0'], 60)
        self.assertGreater(counts['s0'], 0)

    def test_a_new_replica_starts_slowly(self) -> None:
        """It gets fewer requests at first, and half of them later."""
        for now, low in ((100.1, 24), (200.0, 19)):
            subject = _router(1)
            both = [views.server(0), views.server(3)]
            subject.update_view(views.view(both, 2), 100.0)
            rng = random.Random(1)
            counts = collections.Counter(
                _chosen(subject, views.request(number), now, rng)
                for number in range(40)
            )
            self.assertIn(counts['s0'], range(low, low + 8))


class CacheTest(unittest.TestCase):
    """The effect of cached prompt prefixes on the choice."""

    def test_a_server_with_the_prefix_is_chosen(self) -> None:
        """The server is a candidate even if it is not in the sample."""
        subject = _router(64)
        subject.update_cache('s9', views.stored('e', 0, (1, 2, 3, 4)), 0.0)
        request = views.request('r', hashes=(1, 2, 3, 4))
        name = _chosen(subject, request, 0.0, random.Random(1))
        self.assertEqual('s9', name)

    def test_a_long_queue_outweighs_a_cached_prefix(self) -> None:
        """A fully cached prompt does not wait behind 30 requests."""
        subject = _router(64)
        subject.update_cache('s9', views.stored('e', 0, (1, 2, 3, 4)), 0.0)
        for number in range(64):
            load = views.report(0.0, 30 if number == 9 else 0)
            subject.update_load(f's{number}', load, 0.0)
        request = views.request('r', hashes=(1, 2, 3, 4))
        name = _chosen(subject, request, 0.0, random.Random(1))
        self.assertNotEqual('s9', name)


class EjectionTest(unittest.TestCase):
    """The ejection of failing servers."""

    def _fail(
        self, subject: router.ScoringRouter, failing: set[str], now: float
    ) -> None:
        rng = random.Random(3)
        for number in range(300):
            name = _chosen(subject, views.request(number), now, rng)
            subject.finished(str(number), name not in failing, now)

    def test_a_failing_server_is_ejected_for_a_time(self) -> None:
        """It gets no requests at first, and some after the ejection."""
        subject = _router(4)
        self._fail(subject, {'s1'}, 0.0)
        self.assertEqual(0, _count_choices(subject, 100, 1.0)['s1'])
        self.assertGreater(_count_choices(subject, 100, 6.0)['s1'], 0)

    def test_never_ejects_all_servers(self) -> None:
        """When all servers fail, at least two still get requests."""
        subject = _router(6)
        self._fail(subject, {f's{n}' for n in range(6)}, 0.0)
        self.assertGreaterEqual(len(_count_choices(subject, 100, 0.1)), 2)

    def test_the_only_replica_stays_in_use(self) -> None:
        """It gets all requests although it fails."""
        subject = _router(1)
        self._fail(subject, {'s0'}, 0.0)
        self.assertEqual({'s0': 100}, dict(_count_choices(subject, 100, 0.1)))


class AvailabilityTest(unittest.TestCase):
    """The replicas that can get new attempts."""

    def test_leaving_and_withdrawing_servers_get_no_requests(self) -> None:
        """Either the pool's view or the instance list marks a server."""
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
        self.assertEqual({'s0': 50}, dict(_count_choices(subject, 50, 0.0)))
        names = [item.server_id for item in subject.replicas(views.ARTIFACT)]
        self.assertEqual(['s0'], names)

    def test_a_live_server_gets_requests_again(self) -> None:
        """``mark_live`` does not override a view that says leaving."""
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

    def test_an_older_view_is_ignored(self) -> None:
        """Views may arrive out of order."""
        subject = router.ScoringRouter('d0')
        subject.update_view(views.view([views.server(0)], 5), 0.0)
        subject.update_view(views.view([views.server(1)], 4), 1.0)
        self.assertEqual({'s0': 5}, dict(_count_choices(subject, 5, 1.0)))

    def test_without_a_replica_the_refusal_has_a_retry_time(self) -> None:
        """The retry time is two seconds later."""
        answer = router.ScoringRouter('d0').choose(
            views.request('r'), 0.0, random.Random(1)
        )
        self.assertEqual(api.NoReplica('no_ready_replica', 2.0), answer)

    def test_an_unmeetable_deadline_is_refused_before_sending(self) -> None:
        """The queue at every replica takes longer than the deadline."""
        subject = _router(2)
        rng = random.Random(1)
        for number in range(100):
            subject.choose(views.request(number, 1000), 0.0, rng)
        request = dataclasses.replace(views.request('late'), deadline=0.1)
        answer = subject.choose(request, 0.0, rng)
        assert isinstance(answer, api.NoReplica)
        self.assertEqual('deadline_unmeetable', answer.reason)
        self.assertGreater(answer.retry_at, 0.1)

    def test_a_stall_does_not_refuse_all_later_attempts(self) -> None:
        """After first tokens that took a minute, an attempt is still sent."""
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

    def test_a_slow_service_does_not_affect_a_pool(self) -> None:
        """Each pool has its own estimate of the time of a token."""
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

    def test_a_retry_goes_to_another_failure_domain(self) -> None:
        """It goes to the same server only if there is no other."""
        subject = _router(4)
        rng = random.Random(1)
        request = views.request(
            'r',
            avoid_servers=frozenset({'s0'}),
            avoid_domains=frozenset({'d0'}),
        )
        names = {_chosen(subject, request, 0.0, rng) for _ in range(50)}
        self.assertEqual({'s1', 's2'}, names)
        single_server_router = _router(1)
        self.assertEqual(
            's0', _chosen(single_server_router, request, 0.0, rng)
        )

    def test_plain_services_have_replicas(self) -> None:
        """They are the servers of ``update_services``, without a pool."""
        subject = _router(1)
        replica = api.Replica('p0', '127.0.0.1', 2, 'd1')
        subject.update_services({'charge': (replica,)}, 0.0)
        self.assertEqual((replica,), subject.replicas('charge'))
        subject.update_services({}, 1.0)
        self.assertEqual((), subject.replicas('charge'))

    def test_attempts_of_a_removed_server_end_without_an_error(self) -> None:
        """The view without the server comes before the attempt's end."""
        subject = _router(1)
        subject.choose(views.request('r'), 0.0, random.Random(1))
        subject.update_view(views.view([], 2), 1.0)
        subject.first_token('r', 2.0)
        subject.finished('r', True, 3.0)
        self.assertEqual((), subject.replicas(views.ARTIFACT))
