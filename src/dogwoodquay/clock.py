"""Clocks that are passed to the code that depends on the time."""

from __future__ import annotations

import time
import typing

__all__ = ['Clock', 'ManualClock', 'SteadyClock', 'SystemClock', 'UnixClock']


class Clock(typing.Protocol):
    """A source of time in seconds since the Unix epoch."""

    def now(self) -> float:
        """Return the current time in seconds."""


class SystemClock:
    """The system time at the start, advanced by the monotonic clock."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the current time in seconds; it never decreases."""
        return self._offset + time.monotonic()


class SteadyClock:
    """Seconds since the boot of the machine, suspended time included.

    Changes of the system time do not affect it. It advances while the machine
    is suspended, so that deadlines expire in that time as well.
    """

    def now(self) -> float:
        """Return the current time in seconds; it never decreases."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class UnixClock:
    """The time of day, for times that other machines read.

    It may differ between machines, and jump.
    """

    def now(self) -> float:
        """Return the current time in seconds."""
        return time.time()


class ManualClock:
    """A clock for tests that only ``advance`` moves."""

    def __init__(self, start: float = 1_700_000_000.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the set time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: a number that is not negative.
        """
        if seconds < 0:
            raise ValueError('a clock cannot be moved back')
        self._now += seconds
