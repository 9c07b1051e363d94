"""Holds requests that arrive while an instance learns what it serves."""

from __future__ import annotations

import typing

import anyio

if typing.TYPE_CHECKING:
    from .. import clock as clocks

__all__ = ['StartHold']

# The time after the start in which requests are held.
START_SECONDS: typing.Final = 3.0
# The longest time that a request is held, and the longest part of the time
# that its caller waits: a refused one can still retry.
HOLD_SECONDS: typing.Final = 1.0
MAX_HOLD_PART: typing.Final = 0.3
# Further requests are refused at once. Held ones run together afterwards.
MAX_HELD: typing.Final = 64


class StartHold:
    """Holds requests until the configuration and the servers are known.

    Callers retry only once, and after a start of all instances they would
    meet another one that knows as little.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._ends_at = clock.now() + START_SECONDS
        self._held = 0
        self._released = anyio.Event()

    @property
    def released(self) -> bool:
        """Whether requests are no longer held."""
        return self._released.is_set()

    def release(self) -> None:
        """Let all requests go on, from now on without a wait."""
        self._released.set()

    async def wait(self, wait_seconds: float) -> None:
        """Hold a request for a limited time.

        :param wait_seconds: how long its caller waits for the answer.
        """
        if self.released or self._held >= MAX_HELD:
            return
        seconds = min(
            HOLD_SECONDS,
            MAX_HOLD_PART * wait_seconds,
            self._ends_at - self._clock.now(),
        )
        if seconds <= 0.0:
            return
        self._held += 1
        try:
            with anyio.move_on_after(seconds):
                await self._released.wait()
        finally:
            self._held -= 1
