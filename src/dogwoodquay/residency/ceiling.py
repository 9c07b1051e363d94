"""Limits the rate of loads from the weight store."""

from __future__ import annotations

import collections

__all__ = ['LoadCeiling']


class LoadCeiling:
    """Limits the loads that all engines of a service start in a time window.

    A new owner does not know which loads the previous owner started, so it
    counts ``unknown`` of them as started now.

    :param loads: the number of loads that may start within a window.
    :param unknown: the loads that the previous owner may have started.
    """

    def __init__(
        self, loads: int, unknown: int, window_seconds: float, now: float
    ) -> None:
        self._loads = max(1, loads)
        self._window_seconds = window_seconds
        self._load_times = collections.deque([now] * unknown)

    def take(self, now: float) -> bool:
        """Count a load, unless the window's limit is reached.

        :return: whether the load may start.
        """
        while (
            self._load_times
            and self._load_times[0] <= now - self._window_seconds
        ):
            self._load_times.popleft()
        if len(self._load_times) >= self._loads:
            return False
        self._load_times.append(now)
        return True
