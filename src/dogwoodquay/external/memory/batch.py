"""The continuous batching of a fake engine: wait queue and throughput."""

from __future__ import annotations

import collections
import heapq
import itertools
import typing

from .. import api
from . import timeline

__all__ = ['Batch', 'Throughput']

_MAX_REPORTS: typing.Final = 256
_REPORT_INTERVAL_SECONDS: typing.Final = 0.05
_RATE_WINDOW_SECONDS: typing.Final = 1.0


class Throughput(typing.NamedTuple):
    """The batch size and throughput of an engine.

    ``decode_tokens_per_second`` is shared by all running requests. A decoding
    step takes at least ``step_seconds``. A cost that is zero is not simulated.
    """

    max_running: int = 64
    prefill_tokens_per_second: float = 20_000.0
    decode_tokens_per_second: float = 2_000.0
    step_seconds: float = 0.01


class Batch:
    """Running requests, and waiting ones ordered by priority and age."""

    def __init__(
        self, time: timeline.Timeline, throughput: Throughput
    ) -> None:
        self.throughput = throughput
        self.load_lag_seconds = 0.0
        self.running = 0
        self._time = time
        self._waiting: list[tuple[int, int, timeline.Signal]] = []
        self._sequence = itertools.count()
        self._prefill_done_at = 0.0
        self._recent_tokens: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._reports: collections.deque[api.LoadReport] = collections.deque(
            maxlen=_MAX_REPORTS
        )

    @property
    def queued(self) -> int:
        """The number of requests that wait for a slot."""
        return len(self._waiting)

    async def acquire_slot(self, priority: int, deadline: float) -> bool:
        """Wait for a slot; return false if the deadline passes first."""
        if self.running < self.throughput.max_running and not self._waiting:
            self.running += 1
            return True
        signal = timeline.Signal()
        entry = (-priority, next(self._sequence), signal)
        heapq.heappush(self._waiting, entry)
        try:
            await signal.wait(self._time, deadline)
        except BaseException:
            if entry in self._waiting:
                self._remove_waiting(entry)
            else:
                self.release_slot()
            raise
        if entry in self._waiting:
            self._remove_waiting(entry)
            return False
        return True

    def release_slot(self) -> None:
        """Release a slot, or pass it to the next waiting request."""
        if self._waiting:
            _, _, signal = heapq.heappop(self._waiting)
            signal.notify()
            return
        self.running -= 1

    async def prefill(self, tokens: int) -> None:
        """Wait while the uncached tokens of a prompt are processed."""
        if not self.throughput.prefill_tokens_per_second:
            return
        start = max(self._time.now(), self._prefill_done_at)
        cost = tokens / self.throughput.prefill_tokens_per_second
        self._prefill_done_at = start + cost
        await timeline.sleep_until(self._time, self._prefill_done_at)

    async def decode(self, tokens: int = 1) -> None:
        """Wait while the next tokens of a request are generated."""
        step = self.throughput.step_seconds
        if self.throughput.decode_tokens_per_second:
            share = self.running / self.throughput.decode_tokens_per_second
            step = max(step, share)
        if step:
            due = self._time.now() + step * tokens
            await timeline.sleep_until(self._time, due)
        self._recent_tokens.append((self._time.now(), tokens))

    def report(self, cache_used: float) -> api.LoadReport:
        """Return the load report of ``load_lag_seconds`` ago."""
        now = self._time.now()
        current = api.LoadReport(
            now, self.running, self.queued, self._rate(now), cache_used
        )
        if not self.load_lag_seconds:
            return current
        last = self._reports[-1].time if self._reports else 0.0
        if now - last >= _REPORT_INTERVAL_SECONDS:
            self._reports.append(current)
        cutoff = now - self.load_lag_seconds
        while len(self._reports) > 1 and self._reports[1].time <= cutoff:
            self._reports.popleft()
        return self._reports[0]

    def _rate(self, now: float) -> float:
        while (
            self._recent_tokens
            and self._recent_tokens[0][0] < now - _RATE_WINDOW_SECONDS
        ):
            self._recent_tokens.popleft()
        return (
            sum(count for _, count in self._recent_tokens)
            / _RATE_WINDOW_SECONDS
        )

    def _remove_waiting(self, entry: tuple[int, int, timeline.Signal]) -> None:
        self._waiting.remove(entry)
        heapq.heapify(self._waiting)
