"""A sum of units that decays, as an estimate of their rate."""

from __future__ import annotations

import math

__all__ = ['DecayingSum']


class DecayingSum:
    """Units of the last seconds, older ones with less weight."""

    def __init__(self, seconds: float, now: float, value: float = 0.0) -> None:
        self._seconds = seconds
        self._value = value
        self._updated_at = now

    def value(self, now: float) -> float:
        """Return the decayed sum."""
        elapsed = now - self._updated_at
        if elapsed > 0.0:
            self._value *= math.exp(-elapsed / self._seconds)
            self._updated_at = now
        return self._value

    def add(self, units: float, now: float) -> None:
        """Add units."""
        self._value = self.value(now) + units

    def rate(self, now: float) -> float:
        """Return the estimated units per second."""
        return self.value(now) / self._seconds
