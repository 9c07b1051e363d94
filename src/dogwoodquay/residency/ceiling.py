"""Limits the rate of loads from the weight store."""

from __future__ import annotations

import collections

__all__ = ['LoadCeiling']


class LoadCeiling:
    """Limits the loads that all engines of a service start in a time window.

    A new owner does not know which loads the previous owner started, so it
    counts ``unseen_loads`` of them as started now.

    :param max_loads: the number of loads that may start within a window.
    :param unseen_loads: the loads that the previous owner may have started.
    """

    def __init__(
        self,
        max_loads: int,
        unseen_loads: int,
        window_seconds: float,
        now: float,
    ) -> None:
        self._max_loads = max(1, max_loads)
        self._window_seconds = window_seconds
        self._load_times = collections.deque([now] * unseen_loads)

    def take(self, now: float) -> bool:
        """Count a load, unless the window's limit is reached.

        :return: whether the load may start.
        """
        while (
            self._load_times
            and self._load_times[0] <= now - self._window_seconds
        ):
            self._load_times.popleft()
        if len(self._load_times) >= self._max_loads:
            return False
        self._load_times.append(now)
        return True
