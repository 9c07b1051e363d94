"""How long the requests of each route have lasted."""

from __future__ import annotations

import collections
import math
import typing

__all__ = ['RouteDurations']

# The longest of so many counts, so that a single quick phase tells little.
KEPT_REQUESTS: typing.Final = 64
# With fewer the route's own limit counts.
MIN_REQUESTS: typing.Final = 8


class RouteDurations:
    """Keeps how long the last requests of each route have lasted."""

    def __init__(self) -> None:
        self._seconds: dict[str, collections.deque[float]] = {}

    def add(self, route: str, seconds: float) -> None:
        """Record a request that was sent to a server."""
        kept = self._seconds.get(route)
        if kept is None:
            kept = collections.deque(maxlen=KEPT_REQUESTS)
            self._seconds[route] = kept
        kept.append(seconds)

    def longest(self, route: str) -> float:
        """Return the longest of the last requests in seconds.

        Infinite while there are too few to tell.
        """
        kept = self._seconds.get(route, ())
        return max(kept) if len(kept) >= MIN_REQUESTS else math.inf

    def keep_only(self, routes: typing.Container[str]) -> None:
        """Forget routes that are not declared any more."""
        for route in tuple(self._seconds):
            if route not in routes:
                del self._seconds[route]
