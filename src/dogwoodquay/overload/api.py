"""Pools, requests and verdicts of overload control."""

from __future__ import annotations

import dataclasses
import typing

__all__ = [
    'Admit',
    'Figures',
    'Pool',
    'Refuse',
    'Request',
    'Verdict',
    'Wait',
    'Waiting',
]


class Pool(typing.NamedTuple):
    """The servers that can run a kind of request.

    Those of a plain service (``model`` is empty), or those of an engine
    service that have a model.
    """

    service: str
    model: str = ''


class Request(typing.NamedTuple):
    """When a request has to start; a lower ``priority`` is more urgent.

    ``objective_start`` is the latest start with which it is expected to meet
    its objective, ``latest_start`` the latest with which its caller still
    gets the answer. A caller that comes back ``in_turn`` goes before others
    of its priority.
    """

    priority: int
    objective_start: float
    latest_start: float
    in_turn: bool = False


class Waiting(typing.NamedTuple):
    """The waiting requests of one priority.

    ``on_time`` can still meet their objective, ``late`` cannot. ``arriving``
    is how many come per second.
    """

    priority: int
    on_time: int
    late: int
    arriving: float


class Figures(typing.NamedTuple):
    """What one or several instances know of a pool.

    ``completed`` is the rate of complete answers, ``work`` the seconds that
    these took at the servers, per second, ``running`` the requests that are
    at servers.
    """

    completed: float = 0.0
    work: float = 0.0
    running: int = 0
    waiting: tuple[Waiting, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """A server has room for the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The request waits, until ``deadline`` at most.

    ``on_time`` is whether it is expected to meet its objective.
    """

    deadline: float
    on_time: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request cannot be answered in time.

    Those that go before it have started after ``drained_seconds``.
    """

    drained_seconds: float


Verdict = Admit | Wait | Refuse
