"""Adds up what the callers of all instances ask of each model."""

from __future__ import annotations

import collections
import typing

from ..fleet import rate as rates
from ..residency import adapters
from ..residency import planner

if typing.TYPE_CHECKING:
    from collections import abc

    from . import messages

__all__ = ['DemandBoard']

# An instance that was silent for so long counts for nothing.
FRESH_SECONDS: typing.Final = 2.0

_Key = tuple[str, str]


class DemandBoard:
    """The newest load of each instance."""

    def __init__(self) -> None:
        self._loads: dict[str, tuple[float, messages.InstanceLoad]] = {}
        self._used_at: dict[adapters.AdapterKey, float] = {}
        self._running: collections.Counter[_Key] = collections.Counter()
        self._at_server: collections.Counter[str] = collections.Counter()

    @property
    def used_at(self) -> abc.Mapping[adapters.AdapterKey, float]:
        """When each adapter was last known to be in use."""
        return self._used_at

    def use(self, key: adapters.AdapterKey, now: float) -> None:
        """Note that an adapter is about to be used."""
        self._used_at[key] = now

    def take(self, load: messages.InstanceLoad, now: float) -> None:
        """Take in an instance's load."""
        self._forget(load.instance_id)
        self._forget_silent(now)
        self._loads[load.instance_id] = (now, load)
        for part in load.running:
            self._running[part.server_id, part.model] += part.count
            self._at_server[part.server_id] += part.count
        for used in load.in_use:
            key3 = adapters.AdapterKey(
                used.server_id, used.model, used.adapter
            )
            self._used_at[key3] = now

    def instances(self, now: float) -> int:
        """Return how many instances tell their load."""
        return sum(now - at <= FRESH_SECONDS for at, _ in self._loads.values())

    def members(self, now: float) -> list[str]:
        """Return the instances that tell their load, newest first."""
        fresh = [
            (at, instance_id)
            for instance_id, (at, _) in self._loads.items()
            if now - at <= FRESH_SECONDS
        ]
        return [instance_id for _, instance_id in sorted(fresh, reverse=True)]

    def configuration_version(self, now: float) -> int:
        """Return the newest configuration that an instance tells of."""
        versions = (
            load.configuration_version
            for at, load in self._loads.values()
            if now - at <= FRESH_SECONDS
        )
        return max(versions, default=-1)

    def running(self, server_id: str, model: str) -> int:
        """Return how many requests of a model run on a server."""
        return self._running[server_id, model]

    def others(self, server_id: str, instance_id: str) -> int:
        """Return how many requests all other instances have at a server."""
        _, load = self._loads.get(instance_id, (0.0, None))
        rows = load.running if load is not None else ()
        own = sum(row.count for row in rows if row.server_id == server_id)
        return self._at_server[server_id] - own

    def demand(self, service: str, now: float) -> dict[str, planner.Demand]:
        """Return the demand for each model of a service."""
        total: dict[str, planner.Demand] = {}
        for at, load in self._loads.values():
            if now - at > FRESH_SECONDS:
                continue
            for row in load.models:
                if row.service != service:
                    continue
                known = total.get(row.model, planner.NO_DEMAND)
                total[row.model] = planner.Demand(
                    known.rate + rates.decayed(row.rate, now - at),
                    known.in_flight + row.in_flight,
                    known.waiting + row.waiting,
                    max(known.oldest_wait_seconds, row.oldest_wait_seconds),
                )
        return total

    def _forget_silent(self, now: float) -> None:
        """Drop what instances said that are gone by now."""
        for instance_id, (at, _) in tuple(self._loads.items()):
            if now - at > FRESH_SECONDS:
                self._forget(instance_id)

    def _forget(self, instance_id: str) -> None:
        """Take what an instance runs off the sums."""
        _, load = self._loads.pop(instance_id, (0.0, None))
        if load is None:
            return
        for row in load.running:
            self._running[row.server_id, row.model] -= row.count
            self._at_server[row.server_id] -= row.count
