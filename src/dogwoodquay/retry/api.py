"""The abstract part of retries: failures, decisions and the policy."""

from __future__ import annotations

import enum
import typing

import msgspec

__all__ = ['Failure', 'GiveUp', 'Retry', 'RetryPolicy', 'RunState']


class RunState(enum.Enum):
    """Whether a failed attempt ran at the upstream."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    FAILED = 'failed'


class Failure(msgspec.Struct, frozen=True):
    """A failed attempt of a request.

    ``attempts`` counts the attempts so far. ``idempotent`` is true if the
    request may run again, ``delivered`` if the caller has received a part of
    the answer, ``resumable`` if an upstream can continue it, and ``arrived``
    if the upstream may have received a part of the request.
    """

    reason: str
    run_state: RunState
    attempts: int
    idempotent: bool
    delivered: bool
    resumable: bool
    deadline: float
    arrived: bool = True


class Retry(msgspec.Struct, frozen=True):
    """Retry at a time; ``resume`` continues an interrupted answer."""

    at: float
    resume: bool
    reason: str


class GiveUp(msgspec.Struct, frozen=True):
    """End the request; ``reason`` is the label in the metrics."""

    reason: str
    run_state: RunState


class RetryPolicy(typing.Protocol):
    """Decides on retries within a budget, without I/O."""

    def started(self, now: float) -> None:
        """Count a first attempt."""

    def succeeded(self, now: float) -> None:
        """Count a success, which may add to the budget."""

    def decide(self, failure: Failure, now: float) -> Retry | GiveUp:
        """Decide whether a failed attempt is retried."""
