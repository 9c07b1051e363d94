"""When a request has to start, by the usual time of its route."""

from __future__ import annotations

import math
import typing

from ..gateway import patience
from ..overload import work as work_times

if typing.TYPE_CHECKING:
    from ..gateway import api

__all__ = ['StartTimes']


class StartTimes:
    """The latest starts of requests, learned from answers."""

    def __init__(self) -> None:
        self._work = work_times.WorkTimes()

    def on_first_event(self, call: api.Call, seconds: float) -> None:
        """Record the time to the first event of a stream."""
        self._work.on_first(call.service, call.route.name, seconds)

    def on_whole(self, call: api.Call, seconds: float) -> None:
        """Record the time of a complete answer."""
        self._work.on_whole(call.service, call.route.name, seconds)

    def work_seconds(self, call: api.Call) -> float:
        """Return the usual time of a complete answer, zero if unknown."""
        return self._work.whole(call.service, call.route.name).seconds

    def objective_start(self, call: api.Call) -> float:
        """Return the latest start that is expected to meet the objective."""
        return call.objective_at - self._until_objective(call).seconds

    def latest_start(self, call: api.Call) -> float:
        """Return the latest start with which the caller gets the answer.

        Infinite if the usual time is not known.
        """
        route = call.route
        latest = math.inf
        whole = self._work.whole(call.service, route.name)
        if whole.known:
            latest = call.deadline - whole.safe_seconds
        first = self._work.first(call.service, route.name)
        if route.streaming and first.known:
            abandoned_at = call.arrived_at + patience.abandon_seconds(call)
            latest = min(latest, abandoned_at - first.safe_seconds)
        return latest - patience.MIN_WORK_SECONDS

    def _until_objective(self, call: api.Call) -> work_times.Usual:
        route = call.route
        times = self._work.first if route.streaming else self._work.whole
        return times(call.service, route.name)
