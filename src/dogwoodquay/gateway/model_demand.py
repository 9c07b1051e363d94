"""Counts this instance's requests for each model."""

from __future__ import annotations

import collections
import typing

import msgspec

from ..fleet import rate as rates

if typing.TYPE_CHECKING:
    from collections import abc

    from . import api
    from ..fleet import queue
    from ..fleet import server as servers

__all__ = [
    'LocalDemand',
    'ModelCounts',
    'RequestCounts',
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


class ModelCounts(msgspec.Struct):
    """Counts the requests for one model.

    ``retry_at`` holds the times at which deferred callers may retry.
    """

    rate: rates.DecayingRate = msgspec.field(
        default_factory=rates.DecayingRate
    )
    in_flight: int = 0
    retry_at: list[float] = msgspec.field(default_factory=list)

    def deferred(self, now: float) -> int:
        """Return the number of callers whose time to retry is to come."""
        self.retry_at = [until for until in self.retry_at if until > now]
        return len(self.retry_at)


class RequestCounts:
    """Counts the requests of this instance by model, server and adapter."""

    def __init__(self) -> None:
        self._models: dict[_Key, ModelCounts] = {}
        self._adapters: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._running: collections.Counter[_Key] = collections.Counter()

    @property
    def models(self) -> abc.Mapping[_Key, ModelCounts]:
        """The counts by service and model."""
        return self._models

    def adapters_in_use(self) -> list[tuple[str, str, str]]:
        """Return server, model and adapter of the requests in flight."""
        return list(self._adapters)

    def running(self) -> dict[_Key, int]:
        """Return the number of requests in flight by server and model.

        The model is empty for requests without one.
        """
        return dict(self._running)

    def of(self, call: api.Call) -> ModelCounts:
        """Return the counts of a request's model."""
        key = (call.service, call.terms.model)
        counts = self._models.get(key)
        if counts is None:
            counts = self._models[key] = ModelCounts()
        return counts

    def begin(self, call: api.Call, server: servers.Server) -> None:
        """Count a request that is sent to a server."""
        terms, server_id = call.terms, server.entry.server_id
        self._running[server_id, terms.model] += 1
        if terms.model:
            self.of(call).in_flight += 1
        if terms.adapter:
            self._adapters[server_id, terms.model, terms.adapter] += 1

    def end(self, call: api.Call, server: servers.Server) -> None:
        """Count the end of a request at a server."""
        terms, server_id = call.terms, server.entry.server_id
        self._running[server_id, terms.model] -= 1
        if not self._running[server_id, terms.model]:
            del self._running[server_id, terms.model]
        if terms.model:
            self.of(call).in_flight -= 1
        if terms.adapter:
            key = (server_id, terms.model, terms.adapter)
            self._adapters[key] -= 1
            if not self._adapters[key]:
                del self._adapters[key]


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
