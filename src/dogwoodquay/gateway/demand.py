"""Sums up the demand for each model over all instances."""

from __future__ import annotations

import collections
import typing

from ..fleet import rate as rates
from ..residency import adapters
from ..residency import served

if typing.TYPE_CHECKING:
    from collections import abc

    from . import messages

__all__ = ['DemandTracker']

# A load expires if its instance sends no newer one for so long.
LOAD_EXPIRY_SECONDS: typing.Final = 2.0

_Key = tuple[str, str]


class DemandTracker:
    """Keeps the newest load of each instance and sums them up."""

    def __init__(self) -> None:
        self._loads: dict[str, tuple[float, messages.InstanceLoad]] = {}
        self._used_at: dict[adapters.AdapterKey, float] = {}
        self._requests_by_model: collections.Counter[_Key] = (
            collections.Counter()
        )
        self._requests_by_server: collections.Counter[str] = (
            collections.Counter()
        )

    @property
    def used_at(self) -> abc.Mapping[adapters.AdapterKey, float]:
        """When each adapter was last known to be in use."""
        return self._used_at

    def record_use(self, key: adapters.AdapterKey, now: float) -> None:
        """Record that an adapter is about to be used."""
        self._used_at[key] = now

    def update(self, load: messages.InstanceLoad, now: float) -> None:
        """Replace an instance's load by a newer one."""
        self._remove(load.instance_id)
        self._remove_expired(now)
        self._loads[load.instance_id] = (now, load)
        for row in load.running:
            self._requests_by_model[row.server_id, row.model] += row.count
            self._requests_by_server[row.server_id] += row.count
        for used in load.in_use:
            adapter_key = adapters.AdapterKey(
                used.server_id, used.model, used.adapter
            )
            self._used_at[adapter_key] = now

    def instance_count(self, now: float) -> int:
        """Return the number of instances with an unexpired load."""
        return sum(
            now - received_at <= LOAD_EXPIRY_SECONDS
            for received_at, _ in self._loads.values()
        )

    def reporting_instances(self, now: float) -> list[str]:
        """Return the instances with an unexpired load, newest first."""
        fresh = [
            (received_at, instance_id)
            for instance_id, (received_at, _) in self._loads.items()
            if now - received_at <= LOAD_EXPIRY_SECONDS
        ]
        return [instance_id for _, instance_id in sorted(fresh, reverse=True)]

    def configuration_version(self, now: float) -> int:
        """Return the newest configuration version of any instance."""
        versions = (
            load.configuration_version
            for received_at, load in self._loads.values()
            if now - received_at <= LOAD_EXPIRY_SECONDS
        )
        return max(versions, default=-1)

    def configuration_seconds(self, now: float) -> float | None:
        """Return how long ago the newest version was the newest.

        The shortest time that an instance with that version knows; the time
        that its load took to arrive is not counted.
        """
        version = self.configuration_version(now)
        return min(
            (
                now - received_at + load.configuration_seconds
                for received_at, load in self._loads.values()
                if load.configuration_version == version
                and load.configuration_seconds is not None
            ),
            default=None,
        )

    def requests(self, server_id: str, model: str) -> int:
        """Return the number of requests for a model at a server."""
        return self._requests_by_model[server_id, model]

    def other_requests(self, server_id: str, instance_id: str) -> int:
        """Return the number of other instances' requests at a server."""
        _, load = self._loads.get(instance_id, (0.0, None))
        rows = load.running if load is not None else ()
        own = sum(row.count for row in rows if row.server_id == server_id)
        return self._requests_by_server[server_id] - own

    def demand(self, service: str, now: float) -> dict[str, served.Demand]:
        """Return the demand for each model of a service."""
        total: dict[str, served.Demand] = {}
        for received_at, load in self._loads.values():
            if now - received_at > LOAD_EXPIRY_SECONDS:
                continue
            for row in load.models:
                if row.service != service:
                    continue
                known = total.get(row.model, served.NO_DEMAND)
                total[row.model] = served.Demand(
                    known.rate + rates.decayed(row.rate, now - received_at),
                    known.in_flight + row.in_flight,
                    known.waiting + row.waiting,
                    max(known.oldest_wait_seconds, row.oldest_wait_seconds),
                )
        return total

    def version_demand(
        self, service: str, now: float
    ) -> dict[served.ModelAtVersion, int]:
        """Return the waiting requests by model and software version."""
        total: collections.Counter[served.ModelAtVersion] = (
            collections.Counter()
        )
        for received_at, load in self._loads.values():
            if now - received_at > LOAD_EXPIRY_SECONDS:
                continue
            for row in load.at_version:
                if row.service == service:
                    key = served.ModelAtVersion(row.model, row.version)
                    total[key] += row.waiting
        return dict(total)

    def _remove_expired(self, now: float) -> None:
        """Remove the loads that have expired."""
        for instance_id, (received_at, _) in tuple(self._loads.items()):
            if now - received_at > LOAD_EXPIRY_SECONDS:
                self._remove(instance_id)

    def _remove(self, instance_id: str) -> None:
        """Remove an instance's load from the sums."""
        _, load = self._loads.pop(instance_id, (0.0, None))
        if load is None:
            return
        for row in load.running:
            self._requests_by_model[row.server_id, row.model] -= row.count
            self._requests_by_server[row.server_id] -= row.count
