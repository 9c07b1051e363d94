"""Keeps requests that a full server rejected out of other full servers."""

from __future__ import annotations

import typing

__all__ = ['FullServers']

# The least time for which servers of unknown load are not tried.
MIN_HOLD_SECONDS: typing.Final = 0.025


class FullServers:
    """The services whose servers have rejected a request lately.

    There, only servers whose load is known get requests, until those that
    ran when the rejection came have usually ended.
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def on_rejected(
        self, service: str, work_seconds: float, now: float
    ) -> None:
        """Record that a full server has rejected a request."""
        hold = max(work_seconds, MIN_HOLD_SECONDS)
        self._until[service] = max(self._until.get(service, 0.0), now + hold)

    def holds(self, service: str, load_known: bool, now: float) -> bool:
        """Whether a server must get no request as it may be full."""
        if load_known or service not in self._until:
            return False
        if now < self._until[service]:
            return True
        del self._until[service]
        return False
