"""Remembers which parts of prompts had complete answers."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['SoundParts']

# The older of two generations is dropped after this time, or when the newer
# one is full.
GENERATION_SECONDS: typing.Final = 30.0
MAX_PARTS_PER_GENERATION: typing.Final = 20_000


class SoundParts:
    """Parts of requests that were answered completely of late."""

    def __init__(self) -> None:
        self._newer: set[str] = set()
        self._older: set[str] = set()
        self._began_at = float('-inf')

    def add(self, parts: abc.Iterable[str], now: float) -> None:
        """Record the parts of a request with a complete answer."""
        self._rotate(now)
        self._newer.update(parts)

    def __contains__(self, part: object) -> bool:
        return part in self._newer or part in self._older

    def expire(self, now: float) -> None:
        """Forget the parts whose time has passed."""
        self._rotate(now)

    def _rotate(self, now: float) -> None:
        age = now - self._began_at
        full = len(self._newer) >= MAX_PARTS_PER_GENERATION
        if age < GENERATION_SECONDS and not full:
            return
        self._older = self._newer if age < 2 * GENERATION_SECONDS else set()
        self._newer = set()
        self._began_at = now
