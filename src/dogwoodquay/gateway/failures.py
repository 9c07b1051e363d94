"""Turns outcomes of attempts into failures, which may be retried."""

from __future__ import annotations

import typing

from . import outcomes
from ..retry import api as retry_api

if typing.TYPE_CHECKING:
    from . import api

__all__ = ['SERVER_ERROR', 'failure_of']

SERVER_ERROR: typing.Final = 500


def failure_of(
    call: api.Call,
    delivered: bool,
    outcome: outcomes.Outcome,
    attempts: int,
) -> retry_api.Failure | None:
    """Return the failure of an attempt, ``None`` if it was answered.

    :param delivered: whether the caller has received a part of the answer.
    """
    arrived = True
    match outcome:
        case outcomes.NotRun(reason, arrived):
            state = retry_api.RunState.NOT_RUN
        case outcomes.Broken(reason):
            state = retry_api.RunState.MAY_HAVE_RUN
        case outcomes.Whole(status) if delivered or (
            status >= SERVER_ERROR and call.route.repeatable
        ):
            reason = f'status_{status}'
            state = retry_api.RunState.FAILED
        case _:
            return None
    return retry_api.Failure(
        reason=reason,
        run_state=state,
        attempts=attempts,
        idempotent=call.route.repeatable,
        delivered=delivered,
        resumable=call.route.resumable,
        deadline=call.deadline,
        arrived=arrived,
    )
