"""Counts this instance's requests for each model."""

from __future__ import annotations

import dataclasses
import typing

from ..fleet import rate as rates

__all__ = ['LocalDemand', 'ModelCounts']


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
