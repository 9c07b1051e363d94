"""Faults that a test or a demonstration sets on a fake."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import typing

if typing.TYPE_CHECKING:
    from collections import abc
    import random

__all__ = ['CallFault', 'Faults', 'Injected']


class CallFault(enum.StrEnum):
    """What can happen to one call."""

    REFUSE = 'refuse'
    UNAVAILABLE = 'unavailable'
    LOSE_CALL = 'lose_call'
    LOSE_ANSWER = 'lose_answer'
    LATE = 'late'
    DUPLICATE = 'duplicate'
    CROSS = 'cross'
    BREAK = 'break'


@dataclasses.dataclass(frozen=True, slots=True)
class Injected:
    """A fault of one call; ``delay`` in seconds for late effects."""

    kind: CallFault
    delay: float = math.inf
    after_chunks: int = 1


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults of one fake; all may be changed while it runs.

    ``rates`` gives the chance of each fault for a call. Faults that were
    queued by ``inject`` come first, one a call. ``slow_seconds`` is added to
    each call; during an ``outage`` no call has an effect.
    """

    outage: bool = False
    slow_seconds: float = 0.0
    late_seconds: float = 5.0
    rates: dict[CallFault, float] = dataclasses.field(default_factory=dict)
    _queued: collections.deque[Injected | None] = dataclasses.field(
        default_factory=collections.deque
    )

    def inject(
        self,
        kind: CallFault,
        delay: float | None = None,
        after_chunks: int = 1,
        skip: int = 0,
    ) -> None:
        """Queue a fault for the next call.

        :param delay: seconds until a late effect; infinity for never,
            ``None`` for the default.
        :param skip: how many calls pass before it without a fault.
        """
        self._queued.extend([None] * skip)
        late = self.late_seconds if delay is None else delay
        self._queued.append(Injected(kind, late, after_chunks))

    def draw(
        self, rng: random.Random, kinds: abc.Collection[CallFault]
    ) -> Injected | None:
        """Return the fault of a call, if it has one.

        :param kinds: the faults that this sort of call can have.
        """
        if self._queued:
            return self._queued.popleft()
        for kind, rate in self.rates.items():
            if kind in kinds and rng.random() < rate:
                delay = rng.uniform(0.0, self.late_seconds)
                return Injected(kind, delay, rng.randrange(1, 8))
        return None
