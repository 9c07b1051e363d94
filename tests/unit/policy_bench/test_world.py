"""Tests of the simulation in ``bench.policy``."""

from __future__ import annotations

import unittest
from unittest import mock

from bench.policy import policies
from bench.policy import report
from bench.policy import workloads
from bench.policy import world


def _figures(workload: str, policy: str, seed: int) -> report.Figures:
    """Return the results of a simulation of a few seconds."""
    with (
        mock.patch.object(workloads, 'SECONDS', 12.0),
        mock.patch.object(workloads, 'CHANGE_AT', 4.0),
    ):
        simulation = world.World(
            workloads.USERS['heelbright'],
            workloads.WORKLOADS[workload],
            policies.POLICIES[policy],
            seed,
        )
        simulation.run()
        return report.figures(simulation, 'heelbright', workload, policy, seed)


class RunTest(unittest.TestCase):
    """Simulation of a workload."""

    def test_a_seed_gives_the_same_figures_again(self) -> None:
        """The results do not depend on the clock or on hash seeds."""
        first = _figures('domain_lost', 'own', 1)
        self.assertEqual(first, _figures('domain_lost', 'own', 1))

    def test_policies_get_the_same_requests(self) -> None:
        """The offered requests depend only on the workload and the seed."""
        offered = {
            _figures('quiet_burst', policy, 2).offered
            for policy in ('own', 'static_round_robin', 'no_move_cost')
        }
        self.assertEqual(1, len(offered))

    def test_request_counts_are_consistent(self) -> None:
        """Attained and refused requests do not exceed the offered ones."""
        result = _figures('overnight', 'own', 3)
        refused = sum(result.refusals.values())
        self.assertLessEqual(result.attained + refused, result.offered)
        self.assertEqual(0, result.violations)
