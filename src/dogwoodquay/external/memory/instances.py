"""A fake of the platform's instance list, which lags behind changes."""

from __future__ import annotations

import collections
import random
import typing

import expression

from .. import api
from . import faults
from . import timeline

__all__ = ['MemoryInstanceList']

_ANNOUNCE_FAULTS: typing.Final = frozenset(
    {
        faults.CallFault.UNAVAILABLE,
        faults.CallFault.LOSE_CALL,
        faults.CallFault.LOSE_ANSWER,
    }
)

_Snapshot = tuple[float, dict[str, api.Instance]]


class MemoryInstanceList:
    """An instance list that shows each change after ``lag_seconds``."""

    def __init__(
        self,
        time: timeline.Timeline,
        rng: random.Random,
        lag_seconds: float = 0.0,
    ) -> None:
        self.faults = faults.Faults()
        self.lag_seconds = lag_seconds
        self._time = time
        self._rng = rng
        self._current: dict[str, api.Instance] = {}
        self._history: collections.deque[_Snapshot] = collections.deque()

    def put(self, instance: api.Instance) -> None:
        """Add an instance or update its entry, without any fault."""
        self._current = {**self._current, instance.instance_id: instance}
        self._history.append((self._time.now(), self._current))

    def remove(self, instance_id: str) -> None:
        """Remove an instance from the list."""
        self._current = dict(self._current)
        self._current.pop(instance_id, None)
        self._history.append((self._time.now(), self._current))

    async def instances(
        self, deadline: float
    ) -> expression.Result[tuple[api.Instance, ...], api.Unavailable]:
        """Return the list of ``lag_seconds`` ago."""
        if not await self._reachable(deadline):
            return expression.Error(api.Unavailable('outage'))
        return expression.Ok(tuple(self._visible().values()))

    async def announce(
        self, instance: api.Instance, deadline: float
    ) -> expression.Result[None, api.Unavailable | api.Ambiguous]:
        """Add an instance to the list or update its entry."""
        if not await self._reachable(deadline):
            return expression.Error(api.Unavailable('outage'))
        fault = self.faults.draw(self._rng, _ANNOUNCE_FAULTS)
        if fault is None:
            self.put(instance)
            return expression.Ok(None)
        match fault.kind:
            case faults.CallFault.LOSE_ANSWER:
                self.put(instance)
            case faults.CallFault.LOSE_CALL:
                pass
            case _:
                return expression.Error(api.Unavailable('injected'))
        return expression.Error(api.Ambiguous(fault.kind.value))

    async def _reachable(self, deadline: float) -> bool:
        if self.faults.slow_seconds:
            due = self._time.now() + self.faults.slow_seconds
            await timeline.sleep_until(self._time, min(due, deadline))
        return not self.faults.outage and self._time.now() < deadline

    def _visible(self) -> dict[str, api.Instance]:
        cutoff = self._time.now() - self.lag_seconds
        while len(self._history) > 1 and self._history[1][0] <= cutoff:
            self._history.popleft()
        if not self._history or self._history[0][0] > cutoff:
            return {}
        return self._history[0][1]
