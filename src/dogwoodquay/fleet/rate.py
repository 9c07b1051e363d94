"""A rate of events that fades with time."""

from __future__ import annotations

import math
import typing

__all__ = ['FadingRate', 'REMEMBERED_SECONDS', 'faded']

# How long a rate remembers: long enough for a few requests of a rare model,
# and short beside the seconds that demand stays with a model.
REMEMBERED_SECONDS: typing.Final = 2.5


class FadingRate:
    """How many events a second there are, the last seconds counting most."""

    def __init__(self) -> None:
        self._value = 0.0
        self._at = 0.0

    def add(self, now: float) -> None:
        """Count an event."""
        self._value = self.at(now) + 1.0 / REMEMBERED_SECONDS
        self._at = now

    def at(self, now: float) -> float:
        """Return the events a second at a time."""
        return faded(self._value, now - self._at)


def faded(rate: float, seconds: float) -> float:
    """Return what is left of a rate when nothing comes for a time."""
    return rate * math.exp(-seconds / REMEMBERED_SECONDS)
