"""Estimates how many requests the replicas of a model serve soon."""

from __future__ import annotations

import math
import typing

from ..fleet import rate

__all__ = [
    'CONTENDED',
    'DEFAULT',
    'Demand',
    'ModelAtVersion',
    'NO_DEMAND',
    'PlannerSettings',
    'waiting_only',
]

# Bounds of the mean request time that is estimated from the demand.
_MIN_REQUEST_SECONDS: typing.Final = 0.3
_MAX_REQUEST_SECONDS: typing.Final = 4.0
# A replica on an engine that takes nothing is still one that is loaded.
MIN_REPLICA_SHARE: typing.Final = 0.01


class ModelAtVersion(typing.NamedTuple):
    """A model at the engines of one software version."""

    model: str
    version: str


class Demand(typing.NamedTuple):
    """The demand for a model, summed over all instances.

    ``rate`` is the recent number of requests per second.
    """

    rate: float
    in_flight: int
    waiting: int
    oldest_wait_seconds: float


class PlannerSettings(typing.NamedTuple):
    """Weights of the planner; gains and losses are in requests.

    ``horizon_seconds`` is the time over which gains and losses are counted.
    ``target_utilization`` is the share of an engine's slots above which a
    further replica pays; ``spread_gain_share`` weights the gain of spreading
    requests over more replicas. A load has to gain more than ``move_cost``.
    Unloading a model costs ``victim_cost``, and ``running_cost`` more if
    requests of it are running. A model with demand stays loaded for at least
    ``min_loaded_seconds``. A pending load waits up to ``drain_seconds`` for
    running requests to end, and is dropped after ``timeout_seconds``. A load
    costs ``delay_cost`` for each waiting request and second that it takes, and
    ``store_load_cost`` more if its engine has no copy of the weights.
    """

    horizon_seconds: float = 4.0
    target_utilization: float = 0.4
    spread_gain_share: float = 0.15
    move_cost: float = 1.0
    running_cost: float = 1.0
    victim_cost: float = 0.2
    min_loaded_seconds: float = 1.5
    timeout_seconds: float = 8.0
    drain_seconds: float = 1.5
    default_request_seconds: float = 1.5
    max_candidates: int = 12
    delay_cost: float = 0.0
    store_load_cost: float = 0.0

    def replica_share(
        self, item: Demand, rate_limit: float | None, models: int, slots: int
    ) -> float:
        """Return for how many replicas one on a limited engine counts.

        :param item: the demand for the model.
        :param rate_limit: the requests per second that the engine takes for
            all its models, ``None`` for no limit.
        """
        if rate_limit is None:
            return 1.0
        replica_rate = self._replica_rate(item, slots)
        share: float = rate_limit / (replica_rate * max(1, models))
        return min(max(share, MIN_REPLICA_SHARE), 1.0)

    def count_served(self, item: Demand, replicas: float, slots: int) -> float:
        """Estimate the requests that a number of replicas serves soon.

        The mean request time is the requests in flight divided by their rate,
        or a default while the rate is low or requests are waiting.
        """
        if replicas <= 0:
            return 0.0
        replica_rate = self._replica_rate(item, slots)
        served = min(item.rate, replicas * replica_rate)
        spread = self.spread_gain_share * item.rate
        spread *= 1.0 - math.pow(0.5, replicas)
        return self.horizon_seconds * (served + spread) + item.waiting

    def _replica_rate(self, item: Demand, slots: int) -> float:
        """Return the requests per second at the target utilization."""
        seconds = self.default_request_seconds
        if item.rate > 1.0 and item.in_flight and not item.waiting:
            seconds = item.in_flight / item.rate
            seconds = max(seconds, _MIN_REQUEST_SECONDS)
            seconds = min(seconds, _MAX_REQUEST_SECONDS)
        return self.target_utilization * slots / seconds


DEFAULT: typing.Final = PlannerSettings()
# For services under contended load, which have more models than places. All
# requests of an engine run in one batch, whose steps hardly take longer for
# more of them, so that replicas may be filled further. A load from an engine's
# own copy takes a fraction of the time of one from the weight store.
CONTENDED: typing.Final = PlannerSettings(
    target_utilization=0.7, delay_cost=0.1, store_load_cost=0.6
)

NO_DEMAND: typing.Final = Demand(0.0, 0, 0, 0.0)


def waiting_only(count: int) -> Demand:
    """Return the demand by requests that have all just begun to wait."""
    return Demand(count / rate.DECAY_SECONDS, 0, count, 0.0)
