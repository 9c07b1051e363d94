"""Tests of the fake log and its faults."""

from __future__ import annotations

import random
import unittest

import anyio

from dogwoodquay.external import api
from dogwoodquay.external import memory


class MemoryLogTest(unittest.TestCase):
    """Lost answers, delayed appends, retention and outages."""

    def setUp(self) -> None:
        self.time = memory.ManualTimeline()
        self.log = memory.MemoryLog(self.time, random.Random(1))
        self.deadline = self.time.now() + 5.0

    def test_lost_answer_has_an_effect_and_lost_call_has_none(self) -> None:
        """Both are ambiguous to the writer; only a read shows the effect."""
        self.log.faults.inject(memory.CallFault.LOSE_ANSWER)
        self.log.faults.inject(memory.CallFault.LOSE_CALL)

        async def main() -> None:
            for payload in (b'kept', b'lost'):
                result = await self.log.append('s', payload, self.deadline)
                self.assertIsInstance(result.error, api.Ambiguous)

        anyio.run(main)
        payloads = [entry.payload for entry in self.log.entries('s')]
        self.assertEqual([b'kept'], payloads)

    def test_delayed_append_takes_effect_after_its_deadline(self) -> None:
        """It is stored after entries that were appended in the meantime."""
        self.log.faults.inject(memory.CallFault.LATE, delay=60.0)

        async def main() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(self.log.append, 's', b'a', self.deadline)
                await self.time.advance(5.0)
            await self.log.append('s', b'b', self.time.now() + 5.0)
            await self.time.advance(60.0)

        anyio.run(main)
        payloads = [entry.payload for entry in self.log.entries('s')]
        self.assertEqual([b'b', b'a'], payloads)

    def test_waiting_reader_gets_the_entry_or_an_empty_page(self) -> None:
        """A long poll ends with an entry or at its deadline."""
        pages: list[api.LogPage] = []

        async def read(offset: int) -> None:
            result = await self.log.read(
                's', offset, 10, self.deadline, wait=True
            )
            pages.append(result.ok)

        async def main() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(read, 0)
                group.start_soon(read, 1)
                await self.time.advance(1.0)
                self.log.put('s', b'x')
                await self.time.advance(4.0)

        anyio.run(main)
        self.assertEqual([1, 0], [len(page.entries) for page in pages])

    def test_retention_removes_old_entries(self) -> None:
        """A read of removed entries returns the first retained offset."""
        self.log.retention_seconds = 10.0

        async def main() -> api.LogError:
            self.log.put('s', b'old')
            await self.time.advance(11.0)
            self.log.put('s', b'new')
            deadline = self.time.now() + 1.0
            result = await self.log.read('s', 0, 10, deadline)
            return result.error

        self.assertEqual(api.Trimmed(1), anyio.run(main))

    def test_outage_has_no_effect(self) -> None:
        """During an outage appends and reads fail."""
        self.log.faults.outage = True

        async def main() -> None:
            result = await self.log.append('s', b'x', self.deadline)
            self.assertIsInstance(result.error, api.Unavailable)
            read = await self.log.read('s', 0, 1, self.deadline)
            self.assertIsInstance(read.error, api.Unavailable)

        anyio.run(main)
        self.assertEqual((), self.log.entries('s'))
