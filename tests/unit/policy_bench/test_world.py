"""Tests of the bench's runs."""

from __future__ import annotations

import unittest
from unittest import mock

from bench.policy import policies
from bench.policy import report
from bench.policy import workloads
from bench.policy import world


def _figures(workload: str, policy: str, seed: int) -> report.Figures:
    """Return the figures of a run of some seconds."""
    with (
        mock.patch.object(workloads, 'SECONDS', 12.0),
        mock.patch.object(workloads, 'CHANGE_AT', 4.0),
    ):
        run = world.World(
            workloads.USERS['heelbright'],
            workloads.WORKLOADS[workload],
            policies.POLICIES[policy],
            seed,
        )
        run.run()
        return report.figures(run, 'heelbright', workload, policy, seed)


class RunTest(unittest.TestCase):
    """One run of a workload."""

    def test_a_seed_gives_the_same_figures_again(self) -> None:
        """Nothing depends on the wall clock or on hash seeds."""
        first = _figures('domain_lost', 'own', 1)
        self.assertEqual(first, _figures('domain_lost', 'own', 1))

    def test_policies_get_the_same_requests(self) -> None:
        """What is offered depends on the workload and the seed alone."""
        offered = {
            _figures('quiet_burst', policy, 2).offered
            for policy in ('own', 'static_round_robin', 'no_move_cost')
        }
        self.assertEqual(1, len(offered))

    def test_every_request_ends_once(self) -> None:
        """Attained, late, or refused with a reason."""
        found = _figures('overnight', 'own', 3)
        refused = sum(found.refusals.values())
        self.assertLessEqual(found.attained + refused, found.offered)
        self.assertEqual(0, found.violations)
