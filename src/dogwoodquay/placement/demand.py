"""Estimates demand: each instance's report, and the sum of all reports."""

from __future__ import annotations

import math
import statistics
import typing

import msgspec

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'ArtifactDemand',
    'DemandEstimator',
    'DemandReport',
    'merge',
    'relative_throughputs',
]

SHORT_AVERAGE_SECONDS: typing.Final = 5.0
LONG_AVERAGE_SECONDS: typing.Final = 60.0
SIGNIFICANT_DEVIATIONS: typing.Final = 2.0
NEGLIGIBLE_RATE: typing.Final = 0.001
SLOW_LATENCY_RATIO: typing.Final = 2.0


class ArtifactDemand(msgspec.Struct, frozen=True, array_like=True):
    """Requests and tokens a second of one artifact at one instance.

    The fast rates are averages over a short time, the slow ones over a long
    time.
    """

    artifact: str
    fast_requests: float
    slow_requests: float
    fast_tokens: float
    slow_tokens: float
    waiting: int


class DemandReport(msgspec.Struct, frozen=True, array_like=True):
    """The demand that one instance receives.

    ``relative_latencies`` maps each server to its latency, as this instance's
    router measures it, relative to the pool's mean.
    """

    instance_id: str
    time: float
    entries: tuple[ArtifactDemand, ...]
    relative_latencies: dict[str, float] = {}


class _DecayingRate:
    """An event rate as an exponentially weighted moving average."""

    __slots__ = ('_seconds', '_sum', '_time')

    def __init__(self, seconds: float, now: float) -> None:
        self._seconds = seconds
        self._sum = 0.0
        self._time = now

    def add(self, amount: float, now: float) -> None:
        """Add an amount that occurs at ``now``."""
        self._sum = self._decayed_sum(now) + amount
        self._time = max(self._time, now)

    def rate(self, now: float, age: float) -> float:
        """Return the amount a second.

        :param age: seconds since the observation began; corrects the bias
            of an average that starts at zero.
        """
        observed = 1.0 - math.exp(-max(age, 1.0) / self._seconds)
        return self._decayed_sum(now) / (self._seconds * observed)

    def _decayed_sum(self, now: float) -> float:
        elapsed = max(0.0, now - self._time)
        return self._sum * math.exp(-elapsed / self._seconds)


class _Rates:
    """The short and long averages of one artifact's requests and tokens."""

    __slots__ = (
        'fast_requests',
        'fast_tokens',
        'slow_requests',
        'slow_tokens',
        'waiting',
    )

    def __init__(self, now: float) -> None:
        self.fast_requests = _DecayingRate(SHORT_AVERAGE_SECONDS, now)
        self.slow_requests = _DecayingRate(LONG_AVERAGE_SECONDS, now)
        self.fast_tokens = _DecayingRate(SHORT_AVERAGE_SECONDS, now)
        self.slow_tokens = _DecayingRate(LONG_AVERAGE_SECONDS, now)
        self.waiting = 0


class DemandEstimator:
    """Measures this instance's demand, refused requests included."""

    def __init__(self, instance_id: str, now: float) -> None:
        self._instance_id = instance_id
        self._started_at = now
        self._rates: dict[str, _Rates] = {}

    def record_arrival(self, artifact: str, now: float) -> None:
        """Count a caller's request, whether it is admitted or refused."""
        rates = self._rates_of(artifact, now)
        rates.fast_requests.add(1.0, now)
        rates.slow_requests.add(1.0, now)

    def record_tokens(self, artifact: str, tokens: int, now: float) -> None:
        """Count requested or generated tokens."""
        rates = self._rates_of(artifact, now)
        rates.fast_tokens.add(tokens, now)
        rates.slow_tokens.add(tokens, now)

    def set_waiting(self, artifact: str, waiting: int, now: float) -> None:
        """Set how many requests for an artifact are queued here."""
        self._rates_of(artifact, now).waiting = waiting

    def report(
        self, now: float, relative_latencies: dict[str, float] | None = None
    ) -> DemandReport:
        """Return the current rates, and drop artifacts without demand.

        :param relative_latencies: the latency of each server, relative to
            the pool's mean, from the router.
        """
        age = now - self._started_at
        entries = [
            _entry(artifact, rates, now, age)
            for artifact, rates in self._rates.items()
        ]
        kept = tuple(entry for entry in entries if _is_significant(entry))
        names = {entry.artifact for entry in kept}
        for artifact in [name for name in self._rates if name not in names]:
            del self._rates[artifact]
        return DemandReport(
            self._instance_id, now, kept, relative_latencies or {}
        )

    def _rates_of(self, artifact: str, now: float) -> _Rates:
        rates = self._rates.get(artifact)
        if rates is None:
            rates = self._rates[artifact] = _Rates(now)
        return rates


def merge(reports: abc.Iterable[DemandReport]) -> tuple[api.Demand, ...]:
    """Sum the newest reports of all instances and estimate the demand.

    The estimate is the long average, or the short one where that is higher
    by more than the noise of random arrivals. A rise thus takes effect
    within seconds, a fall only as the long average decays.
    """
    sums: dict[str, list[float]] = {}
    for report in reports:
        for entry in report.entries:
            _accumulate(sums.setdefault(entry.artifact, [0.0] * 5), entry)
    return tuple(
        _estimate(artifact, values) for artifact, values in sums.items()
    )


def relative_throughputs(
    reports: abc.Iterable[DemandReport],
) -> dict[str, float]:
    """Return each server's throughput, relative to a healthy server.

    A server's latency is the median over the instances. Up to
    ``SLOW_LATENCY_RATIO`` times the mean, the server counts as healthy.
    """
    latencies: dict[str, list[float]] = {}
    for report in reports:
        for server_id, latency in report.relative_latencies.items():
            latencies.setdefault(server_id, []).append(latency)
    medians = {
        server_id: statistics.median(values)
        for server_id, values in latencies.items()
    }
    return {
        server_id: 1.0 / latency if latency > SLOW_LATENCY_RATIO else 1.0
        for server_id, latency in medians.items()
    }


def _entry(
    artifact: str, rates: _Rates, now: float, age: float
) -> ArtifactDemand:
    return ArtifactDemand(
        artifact,
        rates.fast_requests.rate(now, age),
        rates.slow_requests.rate(now, age),
        rates.fast_tokens.rate(now, age),
        rates.slow_tokens.rate(now, age),
        rates.waiting,
    )


def _is_significant(entry: ArtifactDemand) -> bool:
    rate = max(entry.slow_requests, entry.slow_tokens)
    return rate > NEGLIGIBLE_RATE or entry.waiting > 0


def _accumulate(values: list[float], entry: ArtifactDemand) -> None:
    values[0] += entry.fast_requests
    values[1] += entry.slow_requests
    values[2] += entry.fast_tokens
    values[3] += entry.slow_tokens
    values[4] += entry.waiting


def _estimate(artifact: str, values: list[float]) -> api.Demand:
    """Choose between the short and the long average; see ``merge``.

    ``noise`` is the standard deviation of the short average if requests
    arrive at random with the long average as their rate.
    """
    fast, slow, fast_tokens, slow_tokens, waiting = values
    noise = math.sqrt(
        max(slow, 1.0 / SHORT_AVERAGE_SECONDS) / (2.0 * SHORT_AVERAGE_SECONDS)
    )
    if fast > slow + SIGNIFICANT_DEVIATIONS * noise:
        requests, tokens = fast, max(fast_tokens, slow_tokens)
    else:
        requests, tokens = slow, slow_tokens
    return api.Demand(artifact, requests, tokens, int(waiting))
