"""Tests of the version at which a stream goes on."""

from __future__ import annotations

import itertools
import typing
import unittest
from unittest import mock

import anyio

from . import fakes
from . import loopback
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import api
from dogwoodquay.gateway import origin_appends
from dogwoodquay.gateway import origins as stream_origins
from dogwoodquay.gateway import resumption
from dogwoodquay.routes import api as routes_api
from dogwoodquay.tenants import api as tenants_api

Kind = routes_api.RouteKind
Origin = stream_origins.Origin

_ROUTE_SECONDS: typing.Final = 10.0
_BEGAN: typing.Final = 100.0


def _entry(
    server_id: str, version: str, service: str = 's'
) -> fleet_api.ServerEntry:
    return fleet_api.ServerEntry(
        server_id=server_id,
        service=service,
        address='127.0.0.1',
        port=1,
        failure_domain='d1',
        state=fleet_api.ServerState.LIVE,
        slots=4,
        started_ms=1,
        report_number=1,
        models=(),
        version=version,
    )


class _VersionsTest(unittest.TestCase):
    """The subject and its surroundings."""

    def setUp(self) -> None:
        self.lines = fakes.log_lines(self)
        self.clock = clocks.ManualClock(_BEGAN)
        self.records = fakes.FakeOrigins()
        self.list = fakes.FakeServerList()
        self.earlier = fakes.FakeEarlierList()
        self.registry = registries.Registry()
        self.registry.replace([_entry('a1', 'v1')], 0.0)
        self.subject = resumption.StreamVersions(
            self.records, self.registry, self.list, self.earlier, self.clock
        )

    def call(
        self,
        resumes: str = '',
        last_event: int = api.NO_EVENT,
        services: tuple[str, ...] = ('s',),
        **changes: typing.Any,
    ) -> api.Call:
        """Return a call on a resumable route."""
        route = loopback.route(
            kind=Kind.STREAMING,
            resumable=True,
            timeout_seconds=_ROUTE_SECONDS,
            services=tuple(
                routes_api.WeightedService(name, 1.0) for name in services
            ),
        )._replace(**changes)
        terms = api.CallerTerms(
            'second', 8.0, '', '', 0, 0, (), last_event, resumes
        )
        now = self.clock.now()
        return api.Call(
            request_id='second',
            method='POST',
            target='/r/x',
            headers=(),
            body=b'',
            terms=terms,
            route=route,
            service=services[0],
            arrived_at=now,
            deadline=now + 8.0,
        )


class FindTest(_VersionsTest):
    """A stream goes on where it began, or not at all."""

    def _find(
        self,
        resumes: str = 'first',
        last_event: int = 3,
        services: tuple[str, ...] = ('s',),
        **changes: typing.Any,
    ) -> resumption.Place | None:
        call = self.call(resumes, last_event, services, **changes)
        return anyio.run(self.subject.find, call)

    def test_new_stream(self) -> None:
        """Any version will do, and nobody is asked."""
        place = self._find('', api.NO_EVENT)
        self.assertEqual(resumption.Place('s', None), place)
        self.assertEqual([], self.records.asked)
        self.assertEqual([], self.list.waits)

    def test_plain_route(self) -> None:
        """The header has no meaning on such a route."""
        place = self._find(kind=Kind.IDEMPOTENT)
        self.assertEqual(resumption.Place('s', None), place)

    def test_no_longer_resumable(self) -> None:
        """The route has changed since the stream began."""
        self.records.found = (Origin('s', 'v2'),)
        place = self._find(resumable=False)
        self.assertEqual(resumption.Place('s', 'v2'), place)

    def test_recorded(self) -> None:
        """The recorded version is needed, whatever else is listed."""
        self.records.found = (Origin('s', 'v2'),)
        self.assertEqual(resumption.Place('s', 'v2'), self._find())
        self.assertEqual(['first'], self.records.asked)
        self.assertEqual([], self.list.waits)

    def test_split_route(self) -> None:
        """The stream goes on at the service that began it."""
        self.records.found = (Origin('t', 'v1'),)
        place = self._find(services=('s', 't'))
        self.assertEqual(resumption.Place('t', 'v1'), place)

    def test_moved_route(self) -> None:
        """Versions are compared within a service only."""
        self.records.found = (Origin('old', 'v2'),)
        self.assertEqual(resumption.Place('s', None), self._find())
        self.records.found = (Origin('old', 'v2'), Origin('s', 'v1'))
        self.assertEqual(resumption.Place('s', 'v1'), self._find())

    def test_sole_version(self) -> None:
        """Without a record the only version listed must have begun it."""
        self.assertEqual(resumption.Place('s', 'v1'), self._find())
        ((after, deadline),) = self.list.waits
        self.assertEqual(_BEGAN, after)
        self.assertLess(deadline, _BEGAN + 8.0)

    def test_unknown_beside_two_versions(self) -> None:
        """A stream is refused rather than its version guessed."""
        self.registry.update(_entry('b1', 'v2'), _BEGAN - 1.0)
        self.assertIsNone(self._find())
        (line,) = self.lines
        self.assertEqual('request:taken_up', line['message_type'])
        self.assertEqual('', line['known_by'])

    def test_version_that_left(self) -> None:
        """A version that left while the stream may have run counts."""
        self.registry.update(_entry('b1', 'v2'), 0.0)
        self.registry.remove('b1', _BEGAN - _ROUTE_SECONDS + 1.0)
        self.assertIsNone(self._find())
        self.clock.advance(_ROUTE_SECONDS)
        self.assertEqual(resumption.Place('s', 'v1'), self._find())

    def test_new_version_since_the_last_read(self) -> None:
        """A server listed after the last read may have begun the stream."""
        self.list.on_read = lambda: typing.cast(
            'None', self.registry.update(_entry('b1', 'v2'), _BEGAN)
        )
        self.assertIsNone(self._find())

    def test_no_list(self) -> None:
        """Without the store an old list proves nothing."""
        self.list.available = False
        self.assertIsNone(self._find())

    def test_recently_started(self) -> None:
        """An instance that has not followed the list long cannot tell."""
        self.registry.replace([_entry('a1', 'v1')], _BEGAN - 1.0)
        self.assertIsNone(self._find())

    def test_earlier_list(self) -> None:
        """The log of the list tells of the time before the start."""
        self.registry.replace([_entry('a1', 'v1')], _BEGAN - 1.0)
        since = _BEGAN - _ROUTE_SECONDS
        versions = [('s', 'v1'), ('t', 'v2')]
        self.earlier.on_extend = lambda: self.registry.extend_history(
            versions, since
        )
        self.assertEqual(resumption.Place('s', 'v1'), self._find())
        self.assertEqual([since], self.earlier.asked)
        self.clock.advance(0.5)
        self.assertEqual(resumption.Place('s', 'v1'), self._find())
        self.assertEqual(1, len(self.earlier.asked))

    def test_another_version_in_the_earlier_list(self) -> None:
        """A version that left before the start may have begun the stream."""
        self.registry.replace([_entry('a1', 'v1')], _BEGAN - 1.0)
        since = _BEGAN - _ROUTE_SECONDS
        versions = [('s', 'v1'), ('s', 'v2')]
        self.earlier.on_extend = lambda: self.registry.extend_history(
            versions, since
        )
        self.assertIsNone(self._find())

    def test_earlier_list_that_does_not_reach_back(self) -> None:
        """What was listed as the stream may have begun is not known."""
        self.registry.replace([_entry('a1', 'v1')], _BEGAN - 1.0)
        since = _BEGAN - _ROUTE_SECONDS + 0.1
        self.earlier.on_extend = lambda: self.registry.extend_history(
            [('s', 'v1')], since
        )
        self.assertIsNone(self._find())

    def test_several_versions_listed(self) -> None:
        """The log of the list is not read in vain."""
        entries = [_entry('a1', 'v1'), _entry('b1', 'v2')]
        self.registry.replace(entries, _BEGAN - 1.0)
        self.assertIsNone(self._find())
        self.assertEqual([], self.earlier.asked)

    def test_caller_that_names_no_attempt(self) -> None:
        """It is served by the list alone, if that has one version."""
        self.registry.replace([_entry('a1', 'v1')], _BEGAN - 1.0)
        self.assertEqual(resumption.Place('s', 'v1'), self._find(''))
        self.assertEqual([], self.records.asked)
        self.registry.update(_entry('b1', 'v2'), _BEGAN)
        self.assertIsNone(self._find(''))
        self.registry.remove('b1', _BEGAN + 0.1)
        self.assertIsNone(self._find(''))

    def test_unknown_on_a_split_route(self) -> None:
        """The service that began the stream is unknown as well."""
        self.assertIsNone(self._find(services=('s', 't')))


class RecordTest(_VersionsTest):
    """The version of a stream is recorded under its first attempt."""

    def _recorded(self, call: api.Call) -> tuple[str, Origin, float]:
        anyio.run(self.subject.record, call, 'v1')
        (row,) = self.records.recorded
        return row

    def test_first_attempt(self) -> None:
        """The attempt itself names the stream."""
        row = self._recorded(self.call())
        self.assertEqual(('second', Origin('s', 'v1'), _ROUTE_SECONDS), row)

    def test_later_attempt(self) -> None:
        """Callers name the first attempt also when they come back again."""
        self.assertEqual('first', self._recorded(self.call('first', 3))[0])

    def test_long_identifier(self) -> None:
        """Guards against streams that are refused as nothing is recorded."""
        found = set()
        for name in ('a' * 300, 'a' * 299 + 'b', 'a' * 200):
            call = self.call(name, 3)
            self.records.recorded.clear()
            stream_id = self._recorded(call)[0]
            self.assertLessEqual(
                len(stream_id), stream_origins.MAX_ID_CHARACTERS
            )
            anyio.run(self.subject.find, call)
            self.assertEqual(stream_id, self.records.asked[-1])
            found.add(stream_id)
        self.assertEqual(3, len(found))

    def test_not_resumable(self) -> None:
        """Nobody can take up the stream."""
        call = self.call(resumable=False)
        anyio.run(self.subject.record, call, 'v1')
        self.assertEqual([], self.records.recorded)


class MovedKeyTest(_VersionsTest):
    """A key belongs to another tenant when a stream is taken up (ORDER)."""

    _TENANTS = (None, tenants_api.Tenant('one'), tenants_api.Tenant('two'))

    def setUp(self) -> None:
        """List two versions all the while."""
        super().setUp()
        self.registry.replace([_entry('a1', 'v1'), _entry('b1', 'v2')], 0.0)
        self.earlier.states = [{'v1': 1, 'v2': 1}]

    def _begin(self, tenant: tenants_api.Tenant | None, version: str) -> None:
        """Have a stream recorded that begins at a version."""
        call = self.call()._replace(tenant=tenant)
        anyio.run(self.subject.record, call, version)
        self.records.found += (self.records.recorded[-1][1],)

    def _find(self, tenant: tenants_api.Tenant | None) -> str | None:
        """Return the version at which the stream goes on, if it does."""
        call = self.call('second', 3)._replace(tenant=tenant)
        place = anyio.run(self.subject.find, call)
        return None if place is None else place.version

    def test_recorded(self) -> None:
        """It goes on where it began, whoever has the key by now."""
        for version in ('v1', 'v2'):
            for before, after in itertools.permutations(self._TENANTS, 2):
                self.records.found = ()
                self._begin(before, version)
                self.assertEqual(version, self._find(after))

    def test_not_recorded(self) -> None:
        """The identifier selects the same version for all tenants."""
        call = self.call()
        for tenant in self._TENANTS:
            began = self.subject.first_version(call._replace(tenant=tenant))
            for other in self._TENANTS:
                self.assertEqual(began, self._find(other))

    def test_same_identifier_of_two_tenants(self) -> None:
        """Each one's stream goes on where it began."""
        _, one, two = self._TENANTS
        self._begin(one, 'v1')
        self._begin(two, 'v2')
        self.assertEqual('v1', self._find(one))
        self.assertEqual('v2', self._find(two))

    def test_uncertain(self) -> None:
        """Nothing tells whose key the caller's was."""
        _, one, two = self._TENANTS
        self._begin(one, 'v1')
        self._begin(two, 'v2')
        self.assertIsNone(self._find(None))


class ConfirmedRecordTest(_VersionsTest):
    """Events wait for a record that cannot be done without (ORDER)."""

    def setUp(self) -> None:
        """List two versions, of which the stream selects one."""
        super().setUp()
        self.registry.replace([_entry('a1', 'v1'), _entry('b1', 'v2')], 0.0)
        self.selected = self.subject.first_version(self.call())
        self.other = 'v1' if self.selected == 'v2' else 'v2'

    def _waits(self, call: api.Call, version: str | None) -> bool:
        confirmation = anyio.run(self.subject.record, call, version)
        return confirmation is not None

    def test_selected_version(self) -> None:
        """Its identifier tells where the stream began."""
        self.assertFalse(self._waits(self.call(), self.selected))

    def test_other_version(self) -> None:
        """Only the record tells where the stream began."""
        self.assertTrue(self._waits(self.call(), self.other))

    def test_version_listed_since(self) -> None:
        """A server of a new version takes a request that came before it."""
        call = self.call()._replace(first_version=None)
        self.assertTrue(self._waits(call, self.other))

    def test_only_version(self) -> None:
        """All streams begin at the only version."""
        self.registry.replace([_entry('a1', 'v1')], 0.0)
        self.clock.advance(resumption.SEVERAL_SECONDS)
        self.registry.replace([_entry('a1', 'v1')], self.clock.now())
        self.clock.advance(resumption.SEVERAL_SECONDS)
        self.assertFalse(self._waits(self.call(), 'v1'))

    def test_several_services(self) -> None:
        """Who lacks the record refuses a stream of a split route."""
        call = self.call(services=('s', 't'))
        self.assertFalse(self._waits(call, self.other))

    def test_taken_up(self) -> None:
        """A stream that goes on where it began has a record already."""
        call = self.call('first', 3)._replace(origin_version=self.other)
        self.assertFalse(self._waits(call, self.other))

    def test_taken_up_at_another_service(self) -> None:
        """The record is of the earlier service."""
        self.assertTrue(self._waits(self.call('first', 3), self.selected))

    def test_unconfirmed(self) -> None:
        """The first event does not wait without an end."""
        self.records.confirmation = origin_appends.Confirmation()
        with mock.patch.object(resumption, 'CONFIRM_WAIT_SECONDS', 0.0):
            confirmation = anyio.run(
                self.subject.record, self.call(), self.other
            )
        self.assertFalse(confirmation.confirmed)
        self.assertIn(
            'request:held_for_record',
            [line['message_type'] for line in self.lines],
        )


class SelectedVersionTest(_VersionsTest):
    """A stream without a record goes on where its identifier leads (LOST)."""

    def setUp(self) -> None:
        """List two versions."""
        super().setUp()
        self.registry.replace([_entry('a1', 'v1'), _entry('b1', 'v2')], 0.0)

    def _find(self, resumes: str, **changes: typing.Any) -> str | None:
        """Return the version at which a stream goes on, if it does."""
        call = self.call(resumes, 3, **changes)
        place = anyio.run(self.subject.find, call)
        return None if place is None else place.version

    def _begin(self, attempt: str) -> str | None:
        """Return the version at which a stream begins."""
        call = self.call()
        terms = call.terms._replace(attempt_id=attempt)
        return self.subject.first_version(call._replace(terms=terms))

    def test_same_version(self) -> None:
        """It is the one at which the stream began."""
        self.earlier.states = [{'v1': 1, 'v2': 1}]
        names = [f'stream-{number}' for number in range(20)]
        began = [self._begin(name) for name in names]
        self.assertEqual({'v1', 'v2'}, set(began))
        self.assertEqual(began, [self._find(name) for name in names])

    def test_states_that_differ(self) -> None:
        """A stream is refused whose version is not the same in all."""
        self.earlier.states = [{'v1': 1, 'v2': 1}, {'v1': 1}]
        names = [f'stream-{number}' for number in range(20)]
        for name in names:
            expected = 'v1' if self._begin(name) == 'v1' else None
            self.assertEqual(expected, self._find(name))

    def test_unknown_states(self) -> None:
        """Nothing tells what was listed when the stream began."""
        self.assertIsNone(self._find('first'))
        self.earlier.states = [{}, {'v1': 1}]
        self.assertIsNone(self._find('first'))

    def test_unread_log(self) -> None:
        """The stream may have begun at another version, by the log."""
        self.earlier.states = [{'v1': 1, 'v2': 1}]
        self.records.log_complete = False
        self.assertIsNone(self._find('first'))

    def test_several_services(self) -> None:
        """Nothing tells which service began the stream."""
        self.earlier.states = [{'v1': 1, 'v2': 1}]
        self.assertIsNone(self._find('first', services=('s', 't')))

    def test_any_version(self) -> None:
        """Streams begin anywhere if one version is listed."""
        self.registry.replace([_entry('a1', 'v1')], 0.0)
        self.assertIsNone(self._begin('first'))

    def test_not_resumable(self) -> None:
        """What cannot be taken up begins anywhere."""
        self.assertIsNone(
            self.subject.first_version(self.call(resumable=False))
        )
        self.assertIsNone(self.subject.first_version(self.call('first', 3)))
