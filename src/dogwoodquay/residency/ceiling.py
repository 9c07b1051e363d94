"""Keeps the loads from the weight store below their rate."""

from __future__ import annotations

import collections

__all__ = ['LoadCeiling']


class LoadCeiling:
    """Permits loads in a sliding window over all engines of a service.

    A new owner does not know the loads of the one before, so it starts as
    if some of the window had been used.

    :param loads: how many loads may begin in a window.
    :param unknown: how many of them another owner may have begun.
    """

    def __init__(
        self, loads: int, unknown: int, window_seconds: float, now: float
    ) -> None:
        self._loads = max(1, loads)
        self._window_seconds = window_seconds
        self._begun = collections.deque([now] * unknown)

    def take(self, now: float) -> bool:
        """Begin a load; false when the window is full."""
        while self._begun and self._begun[0] <= now - self._window_seconds:
            self._begun.popleft()
        if len(self._begun) >= self._loads:
            return False
        self._begun.append(now)
        return True
