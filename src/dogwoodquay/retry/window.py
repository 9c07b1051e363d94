"""A retry budget in a sliding window, kept by each instance on its own."""

from __future__ import annotations

import collections
import typing

__all__ = ['RetryWindow']

# The part of the permitted share that an instance uses. The margin is needed
# as requests near the end of a window arrive too late to permit retries at
# its start.
USED_SHARE: typing.Final = 0.85


class RetryWindow:
    """Permits retries as a share of this instance's own requests.

    As each instance keeps the share for its own requests, all of them
    together keep it too, independent of their number and also when some fail
    or cannot reach each other.

    :param share: the retries per request that all instances together may do.
    :param slack: further retries for each service and window.
    """

    def __init__(
        self, share: float, slack: int, window_seconds: float
    ) -> None:
        self._share = share * USED_SHARE
        self._slack = slack
        self._window_seconds = window_seconds
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller for a service."""
        self._times(self._requests, service, now).append(now)

    def take(self, service: str, now: float) -> bool:
        """Count a retry, unless none is left in the window.

        :return: whether the retry is permitted.
        """
        if not self.available(service, now):
            return False
        self._times(self._retries, service, now).append(now)
        return True

    def give_back(self, service: str) -> None:
        """Remove a retry that was taken and not made."""
        retries = self._retries.get(service)
        if retries:
            retries.pop()

    def available(self, service: str, now: float, count: int = 1) -> bool:
        """Whether the window permits some more retries."""
        requests = self._times(self._requests, service, now)
        retries = self._times(self._retries, service, now)
        allowed = self._share * len(requests) + self._slack
        return len(retries) + count <= allowed

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
