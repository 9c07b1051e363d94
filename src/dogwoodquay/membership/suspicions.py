"""Members that are held to be dead unless they refute it in time."""

from __future__ import annotations

import math
import typing

from . import api

if typing.TYPE_CHECKING:
    import random

    from . import settings

__all__ = ['Suspicion', 'Suspicions']


class Suspicion(typing.NamedTuple):
    """The incarnation that is suspected, and until when it may refute."""

    incarnation: int
    deadline: float


class Suspicions:
    """Open suspicions by instance id."""

    def __init__(
        self, limits: settings.DetectorSettings, rng: random.Random
    ) -> None:
        self._limits = limits
        self._rng = rng
        self._open: dict[str, Suspicion] = {}

    def start(self, member: api.Member, size: int, now: float) -> None:
        """Begin to suspect a member, unless that has begun.

        :param size: the number of members; more of them, more patience.
        """
        deadline = now + self._patience(size)
        suspicion = Suspicion(member.incarnation, deadline)
        self._open.setdefault(member.instance_id, suspicion)

    def stop(self, instance_id: str) -> None:
        """End the suspicion of a member."""
        self._open.pop(instance_id, None)

    def take_due(self, now: float) -> dict[str, Suspicion]:
        """Return and end the suspicions whose time is up."""
        due = {k: s for k, s in self._open.items() if s.deadline <= now}
        for instance_id in due:
            del self._open[instance_id]
        return due

    def restart(self, size: int, now: float) -> None:
        """Give all suspected members their full time again."""
        self._open = {
            name: Suspicion(s.incarnation, now + self._patience(size))
            for name, s in self._open.items()
        }

    def _patience(self, size: int) -> float:
        scale = max(1.0, math.log10(max(1, size)))
        jitter = self._rng.uniform(1.0, 1.3)
        return self._limits.suspicion_seconds * scale * jitter
