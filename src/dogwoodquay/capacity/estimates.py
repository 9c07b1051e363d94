"""The state of one server process as this instance knows it."""

from __future__ import annotations

import collections
import math
import typing

from . import api
from . import limits

__all__ = ['ServerEstimate']

# A stated pace loses its weight within this time; servers share machines with
# others whose work comes in periods of this length.
PACE_SECONDS: typing.Final = 0.6
# A stated pace is taken for the one at the start of a request for so long.
KNOWN_PACE_SECONDS: typing.Final = 0.3
# A server without an answer for so long may hang with what was sent there.
UNHEARD_SECONDS: typing.Final = 0.4
# The age at which the instances' counts of those requests are ignored.
SENT_SECONDS: typing.Final = 1.5
# Own requests are remembered for so long; older figures are not used.
HISTORY_SECONDS: typing.Final = 3.0
# Learned values lose their weight within this time without a sample.
EXPIRY_SECONDS: typing.Final = 10.0
# Weight of one sample in the speed, and the most that some samples have.
SAMPLE_WEIGHT: typing.Final = 0.1
MAX_WEIGHT: typing.Final = 0.4
# The time in which a change is learned where there are few samples.
LEARN_SECONDS: typing.Final = 3.0
# One sample counts as at most this many times the mean, or its inverse.
OUTLIER: typing.Final = 1.6
# The load, in slots, up to which a latency is taken for the no-load latency.
NO_LOAD_SHARE: typing.Final = 0.6


class ServerEstimate:
    """Load, pace, speed and concurrency limit of a server's process."""

    def __init__(
        self, service: str, slots: int, now: float, learns_limit: bool = True
    ) -> None:
        self._learns_limit = learns_limit
        self._service = service
        self._slots = slots
        self._limit = limits.ConcurrencyLimit(slots)
        self._others = 0.0
        self._running = 0
        self._waiting = 0
        self._as_of = -math.inf
        self._sent_by_others = 0
        self._sent_as_of = -math.inf
        self._pace = 1.0
        self._factor = 1.0
        self._sampled_at = -math.inf
        self._own: collections.deque[tuple[float, int]] = collections.deque()
        self._created_at = now
        self._heard_at = -math.inf
        self._count = 0.0
        self._work = 0.0

    @property
    def service(self) -> str:
        """The service of the server."""
        return self._service

    @property
    def slots(self) -> int:
        """The declared slots."""
        return self._slots

    @property
    def as_of(self) -> float:
        """When the newest figures were true."""
        return self._as_of

    @property
    def known_since(self) -> float:
        """When the newest figures were true, or the process was found."""
        return max(self._as_of, self._created_at)

    @property
    def running(self) -> int:
        """The requests that ran there by the newest figures."""
        return self._running

    @property
    def waiting(self) -> int:
        """The requests that waited there by the newest figures."""
        return self._waiting

    @property
    def others(self) -> float:
        """The requests of other instances, running or waiting there."""
        return self._others

    def unanswered(self, now: float) -> float:
        """Return how many requests others have at a server that is silent.

        None of them has ended, by what the instances say.
        """
        silent = now - self._as_of > UNHEARD_SECONDS
        known = now - self._sent_as_of < SENT_SECONDS
        return float(self._sent_by_others) if silent and known else 0.0

    def limit(self, now: float) -> float:
        """Return how many requests the server runs well at a time."""
        trust = self._trust(now)
        return self._slots + (self._limit.value - self._slots) * trust

    def factor(self, now: float) -> float:
        """Return the no-load service time in those of a usual server."""
        return 1.0 + (self._factor - 1.0) * self._trust(now)

    def pace(self, now: float) -> float:
        """Return how long work takes now relative to its usual time."""
        weight = 1.0 - max(0.0, now - self._as_of) / PACE_SECONDS
        return 1.0 + (self._pace - 1.0) * max(0.0, weight)

    @property
    def stated_pace(self) -> float:
        """The pace by the newest figures."""
        return self._pace

    def pace_at_start(self, now: float) -> float | None:
        """Return the pace for a request that is sent now, if it is known."""
        if now - self._as_of > KNOWN_PACE_SECONDS:
            return None
        return self._pace

    def on_own(self, in_flight: int, now: float) -> None:
        """Record how many requests of this instance are there now."""
        self._own.append((now, in_flight))
        while len(self._own) > 1 and self._own[1][0] < now - HISTORY_SECONDS:
            self._own.popleft()

    def on_figures(
        self, running: int, waiting: int, pace: float, as_of: float
    ) -> bool:
        """Apply what the server said of itself unless newer is known."""
        if as_of <= self._as_of:
            return False
        own = 0
        for at, own in reversed(self._own):
            if at <= as_of:
                break
        self._running, self._waiting = running, waiting
        self._others = float(max(0, running + waiting - own))
        self._pace = pace
        self._as_of = as_of
        return True

    def on_sent_by_others(self, count: int, as_of: float) -> None:
        """Apply how many requests other instances have in flight there."""
        self._sent_by_others = count
        self._sent_as_of = as_of

    def on_latency(
        self, relative: float, running: float, count: float, now: float
    ) -> tuple[float, float]:
        """Apply the mean latency of some requests.

        :param relative: in usual times of their kinds, at the usual pace and
            without the time that they waited there.
        :param running: the requests that ran there meanwhile.
        :return: the latency that was taken, without outliers, and its weight
            as a no-load latency.
        """
        factor = self.factor(now)
        taken = min(max(relative, factor / OUTLIER), factor * OUTLIER)
        if self._trust(now) <= 0.0:
            self._limit = limits.ConcurrencyLimit(self._slots)
        certainty = min(1.0, count)
        # A server that gets few requests is learned about as fast in time.
        elapsed = 1.0 - math.exp((self._sampled_at - now) / LEARN_SECONDS)
        weight = max(SAMPLE_WEIGHT * count, elapsed * certainty)
        weight = min(MAX_WEIGHT, weight)
        if not self._learns_limit:
            pass
        elif running > NO_LOAD_SHARE * self.limit(now) and taken > factor:
            # It may be slow because of its load.
            self._limit.on_sample(taken / factor, running)
            weight /= 10
            certainty /= 10
        else:
            self._limit.on_sample(1.0, running)
        self._factor = factor * (taken / factor) ** weight
        self._sampled_at = now
        return taken, certainty

    def scale(self, share: float) -> None:
        """Change the measure of the factor."""
        self._factor *= share

    def add_news(self, heard_at: float, count: float, work: float) -> None:
        """Record what the next report has to tell."""
        self._heard_at = max(self._heard_at, heard_at)
        self._count += count
        self._work += work

    def take_news(
        self, server: api.ServerKey, now: float
    ) -> api.Report | None:
        """Return what was heard of the server since the last report."""
        if now - self._heard_at > api.FRESH_SECONDS:
            return None
        report = self.report(server, self._count, self._work)
        self._heard_at = -math.inf
        self._count = self._work = 0.0
        return report

    def report(
        self, server: api.ServerKey, count: float, work: float
    ) -> api.Report:
        """Return the newest figures with sums of what was measured."""
        return api.Report(
            server,
            self._running,
            self._waiting,
            self._pace,
            self._as_of,
            count,
            work,
        )

    def _trust(self, now: float) -> float:
        age = now - self._sampled_at
        return min(1.0, max(0.0, 2.0 - 2.0 * age / EXPIRY_SECONDS))
