"""Tests of the outlier detection."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from dogwoodquay.routing import health

_SETTINGS = health.HealthSettings()


class _Server:
    """A server that only has a health."""

    def __init__(self) -> None:
        self.health = health.Health(_SETTINGS)


class FloorTest(unittest.TestCase):
    """The minimum share of servers that stays in use."""

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
        """All servers that are not ejected are among them."""
        servers = [_Server() for _ in results]
        for server, oks in zip(servers, results):
            for ok in oks:
                server.health.record(ok, 0.0)
        used = health.usable_servers(servers, _SETTINGS.min_usable_share, 1.0)
        self.assertGreaterEqual(3 * len(used), len(servers))
        healthy = [s for s in servers if not s.health.ejected(1.0)]
        self.assertEqual([], [s for s in healthy if s not in used])


class EjectionTest(unittest.TestCase):
    """The conditions and durations of ejections."""

    def test_each_ejection_is_longer_up_to_the_maximum(self) -> None:
        """A single failure after an ejection ejects the server again."""
        subject = health.Health(_SETTINGS)
        for _ in range(_SETTINGS.consecutive_failures):
            subject.record(False, 0.0)
        lengths = []
        for _ in range(8):
            now = subject.ejected_until
            subject.record(False, now)
            lengths.append(subject.ejected_until - now)
        self.assertEqual(sorted(lengths), lengths)
        self.assertEqual(10.0, lengths[0])
        self.assertEqual(_SETTINGS.max_ejection_seconds, lengths[-1])

    def test_failures_during_an_ejection_do_not_extend_it(self) -> None:
        """Their attempts were sent before it."""
        subject = health.Health(_SETTINGS)
        for _ in range(100):
            subject.record(False, 0.0)
        self.assertEqual(5.0, subject.ejected_until)

    def test_a_high_share_of_failures_ejects(self) -> None:
        """The server is ejected although every third attempt succeeds."""
        subject = health.Health(_SETTINGS)
        for step in range(60):
            subject.record(step % 3 == 0, 0.0)
        self.assertTrue(subject.ejected(1.0))
