"""What a planned stop means for requests that callers send."""

from __future__ import annotations

import typing

import anyio

from ..entry import asgi
from ..stopping import intake
from ..stopping import plan as stop_plans

if typing.TYPE_CHECKING:
    from .. import clock as clocks
    from . import api
    from ..routes import api as routes_api

__all__ = ['PlannedStop', 'deadline_of']


class PlannedStop:
    """Tells which requests are taken, and ends the reading of others."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._phase: intake.Phase = intake.Serving()
        self._ended = False

    @property
    def begun(self) -> bool:
        """Whether a planned stop has begun."""
        return not isinstance(self._phase, intake.Serving)

    def leave(self, ends_at: float) -> None:
        """Begin a planned stop.

        :param ends_at: when all requests are to end.
        """
        self._phase = intake.Leaving(ends_at)

    def drain(self, ends_at: float) -> None:
        """Refuse also what comes after the load balancer's removal."""
        self._phase = intake.Draining(ends_at)

    def end(self) -> None:
        """Read no further requests: all requests have been ended."""
        self._ended = True

    def reads(
        self,
        route: routes_api.Route | None,
        terms: api.CallerTerms,
        arrived_at: float,
    ) -> bool:
        """Whether to read the body of a request.

        :param route: its route by the configuration in use, if any.
        """
        if route is None or self._ended:
            return not self._ended
        return self.admits(route, terms, arrived_at)

    def admits(
        self,
        route: routes_api.Route,
        terms: api.CallerTerms,
        arrived_at: float,
    ) -> bool:
        """Whether to take a request."""
        deadline = deadline_of(route, terms, arrived_at)
        offer = intake.Offer(deadline, route.streaming, route.repeatable)
        return intake.admits(self._phase, offer)

    async def discard_body(self, request: asgi.Request) -> None:
        """Discard the rest of a body that the stop refuses."""
        match self._phase:
            case intake.Leaving(ends_at) | intake.Draining(ends_at):
                seconds = stop_plans.discard_seconds(
                    self._clock.now(), ends_at
                )
                with anyio.move_on_after(seconds):
                    await request.discard_unread_body()


def deadline_of(
    route: routes_api.Route, terms: api.CallerTerms, arrived_at: float
) -> float:
    """Return when the answer to a request is due."""
    return arrived_at + min(terms.wait_seconds, route.timeout_seconds)
