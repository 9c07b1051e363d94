"""Injection of faults into the fakes."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import typing

if typing.TYPE_CHECKING:
    from collections import abc
    import random

__all__ = ['CallFault', 'Faults', 'InjectedFault']


class CallFault(enum.StrEnum):
    """The faults of a call.

    ``LOSE_CALL`` loses the call before it has an effect and ``LOSE_ANSWER``
    the answer after it had one. ``LATE`` delays the effect and ``DUPLICATE``
    repeats it later. ``CROSS`` returns the answer to another attempt and
    ``BREAK`` cuts the body of the answer.
    """

    REFUSE = 'refuse'
    UNAVAILABLE = 'unavailable'
    LOSE_CALL = 'lose_call'
    LOSE_ANSWER = 'lose_answer'
    LATE = 'late'
    DUPLICATE = 'duplicate'
    CROSS = 'cross'
    BREAK = 'break'


@dataclasses.dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault of one call.

    ``delay`` is the time in seconds until a delayed effect, ``after_chunks``
    the number of chunks before a cut.
    """

    kind: CallFault
    delay: float = math.inf
    after_chunks: int = 1


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults of a fake, which may be changed while it runs.

    ``rates`` holds the probability of each fault for a call. Faults queued by
    ``inject`` take precedence, one for each call. ``slow_seconds`` is added to
    each call. During an ``outage`` all calls fail without effect.
    ``delay_seconds`` is the default delay of injected faults and the maximum
    of random ones.
    """

    outage: bool = False
    slow_seconds: float = 0.0
    delay_seconds: float = 5.0
    rates: dict[CallFault, float] = dataclasses.field(default_factory=dict)
    _queued: collections.deque[InjectedFault | None] = dataclasses.field(
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

        :param delay: seconds until a delayed effect; infinity for never,
            ``None`` for the default.
        :param skip: number of calls without a fault before it.
        """
        self._queued.extend([None] * skip)
        effect_delay = self.delay_seconds if delay is None else delay
        self._queued.append(InjectedFault(kind, effect_delay, after_chunks))

    def draw(
        self, rng: random.Random, kinds: abc.Collection[CallFault]
    ) -> InjectedFault | None:
        """Return the next queued fault, or a random one, or ``None``.

        :param kinds: the random faults that this type of call can have.
        """
        if self._queued:
            return self._queued.popleft()
        for kind, rate in self.rates.items():
            if kind in kinds and rng.random() < rate:
                delay = rng.uniform(0.0, self.delay_seconds)
                return InjectedFault(kind, delay, rng.randrange(1, 8))
        return None
