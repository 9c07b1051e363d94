"""Tests of finding the route and the service for a request."""

from __future__ import annotations

import random
import unittest

from dogwoodquay.routes import api
from dogwoodquay.routes import table


def _route(name: str, prefix: str, host: str = 'a.example') -> api.Route:
    return api.Route(
        name=name,
        host=host,
        path_prefix=prefix,
        kind=api.RouteKind.IDEMPOTENT,
        timeout_seconds=1.0,
        objective_seconds=0.2,
        priority=1,
        services=(api.WeightedService('s', 1.0),),
        max_attempts=2,
        resumable=False,
        gap_objective_seconds=0.0,
    )


def _table(*routes: api.Route) -> table.RouteTable:
    limits = api.CallerLimits(16384, 4194304, 3.0, 15.0)
    return table.RouteTable(api.Configuration(1, routes, {}, limits))


class MatchTest(unittest.TestCase):
    """The longest prefix among the host's routes matches."""

    def test_longest_prefix(self) -> None:
        """A longer prefix takes precedence over a shorter one."""
        routes = _table(_route('long', '/a/b/'), _route('short', '/a/'))
        found = routes.match('a.example', '/a/b/c')
        assert found is not None
        self.assertEqual('long', found.name)
        found = routes.match('a.example', '/a/x')
        assert found is not None
        self.assertEqual('short', found.name)

    def test_whole_segments_only(self) -> None:
        """A prefix ends with a slash, so half a segment does not match."""
        routes = _table(_route('r', '/ab/'))
        self.assertIsNone(routes.match('a.example', '/abc/d'))
        self.assertIsNone(routes.match('a.example', '/ab'))

    def test_other_host(self) -> None:
        """Only routes of the same host match, regardless of its case."""
        routes = _table(_route('r', '/a/'))
        self.assertIsNone(routes.match('b.example', '/a/'))
        self.assertIsNotNone(routes.match('A.Example', '/a/'))

    def test_root_prefix(self) -> None:
        """A route with the root prefix matches all other paths."""
        routes = _table(_route('all', '/'), _route('one', '/one/'))
        found = routes.match('a.example', '/two/three')
        assert found is not None
        self.assertEqual('all', found.name)


class PickServiceTest(unittest.TestCase):
    """Requests are split over services by their weights."""

    def test_weights(self) -> None:
        """A service with 90 % of the weight gets about 90 % of the picks."""
        services = (
            api.WeightedService('big', 90.0),
            api.WeightedService('small', 10.0),
        )
        route = _route('r', '/')._replace(services=services)
        rng = random.Random(7)
        picks = [table.pick_service(route, rng) for _ in range(2000)]
        self.assertAlmostEqual(0.9, picks.count('big') / 2000, delta=0.03)


class RepeatableTest(unittest.TestCase):
    """The route's kind decides whether requests may be repeated."""

    def test_kinds(self) -> None:
        """A stream may be repeated only if it is resumable."""
        route = _route('r', '/')
        self.assertTrue(route.repeatable)
        unsafe = route._replace(kind=api.RouteKind.NON_IDEMPOTENT)
        self.assertFalse(unsafe._replace(resumable=True).repeatable)
        stream = route._replace(kind=api.RouteKind.STREAMING)
        self.assertFalse(stream.repeatable)
        self.assertTrue(stream._replace(resumable=True).repeatable)
