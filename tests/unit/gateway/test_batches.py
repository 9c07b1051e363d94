"""Tests of sending items to peers in batches."""

from __future__ import annotations

import contextlib
import typing
import unittest
from unittest import mock

import anyio

from dogwoodquay.gateway import batches

if typing.TYPE_CHECKING:
    from collections import abc


class PeerBatchesTest(unittest.IsolatedAsyncioTestCase):
    """What gathers while a batch is in flight goes into the next one."""

    def setUp(self) -> None:
        """Record the batches; each waits until the test lets it end."""
        self.sent: list[tuple[str, tuple[int, ...]]] = []
        self.gate = anyio.Event()

    async def _send(self, peer: str, items: tuple[int, ...]) -> None:
        self.sent.append((peer, items))
        await self.gate.wait()

    @contextlib.asynccontextmanager
    async def _running(
        self, in_flight: int = 1, gather_seconds: float = 0.0
    ) -> abc.AsyncIterator[batches.PeerBatches[int]]:
        subject = batches.PeerBatches(
            self._send, in_flight, lambda: gather_seconds
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(subject.run)
            await anyio.wait_all_tasks_blocked()
            yield subject
            tasks.cancel_scope.cancel()

    async def test_gathers_while_in_flight(self) -> None:
        """The first item is sent at once, the others together."""
        async with self._running() as subject:
            subject.put('a', 0)
            await anyio.wait_all_tasks_blocked()
            for item in range(1, 5):
                subject.put('a', item)
            subject.put('b', 9)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual([('a', (0,)), ('b', (9,))], self.sent)
            self.gate.set()
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(('a', (1, 2, 3, 4)), self.sent[-1])

    async def test_gathers_before_the_first(self) -> None:
        """Items that follow each other go into one batch."""
        self.gate.set()
        gathered = anyio.Event()
        waits: list[float] = []

        async def sleep(seconds: float) -> None:
            waits.append(seconds)
            await gathered.wait()

        with mock.patch.object(batches.anyio, 'sleep', sleep):
            async with self._running(gather_seconds=0.25) as subject:
                for item in range(5):
                    subject.put('a', item)
                    await anyio.wait_all_tasks_blocked()
                self.assertEqual(([0.25], []), (waits, self.sent))
                gathered.set()
                await anyio.wait_all_tasks_blocked()
        self.assertEqual([('a', (0, 1, 2, 3, 4))], self.sent)

    async def test_large_batches_are_split(self) -> None:
        """A batch has a limited number of items; all are sent in order."""
        self.gate.set()
        async with self._running() as subject:
            for item in range(1000):
                subject.put('a', item)
            await anyio.wait_all_tasks_blocked()
        sizes = [len(items) for _, items in self.sent]
        self.assertEqual([300, 300, 300, 100], sizes)
        items = [item for _, batch in self.sent for item in batch]
        self.assertEqual(list(range(1000)), items)

    async def test_several_in_flight(self) -> None:
        """A batch that is not answered holds up only as many as allowed."""
        async with self._running(2) as subject:
            for item in range(4):
                subject.put('a', item)
                await anyio.wait_all_tasks_blocked()
            self.assertEqual([('a', (0,)), ('a', (1,))], self.sent)
            self.gate.set()
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(('a', (2, 3)), self.sent[-1])

    async def test_take_queued(self) -> None:
        """Items that wait for a peer can be taken back."""
        async with self._running() as subject:
            for item in range(3):
                subject.put('a', item)
                await anyio.wait_all_tasks_blocked()
            self.assertEqual((1, 2), subject.take_queued('a'))
            self.assertEqual((), subject.take_queued('b'))
            self.gate.set()
            await anyio.wait_all_tasks_blocked()
            self.assertEqual([('a', (0,))], self.sent)

    async def test_queued_before_the_start(self) -> None:
        """Items are sent once it runs, also after a restart."""
        subject = batches.PeerBatches(self._send, 1)
        for number in range(3):
            subject.put('a', number)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(subject.run)
                await anyio.wait_all_tasks_blocked()
                tasks.cancel_scope.cancel()
        expected = [('a', (0,)), ('a', (1,)), ('a', (2,))]
        self.assertEqual(expected, self.sent)
