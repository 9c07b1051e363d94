"""Tells refused callers when to come back."""

from __future__ import annotations

import typing

__all__ = ['ReturnTimes']

# Bounds of the time until a caller may come back.
MIN_SECONDS: typing.Final = 0.4
MAX_SECONDS: typing.Final = 10.0
# Places whose last time is remembered.
MAX_PLACES: typing.Final = 1_024

_Place = typing.TypeVar('_Place')


class ReturnTimes(typing.Generic[_Place]):
    """Spreads returning callers by the rate at which they can be served.

    Each one is told a later time than those who were refused before it at
    the same place.

    :param least_seconds: the least time until a caller may come back.
    """

    def __init__(self, least_seconds: float = MIN_SECONDS) -> None:
        self._least_seconds = least_seconds
        self._last: dict[_Place, float] = {}

    def next(
        self,
        place: _Place,
        rate: float,
        wait_seconds: float,
        now: float,
        most_seconds: float = MAX_SECONDS,
    ) -> float:
        """Return the seconds until a caller may come back.

        :param rate: the requests per second that this instance can expect to
            be served.
        :param wait_seconds: until the requests that wait now are served.
        :param most_seconds: the longest time that the caller accepts.
        """
        most = now + min(most_seconds, MAX_SECONDS)
        earliest = now + max(self._least_seconds, wait_seconds)
        last = self._last.pop(place, now)
        at = min(max(earliest, last + 1.0 / rate), most)
        while len(self._last) >= MAX_PLACES:
            del self._last[next(iter(self._last))]
        # A caller with less time does not bring the next ones forward.
        self._last[place] = max(last, at)
        return at - now
