"""Tests of the version at which a stream goes on."""

from __future__ import annotations

import typing
import unittest

import anyio

from . import fakes
from . import loopback
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import api
from dogwoodquay.gateway import origins as stream_origins
from dogwoodquay.gateway import resumption
from dogwoodquay.routes import api as routes_api

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

    def test_not_resumable(self) -> None:
        """Nobody can take up the stream."""
        call = self.call(resumable=False)
        anyio.run(self.subject.record, call, 'v1')
        self.assertEqual([], self.records.recorded)
