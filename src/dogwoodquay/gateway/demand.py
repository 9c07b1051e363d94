"""Sums up the demand for each model over all instances."""

from __future__ import annotations

import collections
import math
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

# How long the newest configuration of all loads is kept.
CONFIGURATION_SECONDS: typing.Final = 0.05

_Key = tuple[str, str]


class _Confirmation(typing.NamedTuple):
    """A version and as of when it was the newest, if that is known."""

    version: int
    as_of: float | None


class DemandTracker:
    """Keeps the newest load of each instance and sums them up."""

    def __init__(self) -> None:
        self._loads: dict[str, tuple[float, messages.InstanceLoad]] = {}
        self._configuration = _Confirmation(-1, None)
        self._configuration_at = float('-inf')
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
        if load.configuration_version > self._configuration.version:
            self._configuration_at = float('-inf')
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
        return self._newest_configuration(now).version

    def configuration_seconds(self, now: float) -> float | None:
        """Return how long ago the newest version was the newest.

        The shortest time that an instance with that version knows; the time
        that its load took to arrive is not counted.
        """
        as_of = self._newest_configuration(now).as_of
        return None if as_of is None else now - as_of

    def _newest_configuration(self, now: float) -> _Confirmation:
        """Return the newest version and as of when it was the newest."""
        if now - self._configuration_at >= CONFIGURATION_SECONDS:
            self._configuration_at = now
            self._configuration = max(
                (
                    _confirmation(received_at, load)
                    for received_at, load in self._loads.values()
                    if now - received_at <= LOAD_EXPIRY_SECONDS
                ),
                key=lambda item: (item.version, item.as_of or -math.inf),
                default=_Confirmation(-1, None),
            )
        return self._configuration

    def requests(self, server_id: str, model: str) -> int:
        """Return the number of requests for a model at a server."""
        return self._requests_by_model[server_id, model]

    def other_requests(self, server_id: str, instance_id: str) -> int:
        """Return the number of other instances' requests at a server."""
        _, load = self._loads.get(instance_id, (0.0, None))
        rows = load.running if load is not None else ()
        own = sum(row.count for row in rows if row.server_id == server_id)
        return self._requests_by_server[server_id] - own

    def others_requests(
        self, load: messages.InstanceLoad
    ) -> abc.Callable[[str], int]:
        """Return what counts other instances' requests at a server.

        :param load: the last one of the instance whose requests do not count.
        """
        own: collections.Counter[str] = collections.Counter()
        for row in load.running:
            own[row.server_id] += row.count
        total = self._requests_by_server
        return lambda server_id: max(0, total[server_id] - own[server_id])

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


def _confirmation(
    received_at: float, load: messages.InstanceLoad
) -> _Confirmation:
    seconds = load.configuration_seconds
    as_of = None if seconds is None else received_at - seconds
    return _Confirmation(load.configuration_version, as_of)
