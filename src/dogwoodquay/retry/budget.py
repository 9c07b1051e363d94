"""Retries within a budget that only successes fill."""

from __future__ import annotations

import collections
import typing

from . import api

if typing.TYPE_CHECKING:
    import random

__all__ = ['BudgetedRetries', 'RetrySettings']


class RetrySettings(typing.NamedTuple):
    """Limits of the retries of one instance.

    ``budget_share`` is the retries that one success pays for. The balance
    is capped at that share of the first attempts within
    ``window_seconds``, so that quiet hours cannot pay for a storm.
    """

    budget_share: float = 0.1
    window_seconds: float = 10.0
    max_attempts: int = 3
    first_backoff_seconds: float = 0.01
    backoff_factor: float = 4.0
    max_backoff_seconds: float = 0.5


class BudgetedRetries:
    """Decides on retries; see ``api.RetryPolicy``.

    Over its whole life it permits at most ``budget_share`` retries for each
    success, and never one for an attempt that may have run unless the
    request is idempotent.
    """

    def __init__(
        self, rng: random.Random, settings: RetrySettings | None = None
    ) -> None:
        self._rng = rng
        self._settings = settings or RetrySettings()
        self._balance = 0.0
        self._starts: collections.deque[float] = collections.deque()

    @property
    def balance(self) -> float:
        """The retries that the budget now pays for."""
        return self._balance

    def started(self, now: float) -> None:
        """Count a first attempt."""
        self._starts.append(now)
        self._expire(now)

    def succeeded(self, now: float) -> None:
        """Count a success, which adds to the budget."""
        self._balance += self._settings.budget_share
        self._expire(now)

    def decide(
        self, failure: api.Failure, now: float
    ) -> api.Retry | api.GiveUp:
        """Decide what follows a failed attempt."""
        self._expire(now)
        forbidden = self._forbidden(failure)
        if forbidden:
            return api.GiveUp(forbidden, failure.run_state)
        at = now + self._backoff(failure.attempts)
        if at >= failure.deadline:
            return api.GiveUp('deadline_passed', failure.run_state)
        if self._balance < 1.0:
            return api.GiveUp('retry_budget_spent', failure.run_state)
        self._balance -= 1.0
        return api.Retry(at, failure.delivered, failure.reason)

    def _forbidden(self, failure: api.Failure) -> str:
        """Return why the request must not be tried again, or nothing."""
        ran = failure.run_state is not api.RunState.NOT_RUN
        if ran and not failure.idempotent:
            return 'may_have_run'
        if failure.delivered and not failure.resumable:
            return 'partly_delivered'
        if failure.attempts >= self._settings.max_attempts:
            return 'attempts_spent'
        return ''

    def _backoff(self, attempts: int) -> float:
        """Return a random wait whose bound grows with the attempts."""
        settings = self._settings
        growth = settings.backoff_factor ** max(0, attempts - 1)
        bound = settings.first_backoff_seconds * growth
        bound = min(bound, settings.max_backoff_seconds)
        return bound * self._rng.uniform(0.5, 1.0)

    def _expire(self, now: float) -> None:
        """Forget old first attempts and cap the balance by the rest."""
        horizon = now - self._settings.window_seconds
        while self._starts and self._starts[0] < horizon:
            self._starts.popleft()
        cap = len(self._starts) * self._settings.budget_share
        self._balance = min(self._balance, max(1.0, cap))
