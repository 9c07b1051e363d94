"""Retries of one request within the budget of a sliding window."""

from __future__ import annotations

import typing

from . import api
from . import window

if typing.TYPE_CHECKING:
    import random

__all__ = ['WindowedRetries', 'WindowedSettings']

# The retry of a move, and one in case that the next server refuses.
RETRIES_OF_MOVE: typing.Final = 2


class WindowedSettings(typing.NamedTuple):
    """Limits of the retries of one request.

    ``rejections`` is the number of further attempts for a request that
    servers reject without running it.
    """

    rejections: int = 2
    first_backoff_seconds: float = 0.005
    backoff_factor: float = 3.0
    max_backoff_seconds: float = 0.1


class WindowedRetries:
    """Decides on retries; see ``api.RetryPolicy``.

    Only a retry after an attempt that may have reached its upstream counts
    against the budget.

    :param max_attempts: the number of servers that may run the request.
    """

    def __init__(
        self,
        service: str,
        max_attempts: int,
        budget: window.RetryWindow,
        rng: random.Random,
        settings: WindowedSettings | None = None,
    ) -> None:
        self._service = service
        self._max_attempts = max_attempts
        self._budget = budget
        self._rng = rng
        self._settings = settings or WindowedSettings()
        self._possible_runs = 0
        self._reserved = 0

    def started(self, now: float) -> None:
        """Count a request of a caller."""
        self._budget.record_request(self._service, now)

    def succeeded(self, now: float) -> None:
        """Do nothing; successes do not add to this budget."""

    def decide(
        self, failure: api.Failure, now: float
    ) -> api.Retry | api.GiveUp:
        """Decide whether a failed attempt is retried."""
        if failure.run_state is not api.RunState.NOT_RUN:
            self._possible_runs += 1
        reason = self._refusal_reason(failure)
        if reason:
            return api.GiveUp(reason, failure.run_state)
        at = now + self._backoff(failure.attempts)
        if at >= failure.deadline:
            return api.GiveUp('deadline_passed', failure.run_state)
        if failure.arrived and not self._take(now):
            return api.GiveUp('retry_budget_spent', failure.run_state)
        return api.Retry(at, failure.delivered, failure.reason)

    def attempt_left(self, attempts: int) -> bool:
        """Whether one more server may get the request of a running attempt.

        :param attempts: the attempts so far, with the running one.
        """
        return (
            self._possible_runs + 1 < self._max_attempts
            and attempts < self._max_attempts + self._settings.rejections
        )

    def budget_left(self, now: float) -> bool:
        """Whether the budget permits to move a running attempt."""
        return self._budget.available(self._service, now, RETRIES_OF_MOVE)

    def take_move(self, now: float) -> bool:
        """Count a retry for which an attempt is ended while it runs.

        Another one is reserved, as the next server may refuse the request,
        which then has lost the server that it had.

        :return: whether the budget permits both.
        """
        if not self.budget_left(now):
            return False
        for _ in range(RETRIES_OF_MOVE):
            self._budget.take(self._service, now)
        self._reserved += RETRIES_OF_MOVE - 1
        self._possible_runs += 1
        return True

    def return_move(self) -> None:
        """Give back what was taken for a move that was not made."""
        self._budget.give_back(self._service)
        self._possible_runs -= 1
        self.return_reserved()

    def return_reserved(self) -> None:
        """Give back the retries that are reserved and not needed."""
        while self._reserved:
            self._reserved -= 1
            self._budget.give_back(self._service)

    def _take(self, now: float) -> bool:
        if self._reserved:
            self._reserved -= 1
            return True
        return self._budget.take(self._service, now)

    def _refusal_reason(self, failure: api.Failure) -> str:
        may_have_run = failure.run_state is not api.RunState.NOT_RUN
        if may_have_run and not failure.idempotent:
            return 'may_have_run'
        if failure.delivered and not failure.resumable:
            return 'partly_delivered'
        if self._possible_runs >= self._max_attempts:
            return 'attempts_spent'
        if failure.attempts >= self._max_attempts + self._settings.rejections:
            return 'attempts_spent'
        return ''

    def _backoff(self, attempts: int) -> float:
        settings = self._settings
        max_delay = settings.first_backoff_seconds
        max_delay *= settings.backoff_factor ** max(0, attempts - 1)
        max_delay = min(max_delay, settings.max_backoff_seconds)
        return max_delay * self._rng.uniform(0.5, 1.0)
