"""The abstract part of retries: what failed, and what may follow."""

from __future__ import annotations

import dataclasses
import enum
import typing

__all__ = ['Failure', 'GiveUp', 'Retry', 'RetryPolicy', 'RunState']


class RunState(enum.Enum):
    """Whether a failed attempt ran at the upstream."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """How an attempt failed.

    ``idempotent`` requests may run again; ``delivered`` says that the caller
    has had a part of the answer, ``resumable`` that an engine can go on, and
    ``arrived`` that the upstream may have had a part of the request.
    """

    reason: str
    run_state: RunState
    attempts: int
    idempotent: bool
    delivered: bool
    resumable: bool
    deadline: float
    arrived: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again at a time; ``resume`` goes on where the answer broke off."""

    at: float
    resume: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """End the request; ``reason`` is the counter's label."""

    reason: str
    run_state: RunState


class RetryPolicy(typing.Protocol):
    """Decides on retries within a budget; does no I/O."""

    def started(self, now: float) -> None:
        """Count a first attempt."""

    def succeeded(self, now: float) -> None:
        """Count a success, which adds to the budget."""

    def decide(self, failure: Failure, now: float) -> Retry | GiveUp:
        """Decide what follows a failed attempt."""
