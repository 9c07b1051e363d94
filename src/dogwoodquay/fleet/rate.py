"""An exponentially decaying rate of events."""

from __future__ import annotations

import math
import typing

__all__ = ['DECAY_SECONDS', 'DecayingRate', 'decayed']

# Time constant of the decay: long enough to cover a few requests for a rarely
# used model, and shorter than the time for which demand stays with a model.
DECAY_SECONDS: typing.Final = 2.5


class DecayingRate:
    """The number of events per second, weighted towards the last seconds."""

    def __init__(self) -> None:
        self._value = 0.0
        self._at = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Count an event, or an amount."""
        self._value = self.at(now) + amount / DECAY_SECONDS
        self._at = now

    def at(self, now: float) -> float:
        """Return the events per second at a time."""
        return decayed(self._value, now - self._at)


def decayed(rate: float, seconds: float) -> float:
    """Return a rate after a time without events."""
    return rate * math.exp(-seconds / DECAY_SECONDS)
