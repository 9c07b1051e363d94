"""A budget of repeats in a sliding window that instances need not share."""

from __future__ import annotations

import collections
import typing

__all__ = ['RepeatWindow']

# What an instance uses of the permitted share, as requests that arrive at
# the end of a window have no time left to pay for the repeats at its start.
SHARE_USED: typing.Final = 0.85


class RepeatWindow:
    """Permits repeats as a share of this instance's own requests.

    As each instance keeps the share by its own requests, all together keep
    it whatever their number, also when some die or cannot reach the others.

    :param share: repeats for each request, as all instances must keep it.
    :param slack: repeats beyond the share for each service and window.
    """

    def __init__(
        self, share: float, slack: int, window_seconds: float
    ) -> None:
        self._share = share * SHARE_USED
        self._slack = slack
        self._window_seconds = window_seconds
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def requested(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._times(self._requests, service, now).append(now)

    def take(self, service: str, now: float) -> bool:
        """Use one repeat; false when none is left in this window."""
        requests = self._times(self._requests, service, now)
        repeats = self._times(self._repeats, service, now)
        if len(repeats) + 1 > self._share * len(requests) + self._slack:
            return False
        repeats.append(now)
        return True

    def _times(
        self,
        table: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        times = table.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_seconds:
            times.popleft()
        return times
