"""Retries of one service within a budget of a sliding window."""

from __future__ import annotations

import typing

from . import api
from . import window

if typing.TYPE_CHECKING:
    import random

__all__ = ['WindowedRetries', 'WindowedSettings']


class WindowedSettings(typing.NamedTuple):
    """Limits of the retries of one request.

    ``rejections`` is how many servers may turn a request away unrun beyond
    those that may run it.
    """

    rejections: int = 2
    first_backoff_seconds: float = 0.005
    backoff_factor: float = 3.0
    max_backoff_seconds: float = 0.1


class WindowedRetries:
    """Decides on retries; see ``api.RetryPolicy``.

    The budget is for what reaches upstreams; a request that found none to
    take it may look further.

    :param max_attempts: how many servers may run the request.
    """

    def __init__(
        self,
        service: str,
        max_attempts: int,
        budget: window.RepeatWindow,
        rng: random.Random,
        settings: WindowedSettings | None = None,
    ) -> None:
        self._service = service
        self._max_attempts = max_attempts
        self._budget = budget
        self._rng = rng
        self._settings = settings or WindowedSettings()
        self._runs = 0

    def started(self, now: float) -> None:
        """Count a caller's request."""
        self._budget.requested(self._service, now)

    def succeeded(self, now: float) -> None:
        """Do nothing; successes do not fill this budget."""

    def decide(
        self, failure: api.Failure, now: float
    ) -> api.Retry | api.GiveUp:
        """Decide what follows a failed attempt."""
        if failure.run_state is not api.RunState.NOT_RUN:
            self._runs += 1
        forbidden = self._forbidden(failure)
        if forbidden:
            return api.GiveUp(forbidden, failure.run_state)
        at = now + self._backoff(failure.attempts)
        if at >= failure.deadline:
            return api.GiveUp('deadline_passed', failure.run_state)
        if failure.arrived and not self._budget.take(self._service, now):
            return api.GiveUp('retry_budget_spent', failure.run_state)
        return api.Retry(at, failure.delivered, failure.reason)

    def _forbidden(self, failure: api.Failure) -> str:
        ran = failure.run_state is not api.RunState.NOT_RUN
        if ran and not failure.idempotent:
            return 'may_have_run'
        if failure.delivered and not failure.resumable:
            return 'partly_delivered'
        if self._runs >= self._max_attempts:
            return 'attempts_spent'
        if failure.attempts >= self._max_attempts + self._settings.rejections:
            return 'attempts_spent'
        return ''

    def _backoff(self, attempts: int) -> float:
        settings = self._settings
        bound = settings.first_backoff_seconds
        bound *= settings.backoff_factor ** max(0, attempts - 1)
        bound = min(bound, settings.max_backoff_seconds)
        return bound * self._rng.uniform(0.5, 1.0)
