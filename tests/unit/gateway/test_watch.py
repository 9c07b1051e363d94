"""Tests of following the configuration and the server list."""

from __future__ import annotations

import json
import typing
import unittest

import anyio
import expression

from . import fakes
from ..fleet import entries
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import metrics as gateway_metrics
from dogwoodquay.gateway import store_api
from dogwoodquay.gateway import watch
from dogwoodquay.observe import metrics
from dogwoodquay.routes import api as routes_api

TOPIC = store_api.Topic('any')
LIMITS = routes_api.CallerLimits(1, 1, 1.0, 1.0)


def _configuration(
    body: bytes,
) -> expression.Result[routes_api.Configuration, str]:
    if not body.isdigit():
        return expression.Error('no number')
    return expression.Ok(routes_api.Configuration(int(body), (), {}, LIMITS))


def _server(
    server_id: str, body: bytes
) -> expression.Result[fleet_api.ServerEntry, str]:
    try:
        changes = json.loads(body)
    except ValueError:
        return expression.Error('unreadable')
    return expression.Ok(entries.entry(server_id, **changes))


class ConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """Only a higher version replaces the active configuration."""

    def setUp(self) -> None:
        """Create a store and a watch."""
        self.store = fakes.FakeStore(clocks.ManualClock())
        self.versions: list[int] = []
        self.watch = watch.ConfigurationWatch(
            self.store,
            TOPIC,
            'config',
            _configuration,
            self.store.clock,
            fakes.make_metrics(),
            lambda active: self.versions.append(active.version),
        )

    async def test_higher_versions(self) -> None:
        """Lower, equal and unreadable versions change nothing."""
        self.store.put('config', b'4')
        await self.watch.step()
        for body in (b'3', b'x', b'4', b'9', b'7'):
            self.store.put('config', body)
        self.store.put('other', b'99')
        await self.watch.step()
        self.assertEqual([4, 9], self.versions)

    async def test_trimmed_records(self) -> None:
        """After trimmed records the newest record is read."""
        self.store.put('config', b'1')
        await self.watch.step()
        self.store.put('config', b'2')
        self.store.put('config', b'3')
        self.store.first_offset = 2
        await self.watch.step()
        await self.watch.step()
        self.assertEqual([1, 3], self.versions)

    async def test_lost_answer(self) -> None:
        """A peer's newer version ends a poll whose answer is lost."""
        self.store.put('config', b'95')
        self.store.unanswered_reads = 1
        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as group:
                group.start_soon(self.watch.run)
                while self.store.unanswered_reads:
                    await anyio.sleep(0.01)
                self.store.put('config', b'97')
                self.watch.on_peer_version(95)
                await anyio.sleep(0.05)
                self.assertEqual([95], self.versions)
                self.watch.on_peer_version(97)
                while len(self.versions) < 2:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
        self.assertEqual([95, 97], self.versions)

    async def test_read_slower_than_views(self) -> None:
        """A read ends although views of the owner name a newer version."""
        self.store.put('config', b'4')
        await self.watch.step()
        self.store.put('config', b'9')
        self.store.first_offset = 2
        self.store.newest_seconds = 0.2
        async with anyio.create_task_group() as group:
            group.start_soon(self.watch.run)
            for _ in range(40):
                await anyio.sleep(0.05)
                self.watch.on_peer_version(9)
            group.cancel_scope.cancel()
        self.assertEqual([4, 9], self.versions)

    async def test_store_unavailable(self) -> None:
        """The active configuration stays active."""
        self.store.put('config', b'1')
        await self.watch.step()
        self.store.unavailable = True
        await self.watch.step()
        self.assertTrue(self.watch.store_unavailable)
        self.store.unavailable = False
        self.store.put('config', b'2')
        await self.watch.step()
        self.assertFalse(self.watch.store_unavailable)
        self.assertEqual([1, 2], self.versions)


class ConfigurationLogTest(unittest.IsolatedAsyncioTestCase):
    """Logs and metrics tell of reads and of missing versions."""

    def setUp(self) -> None:
        """Create a store and a watch, and collect the log lines."""
        self.lines = fakes.log_lines(self)
        self.clock = clocks.ManualClock()
        self.store = fakes.FakeStore(self.clock)
        self.page = metrics.Registry('i1')
        self.watch = watch.ConfigurationWatch(
            self.store,
            TOPIC,
            'config',
            _configuration,
            self.clock,
            gateway_metrics.GatewayMetrics(self.page),
            lambda active: None,
        )

    def _logged(
        self, event: str, *fields: str
    ) -> list[tuple[typing.Any, ...]]:
        return [
            tuple(line[name] for name in fields)
            for line in self.lines
            if line['message_type'] == f'configuration:{event}'
        ]

    def _reads(self) -> list[tuple[typing.Any, ...]]:
        return self._logged('read', 'kind', 'outcome', 'bytes', 'seconds')

    def _metric(self, name: str) -> list[str]:
        """Return the lines of a metric without its instance label."""
        page = self.page.render().body.decode()
        return [
            line.removeprefix(name).replace('instance="i1"', '')
            for line in page.splitlines()
            if line.startswith(name + '{')
        ]

    async def test_reads(self) -> None:
        """Each read tells its outcome and size, other than idle polls."""
        await self.watch.step()
        self.store.put('config', b'12')
        self.store.put('other', b'345')
        await self.watch.step()
        await self.watch.step()
        self.store.put('config', b'11')
        await self.watch.step()
        self.store.unavailable = True
        await self.watch.step()
        self.assertEqual(
            [
                ('newest', 'unchanged', 0, 0.0),
                ('poll', 'applied', 5, 0.0),
                ('poll', 'unchanged', 2, 0.0),
                ('poll', 'timeout', 0, 0.0),
            ],
            self._reads(),
        )
        reads = self._metric('gateway_configuration_reads_total')
        self.assertEqual(5, len(reads))
        self.assertIn('{,kind="poll",outcome="idle"} 1', reads)
        size = self._metric('gateway_configuration_read_bytes_total')
        self.assertEqual(['{} 7'], size)

    async def test_trimmed_records(self) -> None:
        """Trimmed records are a reason of their own."""
        await self.watch.step()
        self.store.put('config', b'1')
        self.store.first_offset = 1
        await self.watch.step()
        await self.watch.step()
        outcomes = self._logged('read', 'kind', 'outcome')
        self.assertEqual(
            [
                ('newest', 'unchanged'),
                ('poll', 'Trimmed'),
                ('newest', 'applied'),
            ],
            outcomes,
        )

    async def test_cancelled_read(self) -> None:
        """A read that a peer's newer version ends tells its duration."""
        self.store.put('config', b'16')
        self.store.unanswered_reads = 1
        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as group:
                group.start_soon(self.watch.run)
                while self.store.unanswered_reads:
                    await anyio.sleep(0.01)
                self.clock.advance(0.25)
                self.store.put('config', b'19')
                self.watch.on_peer_version(19)
                while self.watch.version < 19:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
        self.assertEqual(
            [
                ('newest', 'applied', 2, 0.0),
                ('poll', 'cancelled', 0, 0.25),
                ('newest', 'applied', 2, 0.0),
            ],
            self._reads()[:3],
        )

    async def test_behind(self) -> None:
        """One line for each newer version, one when none is missing."""
        self.store.put('config', b'16')
        await self.watch.step()
        for version in (16, 19, 19, 23, 19, 23):
            self.watch.on_peer_version(version)
            self.clock.advance(0.5)
        self.assertEqual(
            [(16, 19), (16, 23)],
            self._logged('behind', 'version', 'heard_of'),
        )
        self.assertEqual([], self._logged('current'))
        for name, value in (
            ('version', '16'),
            ('newest_version', '23'),
            ('behind_seconds', '2.5'),
        ):
            name = f'gateway_configuration_{name}'
            self.assertEqual([f'{{}} {value}'], self._metric(name))
        self.store.put('config', b'19')
        await self.watch.step()
        self.assertEqual([], self._logged('current'))
        self.store.put('config', b'23')
        await self.watch.step()
        self.assertEqual(
            [(23, 2.5)], self._logged('current', 'version', 'seconds')
        )
        name = 'gateway_configuration_behind_seconds'
        self.assertEqual(['{} 0.0'], self._metric(name))


class ServersTest(unittest.IsolatedAsyncioTestCase):
    """The registry of servers follows the list in the store."""

    def setUp(self) -> None:
        """Create a store and a watch."""
        self.clock = clocks.ManualClock()
        self.store = fakes.FakeStore(self.clock)
        self.registry = registries.Registry()
        self.changes = 0
        self.watch = watch.ServerWatch(
            self.store,
            TOPIC,
            _server,
            self.registry,
            0.7,
            self.clock,
            fakes.make_metrics(),
            self._changed,
        )

    def _changed(self) -> None:
        self.changes += 1

    async def test_changes_applied(self) -> None:
        """New, removed and unreadable entries change no other entries."""
        self.store.put('s1', b'{}')
        await self.watch.step()
        self.store.put('s2', b'{}')
        self.store.put('s3', b'\xff\x00')
        await self.watch.step()
        self.assertEqual({'s1', 's2'}, set(self.registry.servers))
        self.store.put('s1', b'')
        await self.watch.step()
        self.assertEqual({'s2'}, set(self.registry.servers))
        self.assertEqual(3, self.changes)

    async def test_entry_expired_in_outage(self) -> None:
        """A removed server is kept until it had time to be listed again."""
        self.store.put('s1', b'{}')
        self.store.put('s2', b'{}')
        await self.watch.step()
        self.store.unavailable = True
        await self.watch.step()
        self.clock.advance(6.0)
        self.store.unavailable = False
        self.store.put('s1', b'')
        self.store.put('s2', b'')
        await self.watch.step()
        self.assertEqual(2, len(self.registry.of_service('models')))
        self.store.put('s1', b'{"report_number": 2}')
        self.clock.advance(registries.RENEWAL_SECONDS + 0.1)
        await self.watch.step()
        self.assertEqual({'s1'}, set(self.registry.servers))

    async def test_trimmed_records(self) -> None:
        """After trimmed records the list is read anew, without old servers."""
        self.store.put('s1', b'{}')
        await self.watch.step()
        self.store.put('s2', b'{}')
        self.store.put('s1', b'')
        self.store.first_offset = 3
        await self.watch.step()
        await self.watch.step()
        self.assertEqual({'s2'}, set(self.registry.servers))
