"""Tests of the origins of streams in the store's log."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing
import unittest
from unittest import mock

import anyio

from . import fakes
from . import peer_network
from dogwoodquay import clock as clocks
from dogwoodquay.gateway import holders
from dogwoodquay.gateway import messages
from dogwoodquay.gateway import origin_batch
from dogwoodquay.gateway import origin_log
from dogwoodquay.gateway import origin_table
from dogwoodquay.gateway import origins

if typing.TYPE_CHECKING:
    from collections import abc

ORIGIN: typing.Final = origin_table.Origin('s', 'v1')
LATER: typing.Final = origin_table.Origin('s', 'v2')
SECONDS: typing.Final = 20.0
DEADLINE: typing.Final = 1e10
_SEED: typing.Final = 34


def _row(
    stream_id: str, origin: origin_table.Origin = ORIGIN
) -> messages.OriginRow:
    return messages.OriginRow(
        stream_id, origin.service, origin.version, SECONDS
    )


def _gather_nothing(test: unittest.TestCase) -> None:
    """Send records to writers at once."""
    patch = mock.patch.object(origins, 'GATHER_SECONDS', 0.0)
    patch.start()
    test.addCleanup(patch.stop)


class BatchTest(unittest.TestCase):
    """Records hold the origins of many streams."""

    def test_round_trip(self) -> None:
        """Each key leads to its origin."""
        rows = [_row('a'), _row('b', LATER), _row('c')]
        found = dict(origin_batch.decode(origin_batch.encode(rows)))
        self.assertEqual(
            {
                origin_batch.key_of('a'): ORIGIN,
                origin_batch.key_of('b'): LATER,
                origin_batch.key_of('c'): ORIGIN,
            },
            found,
        )

    def test_size(self) -> None:
        """The most streams of an append fit in a record."""
        rows = [_row(f'{number}') for number in range(origin_log.MAX_APPENDED)]
        self.assertLess(len(origin_batch.encode(rows)), 262_144)

    def test_unreadable(self) -> None:
        """Other bytes and other schemas raise the same error."""
        other = origin_batch._Batch(origin_batch.SCHEMA + 1, ())
        for record in (
            b'',
            b'\xff',
            b'\x01',
            origin_batch.entries.pack(other),
        ):
            with self.assertRaises(ValueError):
                origin_batch.decode(record)


class _LogTest(unittest.IsolatedAsyncioTestCase):
    """A writer and a reader of the same topic."""

    async def asyncSetUp(self) -> None:
        """Create both."""
        asyncio.get_running_loop().set_debug(False)
        self.lines = fakes.log_lines(self)
        self.clock = clocks.ManualClock(100.0)
        self.store = fakes.FakeLog()
        self.several = False
        self.writer = self.make()
        self.reader = self.make()

    def make(self) -> origin_log.OriginLog:
        """Return a new instance's log."""
        return origin_log.OriginLog(
            self.store,
            self.clock,
            fakes.make_metrics(),
            lambda: self.several,
        )

    async def append(self, *rows: messages.OriginRow) -> None:
        """Append rows at once."""
        for row in rows:
            self.writer.put(row)
        await self.writer.flush(DEADLINE)

    async def found(self, stream_id: str) -> tuple[origin_table.Origin, ...]:
        """Return what the reader finds."""
        return await self.reader.find(stream_id, DEADLINE)


class FindTest(_LogTest):
    """Another instance finds what was appended."""

    async def test_found(self) -> None:
        """The second lookup needs no read."""
        await self.append(_row('a'), _row('b', LATER))
        self.assertEqual((ORIGIN,), await self.found('a'))
        self.assertEqual((LATER,), await self.found('b'))
        self.assertEqual(1, self.store.reads)

    async def test_unknown(self) -> None:
        """Each lookup reads what is new."""
        self.assertEqual((), await self.found('a'))
        await self.append(_row('a'))
        self.assertEqual((ORIGIN,), await self.found('a'))

    async def test_several_pages(self) -> None:
        """The log is read to its end."""
        self.store.page_records = 1
        for number in range(5):
            await self.append(_row(f'{number}'))
        self.assertEqual((ORIGIN,), await self.found('4'))

    async def test_expired_records(self) -> None:
        """The read goes on with the oldest record that is left."""
        await self.append(_row('a'))
        self.store.trim()
        await self.append(_row('b'))
        self.assertEqual((), await self.found('a'))
        self.assertEqual((ORIGIN,), await self.found('b'))

    async def test_restored_store(self) -> None:
        """A log that is shorter than before is read from its begin (LOST)."""
        for name in ('a', 'b', 'c'):
            await self.append(_row(name))
        self.assertEqual((ORIGIN,), await self.found('c'))
        del self.store.records[1:]
        await self.append(_row('d'))
        self.assertEqual((ORIGIN,), await self.found('d'))
        self.assertEqual((ORIGIN,), await self.found('c'))

    async def test_restored_store_of_the_same_length(self) -> None:
        """A log whose offsets name other records is read anew (LOST)."""
        self.store.era = 1
        for name in ('a', 'b'):
            await self.append(_row(name))
        self.assertEqual((ORIGIN,), await self.found('b'))
        self.store.restore(1)
        other = fakes.make_origin_log(self.clock, self.store)
        other.put(_row('c'))
        await other.flush(DEADLINE)
        self.assertEqual((ORIGIN,), await self.found('c'))

    async def test_lost_by_a_restore(self) -> None:
        """What the store has lost is appended again (LOST)."""
        self.store.era = 1
        for name in ('a', 'b', 'c'):
            await self.append(_row(name))
        self.store.restore(1)
        await self.append(_row('d'))
        await self.writer.flush(DEADLINE)
        for name in ('a', 'b', 'c', 'd'):
            self.assertEqual((ORIGIN,), await self.found(name))

    async def test_remembered_rows(self) -> None:
        """Rows are remembered for a time, and a number of them."""
        self.store.era = 1
        with mock.patch.object(origin_log, 'MAX_REMEMBERED', 2):
            for name in ('a', 'b', 'c'):
                await self.append(_row(name))
            self.store.restore(0)
            await self.append(_row('d'))
            await self.writer.flush(DEADLINE)
        self.assertEqual((), await self.found('a'))
        self.assertEqual((ORIGIN,), await self.found('b'))
        self.clock.advance(2 * origin_log.KEEP_SECONDS)
        await self.append(_row('e'))
        self.store.restore(0)
        await self.append(_row('f'))
        await self.writer.flush(DEADLINE)
        self.assertEqual(2, len(self.store.records))

    async def test_unreadable_record(self) -> None:
        """The others are read."""
        self.store.records.append(b'\xff')
        await self.append(_row('a'))
        self.assertEqual((ORIGIN,), await self.found('a'))
        kinds = [line['message_type'] for line in self.lines]
        self.assertIn('origin_log:unreadable', kinds)

    async def test_store_unavailable(self) -> None:
        """Nothing is found, and the store is not asked again at once."""
        await self.append(_row('a'))
        self.store.unavailable = True
        for _ in range(5):
            self.assertEqual((), await self.found('a'))
        self.assertEqual(1, self.store.reads)
        self.store.unavailable = False
        self.clock.advance(origin_log.READ_BACKOFF_SECONDS)
        self.assertEqual((ORIGIN,), await self.found('a'))

    async def test_shared_read(self) -> None:
        """Lookups during a read wait for one that begins after them."""
        self.store.answers = anyio.Event()
        found: dict[str, tuple[origin_table.Origin, ...]] = {}

        async def find(stream_id: str) -> None:
            found[stream_id] = await self.found(stream_id)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(find, 'first')
            await anyio.wait_all_tasks_blocked()
            await self.append(*(_row(f'{number}') for number in range(50)))
            for number in range(50):
                tasks.start_soon(find, f'{number}')
            await anyio.wait_all_tasks_blocked()
            self.store.answers.set()
        self.assertEqual((), found.pop('first'))
        self.assertEqual({(ORIGIN,)}, set(found.values()))
        self.assertEqual(2, self.store.reads)

    async def test_deadline(self) -> None:
        """A lookup ends at its deadline, and a later one is served."""
        await self.append(_row('a'))
        self.store.answers = anyio.Event()
        found = await self.reader.find('a', self.clock.now() + 0.01)
        self.assertEqual((), found)
        self.store.answers.set()
        self.assertEqual((ORIGIN,), await self.found('a'))


class AppendTest(_LogTest):
    """Records are appended in batches."""

    @contextlib.asynccontextmanager
    async def _running(self) -> abc.AsyncIterator[None]:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.writer.run)
            yield
            tasks.cancel_scope.cancel()

    async def test_first_at_once(self) -> None:
        """What comes after a pause does not wait."""
        async with self._running():
            self.writer.put(_row('a'))
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(1, self.store.appends)

    async def test_batches(self) -> None:
        """What comes within the interval waits for its end."""
        with mock.patch.object(origin_log, 'INTERVAL_SECONDS', 3600.0):
            async with self._running():
                for number in range(300):
                    self.writer.put(_row(f'{number}'))
                    await anyio.wait_all_tasks_blocked()
                self.assertEqual(1, self.store.appends)
        await self.writer.flush(DEADLINE)
        self.assertEqual(2, self.store.appends)
        self.assertEqual((ORIGIN,), await self.found('299'))

    async def test_several_versions(self) -> None:
        """What comes while there are several versions waits for less."""
        self.several = True
        async with self._running():
            self.writer.put(_row('a'))
            await anyio.wait_all_tasks_blocked()
            self.clock.advance(origin_log.SHORT_INTERVAL_SECONDS)
            self.writer.put(_row('b'))
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(2, self.store.appends)
            self.assertTrue(self.writer.urgent)
            self.several = False
            self.assertTrue(self.writer.urgent)
            self.clock.advance(origin_log.URGENT_SECONDS)
            self.assertFalse(self.writer.urgent)

    async def test_lost_answer(self) -> None:
        """What may not have been appended is appended again."""
        self.store.late = True
        await self.append(_row('a'))
        self.store.late = False
        await self.append(_row('b'))
        self.store.apply_late()
        self.assertEqual((ORIGIN,), await self.found('a'))
        self.assertEqual((ORIGIN,), await self.found('b'))

    async def test_too_many(self) -> None:
        """The oldest are dropped while the store is away."""
        self.store.unavailable = True
        for number in range(origin_log.MAX_PENDING + 1):
            self.writer.put(_row(f'{number}'))
        self.store.unavailable = False
        await self.writer.flush(DEADLINE)
        self.assertEqual((), await self.found('0'))
        self.assertEqual((ORIGIN,), await self.found('1'))


class WriterTest(unittest.IsolatedAsyncioTestCase):
    """One of the instances appends the records of all."""

    async def asyncSetUp(self) -> None:
        """Create instances that know each other."""
        asyncio.get_running_loop().set_debug(False)
        _gather_nothing(self)
        self.network = peer_network.PeerNetwork()
        self.instances = [
            peer_network.Instance(self.network, number) for number in range(6)
        ]

    async def _record(self, count: int) -> None:
        """Record streams at all instances, which then append them."""
        for number in range(count):
            recorder = self.instances[number % len(self.instances)]
            await recorder.origins.record(f'{number}', ORIGIN, SECONDS)
        await anyio.wait_all_tasks_blocked()
        self.network.log.appends = 0
        for instance in self.instances:
            if instance.port not in self.network.dead:
                await instance.log.flush(DEADLINE)

    async def _lost(self, count: int) -> list[int]:
        """Return the streams that the log does not have."""
        reader = fakes.make_origin_log(self.network.clock, self.network.log)
        return [
            number
            for number in range(count)
            if not await reader.find(f'{number}', DEADLINE)
        ]

    async def test_one_append(self) -> None:
        """All records are in a batch of the same instance."""
        async with peer_network.running(*self.instances):
            await self._record(60)
        self.assertEqual(1, self.network.log.appends)
        self.assertEqual([], await self._lost(60))

    async def test_writer_dead(self) -> None:
        """The next writer, or the instance itself, appends them."""
        order = holders.HolderOrder()
        order.update(tuple(item.row for item in self.instances))
        writer, *_ = order.writers('')
        dead = next(i for i in self.instances if i.row.member == writer)
        self.network.dead = {dead.port}
        self.instances.remove(dead)
        async with peer_network.running(*self.instances, roster_of=(dead,)):
            await self._record(60)
        self.assertLessEqual(self.network.log.appends, 2)
        self.assertEqual([], await self._lost(60))

    async def test_other_builds(self) -> None:
        """Instances that cannot write for others are passed over."""
        self.network.old = {item.port for item in self.instances[1:]}
        async with peer_network.running(*self.instances):
            await self._record(60)
        self.assertEqual([], await self._lost(60))

    async def test_without_a_roster(self) -> None:
        """Instances that know nobody append their own records."""
        await self._record(60)
        self.assertEqual(6, self.network.log.appends)
        self.assertEqual([], await self._lost(60))


class HistoryTest(unittest.IsolatedAsyncioTestCase):
    """No history of kills, releases and late records joins versions."""

    async def asyncSetUp(self) -> None:
        """Leave debug mode, which is slow."""
        asyncio.get_running_loop().set_debug(False)
        _gather_nothing(self)

    async def _play(self, seed: int) -> tuple[int, int]:
        """Play a history.

        :return: how many lookups told an origin, and how many a wrong one.
        """
        rng = random.Random(seed)
        network = peer_network.PeerNetwork()
        network.log.page_records = rng.randrange(1, 5)
        began: dict[str, origin_table.Origin] = {}
        instances = [peer_network.Instance(network, n) for n in range(4)]
        told = wrong = 0
        for step in range(20):
            network.log.unavailable = rng.random() < 0.1
            network.log.late = rng.random() < 0.2
            versions = ['v1', 'v2', 'v3'][step // 8 :][:2]
            async with peer_network.running(*instances):
                for _ in range(rng.randrange(4)):
                    origin = origin_table.Origin('s', rng.choice(versions))
                    stream_id = f'{len(began)}'
                    began[stream_id] = origin
                    recorder = rng.choice(instances).origins
                    await recorder.record(stream_id, origin, SECONDS)
                await anyio.wait_all_tasks_blocked()
                if rng.random() < 0.7:
                    for instance in instances:
                        await instance.log.flush(DEADLINE)
                self._disturb(rng, network, instances)
            network.clock.advance(0.3)
            async with peer_network.running(*instances):
                for stream_id in rng.sample(sorted(began), min(4, len(began))):
                    finder = rng.choice(instances).origins
                    found = await finder.find(stream_id, DEADLINE)
                    told += bool(found)
                    wrong += found not in ((), (began[stream_id],))
        return told, wrong

    def _disturb(
        self,
        rng: random.Random,
        network: peer_network.PeerNetwork,
        instances: list[peer_network.Instance],
    ) -> None:
        """Kill instances, apply late records, or forget history."""
        match rng.randrange(8):
            case 0:
                killed = list(range(len(instances)))
            case 1:
                killed = [rng.randrange(len(instances))]
            case 2:
                network.log.apply_late()
                return
            case 3 if rng.random() < 0.3:
                network.log.trim()
                return
            case _:
                return
        for number in killed:
            instances[number] = peer_network.Instance(network, number)

    async def _wrong_in_some(self) -> int:
        """Play histories; return how many lookups told a wrong origin."""
        total = 0
        for seed in range(_SEED, _SEED + 20):
            told, wrong = await self._play(seed)
            self.assertGreater(told, 0)
            total += wrong
        return total

    async def test_joined_after_some_history(self) -> None:
        """What is told of a stream is true."""
        self.assertEqual(0, await self._wrong_in_some())

    async def test_colliding_keys(self) -> None:
        """The histories show streams that are taken for each other."""
        with (
            mock.patch.object(
                origin_batch, 'key_of', lambda name: name[-1:].encode().hex()
            ),
            mock.patch.object(origin_batch, 'KEY_BYTES', 1),
        ):
            self.assertLess(0, await self._wrong_in_some())
