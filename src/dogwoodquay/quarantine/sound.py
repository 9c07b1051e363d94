"""Remembers which traits of requests had complete answers."""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['SoundTraits']

# The older of two generations is dropped after this time, or when the newer
# one is full.
GENERATION_SECONDS: typing.Final = 30.0
MAX_TRAITS_PER_GENERATION: typing.Final = 20_000


class SoundTraits:
    """Traits of requests that were answered completely of late.

    Parts of prompts are kept apart from whole requests, of which callers may
    invent any number.
    """

    def __init__(self) -> None:
        self._parts = _Generations()
        self._requests = _Generations()

    def add(self, traits: abc.Iterable[str], now: float) -> None:
        """Record the traits of a request with a complete answer."""
        for trait in traits:
            self._of(trait).add(trait, now)

    def __contains__(self, trait: object) -> bool:
        return isinstance(trait, str) and trait in self._of(trait)

    def expire(self, now: float) -> None:
        """Forget the traits whose time has passed."""
        self._parts.rotate(now)
        self._requests.rotate(now)

    def _of(self, trait: str) -> _Generations:
        whole = api.is_whole_request(trait)
        return self._requests if whole else self._parts


class _Generations:
    """Texts that are remembered for one or two generations."""

    def __init__(self) -> None:
        self._newer: set[str] = set()
        self._older: set[str] = set()
        self._began_at = float('-inf')

    def add(self, text: str, now: float) -> None:
        """Add a text."""
        self.rotate(now)
        self._newer.add(text)

    def __contains__(self, text: object) -> bool:
        return text in self._newer or text in self._older

    def rotate(self, now: float) -> None:
        """Begin the next generation if it is due."""
        age = now - self._began_at
        full = len(self._newer) >= MAX_TRAITS_PER_GENERATION
        if age < GENERATION_SECONDS and not full:
            return
        self._older = self._newer if age < 2 * GENERATION_SECONDS else set()
        self._newer = set()
        self._began_at = now
