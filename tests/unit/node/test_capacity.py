"""Tests of how slots are divided among instances."""

from __future__ import annotations

import unittest

from dogwoodquay.admission import api as admission_api
from dogwoodquay.admission import controller
from dogwoodquay.node import capacity
from dogwoodquay.records import api as records_api

CATALOG = records_api.Catalog(
    offset=1,
    models={'m': records_api.Model('m', '1', 1, 'p')},
    callers={'c': records_api.Caller('c', 'k')},
)


class _Router:
    replicas_of = {'m@1': 2}

    def replicas(self, artifact):
        return ('replica',) * self.replicas_of.get(artifact, 0)


class _Membership:
    def __init__(self, count):
        self._count = count

    def live(self):
        return ('member',) * self._count


class CapacityUpdaterTest(unittest.TestCase):
    """Admission with the capacity that the updater sets."""

    def _admission(self, instances):
        admission = controller.FairAdmission()
        admission.update_catalog(CATALOG, 0.0)
        updater = capacity.CapacityUpdater(
            admission, _Router(), _Membership(instances), lambda: CATALOG
        )
        updater.step()
        return admission

    def _admitted(self, admission, count, deadline=30.0):
        answers = [
            admission.offer(
                admission_api.Ticket(f'r{n}', 'c', 'm@1', 1, deadline), 0.0
            )
            for n in range(count)
        ]
        return sum(isinstance(a, admission_api.Admitted) for a in answers)

    def test_more_instances_get_fewer_slots_each(self):
        """Each of nine instances gets less than all, but at least a ninth."""
        alone = self._admitted(self._admission(1), 100)
        shared = self._admitted(self._admission(9), 100)
        self.assertEqual(96, alone)
        self.assertLess(shared, alone)
        self.assertGreaterEqual(9 * shared, alone)

    def test_deadline_at_the_latency_target(self):
        """A request is not refused if its first token is due in 0.98 s."""
        self.assertEqual(1, self._admitted(self._admission(3), 1, 0.98))
