"""Tests of keeping the versions that began streams among the instances."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

import anyio
import msgspec

from . import fakes
from . import peer_network
from ..wire import loopback
from dogwoodquay import clock as clocks
from dogwoodquay.gateway import messages
from dogwoodquay.gateway import origin_appends
from dogwoodquay.gateway import origin_log
from dogwoodquay.gateway import origins
from dogwoodquay.wire import api as wire_api
from dogwoodquay.wire import codec

ORIGIN: typing.Final = origins.Origin('s', 'v1')
LATER: typing.Final = origins.Origin('s', 'v2')
SECONDS: typing.Final = 20.0
DEADLINE: typing.Final = 1e10


class _Site(unittest.IsolatedAsyncioTestCase):
    """Instances in three failure domains."""

    count = 9

    async def asyncSetUp(self) -> None:
        """Create the instances, whose callers wait as long as needed."""
        self._set('RECORD_WAIT_SECONDS', 10.0)
        self._set('FIND_TIMEOUT_SECONDS', 10.0)
        self.network = peer_network.PeerNetwork()
        self.instances = [
            peer_network.Instance(self.network, number)
            for number in range(self.count)
        ]

    def _set(self, name: str, value: float) -> None:
        patch = mock.patch.object(origins, name, value)
        patch.start()
        self.addCleanup(patch.stop)

    async def _find(
        self, instance: peer_network.Instance, stream_id: str
    ) -> tuple[origins.Origin, ...]:
        deadline = self.network.clock.now() + 60.0
        return await instance.origins.find(stream_id, deadline)

    def _holders(self, stream_id: str) -> list[int]:
        """Return the numbers of the instances that hold a record."""
        now = self.network.clock.now()
        return [
            number
            for number, instance in enumerate(self.instances)
            if instance.origins.held(stream_id, now)
        ]

    def _kept_messages(self) -> list[tuple[int, messages.KeepOrigins]]:
        return [
            (port, message)
            for port, message in self.network.requests
            if isinstance(message, messages.KeepOrigins)
        ]

    def _outcomes(self, instance: peer_network.Instance) -> dict[str, int]:
        page = instance.metrics.origins_recorded
        reasons = ('kept', 'late', 'alone', 'invalid')
        return {name: page(name) for name in reasons if page(name)}


class RecordTest(_Site):
    """A record is kept at the recording instance and at two others."""

    async def test_holders(self) -> None:
        """Three instances hold it, one of them in another domain."""
        async with peer_network.running(*self.instances):
            for number in range(30):
                stream_id = f'id-{number}'
                await self.instances[0].origins.record(
                    stream_id, ORIGIN, SECONDS
                )
                await anyio.wait_all_tasks_blocked()
                found = self._holders(stream_id)
                self.assertEqual(3, len(found))
                self.assertIn(0, found)
                domains = {self.instances[n].row.failure_domain for n in found}
                self.assertLess(1, len(domains))

    async def test_recorder_dies_at_once(self) -> None:
        """Every other instance finds what the dead one recorded last."""
        async with peer_network.running(*self.instances):
            for number in range(30):
                stream_id = f'id-{number}'
                recorder = self.instances[number % self.count]
                await recorder.origins.record(stream_id, ORIGIN, SECONDS)
                self.network.dead = {recorder.port}
                for finder in self.instances:
                    if finder is not recorder:
                        found = await self._find(finder, stream_id)
                        self.assertEqual((ORIGIN,), found)
                self.network.dead = set()
                self.network.clock.advance(1.0)

    async def test_two_die_one_after_the_other(self) -> None:
        """What the second one records again survives its death as well."""
        first, second, *others = self.instances
        async with peer_network.running(*self.instances):
            for number in range(30):
                stream_id = f'id-{number}'
                await first.origins.record(stream_id, ORIGIN, SECONDS)
                self.network.dead = {first.port}
                (found,) = await self._find(second, stream_id)
                await second.origins.record(stream_id, found, SECONDS)
                self.network.dead = {first.port, second.port}
                for finder in others:
                    found_again = await self._find(finder, stream_id)
                    self.assertEqual((ORIGIN,), found_again)
                self.network.dead = set()
                self.network.clock.advance(1.0)

    async def test_recorder_and_a_holder_die(self) -> None:
        """The other holder has the record as well."""
        async with peer_network.running(*self.instances):
            for number in range(30):
                stream_id = f'id-{number}'
                recorder = self.instances[0]
                await recorder.origins.record(stream_id, ORIGIN, SECONDS)
                await anyio.wait_all_tasks_blocked()
                for holder in self._holders(stream_id)[1:]:
                    dead = {recorder.port, self.instances[holder].port}
                    self.network.dead = dead
                    for finder in self.instances:
                        if finder.port not in dead:
                            found = await self._find(finder, stream_id)
                            self.assertEqual((ORIGIN,), found)
                self.network.dead = set()
                self.network.clock.advance(1.0)

    async def test_first_version_wins(self) -> None:
        """A later version does not replace the one that began the stream."""
        async with peer_network.running(*self.instances):
            await self.instances[0].origins.record('a', ORIGIN, SECONDS)
            await anyio.wait_all_tasks_blocked()
            await self.instances[1].origins.record('a', LATER, SECONDS)
            await anyio.wait_all_tasks_blocked()
            for finder in self.instances[2:]:
                self.assertEqual((ORIGIN,), await self._find(finder, 'a'))

    async def test_no_peers(self) -> None:
        """Without a roster, a stream does not wait."""
        alone = self.instances[0]
        await alone.origins.record('a', ORIGIN, SECONDS)
        self.assertEqual({'alone': 1}, self._outcomes(alone))
        self.assertEqual((ORIGIN,), await self._find(alone, 'a'))
        self.assertEqual((), await self._find(alone, 'b'))
        self.assertEqual([], self.network.requests)

    async def test_alone_in_the_roster(self) -> None:
        """An instance that is the only one keeps the record itself."""
        alone = self.instances[0]
        async with peer_network.running(alone):
            await alone.origins.record('a', ORIGIN, SECONDS)
        self.assertEqual({'alone': 1}, self._outcomes(alone))

    async def test_all_others_dead(self) -> None:
        """Nothing is raised, and later streams do not ask the dead."""
        first = self.instances[0]
        self.network.dead = {item.port for item in self.instances[1:]}
        async with peer_network.running(*self.instances):
            for _ in range(5):
                await first.origins.record('a', ORIGIN, SECONDS)
            self.assertEqual({'alone': 5}, self._outcomes(first))
            self.assertLessEqual(len(self._kept_messages()), self.count - 1)

    async def test_other_builds(self) -> None:
        """Instances that do not know the messages are passed over."""
        first = self.instances[0]
        self.network.old = {item.port for item in self.instances[5:]}
        async with peer_network.running(*self.instances):
            for number in range(30):
                await first.origins.record(f'id-{number}', ORIGIN, SECONDS)
            await anyio.wait_all_tasks_blocked()
        to_old = [
            port
            for port, _ in self._kept_messages()
            if port in self.network.old
        ]
        self.assertEqual(len(set(to_old)), len(to_old))

    async def test_invalid_identifiers(self) -> None:
        """Identifiers that no message can carry are not recorded."""
        first = self.instances[0]
        async with peer_network.running(*self.instances):
            for stream_id in ('', 'a' * 257, '\udc80'):
                await first.origins.record(stream_id, ORIGIN, SECONDS)
                self.assertEqual((), await self._find(first, stream_id))
        self.assertEqual({'invalid': 3}, self._outcomes(first))
        self.assertEqual([], self.network.requests)

    async def test_not_running(self) -> None:
        """While nothing is sent, a stream waits for a limited time only."""
        self._set('RECORD_WAIT_SECONDS', 0.01)
        self._set('FIND_TIMEOUT_SECONDS', 0.01)
        first = self.instances[0]
        first.origins.update_roster(tuple(i.row for i in self.instances))
        await first.origins.record('a', ORIGIN, SECONDS)
        self.assertEqual({'late': 1}, self._outcomes(first))
        self.assertEqual((), await self._find(first, 'b'))


class OwnerTest(_Site):
    """Callers of two tenants have chosen the same identifier."""

    async def test_other_owner_known_here(self) -> None:
        """The origin of the owner is looked for elsewhere."""
        one = ORIGIN._replace(owner='1')
        two = LATER._replace(owner='2')
        async with peer_network.running(*self.instances):
            await self.instances[0].origins.record('a', one, SECONDS)
            await self.instances[1].origins.record('a', two, SECONDS)
            await anyio.wait_all_tasks_blocked()
            for instance in self.instances[:2]:
                for origin in (one, two):
                    found = await instance.origins.find(
                        'a', DEADLINE, origin.owner
                    )
                    self.assertIn(origin, found)

    async def test_in_the_log(self) -> None:
        """The log has what the instances have forgotten."""
        one = ORIGIN._replace(owner='1')
        async with peer_network.running(*self.instances):
            await self.instances[0].origins.record(
                'a', one, SECONDS, confirmed=True
            )
            await anyio.wait_all_tasks_blocked()
            for instance in self.instances:
                await instance.log.flush(DEADLINE)
        reader = fakes.make_origin_log(self.network.clock, self.network.log)
        self.assertEqual((one,), await reader.find('a', DEADLINE, '1'))
        self.assertEqual((one,), await reader.find('a', DEADLINE, '2'))


class ConfirmedAppendTest(_Site):
    """A record is confirmed once the store has it (ORDER)."""

    async def asyncSetUp(self) -> None:
        """Do not wait for copies at peers."""
        await super().asyncSetUp()
        self._set('RECORD_WAIT_SECONDS', 0.01)

    async def _record(
        self, number: int = 0, stream_id: str = 'a'
    ) -> origin_appends.Confirmation:
        """Record a stream, and have all instances append what they have."""
        recorder = self.instances[number]
        confirmation = await recorder.origins.record(
            stream_id, ORIGIN, SECONDS, confirmed=True
        )
        await self._append()
        return confirmation

    async def _append(self) -> None:
        await anyio.wait_all_tasks_blocked()
        for instance in self.instances:
            await instance.log.flush(DEADLINE)
        await anyio.wait_all_tasks_blocked()

    async def _found_in_log(self) -> bool:
        reader = fakes.make_origin_log(self.network.clock, self.network.log)
        return bool(await reader.find('a', DEADLINE))

    async def test_by_a_writer(self) -> None:
        """The writer answers once it has appended."""
        async with peer_network.running(*self.instances):
            for number in range(len(self.instances)):
                confirmation = await self._record(number)
                self.assertTrue(confirmation.confirmed)
        self.assertTrue(await self._found_in_log())

    async def test_store_down(self) -> None:
        """It is confirmed when the store is back."""
        self.network.log.unavailable = True
        async with peer_network.running(*self.instances):
            confirmation = await self._record()
            self.assertFalse(confirmation.confirmed)
            self.network.log.unavailable = False
            await self._append()
            self.assertTrue(confirmation.confirmed)
        self.assertTrue(await self._found_in_log())

    async def test_other_builds(self) -> None:
        """The instance appends what the writer does not know to append."""
        self.network.old = {item.port for item in self.instances[1:]}
        async with peer_network.running(*self.instances):
            confirmation = await self._record()
            self.assertTrue(confirmation.confirmed)
        self.assertTrue(await self._found_in_log())

    async def test_dropped(self) -> None:
        """What is dropped is never confirmed."""
        log = fakes.make_origin_log(self.network.clock, self.network.log)
        confirmation = origin_appends.Confirmation()
        with mock.patch.object(origin_log, 'MAX_PENDING', 1):
            for name, notify in (('a', confirmation.confirm), ('b', None)):
                log.put(
                    messages.OriginRow(
                        name, ORIGIN.service, ORIGIN.version, SECONDS
                    ),
                    notify,
                )
            await log.flush(DEADLINE)
        self.assertFalse(confirmation.confirmed)


class FrozenPeerTest(_Site):
    """A frozen peer costs few streams the wait."""

    async def test_passed_over(self) -> None:
        """Only the first batch waits; then the next in the order is used."""
        first, frozen = self.instances[0], self.instances[1]
        self.network.frozen = {frozen.port}
        async with peer_network.running(*self.instances):
            async with anyio.create_task_group() as tasks:
                for number in range(300):
                    tasks.start_soon(
                        first.origins.record, f'id-{number}', ORIGIN, SECONDS
                    )
            for number in range(300, 600):
                await first.origins.record(f'id-{number}', ORIGIN, SECONDS)
            await self._wait_until_copied(600)
            asked = [
                message
                for port, message in self._kept_messages()
                if port == frozen.port
            ]
            self.assertEqual(1, len(asked))
            self.assertEqual(0, self._outcomes(first).get('alone', 0))
            self.network.clock.advance(origins.PASS_OVER_SECONDS)
            self.network.frozen = set()
            for number in range(600, 700):
                await first.origins.record(f'id-{number}', ORIGIN, SECONDS)
            await self._wait_until_copied(700)
            self.assertTrue(
                any(1 in self._holders(f'id-{n}') for n in range(600, 700))
            )

    async def _wait_until_copied(self, count: int) -> None:
        await loopback.wait_until(
            lambda: all(
                len(self._holders(f'id-{number}')) == 3
                for number in range(count)
            )
        )

    async def test_found_beside_a_frozen_peer(self) -> None:
        """A positive answer ends a lookup, whoever else is silent."""
        async with peer_network.running(*self.instances):
            await self.instances[0].origins.record('a', ORIGIN, SECONDS)
            await anyio.wait_all_tasks_blocked()
            holders = self._holders('a')
            self.network.dead = {self.instances[0].port}
            self.network.frozen = {
                item.port
                for number, item in enumerate(self.instances)
                if number not in holders
            }
            for finder in self.instances[1:]:
                self.assertEqual((ORIGIN,), await self._find(finder, 'a'))

    async def test_unknown_beside_a_frozen_peer(self) -> None:
        """A lookup ends without the answer of a frozen peer."""
        self._set('FIND_TIMEOUT_SECONDS', 0.01)
        self.network.frozen = {item.port for item in self.instances[1:]}
        async with peer_network.running(*self.instances):
            self.assertEqual((), await self._find(self.instances[0], 'a'))

    async def test_lookup_after_the_deadline(self) -> None:
        """A lookup whose deadline has passed ends at once."""
        async with peer_network.running(*self.instances):
            found = await self.instances[0].origins.find('a', 0.0)
        self.assertEqual((), found)


class RosterTest(_Site):
    """Instances whose rosters differ find each other's records."""

    count = 12

    async def test_one_more_or_less(self) -> None:
        """The finder knows one instance more, or one less."""
        rows = tuple(instance.row for instance in self.instances)
        async with peer_network.running(*self.instances):
            for number in range(60):
                recorder = self.instances[number % self.count]
                finder = self.instances[(number + 5) % self.count]
                changed = self.instances[(number + 7) % self.count].row
                fewer = tuple(row for row in rows if row != changed)
                for recorder_rows, finder_rows in (
                    (rows, fewer),
                    (fewer, rows),
                ):
                    stream_id = f'id-{number}-{len(finder_rows)}'
                    recorder.origins.update_roster(recorder_rows)
                    finder.origins.update_roster(finder_rows)
                    await recorder.origins.record(stream_id, ORIGIN, SECONDS)
                    self.network.dead = {recorder.port}
                    found = await self._find(finder, stream_id)
                    self.assertEqual((ORIGIN,), found)
                    self.network.dead = set()
                    self.network.clock.advance(1.0)


class LoadTest(_Site):
    """Many records travel in few messages."""

    async def test_ten_thousand_records(self) -> None:
        """All are found at another instance; batches carry many of them."""
        first, last = self.instances[0], self.instances[-1]
        async with peer_network.running(*self.instances):
            async with anyio.create_task_group() as tasks:
                for number in range(10_000):
                    tasks.start_soon(
                        first.origins.record, f'id-{number}', ORIGIN, SECONDS
                    )
            await anyio.wait_all_tasks_blocked()
            sent = [message for _, message in self._kept_messages()]
            self.assertEqual(20_000, sum(len(item.rows) for item in sent))
            self.assertLess(len(sent), 200)
            self.assertTrue(all(len(item.rows) <= 300 for item in sent))
            self.network.dead = {first.port}
            lost = []

            async def check(stream_id: str) -> None:
                if await self._find(last, stream_id) != (ORIGIN,):
                    lost.append(stream_id)

            self.network.requests.clear()
            async with anyio.create_task_group() as tasks:
                for number in range(1000):
                    tasks.start_soon(check, f'id-{number}')
            self.assertEqual([], lost)
            self.assertLess(len(self.network.requests), 200)


class HandOverTest(_Site):
    """An instance that stops passes on what it holds."""

    async def test_records_of_dead_instances(self) -> None:
        """What only the stopping instance has is found after it."""
        leaving, others = self.instances[0], self.instances[1:]
        sender = wire_api.Sender('x', wire_api.PeerAddress('h', 1))
        handler = self.network.handlers[leaving.port][messages.KeepOrigins]
        rows = tuple(
            messages.OriginRow(
                f'id-{number}', ORIGIN.service, ORIGIN.version, SECONDS
            )
            for number in range(1000)
        )
        await handler(sender, messages.KeepOrigins(rows), 0.0)
        expired = messages.OriginRow(
            'short', ORIGIN.service, ORIGIN.version, 1.0
        )
        await handler(sender, messages.KeepOrigins((expired,)), 0.0)
        self.network.clock.advance(2.0)
        async with peer_network.running(*self.instances):
            await leaving.origins.hand_over()
            self.network.dead = {leaving.port}
            for finder in others:
                for number in range(0, 1000, 50):
                    found = await self._find(finder, f'id-{number}')
                    self.assertEqual((ORIGIN,), found)
        self.assertEqual([], self._holders('short'))
        sent = [len(item.rows) for _, item in self._kept_messages()]
        self.assertEqual(2000, sum(sent))
        self.assertLessEqual(max(sent), 300)

    async def test_keeps_no_more(self) -> None:
        """Afterwards, records go to other instances."""
        leaving, recorder = self.instances[:2]
        async with peer_network.running(*self.instances):
            await leaving.origins.hand_over()
            for number in range(50):
                stream_id = f'id-{number}'
                await recorder.origins.record(stream_id, ORIGIN, SECONDS)
                await anyio.wait_all_tasks_blocked()
                found = self._holders(stream_id)
                self.assertNotIn(0, found)
                self.assertEqual(3, len(found))

    async def test_answers_meanwhile(self) -> None:
        """A stopping instance still answers lookups."""
        leaving = self.instances[0]
        async with peer_network.running(*self.instances):
            await leaving.origins.record('a', ORIGIN, SECONDS)
            self._set('HAND_OVER_SECONDS', 0.0)
            await leaving.origins.hand_over()
            self.assertEqual((ORIGIN,), await self._find(leaving, 'a'))

    async def test_frozen_peers(self) -> None:
        """The time of the hand-over is limited."""
        leaving = self.instances[0]
        async with peer_network.running(*self.instances):
            await leaving.origins.record('a', ORIGIN, SECONDS)
            self.network.frozen = {item.port for item in self.instances[1:]}
            self._set('HAND_OVER_SECONDS', 0.01)
            await leaving.origins.hand_over()


class TransportTest(unittest.IsolatedAsyncioTestCase):
    """The same over the peer protocol, with sockets."""

    async def test_recorded_and_found(self) -> None:
        """A third instance finds a record after the first has gone."""
        clock = clocks.SystemClock()
        peers = [loopback.make_peer(f'front-{n}') for n in range(4)]
        # The last one has a build without these messages.
        async with loopback.running(*peers):
            rows = tuple(
                messages.InstanceRow(f'front-{n}@{host}:{port}', f'd{n}')
                for n, (host, port) in enumerate(p.address for p in peers)
            )
            subjects = [
                origins.StreamOrigins(
                    peer,
                    *_fields(row),
                    clock,
                    fakes.make_metrics(),
                    fakes.make_origin_log(clock),
                )
                for peer, row in zip(peers[:3], rows[:3], strict=True)
            ]
            async with anyio.create_task_group() as tasks:
                for subject in subjects:
                    subject.update_roster(rows)
                    tasks.start_soon(subject.run)
                for number in range(100):
                    stream_id = f'id-{number}'
                    await subjects[0].record(stream_id, ORIGIN, SECONDS)
                await loopback.wait_until(
                    lambda: all(
                        subject.held(f'id-{number}', clock.now())
                        for subject in subjects[1:]
                        for number in range(100)
                    )
                )
                found = await subjects[2].find('id-7', clock.now() + 5.0)
                self.assertEqual((ORIGIN,), found)
                tasks.cancel_scope.cancel()

    async def test_asked_over_the_wire(self) -> None:
        """An instance that holds nothing asks the others."""
        clock = clocks.SystemClock()
        peers = [loopback.make_peer(f'front-{n}') for n in range(2)]
        async with loopback.running(*peers):
            rows = tuple(
                messages.InstanceRow(f'front-{n}@{host}:{port}', 'd')
                for n, (host, port) in enumerate(p.address for p in peers)
            )
            holder, finder = (
                origins.StreamOrigins(
                    peer,
                    *_fields(row),
                    clock,
                    fakes.make_metrics(),
                    fakes.make_origin_log(clock),
                )
                for peer, row in zip(peers, rows, strict=True)
            )
            await holder.record('a', ORIGIN, SECONDS)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(finder.run)
                finder.update_roster(rows)
                with mock.patch.object(origins, 'FIND_TIMEOUT_SECONDS', 10.0):
                    found = await finder.find('a', clock.now() + 10.0)
                    other = await finder.find('b', clock.now() + 10.0)
                tasks.cancel_scope.cancel()
        self.assertEqual((ORIGIN,), found)
        self.assertEqual((), other)


class SizeTest(unittest.TestCase):
    """The bytes on the wire by which docs/CAPACITY.md counts."""

    def test_records(self) -> None:
        """A frame with one record, a further record and an answer."""
        stream_id = '0f0e8b7c-31a1-4b52-9c0d-2f6a8d9be111'
        row = messages.OriginRow(stream_id, 'chat-service', '2024.11.3', 15.25)
        one = _frame_bytes(
            codec.FrameKind.REQUEST, messages.KeepOrigins((row,)), 1.1
        )
        two = _frame_bytes(
            codec.FrameKind.REQUEST, messages.KeepOrigins((row, row)), 1.1
        )
        answer = _frame_bytes(
            codec.FrameKind.ANSWER, messages.OriginsKept(), 0.0
        )
        self.assertEqual((110, 72, 37), (one, two - one, answer))

    def test_roster(self) -> None:
        """A roster of 690 instances."""
        rows = tuple(
            messages.InstanceRow(
                f'front-{number:03}@10.20.30.{number % 250}:7000',
                f'domain-{number % 7}',
            )
            for number in range(690)
        )
        view = messages.FleetView('front-1', (), (), 690, 4)
        with_roster = msgspec.structs.replace(
            view, roster_version=2**47, roster=rows
        )
        sizes = [
            _frame_bytes(codec.FrameKind.ANSWER, message, 0.0)
            for message in (view, with_roster)
        ]
        self.assertEqual(26_590, sizes[1] - sizes[0])


def _fields(row: messages.InstanceRow) -> tuple[str, str]:
    return row.member, row.failure_domain


def _frame_bytes(
    kind: codec.FrameKind, message: wire_api.Message, time: float
) -> int:
    """Return the size of a frame with a message."""
    body = codec.Codec().body(message)
    return len(codec.encode(codec.Frame(kind, 12345, body, time, time)))
