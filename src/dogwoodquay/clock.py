"""Clocks that are passed in, so that no decision reads the time itself."""

from __future__ import annotations

import time
import typing

__all__ = ['Clock', 'ManualClock', 'SteadyClock', 'SystemClock']


class Clock(typing.Protocol):
    """A source of time in seconds since the Unix epoch."""

    def now(self) -> float:
        """Return the current time in seconds."""


class SystemClock:
    """The machine's time: read once, then advanced monotonically."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the current time in seconds; it never goes back."""
        return self._offset + time.monotonic()


class SteadyClock:
    """Seconds since the machine's start, time spent suspended included.

    It neither jumps with the time of day nor stands still while the machine
    is suspended, so that a deadline that passed meanwhile is seen as passed.
    """

    def now(self) -> float:
        """Return the current time in seconds; it never goes back."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock for tests that moves only when told to."""

    def __init__(self, start: float = 1_700_000_000.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the time that was set last, in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far, not negative.
        """
        if seconds < 0:
            raise ValueError('a clock does not go back')
        self._now += seconds
