"""What an assignment of models to engines is worth to callers."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Demand', 'Layout', 'LayoutSettings', 'NONE']


class Demand(typing.NamedTuple):
    """What callers ask of a model, over all instances.

    ``rate`` is in requests a second and remembers a few seconds.
    ``objective_seconds`` is the time to the first byte that they aim at.
    """

    rate: float
    in_flight: int
    waiting: int
    oldest_wait_seconds: float
    objective_seconds: float = 0.0


class LayoutSettings(typing.NamedTuple):
    """Weights of a layout; worth is counted in requests.

    ``horizon_seconds`` is for how long a move is expected to pay.
    ``reload_seconds`` is how long a model is missed that has to be brought
    back, which matters little to requests that may take longer.
    ``late_rate`` is the requests a second and place of an engine at which
    its answers come late, and ``late_cost`` what a late answer loses.
    ``taken_share`` is how much of an engine's places a copy soon gives to
    those who wait.
    ``relief_share`` is how much of that counts for the only copy of a model.
    """

    horizon_seconds: float = 4.0
    reload_seconds: float = 1.3
    late_rate: float = 0.45
    late_cost: float = 0.7
    relief_share: float = 0.1
    taken_share: float = 0.5


# How far beyond the limit for late answers an engine can still serve.
_COLLAPSE: typing.Final = 1.5
NONE: typing.Final = Demand(0.0, 0, 0, 0.0)


class Layout:
    """Which servers hold which models, and how busy that makes them.

    The requests for a model spread evenly over its copies. An engine reads
    prompts between the tokens of running answers, so that the more requests
    begin there, the longer the answers pause.
    """

    def __init__(
        self,
        demand: abc.Mapping[str, Demand],
        slots: int,
        settings: LayoutSettings,
    ) -> None:
        self._demand = demand
        self._limit = settings.late_rate * slots
        self._taken = settings.taken_share * slots
        self._settings = settings
        self._holders: dict[str, set[str]] = {}
        self._loads: dict[str, float] = {}

    def copies(self, model: str) -> int:
        """Return how many servers hold a model."""
        return len(self._holders.get(model, ()))

    def add(self, model: str, server_id: str) -> float:
        """Add a copy; return what it gains."""
        holders = self._holders.setdefault(model, set())
        if server_id in holders:
            return 0.0
        return self._change(model, {*holders, server_id})

    def remove(self, model: str, server_id: str) -> float:
        """Remove a copy; return what that gains, which is negative."""
        holders = self._holders.get(model, set())
        if server_id not in holders:
            return 0.0
        return self._change(model, holders - {server_id})

    def _change(self, model: str, after: set[str]) -> float:
        """Give a model other holders; return what that gains."""
        item = self._demand.get(model, NONE)
        before = self._holders.get(model, set())
        touched = before | after
        cost = sum(self._late(server_id) for server_id in touched)
        for server_id in before:
            self._loads[server_id] -= item.rate / len(before)
        for server_id in after:
            load = self._loads.get(server_id, 0.0)
            self._loads[server_id] = load + item.rate / len(after)
        self._holders[model] = after
        cost -= sum(self._late(server_id) for server_id in touched)
        gain = cost * self._settings.horizon_seconds
        gain += min(item.waiting, len(after) * self._taken)
        gain -= min(item.waiting, len(before) * self._taken)
        if before and after:
            return gain
        # That others are served faster is no reason to serve some not at
        # all; it only tells servers apart.
        relief = cost * self._settings.horizon_seconds
        gain -= relief * (1.0 - self._settings.relief_share)
        worth = item.rate * self._settings.horizon_seconds
        worth *= self._missed(item)
        return gain + worth if after else gain - worth

    def _missed(self, item: Demand) -> float:
        """Return the share of requests that miss a model in a reload."""
        if not item.objective_seconds:
            return 1.0
        share = self._settings.reload_seconds / item.objective_seconds
        return min(1.0, share)

    def _late(self, server_id: str) -> float:
        """Return what is lost a second at a server as answers are late.

        Far beyond its limit an engine answers nothing in time, and what
        waits there is given up.
        """
        load = max(0.0, self._loads.get(server_id, 0.0))
        fullness = load / self._limit
        late = load * min(1.0, fullness * fullness)
        lost = max(0.0, load - self._limit * _COLLAPSE)
        return late * self._settings.late_cost + lost
