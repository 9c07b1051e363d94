"""The load, latency and health of one server, as this instance sees them."""

from __future__ import annotations

import collections
import math
import typing

from . import api
from . import health

if typing.TYPE_CHECKING:
    from ..external import api as external_api
    from ..pools import api as pools_api

__all__ = [
    'Attempt',
    'LoadSettings',
    'PoolAverages',
    'ServerState',
    'replica_of',
]

_HISTORY_SECONDS: typing.Final = 30.0
_HISTORY_LENGTH: typing.Final = 512
_PROMPT_LENGTH_WEIGHT: typing.Final = 0.02


class LoadSettings(typing.NamedTuple):
    """Parameters of the expected time to first token.

    Work is counted in prompt tokens: each request adds ``request_tokens``,
    each running answer adds ``running_tokens``. Waiting requests of a lower
    priority count with ``lower_priority_share``. The weight of a report
    decays with the time constant ``report_seconds``, that of a measured
    latency with ``latency_decay_seconds``.
    """

    request_tokens: float = 100.0
    running_tokens: float = 10.0
    lower_priority_share: float = 0.2
    report_seconds: float = 1.0
    initial_seconds_per_token: float = 0.0002
    latency_weight: float = 0.1
    latency_decay_seconds: float = 20.0
    max_latency_ratio: float = 20.0


class Attempt:
    """An in-flight attempt at a server."""

    __slots__ = ('expected', 'priority', 'sent_at', 'server', 'tokens', 'work')

    def __init__(
        self,
        server: ServerState,
        priority: int,
        tokens: float,
        work: float,
        sent_at: float,
    ) -> None:
        self.server = server
        self.priority = priority
        self.tokens = tokens
        self.work = work
        self.sent_at = sent_at


class PoolAverages:
    """Sums and means over a pool's servers.

    They serve as estimates for servers whose reports are old or missing.
    """

    __slots__ = (
        'count',
        'prompt_tokens',
        'running',
        'seconds_per_token',
        'waiting',
    )

    def __init__(self, settings: LoadSettings) -> None:
        self.count = 0
        self.waiting = 0.0
        self.running = 0.0
        self.prompt_tokens = settings.request_tokens
        self.seconds_per_token = settings.initial_seconds_per_token

    def mean_waiting(self) -> float:
        """Return the mean number of other instances' waiting requests."""
        return self.waiting / self.count if self.count else 0.0

    def mean_running(self) -> float:
        """Return the mean number of other instances' running requests."""
        return self.running / self.count if self.count else 0.0


def replica_of(view: pools_api.ServerView) -> api.Replica:
    """Return the replica for a server of a pool's view."""
    return api.Replica(
        view.server_id, view.address, view.port, view.failure_domain
    )


class ServerState:
    """One server's own attempts, reported load, latency and health.

    Own attempts are those of this instance.
    """

    def __init__(
        self,
        replica: api.Replica,
        pool: str,
        settings: LoadSettings,
        health_settings: health.HealthSettings,
        averages: PoolAverages,
    ) -> None:
        self.replica = replica
        self.pool = pool
        self.leaving = False
        self.health = health.Health(health_settings)
        self.ready_at: dict[str, float] = {}
        self.in_flight = 0
        self._settings = settings
        self._pool_averages = averages
        self._waiting = 0
        self._waiting_tokens: dict[int, float] = {}
        self._history: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=_HISTORY_LENGTH)
        )
        self._report: external_api.LoadReport | None = None
        self._others_waiting = 0.0
        self._others_running = 0.0
        self._relative_latency = 1.0
        self._latency_updated_at = -math.inf

    @property
    def idle(self) -> bool:
        """Whether no own attempt is waiting for its first token."""
        return self._waiting == 0

    @property
    def report_time(self) -> float:
        """The time at which the newest load report was made, in seconds."""
        return self._report.time if self._report else -math.inf

    def update_ready(
        self, view: pools_api.ServerView, has_earlier_view: bool, now: float
    ) -> None:
        """Update the times at which the server's artifacts became ready.

        :param has_earlier_view: whether this is not the pool's first view;
            the artifacts ready in the first view need no slow start.
        """
        since = now if has_earlier_view else -math.inf
        self.ready_at = {
            item.artifact: self.ready_at.get(item.artifact, since)
            for item in view.artifacts
            if item.ready and not item.withdrawing
        }

    def add_attempt(
        self, priority: int, tokens: float, work: float, now: float
    ) -> Attempt:
        """Count an attempt that is sent now."""
        self.in_flight += 1
        self._waiting += 1
        waiting = self._waiting_tokens.get(priority, 0.0)
        self._waiting_tokens[priority] = waiting + tokens
        self._record_history(now)
        return Attempt(self, priority, tokens, work, now)

    def on_first_token(self, attempt: Attempt, now: float) -> None:
        """Count an attempt as running, and update the latency estimates."""
        self._stop_waiting(attempt)
        self._record_history(now)
        settings = self._settings
        observed = (now - attempt.sent_at) / max(attempt.work, 1.0)
        ratio = observed / self._pool_averages.seconds_per_token
        ratio = min(ratio, settings.max_latency_ratio)
        weight = settings.latency_weight
        self._relative_latency = (
            self.relative_latency(now) * (1.0 - weight) + ratio * weight
        )
        self._latency_updated_at = now
        self._pool_averages.seconds_per_token *= 1.0 + (
            ratio - 1.0
        ) * weight / max(2.0, self._pool_averages.count)

    def end_attempt(self, attempt: Attempt, started: bool, now: float) -> None:
        """Count an attempt as ended.

        :param started: whether its first token has arrived.
        """
        if not started:
            self._stop_waiting(attempt)
        self.in_flight -= 1
        self._record_history(now)

    def update_report(self, report: external_api.LoadReport) -> None:
        """Update the other instances' load from a newer report.

        It is the reported load without this instance's attempts at the time
        of the report.
        """
        if report.time <= self.report_time:
            return
        waiting, running = self._own_attempts_at(report.time)
        averages = self._pool_averages
        if self._report is None:
            averages.count += 1
        averages.waiting -= self._others_waiting
        averages.running -= self._others_running
        self._report = report
        self._others_waiting = max(0.0, report.queued - waiting)
        self._others_running = max(0.0, report.running - running)
        averages.waiting += self._others_waiting
        averages.running += self._others_running

    def leave_pool(self) -> None:
        """Remove this server from the sums over the pool's servers."""
        if self._report is None:
            return
        self._pool_averages.count -= 1
        self._pool_averages.waiting -= self._others_waiting
        self._pool_averages.running -= self._others_running
        self._report = None
        self._others_waiting = 0.0
        self._others_running = 0.0

    def queued_work(self, priority: int, now: float) -> float:
        """Return the work, in prompt tokens, ahead of a new attempt."""
        settings = self._settings
        own = self._own_queued_work(priority)
        others, running = self._other_load(now)
        running += self.in_flight - self._waiting
        mean = self._pool_averages.prompt_tokens + settings.request_tokens
        return own + others * mean + running * settings.running_tokens

    def seconds_per_token(self, now: float) -> float:
        """Return the expected time of one token of work."""
        return self._pool_averages.seconds_per_token * self.relative_latency(
            now
        )

    def update_mean_prompt(self, tokens: int) -> None:
        """Update the pool's mean prompt length."""
        difference = tokens - self._pool_averages.prompt_tokens
        self._pool_averages.prompt_tokens += _PROMPT_LENGTH_WEIGHT * difference

    def relative_latency(self, now: float) -> float:
        """Return the latency relative to the mean of the pool's servers.

        Without new measurements, it decays to one.
        """
        age = now - self._latency_updated_at
        decay_seconds = self._settings.latency_decay_seconds
        return 1.0 + (self._relative_latency - 1.0) * math.exp(
            -max(0.0, age) / decay_seconds
        )

    def _own_queued_work(self, priority: int) -> float:
        share = self._settings.lower_priority_share
        ahead = 0.0
        for other_priority, tokens in self._waiting_tokens.items():
            ahead += tokens if other_priority >= priority else tokens * share
        return ahead

    def _other_load(self, now: float) -> tuple[float, float]:
        """Estimate other instances' waiting and running requests.

        The older the report, the closer the estimate is to the pool's mean.
        """
        averages = self._pool_averages
        if self._report is None:
            return averages.mean_waiting(), averages.mean_running()
        age = max(0.0, now - self._report.time)
        report_weight = math.exp(-age / self._settings.report_seconds)
        mean = averages.mean_waiting()
        waiting = mean + (self._others_waiting - mean) * report_weight
        mean = averages.mean_running()
        running = mean + (self._others_running - mean) * report_weight
        return waiting, running

    def _own_attempts_at(self, time: float) -> tuple[int, int]:
        """Return the own waiting and running attempts at a past time."""
        for recorded_at, waiting, running in reversed(self._history):
            if recorded_at <= time:
                return waiting, running
        return 0, 0

    def _record_history(self, now: float) -> None:
        history = self._history
        running = self.in_flight - self._waiting
        history.append((now, self._waiting, running))
        while history[0][0] < now - _HISTORY_SECONDS and len(history) > 1:
            history.popleft()

    def _stop_waiting(self, attempt: Attempt) -> None:
        self._waiting -= 1
        remaining = self._waiting_tokens[attempt.priority] - attempt.tokens
        if remaining > 0.5:
            self._waiting_tokens[attempt.priority] = remaining
        else:
            del self._waiting_tokens[attempt.priority]
