"""Suspected members, which are declared dead unless they refute it."""

from __future__ import annotations

import math
import typing

from . import api

if typing.TYPE_CHECKING:
    import random

    from . import settings

__all__ = ['Suspicion', 'Suspicions']


class Suspicion(typing.NamedTuple):
    """A suspected incarnation, and the deadline for its refutation."""

    incarnation: int
    deadline: float


class Suspicions:
    """The open suspicions and their deadlines."""

    def __init__(
        self, limits: settings.DetectorSettings, rng: random.Random
    ) -> None:
        self._limits = limits
        self._rng = rng
        self._open: dict[str, Suspicion] = {}

    def start(self, member: api.Member, size: int, now: float) -> None:
        """Open a suspicion of a member unless there is one.

        :param size: the number of members, which lengthens the timeout.
        """
        deadline = now + self._timeout(size)
        suspicion = Suspicion(member.incarnation, deadline)
        self._open.setdefault(member.instance_id, suspicion)

    def stop(self, instance_id: str) -> None:
        """End the suspicion of a member."""
        self._open.pop(instance_id, None)

    def take_expired(self, now: float) -> dict[str, Suspicion]:
        """Remove and return the suspicions whose deadline has passed."""
        expired = {k: s for k, s in self._open.items() if s.deadline <= now}
        for instance_id in expired:
            del self._open[instance_id]
        return expired

    def restart(self, size: int, now: float) -> None:
        """Restart the timeout of each suspicion."""
        self._open = {
            name: Suspicion(s.incarnation, now + self._timeout(size))
            for name, s in self._open.items()
        }

    def _timeout(self, size: int) -> float:
        scale = max(1.0, math.log10(max(1, size)))
        jitter = self._rng.uniform(1.0, 1.3)
        return self._limits.suspicion_seconds * scale * jitter
