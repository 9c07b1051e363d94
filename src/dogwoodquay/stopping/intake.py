"""Which requests an instance takes while it is stopped as planned."""

from __future__ import annotations

import dataclasses
import typing

from . import durations

if typing.TYPE_CHECKING:
    from ..routes import api as routes_api

__all__ = [
    'Draining',
    'Intake',
    'Leaving',
    'Offer',
    'Serving',
    'Step',
    'admits',
]


class Offer(typing.NamedTuple):
    """A request that no server runs.

    ``deadline`` is when its answer has to be complete, and ``likely_end``
    when a stream is if it lasts no longer than others lately; the deadline of
    a plain request. ``repeatable`` is whether it may be sent again after it
    has run.
    """

    deadline: float
    likely_end: float
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


Step = Serving | Leaving | Draining


def admits(step: Step, offer: Offer) -> bool:
    """Return whether a request is taken, or sent on, in a step of a stop.

    A refused caller reaches another instance by one more attempt, which may
    be its last; a request that is cut at the end may be lost.
    """
    match step:
        case Serving():
            return True
        case Leaving(ends_at):
            return offer.repeatable or offer.likely_end <= ends_at
        case Draining(ends_at):
            return not offer.streaming and offer.deadline <= ends_at


class Intake:
    """The step of an instance's stop, and what it admits."""

    def __init__(self) -> None:
        self._step: Step = Serving()
        self._durations = durations.RouteDurations()

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return not isinstance(self._step, Serving)

    @property
    def ends_at(self) -> float | None:
        """When all requests are to end, ``None`` if no stop has begun."""
        match self._step:
            case Leaving(ends_at) | Draining(ends_at):
                return ends_at
            case _:
                return None

    @property
    def durations(self) -> durations.RouteDurations:
        """How long the requests of each route have lasted."""
        return self._durations

    def leave(self, ends_at: float) -> None:
        """Begin a planned stop.

        :param ends_at: when all requests are to end.
        """
        self._step = Leaving(ends_at)

    def drain(self, ends_at: float) -> None:
        """Record that the load balancer has removed the instance."""
        self._step = Draining(ends_at)

    def admits(
        self, route: routes_api.Route, deadline: float, now: float
    ) -> bool:
        """Return whether to take a request, or to send it to a server.

        :param deadline: when its answer has to be complete.
        """
        if not self.stopping:
            return True
        likely_end = deadline
        if route.streaming:
            # Plain requests of a route last too differently for this.
            longest = self._durations.longest(route.name, now)
            likely_end = min(deadline, now + longest)
        return admits(
            self._step,
            Offer(deadline, likely_end, route.streaming, route.repeatable),
        )
