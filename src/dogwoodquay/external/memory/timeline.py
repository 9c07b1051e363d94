"""Clocks for the fakes on which tasks can wait."""

from __future__ import annotations

import heapq
import itertools
import math
import typing

import anyio
import anyio.lowlevel

from ... import clock

__all__ = ['ManualTimeline', 'Signal', 'SystemTimeline', 'Timeline']


class Timeline(typing.Protocol):
    """A clock on which a task can wait."""

    def now(self) -> float:
        """Return the current time in seconds."""

    async def wait(self, when: float, waiter: anyio.Event) -> None:
        """Wait for a time or for an event, whichever comes first."""


class Signal:
    """Notifies all tasks that wait for a change."""

    def __init__(self) -> None:
        self._waiters: set[anyio.Event] = set()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            waiter.set()

    async def wait(self, timeline: Timeline, when: float) -> None:
        """Wait for a change, until a time at the latest."""
        waiter = anyio.Event()
        self._waiters.add(waiter)
        try:
            await timeline.wait(when, waiter)
        finally:
            self._waiters.discard(waiter)


async def sleep_until(timeline: Timeline, when: float) -> None:
    """Wait for a time; only yield to other tasks if it has passed."""
    if when <= timeline.now():
        await anyio.lowlevel.checkpoint()
        return
    await timeline.wait(when, anyio.Event())


class SystemTimeline:
    """The system clock."""

    def __init__(self, source: clock.Clock | None = None) -> None:
        self._clock = source or clock.SystemClock()

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._clock.now()

    async def wait(self, when: float, waiter: anyio.Event) -> None:
        """Wait for a time or for an event, whichever comes first."""
        with anyio.move_on_after(when - self.now()):
            await waiter.wait()


class ManualTimeline:
    """A clock for tests that changes only when a test advances it."""

    def __init__(self, source: clock.ManualClock | None = None) -> None:
        self._clock = source or clock.ManualClock()
        self._sequence = itertools.count()
        self._waiting: list[tuple[float, int, anyio.Event]] = []

    def now(self) -> float:
        """Return the time that was set last, in seconds."""
        return self._clock.now()

    async def wait(self, when: float, waiter: anyio.Event) -> None:
        """Wait for a time or for an event, whichever comes first."""
        if when <= self.now():
            await anyio.lowlevel.checkpoint()
            return
        if when < math.inf:
            entry = (when, next(self._sequence), waiter)
            heapq.heappush(self._waiting, entry)
        await waiter.wait()

    async def advance(self, seconds: float) -> None:
        """Advance the time, waking the tasks that are due on the way."""
        end = self.now() + seconds
        await anyio.wait_all_tasks_blocked()
        while self._waiting and self._waiting[0][0] <= end:
            when, _, waiter = heapq.heappop(self._waiting)
            self._clock.advance(max(0.0, when - self.now()))
            waiter.set()
            await anyio.wait_all_tasks_blocked()
        self._clock.advance(max(0.0, end - self.now()))
        await anyio.wait_all_tasks_blocked()
