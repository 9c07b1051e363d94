"""What instances know of the speed and load of servers."""

from __future__ import annotations

import typing

from ..ratelimit import api as limit_api

__all__ = [
    'FRESH_SECONDS',
    'MAX_COUNT',
    'Candidate',
    'MAX_PACE',
    'MIN_PACE',
    'Report',
    'ServerKey',
    'Work',
]

ServerKey = limit_api.ServerKey

# Figures older than this are no news to anybody.
FRESH_SECONDS: typing.Final = 1.0
# Figures out of these ranges are dropped.
MIN_PACE: typing.Final = 0.1
MAX_PACE: typing.Final = 100.0
MAX_COUNT: typing.Final = 1_000_000


class Report(typing.NamedTuple):
    """What a server said of itself as of a time, and what was measured.

    ``measured`` requests were completed there since the last report, in
    ``work`` times the usual time of their kinds, had the server not been
    slowed down. ``others`` are the requests there of all instances but the
    receiver of a view.
    """

    server: ServerKey
    running: int
    waiting: int
    pace: float
    as_of: float
    measured: float = 0.0
    work: float = 0.0
    others: int = 0


class Candidate(typing.NamedTuple):
    """A server that may run a request.

    ``in_flight`` are the requests of this instance there, ``capacity`` is how
    many requests of all instances it may have. ``cost`` is what speaks
    against it beside its load, in times of one request.
    """

    server: ServerKey
    in_flight: int
    capacity: float
    cost: float = 0.0


class Work(typing.NamedTuple):
    """The time that a server took for a request.

    ``units`` of work of a ``kind`` took ``seconds``, with the time that the
    request waited at the server if ``queued``. The whole request, with a
    ``model`` at engines, took ``whole_seconds``.
    """

    kind: str
    seconds: float
    whole_seconds: float
    units: float = 1.0
    queued: bool = True
    model: str = ''
