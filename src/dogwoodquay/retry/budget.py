"""Retries within a budget that grows with each success."""

from __future__ import annotations

import collections
import typing

from . import api

if typing.TYPE_CHECKING:
    import random

__all__ = ['BudgetedRetries', 'RetrySettings']


class RetrySettings(typing.NamedTuple):
    """Limits of the retries of one instance.

    ``budget_share`` is the number of retries that each success adds to the
    budget. The budget is capped at that share of the first attempts within
    ``window_seconds``, so that it cannot build up over hours and allow a
    retry storm.
    """

    budget_share: float = 0.1
    window_seconds: float = 10.0
    max_attempts: int = 3
    first_backoff_seconds: float = 0.01
    backoff_factor: float = 4.0
    max_backoff_seconds: float = 0.5


class BudgetedRetries:
    """Decides on retries; see ``api.RetryPolicy``.

    In total, at most ``budget_share`` retries are permitted for each success.
    An attempt that may have run is only retried if the request is idempotent.
    """

    def __init__(
        self, rng: random.Random, settings: RetrySettings | None = None
    ) -> None:
        self._rng = rng
        self._settings = settings or RetrySettings()
        self._balance = 0.0
        self._first_attempts: collections.deque[float] = collections.deque()

    @property
    def balance(self) -> float:
        """The number of retries left in the budget."""
        return self._balance

    def started(self, now: float) -> None:
        """Count a first attempt."""
        self._first_attempts.append(now)
        self._expire(now)

    def succeeded(self, now: float) -> None:
        """Count a success, which adds to the budget."""
        self._balance += self._settings.budget_share
        self._expire(now)

    def decide(
        self, failure: api.Failure, now: float
    ) -> api.Retry | api.GiveUp:
        """Decide whether a failed attempt is retried."""
        self._expire(now)
        reason = self._refusal_reason(failure)
        if reason:
            return api.GiveUp(reason, failure.run_state)
        at = now + self._backoff(failure.attempts)
        if at >= failure.deadline:
            return api.GiveUp('deadline_passed', failure.run_state)
        if self._balance < 1.0:
            return api.GiveUp('retry_budget_spent', failure.run_state)
        self._balance -= 1.0
        return api.Retry(at, failure.delivered, failure.reason)

    def _refusal_reason(self, failure: api.Failure) -> str:
        """Return the reason against a retry, or an empty string."""
        may_have_run = failure.run_state is not api.RunState.NOT_RUN
        if may_have_run and not failure.idempotent:
            return 'may_have_run'
        if failure.delivered and not failure.resumable:
            return 'partly_delivered'
        if failure.attempts >= self._settings.max_attempts:
            return 'attempts_spent'
        return ''

    def _backoff(self, attempts: int) -> float:
        """Return a random delay that grows with the number of attempts."""
        settings = self._settings
        growth = settings.backoff_factor ** max(0, attempts - 1)
        max_delay = settings.first_backoff_seconds * growth
        max_delay = min(max_delay, settings.max_backoff_seconds)
        return max_delay * self._rng.uniform(0.5, 1.0)

    def _expire(self, now: float) -> None:
        """Drop first attempts that left the window; cap the balance."""
        window_start = now - self._settings.window_seconds
        while self._first_attempts and self._first_attempts[0] < window_start:
            self._first_attempts.popleft()
        cap = len(self._first_attempts) * self._settings.budget_share
        self._balance = min(self._balance, max(1.0, cap))
