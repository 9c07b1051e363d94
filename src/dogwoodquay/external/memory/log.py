"""A fake of the platform's append-only log."""

from __future__ import annotations

import heapq
import itertools
import math
import random
import typing

import expression

from .. import api
from . import faults
from . import timeline

__all__ = ['MemoryLog']

_APPEND_FAULTS: typing.Final = frozenset(
    {
        faults.CallFault.REFUSE,
        faults.CallFault.UNAVAILABLE,
        faults.CallFault.LOSE_CALL,
        faults.CallFault.LOSE_ANSWER,
        faults.CallFault.LATE,
    }
)


class _Stream:
    """The retained entries of a stream."""

    def __init__(self) -> None:
        self.first_offset = 0
        self.entries: list[api.LogEntry] = []
        self.changed = timeline.Signal()

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.entries)

    def append(self, payload: bytes, now: float) -> int:
        offset = self.next_offset
        self.entries.append(api.LogEntry(offset, now, payload))
        self.changed.notify()
        return offset

    def trim(self, offset: int) -> None:
        count = min(max(0, offset - self.first_offset), len(self.entries))
        del self.entries[:count]
        self.first_offset += count

    def expire(self, before: float) -> None:
        keep = 0
        while keep < len(self.entries) and self.entries[keep].time < before:
            keep += 1
        if keep:
            self.trim(self.first_offset + keep)

    def page(self, offset: int, limit: int) -> api.LogPage:
        start = offset - self.first_offset
        entries = tuple(self.entries[start : start + limit])
        return api.LogPage(entries, self.first_offset, self.next_offset)


class MemoryLog:
    """An in-memory log with retention and fault injection.

    A delayed append returns ``Ambiguous`` at the caller's deadline and takes
    effect after its delay, even if that is later.
    """

    def __init__(
        self,
        time: timeline.Timeline,
        rng: random.Random,
        retention_seconds: float = math.inf,
    ) -> None:
        self.faults = faults.Faults()
        self.retention_seconds = retention_seconds
        self.appends = 0
        self._time = time
        self._rng = rng
        self._streams: dict[str, _Stream] = {}
        self._sequence = itertools.count()
        self._delayed: list[tuple[float, int, str, bytes]] = []

    def entries(self, stream: str) -> tuple[api.LogEntry, ...]:
        """Return the entries of a stream, without any fault."""
        self._apply_due()
        return tuple(self._stream(stream).entries)

    def put(self, stream: str, payload: bytes) -> int:
        """Append an entry at once, without any fault."""
        self._apply_due()
        self.appends += 1
        return self._stream(stream).append(payload, self._time.now())

    def trim(self, stream: str, offset: int) -> None:
        """Remove the entries before an offset."""
        self._stream(stream).trim(offset)

    def set_outage(self, outage: bool) -> None:
        """Start or end an outage; waiting reads fail at once."""
        self.faults.outage = outage
        for stream in self._streams.values():
            stream.changed.notify()

    def release_delayed(self) -> int:
        """Apply all delayed appends now and return their number."""
        count = len(self._delayed)
        for _, _, stream, payload in sorted(self._delayed):
            self._stream(stream).append(payload, self._time.now())
        self._delayed.clear()
        return count

    async def append(
        self, stream: str, payload: bytes, deadline: float
    ) -> expression.Result[int, api.LogError]:
        """Append one entry and return its offset."""
        if self._is_unavailable():
            return expression.Error(api.Unavailable('outage'))
        if not await self._add_latency(deadline):
            return expression.Error(api.Unavailable('timeout'))
        if self._is_unavailable():
            return expression.Error(api.Unavailable('outage'))
        fault = self.faults.draw(self._rng, _APPEND_FAULTS)
        if fault is None:
            return expression.Ok(self.put(stream, payload))
        return await self._faulty_append(fault, stream, payload, deadline)

    async def _faulty_append(
        self,
        fault: faults.InjectedFault,
        stream: str,
        payload: bytes,
        deadline: float,
    ) -> expression.Result[int, api.LogError]:
        match fault.kind:
            case faults.CallFault.REFUSE:
                return expression.Error(api.Refused('injected'))
            case faults.CallFault.LOSE_ANSWER:
                self.put(stream, payload)
            case faults.CallFault.LATE:
                due = self._time.now() + fault.delay
                entry = (due, next(self._sequence), stream, payload)
                heapq.heappush(self._delayed, entry)
                self._stream(stream).changed.notify()
                await timeline.sleep_until(self._time, deadline)
            case faults.CallFault.LOSE_CALL:
                pass
            case _:
                return expression.Error(api.Unavailable('injected'))
        return expression.Error(api.Ambiguous(fault.kind.value))

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int,
        deadline: float,
        wait: bool = False,
    ) -> expression.Result[api.LogPage, api.LogError]:
        """Read entries, starting at an offset."""
        if self._is_unavailable():
            return expression.Error(api.Unavailable('outage'))
        if not await self._add_latency(deadline):
            return expression.Error(api.Unavailable('timeout'))
        found = self._stream(stream)
        while True:
            self._apply_due()
            if self._is_unavailable():
                return expression.Error(api.Unavailable('outage'))
            if offset < found.first_offset:
                return expression.Error(api.Trimmed(found.first_offset))
            done = offset < found.next_offset or not wait
            if done or self._time.now() >= deadline:
                return expression.Ok(found.page(offset, limit))
            due = self._delayed[0][0] if self._delayed else math.inf
            await found.changed.wait(self._time, min(deadline, due))

    async def _add_latency(self, deadline: float) -> bool:
        """Wait for ``slow_seconds``; return false if the deadline passes."""
        if self.faults.slow_seconds:
            due = self._time.now() + self.faults.slow_seconds
            await timeline.sleep_until(self._time, min(due, deadline))
        return self._time.now() < deadline

    def _is_unavailable(self) -> bool:
        return self.faults.outage

    def _stream(self, name: str) -> _Stream:
        found = self._streams.get(name)
        if found is None:
            found = self._streams[name] = _Stream()
        return found

    def _apply_due(self) -> None:
        now = self._time.now()
        while self._delayed and self._delayed[0][0] <= now:
            _, _, stream, payload = heapq.heappop(self._delayed)
            self._stream(stream).append(payload, now)
        if self.retention_seconds < math.inf:
            for found in self._streams.values():
                found.expire(now - self.retention_seconds)
