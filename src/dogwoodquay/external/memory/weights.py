"""A fake of the rate-limited weight store."""

from __future__ import annotations

import typing

import expression

from .. import api
from . import faults
from . import timeline

__all__ = ['MemoryWeightStore']

LOADS_PER_SECOND: typing.Final = 1.6
FULL_SPEED_LOADS: typing.Final = 6
BYTES_PER_SECOND: typing.Final = 8 * 2**30


class MemoryWeightStore:
    """A weight store with a limited rate of loads.

    Loads start at ``loads_per_second`` at most, and slow down when more than
    ``full_speed_loads`` run at the same time. ``delayed_loads`` counts the
    loads that had to wait for their start.
    """

    def __init__(
        self,
        time: timeline.Timeline,
        loads_per_second: float = LOADS_PER_SECOND,
        full_speed_loads: int = FULL_SPEED_LOADS,
        bytes_per_second: float = BYTES_PER_SECOND,
    ) -> None:
        self.faults = faults.Faults()
        self.loads = 0
        self.delayed_loads = 0
        self.peak_loads = 0
        self._time = time
        self._loads_per_second = loads_per_second
        self._full_speed_loads = full_speed_loads
        self._bytes_per_second = bytes_per_second
        self._next_start = 0.0
        self._ends: list[float] = []

    def start_load(self, size: int) -> float | None:
        """Start a load.

        :param size: bytes to load.
        :return: the time when the load ends, or ``None`` during an outage.
        """
        if self.faults.outage:
            return None
        now = self._time.now()
        start = max(now, self._next_start)
        if start > now:
            self.delayed_loads += 1
        self.loads += 1
        self._next_start = start + 1.0 / self._loads_per_second
        self._ends = [end for end in self._ends if end > start]
        running = len(self._ends) + 1
        self.peak_loads = max(self.peak_loads, running)
        slowdown = max(1.0, running / self._full_speed_loads)
        end = start + size / self._bytes_per_second * slowdown
        self._ends.append(end)
        return end

    async def state(
        self, deadline: float
    ) -> expression.Result[api.WeightStoreState, api.Unavailable]:
        """Return the store's limits and the number of running loads."""
        now = self._time.now()
        if self.faults.slow_seconds:
            due = now + self.faults.slow_seconds
            await timeline.sleep_until(self._time, min(due, deadline))
        if self.faults.outage or self._time.now() >= deadline:
            return expression.Error(api.Unavailable('outage'))
        running = sum(end > self._time.now() for end in self._ends)
        return expression.Ok(
            api.WeightStoreState(
                self._loads_per_second, self._full_speed_loads, running
            )
        )
