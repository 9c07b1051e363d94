"""Counts this instance's requests for each model."""

from __future__ import annotations

import collections
import dataclasses
import typing

from ..fleet import rate as rates

if typing.TYPE_CHECKING:
    from collections import abc

    from ..fleet import queue

__all__ = [
    'LocalDemand',
    'ModelCounts',
    'VersionKey',
    'local_demand',
    'version_demand',
]

_Key = tuple[str, str]


class VersionKey(typing.NamedTuple):
    """A model of a service at the servers of one software version."""

    service: str
    model: str
    version: str


class LocalDemand(typing.NamedTuple):
    """The demand for one model from the callers of this instance.

    ``rate`` is in requests per second. ``waiting`` counts waiting requests
    and deferred callers, those that were asked to retry later.
    """

    rate: float
    in_flight: int
    waiting: int
    oldest_wait_seconds: float


@dataclasses.dataclass(slots=True)
class ModelCounts:
    """Counts the requests for one model.

    ``retry_at`` holds the times at which deferred callers may retry.
    """

    rate: rates.DecayingRate = dataclasses.field(
        default_factory=rates.DecayingRate
    )
    in_flight: int = 0
    retry_at: list[float] = dataclasses.field(default_factory=list)

    def deferred(self, now: float) -> int:
        """Return the number of callers whose time to retry is to come."""
        self.retry_at = [until for until in self.retry_at if until > now]
        return len(self.retry_at)


def local_demand(
    counts_by_key: abc.Mapping[_Key, ModelCounts],
    tickets: abc.Iterable[queue.Ticket],
    now: float,
) -> dict[_Key, LocalDemand]:
    """Return the demand by service and model."""
    waiting: dict[_Key, list[float]] = {}
    for ticket in tickets:
        if ticket.need.successor:
            continue
        key = (ticket.need.service, ticket.need.model)
        waiting.setdefault(key, []).append(now - ticket.entered_at)
    return {
        key: LocalDemand(
            counts.rate.at(now),
            counts.in_flight,
            len(waiting.get(key, ())) + counts.deferred(now),
            max(waiting.get(key, (0.0,))),
        )
        for key, counts in counts_by_key.items()
    }


def version_demand(
    tickets: abc.Iterable[queue.Ticket],
) -> dict[VersionKey, int]:
    """Return the waiting requests that need one software version."""
    waiting: collections.Counter[VersionKey] = collections.Counter()
    for ticket in tickets:
        need = ticket.need
        if need.version is None or not need.model or need.successor:
            continue
        waiting[VersionKey(need.service, need.model, need.version)] += 1
    return dict(waiting)
