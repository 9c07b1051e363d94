"""Which requests an instance takes while it is stopped as planned."""

from __future__ import annotations

import dataclasses
import typing

__all__ = ['Draining', 'Leaving', 'Offer', 'Phase', 'Serving', 'admits']


class Offer(typing.NamedTuple):
    """A request that was read and is at no server yet.

    ``deadline`` is when its answer has to be complete. ``repeatable`` is
    whether it may be sent again after it has run.
    """

    deadline: float
    streaming: bool
    repeatable: bool


@dataclasses.dataclass(frozen=True)
class Serving:
    """No stop has begun."""


@dataclasses.dataclass(frozen=True)
class Leaving:
    """A stop has begun, and the load balancer may still send callers.

    All requests end at ``ends_at``.
    """

    ends_at: float


@dataclasses.dataclass(frozen=True)
class Draining:
    """The load balancer sends no new callers; old connections may remain."""

    ends_at: float


Phase = Serving | Leaving | Draining


def admits(phase: Phase, offer: Offer) -> bool:
    """Return whether to take a request.

    Its caller reaches another instance by one more attempt, while a request
    that is cut at the end may be lost.
    """
    match phase:
        case Serving():
            return True
        case Leaving(ends_at):
            return offer.repeatable or offer.deadline <= ends_at
        case Draining(ends_at):
            return not offer.streaming and offer.deadline <= ends_at
