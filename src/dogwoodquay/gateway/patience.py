"""How long a request waits for a server before it looks for another one."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from . import api

__all__ = [
    'abandon_seconds',
    'gap_patience',
    'head_patience',
    'successor_deadline',
    'wait_deadline',
]

# A caller abandons its stream after a gap of the longest of these: a least
# time, and multiples of the objectives for the first byte and for gaps.
MIN_ABANDON_SECONDS: typing.Final = 2.0
ABANDON_OBJECTIVES: typing.Final = 4
ABANDON_GAPS: typing.Final = 8
# The share of the abandon time that a stream may wait for a server.
STREAM_WAIT_SHARE: typing.Final = 0.8
# The share of a plain request's time that it may wait for a server.
PLAIN_WAIT_SHARE: typing.Final = 0.5
# Another server is sought for a stream after so many gap objectives.
GAP_OBJECTIVES: typing.Final = 5.0
MIN_GAP_SECONDS: typing.Final = 0.7
# The share of the time left after which another server is sought for a request
# without an answer.
HEAD_SHARE: typing.Final = 0.5
# The same as a share of the abandon time, for streams.
FIRST_EVENT_SHARE: typing.Final = 0.75
# The share of the time left in which another server may be found.
SUCCESSOR_SHARE: typing.Final = 0.5
# With less time left, a request is not sent any more.
MIN_WORK_SECONDS: typing.Final = 0.02


def abandon_seconds(call: api.Call) -> float:
    """Return the gap after which a caller abandons its stream."""
    route = call.route
    return max(
        MIN_ABANDON_SECONDS,
        route.objective_seconds * ABANDON_OBJECTIVES,
        route.gap_objective_seconds * ABANDON_GAPS,
    )


def head_patience(call: api.Call, now: float) -> float:
    """Return the time without an answer before another server is sought.

    In seconds, infinite for requests that may not run again.
    """
    if not call.route.repeatable:
        return math.inf
    seconds = (call.deadline - now) * HEAD_SHARE
    if call.route.streaming:
        # The caller would abandon the stream before a later attempt.
        seconds = min(seconds, abandon_seconds(call) * FIRST_EVENT_SHARE)
    return seconds


def gap_patience(call: api.Call) -> float:
    """Return the pause in a stream after which another server is sought."""
    route = call.route
    if not (route.streaming and route.resumable):
        return math.inf
    return max(route.gap_objective_seconds * GAP_OBJECTIVES, MIN_GAP_SECONDS)


def successor_deadline(call: api.Call, now: float) -> float:
    """Return until when another server is sought for a silent one.

    A later successor would hardly answer sooner than the silent server.
    """
    return now + (call.deadline - now) * SUCCESSOR_SHARE


def wait_deadline(call: api.Call, started: bool, now: float) -> float:
    """Return when a request that no server runs leaves the wait queue.

    :param started: whether a part of the answer was sent to the caller.
    """
    if started:
        limit = now + gap_patience(call)
    elif call.route.streaming:
        limit = call.arrived_at + abandon_seconds(call) * STREAM_WAIT_SHARE
    else:
        span = call.deadline - call.arrived_at
        limit = call.arrived_at + span * PLAIN_WAIT_SHARE
    return min(limit, call.deadline - MIN_WORK_SECONDS)
