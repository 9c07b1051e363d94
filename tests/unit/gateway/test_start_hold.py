"""Tests of requests that arrive while an instance starts."""

from __future__ import annotations

import asyncio
import unittest

from dogwoodquay import clock as clocks
from dogwoodquay.gateway import start_hold


class StartHoldTest(unittest.IsolatedAsyncioTestCase):
    """Requests are held for a limited time, and in a limited number."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.hold = start_hold.StartHold(self.clock)

    async def held(self, wait_seconds: float = 60.0) -> asyncio.Task[None]:
        """Hold a request until it waits or goes on."""
        task = asyncio.create_task(self.hold.wait(wait_seconds))
        for _ in range(5):
            await asyncio.sleep(0)
        return task

    async def test_released(self) -> None:
        """A held request goes on at once when the instance can serve."""
        tasks = [await self.held() for _ in range(3)]
        self.assertFalse(any(task.done() for task in tasks))
        self.hold.release()
        await asyncio.wait_for(asyncio.gather(*tasks), 0.5)
        self.assertTrue((await self.held()).done())

    async def test_part_of_the_callers_time(self) -> None:
        """A caller that waits briefly keeps time for a retry."""
        task = await self.held(wait_seconds=0.1)
        self.assertFalse(task.done())
        await asyncio.wait_for(task, 0.5)

    async def test_bounded_number(self) -> None:
        """Requests above the limit are refused without a wait."""
        tasks = [await self.held() for _ in range(start_hold.MAX_HELD)]
        self.assertTrue((await self.held()).done())
        self.hold.release()
        await asyncio.gather(*tasks)

    async def test_only_after_the_start(self) -> None:
        """A store that stays away does not delay refusals."""
        self.clock.advance(start_hold.START_SECONDS)
        self.assertTrue((await self.held()).done())

    async def test_left(self) -> None:
        """A request that is cancelled makes room for another one."""
        tasks = [await self.held() for _ in range(start_hold.MAX_HELD)]
        tasks[0].cancel()
        await asyncio.wait(tasks[:1])
        self.assertFalse((await self.held()).done())
        self.hold.release()
        await asyncio.gather(*tasks[1:])
