"""Tells refused callers of limited servers when to come back."""

from __future__ import annotations

import typing

__all__ = ['ReturnTimes']

# Bounds of the time until a caller may come back.
MIN_SECONDS: typing.Final = 0.4
MAX_SECONDS: typing.Final = 10.0


class ReturnTimes:
    """Spreads returning callers by the rate at which they can be served.

    Each one is told a later time than those who were refused before it.
    """

    def __init__(self) -> None:
        self._last: dict[str, float] = {}

    def next(
        self, service: str, rate: float, wait_seconds: float, now: float
    ) -> float:
        """Return the seconds until a caller may come back.

        :param rate: the requests per second that this instance can expect to
            be served.
        :param wait_seconds: until the requests that wait now are served.
        """
        earliest = now + max(MIN_SECONDS, wait_seconds)
        at = max(earliest, self._last.get(service, now) + 1.0 / rate)
        at = min(at, now + MAX_SECONDS)
        self._last[service] = at
        return at - now
