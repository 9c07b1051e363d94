"""Orders the waiting requests of tenants by start-time fair queuing."""

from __future__ import annotations

import typing

__all__ = ['FairOrder']

# Flows that are remembered; those without waiting requests go first.
MAX_FLOWS: typing.Final = 1024


class FairOrder:
    """The virtual time of one queue and the finish tags of its flows.

    Among waiting requests the one with the lowest tag is served first. Each
    flow gets service in proportion to its weight while it asks for more, and
    all of it while no other does.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._finish: dict[str, float] = {}

    def tag(self, tenant: str, cost: float, weight: float) -> float:
        """Return the tag of a request that begins to wait."""
        start = max(
            self._virtual_time, self._finish.pop(tenant, self._virtual_time)
        )
        if len(self._finish) >= MAX_FLOWS:
            self._forget()
        self._finish[tenant] = start + cost / max(weight, 1e-9)
        return start

    def served(self, tag: float) -> None:
        """Advance the virtual time to the request that is served."""
        self._virtual_time = max(self._virtual_time, tag)

    def withdrawn(self, tenant: str, cost: float, weight: float) -> None:
        """Take back a request that left unserved."""
        finish = self._finish.get(tenant)
        if finish is not None:
            self._finish[tenant] = finish - cost / max(weight, 1e-9)

    def _forget(self) -> None:
        """Drop finished flows, or else the one that was tagged first."""
        self._finish = {
            name: finish
            for name, finish in self._finish.items()
            if finish > self._virtual_time
        }
        while len(self._finish) >= MAX_FLOWS:
            del self._finish[next(iter(self._finish))]
