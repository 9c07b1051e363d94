"""Tests of the simulation in ``bench.residency``."""

from __future__ import annotations

import unittest

from bench.residency import policies
from bench.residency import workloads
from bench.residency import world as worlds

_SHAPE = workloads.SHAPES['long_loads']._replace(seconds=20.0)


def _figures(
    policy: str, shape: workloads.Shape = _SHAPE, seed: int = 1
) -> worlds.Figures:
    requests = workloads.requests(shape, seed)
    subject = policies.POLICIES[policy](requests)
    return worlds.World(shape, requests, subject, seed).run()


class RunTest(unittest.TestCase):
    """Runs count each request once and repeat exactly."""

    def test_shares(self) -> None:
        """Requests are served in aim or late, or lost."""
        for policy in policies.POLICIES:
            found = _figures(policy)
            self.assertAlmostEqual(1.0, sum(found[:3]), msg=policy)

    def test_repeatable(self) -> None:
        """The same seed gives the same figures, another one others."""
        for policy in policies.POLICIES:
            self.assertEqual(_figures(policy), _figures(policy), policy)
        self.assertNotEqual(_figures('planner'), _figures('planner', seed=2))

    def test_load_rate(self) -> None:
        """No policy loads more than the weight store allows."""
        shape = _SHAPE._replace(loads_per_second=0.4)
        windows = (shape.seconds + shape.patience_seconds) / 5.0
        for policy in policies.POLICIES:
            found = _figures(policy, shape)
            self.assertLessEqual(found.store_loads, 2 * windows, policy)

    def test_known_future(self) -> None:
        """Knowing the requests to come serves more of them."""
        offline = _figures('offline')
        for policy in ('planner', 'lru', 'greedy_dual'):
            self.assertGreater(offline.in_aim, _figures(policy).in_aim, policy)

    def test_room_for_all(self) -> None:
        """Models that all have a place are served at once."""
        shape = workloads.SHAPES['roomy']._replace(seconds=20.0)
        self.assertEqual(1.0, _figures('lru', shape).in_aim)
