"""The connection to a peer and the backoff of dialling it."""

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
    """The connection to one peer, if any, and the state of dialling it."""

    def __init__(self) -> None:
        self.connection: connection.Connection | None = None
        self.outgoing: queue.SendQueue | None = None
        self.dialling = False
        self._dial_finished = anyio.Event()
        self._failures = 0
        self._retry_at = 0.0
        self._last_failure = 'unreachable'

    @property
    def ready(self) -> connection.Connection | None:
        """The open connection, if any."""
        if self.connection is None or self.connection.closed:
            return None
        return self.connection

    @property
    def last_failure(self) -> str:
        """The reason why the last attempt to connect failed."""
        return self._last_failure

    def may_dial(self, now: float) -> bool:
        """Return whether a new attempt may start."""
        return not self.dialling and now >= self._retry_at

    def dial_finished(self) -> anyio.Event:
        """Return the event that is set at the end of the attempt."""
        return self._dial_finished

    def dial_started(self, outgoing: queue.SendQueue) -> None:
        """Start an attempt to connect."""
        self.dialling = True
        self.outgoing = outgoing
        self._dial_finished = anyio.Event()

    def connected(self, conn: connection.Connection) -> None:
        """Set the open connection, whichever side dialled."""
        self._failures = 0
        self._retry_at = 0.0
        if self.ready is None:
            self.connection = conn

    def dial_ended(self) -> None:
        """End the attempt to connect, successful or not."""
        self.dialling = False
        self.outgoing = None
        self._dial_finished.set()

    def dial_failed(
        self,
        reason: str,
        now: float,
        limits: settings.WireSettings,
        rng: random.Random,
    ) -> None:
        """Record a failed attempt; back off exponentially with jitter."""
        self._last_failure = reason
        ceiling = limits.backoff_seconds * 2.0**self._failures
        pause = min(limits.backoff_max_seconds, ceiling)
        self._retry_at = now + pause * rng.uniform(0.5, 1.0)
        self._failures = min(self._failures + 1, 16)
