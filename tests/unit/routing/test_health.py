"""Tests of outlier ejection."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from dogwoodquay.routing import health

_SETTINGS = health.HealthSettings()


class _Server:
    """Something with a health."""

    def __init__(self) -> None:
        self.health = health.Health(_SETTINGS)


class FloorTest(unittest.TestCase):
    """However many fail, some stay in use."""

    @hypothesis.given(
        strategies.lists(
            strategies.lists(strategies.booleans(), max_size=20),
            min_size=1,
            max_size=12,
        )
    )
    def test_a_third_of_the_servers_is_always_used(
        self, results: list[list[bool]]
    ) -> None:
        """Those that stay are the healthy ones first."""
        servers = [_Server() for _ in results]
        for server, oks in zip(servers, results):
            for ok in oks:
                server.health.record(ok, 0.0)
        used = health.usable(servers, _SETTINGS.kept_share, 1.0)
        self.assertGreaterEqual(3 * len(used), len(servers))
        healthy = [s for s in servers if not s.health.ejected(1.0)]
        self.assertEqual([], [s for s in healthy if s not in used])


class EjectionTest(unittest.TestCase):
    """When a server is ejected and for how long."""

    def test_lasts_longer_each_time_up_to_a_bound(self) -> None:
        """One failure after the return ejects again."""
        subject = health.Health(_SETTINGS)
        for _ in range(_SETTINGS.failures_in_row):
            subject.record(False, 0.0)
        lengths = []
        for _ in range(8):
            now = subject.ejected_until
            subject.record(False, now)
            lengths.append(subject.ejected_until - now)
        self.assertEqual(sorted(lengths), lengths)
        self.assertEqual(10.0, lengths[0])
        self.assertEqual(_SETTINGS.max_ejection_seconds, lengths[-1])

    def test_late_failures_do_not_lengthen_an_ejection(self) -> None:
        """They were sent before it."""
        subject = health.Health(_SETTINGS)
        for _ in range(100):
            subject.record(False, 0.0)
        self.assertEqual(5.0, subject.ejected_until)

    def test_a_steady_share_of_failures_ejects(self) -> None:
        """Also when a success comes in between."""
        subject = health.Health(_SETTINGS)
        for step in range(60):
            subject.record(step % 3 == 0, 0.0)
        self.assertTrue(subject.ejected(1.0))
