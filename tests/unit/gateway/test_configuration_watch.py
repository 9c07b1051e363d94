"""Tests of following the configuration."""

from __future__ import annotations

import contextlib
import typing
import unittest
from unittest import mock

import anyio
import expression

from . import fakes
from dogwoodquay import clock as clocks
from dogwoodquay.gateway import configuration_watch
from dogwoodquay.gateway import copies
from dogwoodquay.gateway import metrics as gateway_metrics
from dogwoodquay.gateway import reachability
from dogwoodquay.gateway import store_api
from dogwoodquay.observe import metrics
from dogwoodquay.routes import api as routes_api

if typing.TYPE_CHECKING:
    from collections import abc

TOPIC = store_api.Topic('any')
_MAX_AGE_SECONDS: typing.Final = 1.0
LIMITS = routes_api.CallerLimits(1, 1, 1.0, 1.0)


def _configuration(
    body: bytes,
) -> expression.Result[routes_api.Configuration, str]:
    if not body.isdigit():
        return expression.Error('no number')
    return expression.Ok(routes_api.Configuration(int(body), (), {}, LIMITS))


class ConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """Only a higher version replaces the active configuration."""

    def setUp(self) -> None:
        """Create a store and a watch."""
        self.store = fakes.FakeStore(clocks.ManualClock())
        self.versions: list[int] = []
        self.watch = configuration_watch.ConfigurationWatch(
            self.store,
            TOPIC,
            'config',
            _configuration,
            self.store.clock,
            fakes.make_metrics(),
            fakes.FakeCopies(),
            lambda active: self.versions.append(active.version),
            _MAX_AGE_SECONDS,
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


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """No version is missed where offsets are given out again (CONFIG)."""

    def setUp(self) -> None:
        """Create a store and a watch."""
        self.store = fakes.FakeStore(clocks.ManualClock())
        self.store.era = 1
        self.copies = fakes.FakeCopies()
        self.watch = configuration_watch.ConfigurationWatch(
            self.store,
            TOPIC,
            'config',
            _configuration,
            self.store.clock,
            fakes.make_metrics(),
            self.copies,
            lambda active: None,
            _MAX_AGE_SECONDS,
        )

    def _put(self, *versions: int) -> None:
        for version in versions:
            self.store.put('config', f'{version}'.encode())

    async def _follow(self, *versions: int) -> None:
        """Apply versions one after the other."""
        for version in versions:
            self._put(version)
            await self.watch.step()

    async def _step_twice(self) -> int:
        """Find out that the store was restored, and read it anew."""
        await self.watch.step()
        await self.watch.step()
        return self.watch.version

    async def test_end_at_the_offset(self) -> None:
        """The read up to the offset before tells nothing of its record."""
        await self._follow(1, 2, 3)
        self.store.restore_records(1)
        self._put(3, 4)
        self.assertEqual(4, await self._step_twice())

    async def test_end_behind_the_offset(self) -> None:
        """A store that does not tell its era may still be shorter."""
        self.store.era = 0
        await self._follow(1, 2, 3)
        del self.store.records[1:]
        self._put(4)
        self.assertEqual(4, await self._step_twice())

    async def test_trimmed_in_the_new_era(self) -> None:
        """Offsets before the oldest record are read anew as well."""
        await self._follow(1, 2, 3)
        self.store.restore_records(1)
        self._put(3, 4, 5)
        self.store.first_offset = 4
        self.assertEqual(5, await self._step_twice())

    async def test_two_restores(self) -> None:
        """The era rises again before the first rise is known."""
        await self._follow(1, 2, 3)
        self.store.restore_records(1)
        self._put(3, 4)
        self.store.restore_records(2)
        self._put(5)
        self.assertEqual(5, await self._step_twice())

    async def test_older_version_listed(self) -> None:
        """The active version stays until the operator has written again."""
        await self._follow(1, 2, 3)
        self.store.restore_records(1)
        self.assertEqual(3, await self._step_twice())
        self._put(3, 4)
        self.assertEqual(4, await self._step_twice())

    async def test_route_that_was_added(self) -> None:
        """A refusal waits for the read of what was written again."""
        await self._follow(1, 2, 3)
        self.store.restore_records(1)
        self._put(3, 4)
        self.store.clock.advance(2 * _MAX_AGE_SECONDS)
        await self.watch.confirm()
        self.assertEqual(4, self.watch.version)

    async def test_copy_from_before(self) -> None:
        """The offset of a peer's copy counts in its own era only."""
        await self._follow(1)
        self.store.restore_records(1)
        self.store.first_offset = 0
        await self._step_twice()
        self.copies.answer = copies.ConfigurationCopy(
            3, b'3', store_api.Position(1, 9)
        )
        self.watch.on_peer_version(3)
        self.assertTrue(await self.watch._get_missing())
        await self._follow(4)
        self.assertEqual(4, self.watch.version)

    async def test_late_answer_of_the_era_before(self) -> None:
        """It does not take the place of what was read since."""
        await self._follow(1, 2, 3)
        before = await self.store.read(
            TOPIC, store_api.Position(1, 3), 0.0, 9.0
        )
        self.store.restore_records(1)
        self._put(3, 4)
        await self._step_twice()
        self.watch._end_read('poll', before, 0.0)
        await self._follow(5)
        self.assertEqual(5, self.watch.version)


class ConfigurationLogTest(unittest.IsolatedAsyncioTestCase):
    """Logs and metrics tell of reads and of missing versions."""

    def setUp(self) -> None:
        """Create a store and a watch, and collect the log lines."""
        self.lines = fakes.log_lines(self)
        self.clock = clocks.ManualClock()
        self.store = fakes.FakeStore(self.clock)
        self.page = metrics.Registry('i1')
        self.watch = configuration_watch.ConfigurationWatch(
            self.store,
            TOPIC,
            'config',
            _configuration,
            self.clock,
            gateway_metrics.GatewayMetrics(self.page),
            fakes.FakeCopies(),
            lambda active: None,
            _MAX_AGE_SECONDS,
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
        """A poll that has become needless tells its duration."""
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
                while len(self._reads()) < 3:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
        self.assertEqual(
            [
                ('newest', 'applied', 2, 0.0),
                ('newest', 'applied', 2, 0.0),
                ('poll', 'cancelled', 0, 0.25),
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


class MissingVersionTest(unittest.IsolatedAsyncioTestCase):
    """Versions of which peers tell come into force, whatever the link."""

    def setUp(self) -> None:
        """Create a store with a version, and a watch."""
        self.store = fakes.FakeStore(clocks.ManualClock())
        self.store.holds_polls = True
        self.store.put('config', b'16')
        self.copies = fakes.FakeCopies()
        self.watch = configuration_watch.ConfigurationWatch(
            self.store,
            TOPIC,
            'config',
            _configuration,
            self.store.clock,
            fakes.make_metrics(),
            self.copies,
            self._on_change,
            _MAX_AGE_SECONDS,
        )
        self.failing = False

    def _on_change(self, active: routes_api.Configuration) -> None:
        if self.failing:
            raise ArithmeticError

    @contextlib.asynccontextmanager
    async def _running(self) -> abc.AsyncIterator[None]:
        with anyio.fail_after(20.0):
            async with anyio.create_task_group() as group:
                group.start_soon(self.watch.run)
                await self._wait_for(16)
                yield
                group.cancel_scope.cancel()

    async def _wait_for(self, version: int) -> None:
        while self.watch.version < version:
            await anyio.sleep(0.001)

    async def test_read_longer_than_the_interval_of_views(self) -> None:
        """A read that has begun is not begun anew by what peers tell."""
        async with self._running():
            self.store.transfer = anyio.Event()
            self.store.put('config', b'19')
            while not self.watch.outdated:
                await anyio.sleep(0.001)
            calls = self.store.calls
            self.store.put('config', b'23')
            for version in (19, 19, 23, 23, 23):
                self.watch.on_peer_version(version)
                await anyio.sleep(0.1)
            self.assertEqual(
                (16, calls), (self.watch.version, self.store.calls)
            )
            self.store.transfer.set()
            await self._wait_for(23)
        self.assertEqual([16, 19, 23], self.copies.kept)

    async def test_version_passed_on(self) -> None:
        """Who follows the owner's views gets a version without the store."""
        async with self._running():
            self.copies.is_following = True
            await self._end_poll()
            calls = self.store.calls
            self.copies.answer = copies.ConfigurationCopy(
                19, b'19', store_api.Position(0, 2)
            )
            self.watch.on_peer_version(19)
            await self._wait_for(19)
            self.assertEqual(calls, self.store.calls)
        self.assertFalse(self.watch.outdated)

    async def test_holder_lost(self) -> None:
        """Without a copy from a peer the store is read."""
        async with self._running():
            self.copies.is_following = True
            await self._end_poll()
            self.store.put('config', b'19')
            self.watch.on_peer_version(19)
            await self._wait_for(19)
        self.assertEqual(1, self.copies.fetched)

    async def test_unreadable_copy(self) -> None:
        """A copy that cannot be decoded counts as none."""
        async with self._running():
            self.copies.is_following = True
            await self._end_poll()
            self.copies.answer = copies.ConfigurationCopy(
                19, b'x', store_api.Position(0, 9)
            )
            self.store.put('config', b'19')
            self.watch.on_peer_version(19)
            await self._wait_for(19)

    async def test_poll_arriving_beside_a_copy(self) -> None:
        """A copy neither ends a poll that arrives nor adds a read to it."""
        async with self._running():
            self.copies.fetchable = anyio.Event()
            self.watch.on_peer_version(19)
            while not self.copies.fetched:
                await anyio.sleep(0.001)
            self.store.transfer = anyio.Event()
            self.store.put('config', b'23')
            await anyio.sleep(0.05)
            calls = self.store.calls
            self.copies.answer = copies.ConfigurationCopy(
                19, b'19', store_api.Position(0, 1)
            )
            self.copies.fetchable.set()
            await self._wait_for(19)
            self.store.transfer.set()
            await self._wait_for(23)
            self.assertLessEqual(self.store.calls, calls + 1)

    async def test_poll_arriving_without_a_copy(self) -> None:
        """The store is not read beside a poll that arrives."""
        async with self._running():
            self.copies.fetchable = anyio.Event()
            self.watch.on_peer_version(19)
            while not self.copies.fetched:
                await anyio.sleep(0.001)
            self.store.transfer = anyio.Event()
            self.store.put('config', b'19')
            await anyio.sleep(0.05)
            calls = self.store.calls
            self.copies.fetchable.set()
            await anyio.sleep(0.05)
            self.assertEqual(calls, self.store.calls)
            self.store.transfer.set()
            await self._wait_for(19)

    async def test_poll_cancelled_as_it_arrives(self) -> None:
        """A poll that is cancelled leaves no trace of its records."""
        async with self._running():
            self.copies.answer = copies.ConfigurationCopy(
                19, b'19', store_api.Position(0, 1)
            )
            self.store.begins_cancelled = True
            self.watch.on_peer_version(19)
            await self._wait_for(19)
            await anyio.sleep(0.05)
            self.assertFalse(self.watch.outdated)

    async def test_failed_activation(self) -> None:
        """A version that could not be activated is not said to be active."""
        self.failing = True
        with self.assertRaises(ArithmeticError):
            await self.watch.step()
        self.assertEqual(-1, self.watch.version)
        self.failing = False
        await self.watch.step()
        self.assertEqual(16, self.watch.version)
        self.assertFalse(self.watch.outdated)

    async def test_unreadable_version(self) -> None:
        """A version that only others can read is asked for seldom."""
        self.copies.holders_change = True
        async with self._running():
            self.store.put('config', b'x')
            self.watch.on_peer_version(19)
            await anyio.sleep(1.0)
            calls = self.store.calls
            await anyio.sleep(1.0)
            self.assertLessEqual(self.store.calls, calls + 1)
            self.assertTrue(self.watch.outdated)

    async def test_answers_that_begin_late(self) -> None:
        """A slow store gets more time with each call, until it answers."""
        self.store.late_seconds = 3.0
        with mock.patch.object(reachability, 'FIRST_BACKOFF_SECONDS', 0.0):
            for _ in range(3):
                await self.watch.step()
        self.assertEqual(16, self.watch.version)

    async def test_several_versions_waiting(self) -> None:
        """Of several versions only the first and the last are read."""
        self.store.single_records = True
        async with self._running():
            self.store.transfer = anyio.Event()
            for version in range(17, 60):
                self.store.put('config', str(version).encode())
            calls = self.store.calls
            self.store.transfer.set()
            await self._wait_for(59)
        self.assertEqual([16, 17, 59], self.copies.kept)
        self.assertLessEqual(self.store.calls, calls + 3)

    async def test_store_available_again(self) -> None:
        """Who follows views notices soon that the store answers again."""
        async with self._running():
            self.copies.is_following = True
            self.store.unavailable = True
            await self._end_poll()
            while not self.watch.store_unavailable:
                await anyio.sleep(0.01)
            self.store.unavailable = False
            with anyio.fail_after(4.0):
                while self.watch.store_unavailable:
                    await anyio.sleep(0.01)

    async def test_stale_answers_of_the_store(self) -> None:
        """A store that lags is asked at growing intervals."""
        async with self._running():
            calls = self.store.calls
            self.watch.on_peer_version(19)
            await anyio.sleep(1.0)
            self.assertTrue(self.watch.outdated)
            self.assertLessEqual(self.store.calls, calls + 3)
            self.store.put('config', b'19')
            await self._wait_for(19)
        self.assertFalse(self.watch.outdated)

    async def _end_poll(self) -> None:
        """End the poll in flight, after which the store is left alone."""
        self.store.put('other', b'')
        await anyio.sleep(0.05)


class FreshnessTest(unittest.IsolatedAsyncioTestCase):
    """What is known of the versions holds as of some time."""

    def setUp(self) -> None:
        """Create a store with a version, and a watch."""
        self.clock = clocks.ManualClock()
        self.store = fakes.FakeStore(self.clock)
        self.store.put('config', b'16')
        self.copies = fakes.FakeCopies()
        self.watch = configuration_watch.ConfigurationWatch(
            self.store,
            TOPIC,
            'config',
            _configuration,
            self.clock,
            fakes.make_metrics(),
            self.copies,
            lambda _: None,
            _MAX_AGE_SECONDS,
        )

    def _let_age(self) -> None:
        self.clock.advance(_MAX_AGE_SECONDS + 0.1)

    async def test_lost_answer_without_peers(self) -> None:
        """A poll without an answer does not hold up the next one."""
        await self.watch.step()
        self.store.unanswered_reads = 2
        self.store.put('config', b'19')
        with anyio.fail_after(10.0):
            await self.watch.step()
        self.assertEqual(19, self.watch.version)

    async def test_silence(self) -> None:
        """Without news the active version is not known to be the newest."""
        await self.watch.step()
        self.assertFalse(self.watch.outdated)
        self._let_age()
        self.assertTrue(self.watch.outdated)

    async def test_confirmed_by_the_store(self) -> None:
        """The store is asked before anything is refused for good."""
        await self.watch.step()
        self._let_age()
        self.assertTrue(await self.watch.confirm())
        calls = self.store.calls
        self.assertTrue(await self.watch.confirm())
        self.assertEqual(calls, self.store.calls)

    async def test_newer_version_found(self) -> None:
        """The question finds a version of which nobody has told."""
        await self.watch.step()
        self.store.put('config', b'19')
        self._let_age()
        self.assertTrue(await self.watch.confirm())
        self.assertEqual(19, self.watch.version)

    async def test_no_answer(self) -> None:
        """Nothing is confirmed by a store that does not answer."""
        await self.watch.step()
        self._let_age()
        self.store.unavailable = True
        self.assertFalse(await self.watch.confirm())
        self.store.unavailable = False
        self.store.unanswered_reads = 1000
        self._let_age()
        calls = self.store.calls
        self.assertFalse(await self.watch.confirm())
        self.assertLess(calls, self.store.calls)

    async def test_store_that_refuses_at_once(self) -> None:
        """Many unknown keys cost one call, and the next comes soon after."""
        await self.watch.step()
        self._let_age()
        self.store.unavailable = True
        calls = self.store.calls
        for _ in range(50):
            self.assertFalse(await self.watch.confirm())
        self.assertEqual(calls + 1, self.store.calls)
        self.store.unavailable = False
        self.clock.advance(configuration_watch.CONFIRM_PAUSE_SECONDS + 0.01)
        self.assertTrue(await self.watch.confirm())

    async def test_questions_at_the_same_time(self) -> None:
        """Refusals wait for one read together."""
        await self.watch.step()
        self._let_age()
        calls = self.store.calls
        confirmed: list[bool] = []

        async def confirm() -> None:
            confirmed.append(await self.watch.confirm())

        async with anyio.create_task_group() as group:
            for _ in range(20):
                group.start_soon(confirm)
        self.assertEqual([True] * 20, confirmed)
        self.assertEqual(calls + 1, self.store.calls)

    async def test_views(self) -> None:
        """A view counts as of the time at which its version was read."""
        await self.watch.step()
        self._let_age()
        now = self.clock.now()
        for version, as_of, outdated in (
            (16, float('-inf'), True),
            (16, now - _MAX_AGE_SECONDS - 0.05, True),
            (15, now, True),
            (16, now - 0.5, False),
            (19, now, True),
        ):
            with self.subTest(version=version, as_of=as_of):
                self.watch.on_peer_version(version, as_of)
                self.assertEqual(outdated, self.watch.outdated)

    async def test_views_without_news(self) -> None:
        """A follower reads the store if the views' last word is too old."""
        await self.watch.step()
        self.copies.is_following = True
        self.store.put('config', b'19')
        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as group:
                group.start_soon(self.watch.run)
                await anyio.sleep(0.05)
                self.assertEqual(16, self.watch.version)
                self.clock.advance(_MAX_AGE_SECONDS)
                while self.watch.version != 19:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
