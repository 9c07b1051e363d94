"""What is known about reaching one peer: its connection and the backoff."""

from __future__ import annotations

import typing

import anyio

if typing.TYPE_CHECKING:
    import random

    from . import connection
    from . import queue
    from . import settings

__all__ = ['Link']


class Link:
    """The state of the way to one peer."""

    def __init__(self) -> None:
        self.connection: connection.Connection | None = None
        self.outgoing: queue.SendQueue | None = None
        self.dialling = False
        self._settled = anyio.Event()
        self._failures = 0
        self._retry_at = 0.0
        self._failed = 'unreachable'

    @property
    def ready(self) -> connection.Connection | None:
        """The open connection, if any."""
        if self.connection is None or self.connection.closed:
            return None
        return self.connection

    @property
    def failed(self) -> str:
        """Why the last attempt to connect failed."""
        return self._failed

    def may_dial(self, now: float) -> bool:
        """Whether a new attempt is due."""
        return not self.dialling and now >= self._retry_at

    def waiting(self) -> anyio.Event:
        """Return the event that is set when the attempt has ended."""
        return self._settled

    def start(self, outgoing: queue.SendQueue) -> None:
        """Note that an attempt to connect begins."""
        self.dialling = True
        self.outgoing = outgoing
        self._settled = anyio.Event()

    def connected(self, opened: connection.Connection) -> None:
        """Note an open connection, whichever side dialled."""
        self._failures = 0
        self._retry_at = 0.0
        if self.ready is None:
            self.connection = opened

    def ended(self) -> None:
        """Note that the attempt is over, for good or bad."""
        self.dialling = False
        self.outgoing = None
        self._settled.set()

    def fail(
        self,
        reason: str,
        now: float,
        limits: settings.WireSettings,
        rng: random.Random,
    ) -> None:
        """Note a failed attempt; the next waits longer, with jitter."""
        self._failed = reason
        ceiling = limits.backoff_seconds * 2.0**self._failures
        pause = min(limits.backoff_max_seconds, ceiling)
        self._retry_at = now + pause * rng.uniform(0.5, 1.0)
        self._failures = min(self._failures + 1, 16)
