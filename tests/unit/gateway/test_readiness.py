"""Tests of the readiness of an instance."""

from __future__ import annotations

import unittest

from dogwoodquay import clock as clocks
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import origin_log
from dogwoodquay.gateway import readiness
from tests.unit.fleet import entries


class ReadinessTest(unittest.TestCase):
    """An instance waits for its peers only where their records may matter."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.registry = registries.Registry()
        self.configured = True
        self.crashes_known = True
        self.roster_known = False
        self.stopping = False
        self.readiness = readiness.Readiness(
            self.registry,
            self.clock,
            lambda: self.configured,
            lambda: self.crashes_known,
            lambda: self.roster_known,
            lambda: self.stopping,
        )

    def list_servers(self, *versions: str, **changes: object) -> None:
        """Read a complete list with a server of each version."""
        self.registry.replace(
            [
                entries.entry(f's{number}', version=version, **changes)
                for number, version in enumerate(versions)
            ],
            self.clock.now(),
        )
        self.registry.on_complete_read(self.clock.now())

    def test_one_version(self) -> None:
        """Instances that start together do not wait for an owner's view."""
        self.list_servers('v1', 'v1')
        self.assertEqual('', self.readiness.reason())

    def test_records_of_crashes(self) -> None:
        """They are waited for once it is known what is served."""
        self.crashes_known = self.configured = False
        self.list_servers('v1')
        self.assertEqual('no_configuration', self.readiness.reason())
        self.clock.advance(60.0)
        self.configured = True
        self.assertEqual('no_crash_records', self.readiness.reason())
        self.clock.advance(readiness.CRASHES_WAIT_SECONDS)
        self.assertEqual('', self.readiness.reason())

    def test_several_versions(self) -> None:
        """A stream of two versions is not looked up without its holders."""
        self.list_servers('v1', 'v2')
        self.assertEqual('no_peers', self.readiness.reason())
        self.roster_known = True
        self.assertEqual('', self.readiness.reason())

    def test_versions_of_several_services(self) -> None:
        """The versions of two services are not compared."""
        self.registry.update(
            entries.entry('s1', version='v1'), self.clock.now()
        )
        self.registry.update(
            entries.entry('s2', service='other', version='v2'),
            self.clock.now(),
        )
        self.registry.on_complete_read(self.clock.now())
        self.assertEqual('', self.readiness.reason())

    def test_version_of_a_leaving_server(self) -> None:
        """A server that leaves still has streams of its version."""
        self.list_servers('v1')
        leaving = fleet_api.ServerState.LEAVING
        self.registry.update(
            entries.entry('s9', version='v2', state=leaving),
            self.clock.now(),
        )
        self.assertEqual('no_peers', self.readiness.reason())

    def test_version_that_was_listed_before(self) -> None:
        """Streams of a version outlive its servers by their lifetime."""
        self.list_servers('v1')
        self.clock.advance(0.5)
        self.list_servers('v2')
        self.assertEqual('no_peers', self.readiness.reason())
        self.clock.advance(origin_log.KEEP_SECONDS + 0.1)
        self.assertEqual('', self.readiness.reason())

    def test_incomplete_list(self) -> None:
        """Servers that were not read yet may have another version."""
        self.registry.update(entries.entry('s1'), self.clock.now())
        self.assertEqual('no_peers', self.readiness.reason())

    def test_bounded(self) -> None:
        """An instance without peers serves after the longest wait."""
        self.list_servers('v1', 'v2')
        self.clock.advance(readiness.PEERS_WAIT_SECONDS)
        self.assertEqual('', self.readiness.reason())

    def test_other_reasons(self) -> None:
        """Without a configuration or a server, nothing can be served."""
        self.assertEqual('no_servers', self.readiness.reason())
        self.configured = False
        self.assertEqual('no_configuration', self.readiness.reason())
        self.stopping = True
        self.assertEqual('stopping', self.readiness.reason())
