"""Finds how many requests a server runs at a time without slowing down."""

from __future__ import annotations

import typing

__all__ = ['ConcurrencyLimit']

# Slots beyond the declared ones that the limit may reach.
EXTRA_SLOTS: typing.Final = 2.0
# Latency over no-load latency up to which the server counts as unloaded; it
# covers the variation of the times of single requests.
TOLERANCE: typing.Final = 1.25
# The smallest factor of one step, so that one slow sample changes little.
MIN_GRADIENT: typing.Final = 0.5
# Weight of the newest step.
WEIGHT: typing.Final = 0.1
# The limit grows by this much in a step without a loss of speed.
GROWTH: typing.Final = 1.0
# Requests below the limit at which a sample tests it. A server that never
# runs more than its slots thus cannot seem to run more.
TESTED_BELOW: typing.Final = 0.5


class ConcurrencyLimit:
    """Follows the gradient of the latency against the no-load latency."""

    def __init__(self, slots: int) -> None:
        self._highest = slots + EXTRA_SLOTS
        self._value = float(slots)

    @property
    def value(self) -> float:
        """The number of requests, a fraction in general."""
        return self._value

    def on_sample(self, slowdown: float, running: float) -> None:
        """Apply a latency.

        :param slowdown: the latency in no-load latencies.
        :param running: the requests that ran there at the time.
        """
        gradient = TOLERANCE / max(slowdown, TOLERANCE)
        if gradient >= 1.0:
            if running < self._value - TESTED_BELOW:
                return
            aim = self._value + GROWTH
        elif running <= self._value * MIN_GRADIENT:
            # So few requests cannot be what slows the server down.
            return
        else:
            aim = min(self._value, running) * max(gradient, MIN_GRADIENT)
        self._value += (aim - self._value) * WEIGHT
        self._value = min(max(self._value, 1.0), self._highest)
