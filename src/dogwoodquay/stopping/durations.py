"""How long the requests of each route last."""

from __future__ import annotations

import collections
import itertools
import math
import typing

__all__ = ['RouteDurations']

# The longest of so many counts, so that a single quick phase tells little.
KEPT_REQUESTS: typing.Final = 64
# With fewer there is no telling.
MIN_REQUESTS: typing.Final = 8


class _Route:
    """The requests of one route."""

    def __init__(self) -> None:
        self.ended: collections.deque[float] = collections.deque(
            maxlen=KEPT_REQUESTS
        )
        # When those in flight arrived, in order.
        self.in_flight: dict[int, float] = {}


class RouteDurations:
    """Keeps how long the last requests of each route have lasted."""

    def __init__(self) -> None:
        self._routes: dict[str, _Route] = {}
        self._numbers = itertools.count()

    def begin(self, route: str, now: float) -> int:
        """Record the arrival of a request; return its number for ``end``."""
        number = next(self._numbers)
        self._routes.setdefault(route, _Route()).in_flight[number] = now
        return number

    def end(self, route: str, number: int, now: float, sent: bool) -> None:
        """Record the end of a request.

        :param sent: whether it was sent to a server and its caller stayed.
        """
        kept = self._routes.get(route)
        if kept is None or number not in kept.in_flight:
            # The route was not declared in between.
            return
        arrived_at = kept.in_flight.pop(number)
        if sent:
            kept.ended.append(now - arrived_at)

    def longest(self, route: str, now: float) -> float:
        """Return the longest of the last requests in seconds.

        Infinite while there are too few to tell, or if one in flight has
        lasted longer already.
        """
        kept = self._routes.get(route)
        if kept is None or len(kept.ended) < MIN_REQUESTS:
            return math.inf
        longest = max(kept.ended)
        oldest = next(iter(kept.in_flight.values()), now)
        return longest if now - oldest <= longest else math.inf

    def keep_only(self, routes: typing.Container[str]) -> None:
        """Forget routes that are not declared any more."""
        for route in tuple(self._routes):
            if route not in routes:
                del self._routes[route]
