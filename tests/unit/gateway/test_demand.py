"""Tests of summing up the demand of all instances."""

from __future__ import annotations

import unittest

from dogwoodquay.gateway import demand
from dogwoodquay.gateway import messages


def _load(
    instance_id: str, *running: tuple[str, int]
) -> messages.InstanceLoad:
    rows = tuple(
        messages.RunningRequests(server_id, 'm', count)
        for server_id, count in running
    )
    return messages.InstanceLoad(instance_id, 1, (), (), rows)


class OtherRequestsTest(unittest.TestCase):
    """An instance learns the other instances' requests at each server."""

    def setUp(self) -> None:
        self.tracker = demand.DemandTracker()

    def test_own_requests_left_out(self) -> None:
        """The requests in the receiver's own load are left out."""
        self.tracker.update(_load('a', ('e1', 3), ('e2', 1)), 1.0)
        self.tracker.update(_load('b', ('e1', 4)), 1.1)
        self.assertEqual(4, self.tracker.other_requests('e1', 'a'))
        self.assertEqual(3, self.tracker.other_requests('e1', 'b'))
        self.assertEqual(7, self.tracker.other_requests('e1', 'c'))
        self.assertEqual(7, self.tracker.requests('e1', 'm'))

    def test_newest_load_counts(self) -> None:
        """An instance's newer load replaces the one before."""
        self.tracker.update(_load('a', ('e1', 3)), 1.0)
        self.tracker.update(_load('a', ('e2', 2)), 1.1)
        self.assertEqual(0, self.tracker.other_requests('e1', 'b'))
        self.assertEqual(2, self.tracker.other_requests('e2', 'b'))

    def test_expired_load(self) -> None:
        """The requests in an expired load do not count."""
        self.tracker.update(_load('a', ('e1', 3)), 1.0)
        later = 1.1 + demand.LOAD_EXPIRY_SECONDS
        self.tracker.update(_load('b', ('e1', 4)), later)
        self.assertEqual(0, self.tracker.other_requests('e1', 'b'))


class DemandTest(unittest.TestCase):
    """The demand for a model over all instances."""

    def _update(
        self, tracker: demand.DemandTracker, instance_id: str, now: float
    ) -> None:
        row = messages.ModelDemand('s', 'm', 4.0, 1, 2, 0.5)
        load = messages.InstanceLoad(instance_id, 1, (row,), (), ())
        tracker.update(load, now)

    def test_sum_of_first_loads(self) -> None:
        """A new owner knows the rates from each instance's first load."""
        tracker = demand.DemandTracker()
        self._update(tracker, 'a', 1.0)
        self._update(tracker, 'b', 1.0)
        found = tracker.demand('s', 1.0)['m']
        self.assertEqual((8.0, 2, 4), found[:3])

    def test_sum_at_versions(self) -> None:
        """Waiting requests that need a version are summed up by it."""
        tracker = demand.DemandTracker()
        rows = tuple(
            messages.VersionDemand(service, 'm', version, count)
            for service, version, count in (
                ('s', 'v1', 2),
                ('s', '', 1),
                ('other', 'v1', 7),
            )
        )
        for name, at in (('a', 1.0), ('b', 2.0)):
            load = messages.InstanceLoad(name, 1, (), (), (), at_version=rows)
            tracker.update(load, at)
        expected = {('m', 'v1'): 4, ('m', ''): 2}
        self.assertEqual(expected, tracker.version_demand('s', 2.0))
        later = 1.5 + demand.LOAD_EXPIRY_SECONDS
        expected = {('m', 'v1'): 2, ('m', ''): 1}
        self.assertEqual(expected, tracker.version_demand('s', later))

    def test_rate_decays(self) -> None:
        """The rate of an old load decays until the load expires."""
        tracker = demand.DemandTracker()
        self._update(tracker, 'a', 1.0)
        self.assertLess(tracker.demand('s', 2.0)['m'].rate, 4.0)
        later = 1.1 + demand.LOAD_EXPIRY_SECONDS
        self.assertEqual({}, tracker.demand('s', later))
