"""What a planned stop means for requests that callers send."""

from __future__ import annotations

import contextlib
import typing

import anyio

from ..stopping import plan as stop_plans

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from . import answer as answers
    from . import api
    from ..entry import asgi
    from ..routes import api as routes_api
    from ..stopping import intake as intakes

__all__ = ['PlannedStop', 'deadline_of']


class PlannedStop:
    """Tells which requests are taken, and ends the reading of others."""

    def __init__(self, clock: clocks.Clock, intake: intakes.Intake) -> None:
        self._clock = clock
        self._intake = intake
        self._ended = False

    @property
    def begun(self) -> bool:
        """Whether a planned stop has begun."""
        return self._intake.stopping

    def keep_routes(self, configuration: routes_api.Configuration) -> None:
        """Forget how long requests of other routes have lasted."""
        names = {route.name for route in configuration.routes}
        self._intake.durations.keep_only(names)

    @contextlib.contextmanager
    def forwarding(
        self, call: api.Call, answer: answers.Answer
    ) -> abc.Iterator[None]:
        """Record how long a request lasts, if a server has it to its end."""
        durations = self._intake.durations
        number = durations.begin(call.route.name, call.arrived_at)
        try:
            yield
        finally:
            sent = answer.trace.attempts > 0 and not answer.left
            now = self._clock.now()
            durations.end(call.route.name, number, now, sent)

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
        return self._intake.admits(route, deadline, self._clock.now())

    async def discard_body(self, request: asgi.Request) -> None:
        """Discard the rest of a body that the stop refuses."""
        ends_at = self._intake.ends_at
        if ends_at is None:
            return
        seconds = stop_plans.discard_seconds(self._clock.now(), ends_at)
        with anyio.move_on_after(seconds):
            await request.discard_unread_body()


def deadline_of(
    route: routes_api.Route, terms: api.CallerTerms, arrived_at: float
) -> float:
    """Return when the answer to a request is due."""
    return arrived_at + min(terms.wait_seconds, route.timeout_seconds)
