"""Tests of keeping verdicts and crashes in the store."""

from __future__ import annotations

import typing
import unittest

import anyio

from . import fakes
from dogwoodquay import clock as clocks
from dogwoodquay.gateway import crash_records
from dogwoodquay.gateway import messages
from dogwoodquay.gateway import store_api
from dogwoodquay.quarantine import api
from dogwoodquay.quarantine import records
from dogwoodquay.quarantine import verdicts

_TOPIC: typing.Final = store_api.Topic('any')
_START: typing.Final = 1_000_000.0


def _verdict(*parts: str) -> api.Verdict:
    return api.Verdict(frozenset(parts), _START, 3)


class CrashRecordsTest(unittest.IsolatedAsyncioTestCase):
    """Who decides writes; all read at the start (BUDGET)."""

    def setUp(self) -> None:
        """Create an owner and its store."""
        self.clock = clocks.ManualClock(_START)
        self.time_of_day = clocks.ManualClock()
        self.store = fakes.FakeStore(self.clock)
        self.store.era = 1
        self.known = 0
        self._create(is_owner=True)

    def _create(
        self, is_owner: bool, clock: clocks.ManualClock | None = None
    ) -> None:
        clock = clock or self.clock
        self.watch = fakes.make_crashes(clock)
        self._become_owner(is_owner)
        self.subject = crash_records.CrashRecords(
            self.store,
            _TOPIC,
            self.watch,
            clock,
            fakes.make_metrics(),
            self._on_known,
            self.time_of_day,
        )

    def _on_known(self) -> None:
        self.known += 1

    def _become_owner(self, is_owner: bool) -> None:
        view = messages.FleetView('owner', (), (), 1, -1)
        self.watch.on_view(view, is_owner)

    def _convict(self, *parts: str) -> None:
        self.watch.restore(records.Kept((_verdict(*parts),), ()))

    def _convicted(self) -> set[frozenset[str]]:
        """Return the verdicts that are in force."""
        return {item.parts for item in self.watch.kept.verdicts}

    def _stored(self) -> set[frozenset[str]]:
        """Return the verdicts in the store."""
        newest = {item.key: item.value for item in self.store.records}
        values = [value for value in newest.values() if value]
        kept, _ = records.decode(values, self.time_of_day.now())
        return {item.parts for item in kept.verdicts}

    async def _steps(self) -> None:
        for _ in range(3):
            await self.subject.step()

    async def test_written_and_read(self) -> None:
        """Instances that are started later know the verdict."""
        self._convict('bad')
        await self._steps()
        self.assertEqual({frozenset({'bad'})}, self._stored())
        self._create(is_owner=False)
        self.assertEqual(set(), self._convicted())
        await self._steps()
        self.assertEqual({frozenset({'bad'})}, self._convicted())

    async def test_read_on_another_machine(self) -> None:
        """Guards against a verdict that is released as soon as it is read.

        Its machine was booted an hour earlier.
        """
        self._convict('bad')
        await self._steps()
        later = clocks.ManualClock(_START + 3600.0)
        self._create(False, later)
        await self._steps()
        self.watch.step()
        self.assertEqual({frozenset({'bad'})}, self._convicted())
        later.advance(verdicts.QUIET_SECONDS + 70.0)
        self.watch.step()
        self.assertEqual(set(), self._convicted())

    async def test_calls(self) -> None:
        """Nothing is read or written while nothing changes."""
        self._convict('bad')
        await self._steps()
        calls = self.store.calls
        await self._steps()
        self.assertEqual(calls, self.store.calls)

    async def test_verdict_in_use(self) -> None:
        """It is written again in steps, so that it does not end."""
        self._convict('bad')
        await self._steps()
        calls = self.store.calls
        self.watch.restore(
            records.Kept((_verdict('bad')._replace(seen_at=_START + 90),), ())
        )
        self.clock.advance(2 * records.SEEN_STEP_SECONDS)
        await self._steps()
        self.assertEqual(calls + 1, self.store.calls)

    async def test_written_by_the_owner(self) -> None:
        """The other instances tell the owner."""
        self._create(is_owner=False)
        self._convict('bad')
        await self._steps()
        self.assertEqual(set(), self._stored())
        self._become_owner(True)
        await self._steps()
        self.assertEqual({frozenset({'bad'})}, self._stored())

    async def test_without_an_owner(self) -> None:
        """An instance alone writes, but deletes nothing."""
        self._convict('bad')
        await self._steps()
        self.watch = fakes.make_crashes(self.clock)
        self._create(is_owner=False)
        self.clock.advance(10.0)
        self._convict('worse')
        await self._steps()
        self.assertEqual(
            {frozenset({'bad'}), frozenset({'worse'})}, self._stored()
        )

    async def test_withdrawn(self) -> None:
        """The owner deletes a verdict that has ended."""
        self._convict('bad')
        await self._steps()
        self.watch._quarantine.on_answered(
            api.Traits(frozenset({'bad'}), 'own'), self.clock.now()
        )
        self.watch.step()
        self.assertEqual(set(), self._convicted())
        await self._steps()
        self.assertEqual(set(), self._stored())

    async def test_new_owner(self) -> None:
        """It learns what the last one has written."""
        self._create(is_owner=False)
        await self._steps()
        other, self.watch = self.watch, fakes.make_crashes(self.clock)
        subject = self.subject
        self._create(is_owner=True)
        self._convict('bad')
        await self._steps()
        self.subject, self.watch = subject, other
        self._become_owner(True)
        await self._steps()
        self.assertEqual({frozenset({'bad'})}, self._convicted())

    async def test_restored_store(self) -> None:
        """What the store has lost is written again."""
        self._convict('bad')
        await self._steps()
        self.store.restore_records(0)
        self.assertEqual(set(), self._stored())
        await self._steps()
        self.assertEqual({frozenset({'bad'})}, self._stored())

    async def test_store_unavailable(self) -> None:
        """The first read is repeated, and nothing is known before."""
        self._convict('bad')
        self.store.unavailable = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.subject.run)
            while not self.store.calls:
                await anyio.sleep(0.01)
            self.assertFalse(self.subject.known)
            self.assertEqual(0, self.known)
            self.store.unavailable = False
            while not self._stored():
                await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        self.assertEqual(1, self.known)

    async def test_known_by_the_owner(self) -> None:
        """An instance that is told by another one waits for no record."""
        self._create(is_owner=True)
        self.assertFalse(self.subject.known)
        self._become_owner(False)
        self.assertTrue(self.subject.known)

    async def test_unreadable_record(self) -> None:
        """The others are read."""
        self._convict('bad')
        await self._steps()
        self.store.put('odd', b'\xff')
        self._create(is_owner=False)
        await self._steps()
        self.assertEqual({frozenset({'bad'})}, self._convicted())
