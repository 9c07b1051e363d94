"""What this instance knows of the load of one server."""

from __future__ import annotations

import collections
import math
import typing

from . import api
from . import health

if typing.TYPE_CHECKING:
    from ..external import api as external_api
    from ..pools import api as pools_api

__all__ = ['Attempt', 'LoadSettings', 'Peers', 'ServerState', 'replica_of']

_HISTORY_SECONDS: typing.Final = 30.0
_HISTORY_LENGTH: typing.Final = 512
_PROMPT_WEIGHT: typing.Final = 0.02


class LoadSettings(typing.NamedTuple):
    """How load turns into an expected time.

    Work is counted in prompt tokens: each request adds ``request_tokens``,
    each running answer slows the others by ``running_tokens``. A report
    loses its weight with the time constant ``report_seconds``.
    """

    request_tokens: float = 100.0
    running_tokens: float = 10.0
    lower_priority_share: float = 0.2
    report_seconds: float = 1.0
    initial_seconds_per_token: float = 0.0002
    pace_weight: float = 0.1
    pace_memory_seconds: float = 20.0
    max_pace_ratio: float = 20.0


class Attempt:
    """An attempt in flight at a server."""

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


class Peers:
    """Sums over a pool's servers, to which what is stale or unknown tends."""

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
        """Return the mean of what others have waiting at a server."""
        return self.waiting / self.count if self.count else 0.0

    def mean_running(self) -> float:
        """Return the mean of what others have running at a server."""
        return self.running / self.count if self.count else 0.0


def replica_of(view: pools_api.ServerView) -> api.Replica:
    """Return a server's replica, as the router names it."""
    return api.Replica(
        view.server_id, view.address, view.port, view.failure_domain
    )


class ServerState:
    """Own attempts, reported load, pace and health of one server."""

    def __init__(
        self,
        replica: api.Replica,
        pool: str,
        settings: LoadSettings,
        health_settings: health.HealthSettings,
        peers: Peers,
    ) -> None:
        self.replica = replica
        self.pool = pool
        self.leaving = False
        self.health = health.Health(health_settings)
        self.ready_at: dict[str, float] = {}
        self.in_flight = 0
        self._settings = settings
        self._peers = peers
        self._waiting = 0
        self._waiting_tokens: dict[int, float] = {}
        self._history: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=_HISTORY_LENGTH)
        )
        self._report: external_api.LoadReport | None = None
        self._others_waiting = 0.0
        self._others_running = 0.0
        self._pace = 1.0
        self._pace_at = -math.inf

    @property
    def idle(self) -> bool:
        """Whether no own attempt waits for its first token."""
        return self._waiting == 0

    @property
    def report_time(self) -> float:
        """When the newest load report was true, in seconds."""
        return self._report.time if self._report else -math.inf

    def note_ready(
        self, view: pools_api.ServerView, watched: bool, now: float
    ) -> None:
        """Note since when each artifact is ready here.

        :param watched: whether an earlier view showed what was not ready;
            what is ready in the first view needs no slow start.
        """
        since = now if watched else -math.inf
        self.ready_at = {
            item.artifact: self.ready_at.get(item.artifact, since)
            for item in view.artifacts
            if item.ready and not item.withdrawing
        }

    def send(
        self, priority: int, tokens: float, work: float, now: float
    ) -> Attempt:
        """Count an attempt that goes out now."""
        self.in_flight += 1
        self._waiting += 1
        waiting = self._waiting_tokens.get(priority, 0.0)
        self._waiting_tokens[priority] = waiting + tokens
        self._remember(now)
        return Attempt(self, priority, tokens, work, now)

    def first_token(self, attempt: Attempt, now: float) -> None:
        """Count an attempt as running, and learn the server's pace."""
        self._stop_waiting(attempt)
        self._remember(now)
        settings = self._settings
        observed = (now - attempt.sent_at) / max(attempt.work, 1.0)
        ratio = observed / self._peers.seconds_per_token
        ratio = min(ratio, settings.max_pace_ratio)
        weight = settings.pace_weight
        self._pace = self.pace(now) * (1.0 - weight) + ratio * weight
        self._pace_at = now
        self._peers.seconds_per_token *= 1.0 + (ratio - 1.0) * weight / max(
            2.0, self._peers.count
        )

    def end(self, attempt: Attempt, started: bool, now: float) -> None:
        """Count an attempt as ended.

        :param started: whether its first token had come.
        """
        if not started:
            self._stop_waiting(attempt)
        self.in_flight -= 1
        self._remember(now)

    def take_report(self, report: external_api.LoadReport) -> None:
        """Take in a load report unless a newer one is known."""
        if report.time <= self.report_time:
            return
        waiting, running = self._own_at(report.time)
        peers = self._peers
        if self._report is None:
            peers.count += 1
        peers.waiting -= self._others_waiting
        peers.running -= self._others_running
        self._report = report
        self._others_waiting = max(0.0, report.queued - waiting)
        self._others_running = max(0.0, report.running - running)
        peers.waiting += self._others_waiting
        peers.running += self._others_running

    def retire(self) -> None:
        """Take this server out of the sums over all servers."""
        if self._report is None:
            return
        self._peers.count -= 1
        self._peers.waiting -= self._others_waiting
        self._peers.running -= self._others_running
        self._report = None
        self._others_waiting = 0.0
        self._others_running = 0.0

    def work_ahead(self, priority: int, now: float) -> float:
        """Return the work, in prompt tokens, before a new attempt's."""
        settings = self._settings
        own = self._own_ahead(priority)
        others, running = self._others(now)
        running += self.in_flight - self._waiting
        mean = self._peers.prompt_tokens + settings.request_tokens
        return own + others * mean + running * settings.running_tokens

    def seconds_per_token(self, now: float) -> float:
        """Return the time that a token of work takes here."""
        return self._peers.seconds_per_token * self.pace(now)

    def learn_prompt(self, tokens: int) -> None:
        """Follow the mean length of prompts."""
        gap = tokens - self._peers.prompt_tokens
        self._peers.prompt_tokens += _PROMPT_WEIGHT * gap

    def pace(self, now: float) -> float:
        """Return how slow the server is; one is the mean of all."""
        age = now - self._pace_at
        memory = self._settings.pace_memory_seconds
        return 1.0 + (self._pace - 1.0) * math.exp(-max(0.0, age) / memory)

    def _own_ahead(self, priority: int) -> float:
        share = self._settings.lower_priority_share
        ahead = 0.0
        for level, tokens in self._waiting_tokens.items():
            ahead += tokens if level >= priority else tokens * share
        return ahead

    def _others(self, now: float) -> tuple[float, float]:
        """Return others' waiting and running, drawn to the mean by age."""
        peers = self._peers
        if self._report is None:
            return peers.mean_waiting(), peers.mean_running()
        age = max(0.0, now - self._report.time)
        trust = math.exp(-age / self._settings.report_seconds)
        mean = peers.mean_waiting()
        waiting = mean + (self._others_waiting - mean) * trust
        mean = peers.mean_running()
        running = mean + (self._others_running - mean) * trust
        return waiting, running

    def _own_at(self, time: float) -> tuple[int, int]:
        """Return own waiting and running attempts at a past time."""
        for moment, waiting, running in reversed(self._history):
            if moment <= time:
                return waiting, running
        return 0, 0

    def _remember(self, now: float) -> None:
        history = self._history
        running = self.in_flight - self._waiting
        history.append((now, self._waiting, running))
        while history[0][0] < now - _HISTORY_SECONDS and len(history) > 1:
            history.popleft()

    def _stop_waiting(self, attempt: Attempt) -> None:
        self._waiting -= 1
        left = self._waiting_tokens[attempt.priority] - attempt.tokens
        if left > 0.5:
            self._waiting_tokens[attempt.priority] = left
        else:
            del self._waiting_tokens[attempt.priority]
