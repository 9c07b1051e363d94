"""Keeps the permits of one instance until they are used or expire."""

from __future__ import annotations

import collections

from . import api

__all__ = ['Permits']


class Permits:
    """Deadlines of unused permits by server, the earliest first."""

    def __init__(self) -> None:
        self._deadlines: dict[api.ServerKey, collections.deque[float]] = {}

    def add(self, server: api.ServerKey, count: int, deadline: float) -> None:
        """Add permits that may be used before a deadline."""
        deadlines = self._deadlines.setdefault(server, collections.deque())
        deadlines.extend([deadline] * count)

    def count(self, server: api.ServerKey, now: float) -> int:
        """Return the number of permits that may be used now."""
        deadlines = self._deadlines.get(server)
        if deadlines is None:
            return 0
        while deadlines and deadlines[0] <= now:
            deadlines.popleft()
        if not deadlines:
            del self._deadlines[server]
            return 0
        return len(deadlines)

    def take(self, server: api.ServerKey, now: float) -> bool:
        """Use a permit; return whether there was one."""
        if not self.count(server, now):
            return False
        self._deadlines[server].popleft()
        return True
