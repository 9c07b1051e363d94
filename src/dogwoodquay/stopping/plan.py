"""When the steps of a planned stop are due."""

from __future__ import annotations

import typing

__all__ = ['ANSWER_SECONDS', 'StopPlan', 'discard_seconds', 'plan_stop']

# The load balancer checks readiness once a second and removes an instance
# after two refusals.
BALANCER_REMOVAL_SECONDS: typing.Final = 2.4
# The part of the stop time that is kept for last answers and closing.
STOP_MARGIN_SECONDS: typing.Final = 1.0
# The part of it in which last answers are written.
ANSWER_SECONDS: typing.Final = 0.5
# The time after the end of requests in which refused bodies are discarded.
END_DISCARD_SECONDS: typing.Final = 0.2
# The same during the stop, for one request.
DISCARD_SECONDS: typing.Final = 2.0


class StopPlan(typing.NamedTuple):
    """The steps of a planned stop, by the clock that it was planned with.

    At ``removed_at`` the load balancer has removed the instance at the
    latest, and at ``ends_at`` the requests in flight are ended.
    """

    removed_at: float
    ends_at: float


def plan_stop(now: float, stop_seconds: float) -> StopPlan:
    """Plan a stop that begins now.

    :param stop_seconds: the time after which the process is killed.
    """
    ends_at = max(now, now + stop_seconds - STOP_MARGIN_SECONDS)
    return StopPlan(min(now + BALANCER_REMOVAL_SECONDS, ends_at), ends_at)


def discard_seconds(now: float, ends_at: float) -> float:
    """Return how long to discard the body of a refused request.

    A connection that is closed before its caller has sent all is reset, and
    the caller may lose the answer.

    :param ends_at: when all requests are to end.
    """
    left = ends_at + END_DISCARD_SECONDS - now
    return max(0.0, min(DISCARD_SECONDS, left))
