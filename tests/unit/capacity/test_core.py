"""Tests of what is learned of single servers."""

from __future__ import annotations

import math
import random
import unittest

from dogwoodquay.capacity import api
from dogwoodquay.capacity import core

_A = api.ServerKey('a', 1)
_B = api.ServerKey('b', 1)


class _CapacityCase(unittest.TestCase):
    def setUp(self) -> None:
        """Create the state of two servers with six slots each."""
        self.capacities = core.Capacities()
        self.now = 100.0
        for key in (_A, _B):
            self.capacities.server(key, 's', 6, self.now)
        self.a = self.capacities.servers[_A]

    def answer(
        self, key: api.ServerKey, seconds: float, running: int = 1
    ) -> None:
        """Apply a complete answer and its figures, 0.1 s after the last."""
        self.now += 0.1
        server = self.capacities.servers[key]
        server.on_figures(running, 0, 1.0, self.now)
        self.capacities.on_completed(
            key, api.Work('r', seconds, seconds), 1.0, self.now
        )

    def warm(self, count: int = 40, b_seconds: float = 0.1) -> None:
        """Let both servers answer some requests."""
        for _ in range(count):
            self.answer(_A, 0.1)
            self.answer(_B, b_seconds)

    def choose(self, seed: int, *in_flight: int) -> int | None:
        """Return the index of the chosen one of the two servers."""
        candidates = [
            api.Candidate(key, count, 8.0)
            for key, count in zip((_A, _B), in_flight, strict=True)
        ]
        rng = random.Random(seed)
        return self.capacities.choose(candidates, '', self.now, rng)


class LearningTest(_CapacityCase):
    """Speed, pace and limit of a server's process."""

    def test_speed(self) -> None:
        """The time of a request is expected to differ as it was measured."""
        self.warm(b_seconds=0.2)
        first, second = (
            self.capacities.expected_seconds(key, 0.0, '', self.now)
            for key in (_A, _B)
        )
        self.assertAlmostEqual(2.0, second / first, delta=0.2)

    def test_one_bad_sample(self) -> None:
        """One request that took 50 times as long changes little."""
        self.warm()
        before = self.a.factor(self.now)
        self.answer(_A, 5.0)
        self.assertLess(self.a.factor(self.now), before * 1.1)

    def test_kinds(self) -> None:
        """A server with the longer kind of requests is not slower."""
        for kind, seconds, keys in (
            ('short', 0.1, (_A, _A, _A, _B)),
            ('long', 1.0, (_A, _B, _B, _B)),
        ):
            for _ in range(30):
                for key in keys:
                    self.now += 0.01
                    server = self.capacities.servers[key]
                    server.on_figures(1, 0, 1.0, self.now)
                    self.capacities.on_completed(
                        key,
                        api.Work(kind, seconds, seconds),
                        1.0,
                        self.now,
                    )
        self.assertAlmostEqual(1.0, self.a.factor(self.now), delta=0.1)

    def test_pace_loses_its_weight(self) -> None:
        """A stated pace counts at once and is forgotten in 0.6 s."""
        self.a.on_figures(1, 0, 2.5, self.now)
        self.assertEqual(2.5, self.a.pace(self.now))
        self.assertAlmostEqual(1.75, self.a.pace(self.now + 0.3))
        self.assertEqual(1.0, self.a.pace(self.now + 0.7))

    def test_limit(self) -> None:
        """The limit falls at a knee, within its bounds, and recovers."""
        self.warm()
        for _ in range(200):
            self.answer(_A, 0.4, running=6)
        self.assertLess(self.a.limit(self.now), 5.0)
        self.assertGreaterEqual(self.a.limit(self.now), 1.0)
        for _ in range(200):
            self.answer(_A, 0.1, running=9)
        self.assertGreater(self.a.limit(self.now), 6.0)
        self.assertLessEqual(self.a.limit(self.now), 8.0)

    def test_samples_age_out(self) -> None:
        """What was learned long ago is not believed any more."""
        self.warm(b_seconds=0.3)
        self.assertLess(self.a.factor(self.now), 0.8)
        self.now += 11.0
        self.assertEqual(1.0, self.a.factor(self.now))
        self.assertEqual(6.0, self.a.limit(self.now))

    def test_restart(self) -> None:
        """A new process under the same id begins anew."""
        self.warm(b_seconds=0.3)
        renewed = api.ServerKey('a', 2)
        self.capacities.server(renewed, 's', 6, self.now)
        self.capacities.keep_only({renewed, _B})
        self.assertNotIn(_A, self.capacities.servers)
        known = self.capacities.servers[renewed]
        self.assertEqual(1.0, known.factor(self.now))
        row = api.Report(_A, 9, 9, 2.5, self.now)
        self.capacities.on_view([row], self.now, self.now)
        self.assertEqual(0, known.running)


class ChoiceTest(_CapacityCase):
    """The server that is expected to complete a request first."""

    def test_slow_for_now(self) -> None:
        """A server whose work takes 2.5 times as long gets no request."""
        self.warm()
        self.a.on_figures(1, 0, 2.5, self.now + 0.01)
        self.now += 0.02
        self.assertEqual({1}, {self.choose(n, 0, 0) for n in range(20)})

    def test_near_ties(self) -> None:
        """Equal servers share the requests of instances with one view."""
        self.warm()
        chosen = [self.choose(seed, 0, 0) for seed in range(40)]
        self.assertEqual({0, 1}, set(chosen))

    def test_probe(self) -> None:
        """A server that nobody has heard of for 2 s gets one request."""
        self.warm(b_seconds=1.0)
        for _ in range(20):
            self.answer(_A, 0.1)
        self.assertIn(1, {self.choose(seed, 0, 0) for seed in range(40)})
        self.assertNotIn(1, {self.choose(seed, 0, 1) for seed in range(40)})

    def test_hanging_server(self) -> None:
        """Requests pile up at a server that does not answer at all."""
        self.warm()
        for _ in range(8):
            self.answer(_A, 0.1)
        row = api.Report(_B, 0, 0, 1.0, self.now - 0.8, others=12)
        self.capacities.on_view([row], self.now, self.now)
        self.assertEqual({0}, {self.choose(n, 0, 0) for n in range(20)})

    def test_full(self) -> None:
        """No server is returned where all have as much as they may."""
        self.warm()
        for key in (_A, _B):
            server = self.capacities.servers[key]
            server.on_figures(6, 20, 1.0, self.now + 0.01)
        self.now += 0.02
        self.assertIsNone(self.choose(1, 0, 0))
        self.now += 1.0
        self.assertIsNotNone(self.choose(1, 0, 0))


class SharingTest(_CapacityCase):
    """Figures of other instances, by way of the owner."""

    def test_newest_figures(self) -> None:
        """The owner returns the newest of what two instances heard."""
        owner = core.Capacities()
        owner.server(_A, 's', 6, self.now)
        for running, as_of in ((4, 99.9), (2, 99.8)):
            row = api.Report(_A, running, 0, 1.0, as_of, 1.0, 1.0)
            owner.on_load([row], self.now)
        (row,) = owner.view_rows(self.now)
        self.assertEqual((4, 99.9), (row.running, row.as_of))
        self.assertAlmostEqual(2.0, row.measured)
        self.assertEqual([], owner.view_rows(self.now + 1.5))

    def test_reported_once(self) -> None:
        """What a load has told is not told again."""
        self.a.on_figures(3, 0, 1.0, self.now)
        self.a.add_news(self.now, 1.0, 1.2)
        self.assertEqual(1, len(self.capacities.load_rows(self.now)))
        self.assertEqual([], self.capacities.load_rows(self.now))

    def test_own_requests_since(self) -> None:
        """Own requests sent after the figures are not among them."""
        self.a.on_own(1, self.now)
        self.a.on_own(2, self.now + 0.2)
        self.a.on_figures(3, 0, 1.0, self.now + 0.1)
        self.assertEqual(2.0, self.a.others)

    def test_false_figures(self) -> None:
        """Figures out of range change nothing, at the owner or elsewhere."""
        sound = api.Report(_A, 1, 0, 1.0, self.now, 1.0, 1.0)
        for change in (
            {'running': -1},
            {'waiting': 10**9},
            {'pace': 0.0},
            {'pace': math.nan},
            {'measured': -1.0},
            {'measured': math.inf},
            {'work': math.nan},
            {'as_of': math.nan},
            {'others': -5},
            {'server': api.ServerKey('x', 1)},
        ):
            with self.subTest(change):
                row = sound._replace(**change)  # type: ignore[arg-type]
                self.capacities.on_load([row], self.now)
                self.capacities.on_view([row], self.now, self.now)
                self.assertEqual(0, self.a.running)
                self.assertEqual([], self.capacities.view_rows(self.now))

    def test_figures_from_the_future(self) -> None:
        """A wrong age cannot keep later figures out."""
        row = api.Report(_A, 5, 0, 1.0, self.now + 1e6)
        self.capacities.on_view([row], self.now, self.now)
        self.a.on_figures(1, 0, 1.0, self.now + 0.1)
        self.assertEqual(1, self.a.running)
