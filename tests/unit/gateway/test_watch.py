"""Tests of following the server list."""

from __future__ import annotations

import json
import typing
import unittest
from unittest import mock

import anyio
import expression

from . import fakes
from ..fleet import entries
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import store_api
from dogwoodquay.gateway import watch

TOPIC = store_api.Topic('any')


def _server(
    server_id: str, body: bytes
) -> expression.Result[fleet_api.ServerEntry, str]:
    try:
        changes = json.loads(body)
    except ValueError:
        return expression.Error('unreadable')
    return expression.Ok(entries.entry(server_id, **changes))


class _WatchCase(unittest.IsolatedAsyncioTestCase):
    """A watch of a list in a store, and a manual clock."""

    interval_seconds = 0.7

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
            self.interval_seconds,
            self.clock,
            fakes.make_metrics(),
            self._changed,
        )

    def _changed(self) -> None:
        self.changes += 1


class ServersTest(_WatchCase):
    """The registry of servers follows the list in the store."""

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

    async def test_unreadable_entries_are_logged_as_they_change(self) -> None:
        """An entry that is written again gets no second line."""
        lines = fakes.log_lines(self)
        for body in (b'\xff', b'\xff', b'{}', b'\xff', b'', b'\xff'):
            self.store.put('s1', body)
            self.store.put('s2', b'{}')
            await self.watch.step()
        unreadable = [
            line
            for line in lines
            if line['message_type'] == 'servers:unreadable'
        ]
        self.assertEqual(['s1'] * 3, [line['server'] for line in unreadable])

    async def test_decoder_that_fails(self) -> None:
        """An exception for one entry does not end the watch."""

        def fail(server_id: str, body: bytes) -> typing.Any:
            if server_id == 'odd':
                raise RecursionError
            return _server(server_id, body)

        self.watch._decode = fail
        for _ in range(2):
            self.store.put('s1', b'{}')
            self.store.put('odd', b'{}')
            self.store.put('s2', b'{}')
            await self.watch.step()
            self.assertEqual({'s1', 's2'}, set(self.registry.servers))

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


class WaitReadTest(_WatchCase):
    """Callers wait for what the list held at some time."""

    async def _waits(self, after: float, seconds: float = 60.0) -> bool:
        deadline = self.clock.now() + seconds
        return await self.watch.wait_read(after, deadline)

    async def test_no_read_in_time(self) -> None:
        """At the deadline there was no read that began late enough."""
        now = self.clock.now()
        self.assertFalse(await self._waits(now, 0.0))
        await self.watch.step()
        self.assertTrue(await self._waits(now - 0.1, 0.0))
        # The read may have begun just before a change at the same time.
        self.assertFalse(await self._waits(now, 0.0))

    async def test_read_that_began_before(self) -> None:
        """A read in progress does not count, as the next one does."""
        self.store.transfer = anyio.Event()
        now = self.clock.now()
        ended: list[bool] = []

        async def wait() -> None:
            ended.append(await self._waits(now + 0.1))

        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as group:
                group.start_soon(self.watch.step)
                await anyio.wait_all_tasks_blocked()
                self.clock.advance(0.2)
                group.start_soon(wait)
                await anyio.wait_all_tasks_blocked()
                self.store.transfer.set()
                await anyio.wait_all_tasks_blocked()
                self.assertEqual([], ended)
                await self.watch.step()
        self.assertEqual([True], ended)

    async def test_failed_read(self) -> None:
        """A read without an answer does not count."""
        now = self.clock.now()
        self.clock.advance(0.1)
        self.store.unavailable = True
        await self.watch.step()
        self.assertFalse(await self._waits(now, 0.0))
        self.store.unavailable = False
        await self.watch.step()
        self.assertTrue(await self._waits(now, 0.0))

    async def test_trimmed_records(self) -> None:
        """Where records were lost, only the read of the whole list counts."""
        self.store.put('s1', b'{"version": "v1"}')
        await self.watch.step()
        now = self.clock.now()
        self.clock.advance(1.0)
        self.store.put('s1', b'{"started_ms": 2000, "version": "v2"}')
        self.store.first_offset = 2
        await self.watch.step()
        self.assertFalse(await self._waits(now, 0.0))
        await self.watch.step()
        self.assertTrue(await self._waits(now, 0.0))
        self.assertIsNone(self.registry.sole_version('models', now))
        self.clock.advance(0.1)
        since = self.clock.now()
        self.assertEqual('v2', self.registry.sole_version('models', since))

    async def test_incomplete_read(self) -> None:
        """A read counts once all changes are known."""
        await self.watch.step()
        now = self.clock.now()
        self.clock.advance(0.1)
        self.store.put('s1', b'{"version": "v1"}')
        self.store.put('s2', b'{"version": "v2"}')
        short = store_api.Records(
            (self.store.records[0],), store_api.Position(0, 1), 2
        )
        with mock.patch.object(
            self.store,
            'read',
            autospec=True,
            return_value=expression.Ok(short),
        ):
            self.assertTrue(await self.watch.step())
        self.assertFalse(await self._waits(now, 0.0))
        self.assertEqual('v1', self.registry.sole_version('models', now))
        await self.watch.step()
        self.assertTrue(await self._waits(now, 0.0))
        self.assertIsNone(self.registry.sole_version('models', now))


class SilentStoreTest(_WatchCase):
    """Reads that the store does not answer, or not by records."""

    async def test_reads_without_an_answer(self) -> None:
        """A read is repeated while earlier ones still wait."""
        self.store.put('s1', b'{}')
        await self.watch.step()
        self.store.put('s1', b'')
        self.store.unanswered_reads = 2
        with anyio.fail_after(10.0):
            await self.watch.step()
        self.assertEqual({}, dict(self.registry.servers))

    async def test_answer_on_its_way(self) -> None:
        """No read is added once an answer has begun."""
        self.store.put('s1', b'{}')
        self.store.transfer = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(self.watch.step)
            await anyio.sleep(3 * watch.PATIENCE_SECONDS)
            self.assertEqual(1, self.store.calls)
            self.store.transfer.set()
        self.assertEqual({'s1'}, set(self.registry.servers))

    async def test_trimmed_records(self) -> None:
        """Trimmed records are no outage, and the list is read at once."""
        self.store.put('s1', b'{}')
        await self.watch.step()
        self.store.put('s1', b'')
        self.store.first_offset = 2
        lines = fakes.log_lines(self)
        while await self.watch.step():
            pass
        self.assertEqual({}, dict(self.registry.servers))
        kinds = {line['message_type'] for line in lines}
        self.assertEqual({'servers:removed'}, kinds)


class MissingServersTest(_WatchCase):
    """Servers that are missing from the list after an outage."""

    interval_seconds = 60.0

    async def test_dropped_between_reads(self) -> None:
        """A server is dropped when its time has passed, without a read."""
        self.store.put('s1', b'{}')
        await self.watch.step()
        self.registry.on_store_available(self.clock.now())
        self.store.put('s1', b'')
        async with anyio.create_task_group() as group:
            group.start_soon(self.watch.run)
            while self.registry.expires_at == float('inf'):
                await anyio.sleep(0.001)
            self.assertEqual(1, len(self.registry.of_service('models')))
            calls = self.store.calls
            self.clock.advance(registries.RENEWAL_SECONDS)
            while self.registry.servers:
                await anyio.sleep(0.001)
            group.cancel_scope.cancel()
        self.assertEqual(calls, self.store.calls)


class RestoredStoreTest(_WatchCase):
    """The list is read anew where offsets are given out again (DRAIN)."""

    def setUp(self) -> None:
        """Follow two servers, of which one has just written."""
        super().setUp()
        self.store.era = 1
        for server_id in ('s1', 's2'):
            self._put(server_id, 1)

    def _put(self, server_id: str, number: int, **more: typing.Any) -> None:
        body = json.dumps({'report_number': number} | more).encode()
        self.store.put(server_id, body)

    async def _read_all(self) -> None:
        while await self.watch.step():
            pass

    def _usable(self) -> set[str]:
        usable = self.registry.of_service('models')
        return {item.entry.server_id for item in usable}

    async def test_end_at_the_offset(self) -> None:
        """A new server stands where another entry was read before."""
        await self._read_all()
        self._put('s1', 2)
        await self._read_all()
        self.store.restore_records(2)
        self._put('s3', 1)
        await self._read_all()
        self.assertEqual({'s1', 's2', 's3'}, self._usable())

    async def test_removed_server(self) -> None:
        """One that had left is listed by the copy until it expires there."""
        await self._read_all()
        self.store.put('s1', b'')
        await self._read_all()
        self.assertEqual({'s2'}, self._usable())
        self.clock.advance(1.0)
        self.store.restore_records(2)
        await self._read_all()
        self.assertEqual({'s2'}, self._usable())
        self._put('s1', 2)
        await self._read_all()
        self.assertEqual({'s1', 's2'}, self._usable())

    async def test_missing_server(self) -> None:
        """One that the copy lacks has time to be listed again."""
        await self._assert_missing()

    async def test_missing_server_and_expired_records(self) -> None:
        """The offset is not there any more."""
        await self._assert_missing(first_offset=5)

    async def _assert_missing(self, first_offset: int = 0) -> None:
        await self._read_all()
        self._put('s3', 1)
        await self._read_all()
        self.store.restore_records(2)
        self.store.first_offset = first_offset
        await self._read_all()
        self.assertEqual({'s1', 's2', 's3'}, self._usable())
        self.clock.advance(registries.RENEWAL_SECONDS + 0.1)
        await self._read_all()
        self.assertEqual({'s1', 's2'}, self._usable())
