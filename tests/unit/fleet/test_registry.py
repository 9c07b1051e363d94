"""Tests of the registry that follows the platform's list of servers."""

from __future__ import annotations

import unittest

from . import entries
from dogwoodquay.fleet import api
from dogwoodquay.fleet import departures
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
        self.assertIs(Change.MISSING, subject.remove('s1', 10.1))
        self.assertIs(Change.SAME, subject.remove('s1', 10.2))
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


class DepartureTest(unittest.TestCase):
    """A server that is known to have left gets no new requests."""

    def setUp(self) -> None:
        """Create a registry with a server."""
        self.registry = registry.Registry()
        self.registry.update(entries.entry(report_number=5), 1.0)

    def _update(self, number: int, now: float, **changes: object) -> Change:
        entry = entries.entry(report_number=number, **changes)
        return self.registry.update(entry, now)

    def _assert_unused(self) -> None:
        self.assertEqual([], self.registry.of_service('models'))

    def test_listed_again_after_its_report(self) -> None:
        """No later entry takes back that a server leaves."""
        self._update(6, 2.0, state=api.ServerState.LEAVING)
        self.registry.remove('s1', 3.0)
        for number in (4, 5, 6, 7, 100):
            with self.subTest(number=number):
                self.assertIs(Change.STALE, self._update(number, 4.0))
                self._assert_unused()

    def test_whole_list_read_again(self) -> None:
        """A whole read of the list does not take it back either."""
        self._update(6, 2.0, state=api.ServerState.LEAVING)
        self.registry.replace((), 3.0)
        self.registry.replace([entries.entry(report_number=5)], 4.0)
        self._assert_unused()

    def test_late_entry_of_a_removed_server(self) -> None:
        """An entry before the last one does not list a server again."""
        self.registry.remove('s1', 2.0)
        self.assertIs(Change.STALE, self._update(4, 3.0))
        self._assert_unused()
        self.assertIs(Change.ADDED, self._update(6, 4.0))
        self.assertEqual(1, len(self.registry.of_service('models')))
        self.assertEqual([], self.registry.departures(0.0))

    def test_list_that_lags_behind(self) -> None:
        """A server that an old list lacks is used when read again."""
        self.registry.replace((), 2.0)
        self._assert_unused()
        self.assertIs(Change.ADDED, self._update(5, 3.0))
        self.assertEqual(1, len(self.registry.of_service('models')))

    def test_report_with_a_low_number(self) -> None:
        """The end of a process is applied whatever the number says."""
        self._update(1000, 2.0)
        leaves = self._update(6, 3.0, state=api.ServerState.LEAVING)
        self.assertIs(Change.LEAVING, leaves)
        self._assert_unused()
        self.assertIs(Change.STALE, self._update(7, 4.0))
        self.assertIs(Change.SAME, self._update(1001, 4.0))
        self._assert_unused()

    def test_other_version_of_a_leaving_server(self) -> None:
        """An entry with another software version does not take it back."""
        self._update(6, 2.0, state=api.ServerState.LEAVING)
        self._update(7, 3.0, version='v2')
        self._assert_unused()

    def test_entry_that_names_no_server(self) -> None:
        """A server is withdrawn until a newer entry names it."""
        self.assertIs(Change.REMOVED, self.registry.withdraw('s1', 2.0))
        self._assert_unused()
        self.assertIs(Change.SAME, self.registry.withdraw('s1', 2.0))
        self.assertIs(Change.STALE, self._update(4, 3.0))
        self.assertIs(Change.ADDED, self._update(6, 3.0))

    def test_departures_since(self) -> None:
        """Departures are listed with the time at which they were learned."""
        self._update(6, 2.0, state=api.ServerState.LEAVING)
        self.registry.update(entries.entry('s2'), 2.0)
        self.registry.remove('s2', 5.0)
        self.registry.remove('s1', 6.0)
        expected = [
            departures.Departure('s1', 2.0, True, 1000, 6),
            departures.Departure('s2', 5.0, False, 1000, 1),
        ]
        self.assertEqual(expected, self.registry.departures(2.0))
        self.assertEqual(expected[1:], self.registry.departures(2.1))

    def test_bounded_memory(self) -> None:
        """The oldest departures are forgotten first."""
        for number in range(registry.MAX_DEPARTURES + 1):
            self.registry.update(entries.entry(f't{number}'), 2.0)
            self.registry.remove(f't{number}', 3.0)
        kept = {item.server_id for item in self.registry.departures(0.0)}
        self.assertEqual(registry.MAX_DEPARTURES, len(kept))
        self.assertNotIn('t0', kept)


class ReportedDepartureTest(unittest.TestCase):
    """Peers report servers that have left."""

    def setUp(self) -> None:
        """Create a registry whose list was read at ``10.0``."""
        self.registry = registry.Registry()
        self.registry.replace([entries.entry(report_number=5)], 10.0)
        self.registry.on_complete_read(10.0)

    def _report(self, at: float, announced: bool = False) -> Change:
        departure = departures.Departure('s1', at, announced, 1000, 5)
        return self.registry.on_departure_reported(departure, 20.0)

    def test_removed_since_the_last_read(self) -> None:
        """A server that was removed after the last read is dropped."""
        self.assertIs(Change.REMOVED, self._report(11.0))
        self.assertIsNone(self.registry.get('s1'))
        late = entries.entry(report_number=4)
        self.assertIs(Change.STALE, self.registry.update(late, 21.0))

    def test_removed_before_the_last_read(self) -> None:
        """A server that has been listed since is kept."""
        self.assertIs(Change.SAME, self._report(10.0))
        self.assertEqual(1, len(self.registry.of_service('models')))

    def test_removed_in_an_outage(self) -> None:
        """A missing server is not kept if a peer saw its removal."""
        self.registry.on_store_available(15.0)
        self.registry.replace((), 15.0)
        self.registry.on_complete_read(15.0)
        self.assertEqual(17.2, self.registry.expires_at)
        self.assertIs(Change.REMOVED, self._report(12.0))
        self.assertEqual([], self.registry.of_service('models'))
        self.assertEqual(float('inf'), self.registry.expires_at)

    def test_renewed_since_the_removal(self) -> None:
        """A server whose next entry is known already is kept."""
        self.registry.update(entries.entry(report_number=6), 12.0)
        self.assertIs(Change.SAME, self._report(13.0))
        self.assertEqual(1, len(self.registry.of_service('models')))

    def test_announced(self) -> None:
        """An announced departure counts whenever it was."""
        self.assertIs(Change.LEAVING, self._report(1.0, announced=True))
        self.assertEqual([], self.registry.of_service('models'))
        self.assertIs(Change.SAME, self._report(1.0, announced=True))

    def test_announced_before_the_server_is_known(self) -> None:
        """A list that is read later does not bring the server into use."""
        departure = departures.Departure('s2', 9.0, True, 1000, 7)
        self.registry.on_departure_reported(departure, 20.0)
        self.registry.update(entries.entry('s2', report_number=8), 21.0)
        self.assertIsNone(self.registry.get('s2'))


class StartedAgainTest(unittest.TestCase):
    """A departure lasts no longer than the process that announced it."""

    def setUp(self) -> None:
        """Let a server leave."""
        self.registry = registry.Registry()
        self.registry.update(entries.entry(report_number=5), 1.0)
        self.leaving = entries.entry(
            report_number=6, state=api.ServerState.LEAVING
        )
        self.started = entries.entry(started_ms=2000, report_number=1)
        self.registry.update(self.leaving, 2.0)

    def _assert_used(self) -> None:
        (server,) = self.registry.of_service('models')
        self.assertEqual(2000, server.entry.started_ms)

    def test_started_again(self) -> None:
        """The next process is used, listed meanwhile or not."""
        self.registry.update(self.started, 3.0)
        self._assert_used()

    def test_removed_before(self) -> None:
        """The entry of the process before has been removed."""
        self.registry.remove('s1', 2.5)
        self.assertIs(Change.ADDED, self.registry.update(self.started, 3.0))
        self._assert_used()

    def test_reports_in_the_wrong_order(self) -> None:
        """Reports of the process before come after the start of the next."""
        self.registry.update(self.started, 3.0)
        for number in (1, 6, 7):
            late = self.leaving._replace(report_number=number)
            self.assertIs(Change.STALE, self.registry.update(late, 4.0))
        self._assert_used()

    def test_told_by_a_peer(self) -> None:
        """A peer tells of the departure after the start of the next."""
        (departure,) = self.registry.departures(0.0)
        self.registry.update(self.started, 3.0)
        for item in (departure, departure._replace(at=9.0)):
            change = self.registry.on_departure_reported(item, 9.0)
            self.assertIs(Change.SAME, change)
        self._assert_used()

    def test_told_by_a_peer_before(self) -> None:
        """A peer tells of it before this instance knows the server."""
        subject = registry.Registry()
        (departure,) = self.registry.departures(0.0)
        subject.on_departure_reported(departure, 3.0)
        subject.update(entries.entry(report_number=5), 4.0)
        self.assertEqual([], subject.of_service('models'))
        subject.update(self.started, 5.0)
        self.assertEqual(1, len(subject.of_service('models')))

    def test_leaves_again(self) -> None:
        """The next process may leave as well."""
        self.registry.update(self.started, 3.0)
        again = self.started._replace(
            report_number=2, state=api.ServerState.LEAVING
        )
        self.assertIs(Change.LEAVING, self.registry.update(again, 4.0))
        self.assertEqual([], self.registry.of_service('models'))

    def test_end_without_a_start(self) -> None:
        """An entry that tells of no start may be the end of this process."""
        self.registry.update(self.started, 3.0)
        unknown = self.leaving._replace(started_ms=0)
        self.assertIs(Change.LEAVING, self.registry.update(unknown, 4.0))
        self.assertEqual([], self.registry.of_service('models'))


class SoftwareVersionTest(unittest.TestCase):
    """Which software versions the servers of a service had lately."""

    def setUp(self) -> None:
        """Create a registry that follows the list since ``10.0``."""
        self.registry = registry.Registry()
        self.registry.replace([entries.entry('s1', version='v1')], 10.0)

    def _sole(self, since: float, service: str = 'models') -> str | None:
        return self.registry.sole_version(service, since)

    def test_restart_with_another_version(self) -> None:
        """A server that starts again with another version is a new one."""
        before = self.registry.get('s1')
        assert before is not None
        before.begin()
        restarted = entries.entry('s1', started_ms=2000, version='v2')
        change = self.registry.update(restarted, 11.0)
        self.assertIs(Change.RESTARTED, change)
        server = self.registry.get('s1')
        assert server is not None
        self.assertIsNot(before, server)
        self.assertEqual('v1', before.entry.version)
        self.assertEqual('v2', server.entry.version)
        self.assertEqual(0, server.in_flight)
        old = entries.entry('s1', report_number=9, version='v1')
        self.assertIs(Change.STALE, self.registry.update(old, 12.0))
        self.assertEqual('v2', server.entry.version)
        self.assertIsNone(self._sole(11.0))
        self.assertEqual('v2', self._sole(11.5))

    def test_has_several_versions(self) -> None:
        """Versions that have left count for some time."""
        self.assertFalse(self.registry.has_several_versions(0.0))
        other = entries.entry('s2', service='other', version='v2')
        self.registry.update(other, 11.0)
        self.assertFalse(self.registry.has_several_versions(0.0))
        newer = entries.entry('s3', version='v2')
        self.registry.update(newer, 12.0)
        self.assertTrue(self.registry.has_several_versions(0.0))
        self.registry.remove('s1', 13.0)
        self.assertTrue(self.registry.has_several_versions(13.0))
        self.assertFalse(self.registry.has_several_versions(13.5))

    def test_other_version_without_another_start(self) -> None:
        """A newer entry of another version is another process's."""
        before = self.registry.get('s1')
        newer = entries.entry('s1', report_number=2, version='v2')
        change = self.registry.update(newer, 11.0)
        self.assertIs(Change.RESTARTED, change)
        self.assertIsNot(before, self.registry.get('s1'))
        older = entries.entry('s1', version='v1')
        self.assertIs(Change.STALE, self.registry.update(older, 12.0))

    def test_one_version(self) -> None:
        """All servers of the service have the version."""
        self.registry.update(entries.entry('s2', version='v1'), 11.0)
        other = entries.entry('s3', service='other', version='v7')
        self.registry.update(other, 11.0)
        self.assertEqual('v1', self._sole(10.0))
        self.assertEqual('v7', self._sole(10.0, 'other'))
        self.assertIsNone(self._sole(10.0, 'none'))

    def test_empty_version(self) -> None:
        """Servers without a version have the empty one in common."""
        self.registry.update(entries.entry('s2', service='other'), 11.0)
        self.assertEqual('', self._sole(10.0, 'other'))

    def test_several_versions(self) -> None:
        """A second version is counted for as long as it was listed."""
        self.registry.update(entries.entry('s2', version='v2'), 11.0)
        self.assertIsNone(self._sole(10.0))
        self.registry.remove('s2', 13.0)
        self.assertIsNone(self._sole(12.0))
        self.assertIsNone(self._sole(13.0))
        self.assertEqual('v1', self._sole(13.1))

    def test_all_servers_gone(self) -> None:
        """The version of the last servers counts too."""
        self.registry.remove('s1', 12.0)
        self.assertEqual('v1', self._sole(11.0))
        self.assertIsNone(self._sole(12.1))

    def test_server_that_leaves(self) -> None:
        """A server that leaves still has its version."""
        leaving = entries.entry(
            's2', state=api.ServerState.LEAVING, version='v2'
        )
        self.registry.update(leaving, 11.0)
        self.assertIsNone(self._sole(10.0))

    def test_expired_server(self) -> None:
        """A server whose entry expired in an outage counts until dropped."""
        self.registry.update(entries.entry('s2', version='v2'), 11.0)
        self.registry.on_store_available(20.0)
        self.registry.remove('s2', 20.1)
        self.assertIsNone(self._sole(20.2))
        due = 20.0 + registry.RENEWAL_SECONDS
        self.assertEqual(['s2'], self.registry.expire(due))
        self.assertIsNone(self._sole(due))
        self.assertEqual('v1', self._sole(due + 0.1))

    def test_before_the_first_read(self) -> None:
        """What was listed before the list was first read is not known."""
        self.assertIsNone(self._sole(9.9))
        self.registry = registry.Registry()
        self.registry.update(entries.entry(version='v1'), 5.0)
        self.assertIsNone(self._sole(5.0))

    def test_read_anew(self) -> None:
        """Servers may have come and gone unseen before a whole read."""
        self.assertEqual('v1', self._sole(15.0))
        self.registry.replace([entries.entry('s1', version='v1')], 20.0)
        self.assertIsNone(self._sole(15.0))
        self.assertEqual('v1', self._sole(20.0))

    def test_bounded_memory(self) -> None:
        """Too many former versions are forgotten, and known to be."""
        limit = registry.MAX_FORMER_VERSIONS
        for number in range(limit):
            new = entries.entry(
                's2', service='other', started_ms=number, version=f'v{number}'
            )
            self.registry.update(new, 11.0 + number)
        self.registry.remove('s2', 11.0 + limit)
        self.assertIsNone(self._sole(11.0, 'other'))
        self.assertEqual('v1', self._sole(11.0))
        last_entry = entries.entry('s2', started_ms=limit, version='v2')
        self.registry.update(last_entry, 9000.0)
        self.registry.remove('s2', 9000.0)
        # The version that was replaced first, at 12.0, is forgotten.
        self.assertIsNone(self._sole(12.0))
        self.assertIsNone(self._sole(12.0, 'other'))
        last = f'v{limit - 1}'
        self.assertEqual(last, self._sole(10.5 + limit, 'other'))
        self.assertEqual('v1', self._sole(9000.1))
