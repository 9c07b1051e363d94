"""Tests of the registry that follows the platform's list of servers."""

from __future__ import annotations

import unittest

from . import entries
from dogwoodquay.fleet import api
from dogwoodquay.fleet import registry

Change = registry.Change


class UpdateTest(unittest.TestCase):
    """Only newer entries of a server are applied."""

    def test_old_report_of_the_same_process(self) -> None:
        """A delayed report does not replace a newer one."""
        subject = registry.Registry()
        subject.update(entries.entry(report_number=5), 1.0)
        leaving = entries.entry(report_number=6, state=api.ServerState.LEAVING)
        self.assertIs(Change.LEAVING, subject.update(leaving, 2.0))
        old = entries.entry(report_number=4)
        self.assertIs(Change.STALE, subject.update(old, 3.0))
        self.assertEqual([], subject.of_service('models'))

    def test_restart_under_the_same_id(self) -> None:
        """A restarted server loses its earlier state despite a lower count."""
        subject = registry.Registry()
        subject.update(
            entries.entry(
                report_number=9,
                state=api.ServerState.LEAVING,
                models=(entries.loaded_model('m'),),
            ),
            1.0,
        )
        restarted = entries.entry(started_ms=2000, report_number=1)
        self.assertIs(Change.RESTARTED, subject.update(restarted, 2.0))
        (server,) = subject.of_service('models')
        self.assertFalse(server.has_loaded('m', ''))
        before = entries.entry(report_number=10)
        self.assertIs(Change.STALE, subject.update(before, 3.0))

    def test_removed_server_is_leaving(self) -> None:
        """A removed server that is still referenced is marked as leaving."""
        subject = registry.Registry()
        subject.update(entries.entry(), 1.0)
        server = subject.get('s1')
        assert server is not None
        self.assertIs(Change.REMOVED, subject.remove('s1', 2.0))
        self.assertTrue(server.leaving)
        self.assertIsNone(subject.get('s1'))


class OutageTest(unittest.TestCase):
    """Entries that expire while the store is unavailable may be renewed."""

    def test_renewed_entry(self) -> None:
        """A server stays if its entry is renewed soon after an outage."""
        subject = registry.Registry()
        subject.update(entries.entry(), 1.0)
        subject.on_store_available(10.0)
        self.assertIs(Change.SAME, subject.remove('s1', 10.1))
        self.assertEqual(1, len(subject.of_service('models')))
        subject.update(entries.entry(report_number=2), 11.0)
        self.assertEqual([], subject.expire(20.0))
        self.assertIsNotNone(subject.get('s1'))

    def test_entry_not_renewed(self) -> None:
        """A server is dropped if its entry is not renewed in that time."""
        subject = registry.Registry()
        subject.update(entries.entry(), 1.0)
        subject.on_store_available(10.0)
        subject.replace((), 10.1)
        due = 10.0 + registry.RENEWAL_SECONDS
        self.assertEqual([], subject.expire(due - 0.01))
        self.assertEqual(['s1'], subject.expire(due))

    def test_removal_long_after_an_outage(self) -> None:
        """A server that is no longer listed is then dropped at once."""
        subject = registry.Registry()
        subject.update(entries.entry(), 1.0)
        subject.on_store_available(10.0)
        self.assertIs(Change.REMOVED, subject.remove('s1', 13.0))
