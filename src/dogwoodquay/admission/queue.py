"""The bounded queue of one artifact: priority, fairness, deadline."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from . import api

__all__ = ['ArtifactQueue', 'QueueSettings', 'Waiting']


class QueueSettings(typing.NamedTuple):
    """Bounds of a queue and the place of overnight work in it.

    Requests at or below ``overnight_priority`` are overnight work. While
    interactive requests come, it may hold ``overnight_slots`` of the slots
    and gets ``overnight_share`` of the admissions if it waits.
    """

    limit: int = 128
    default_slots: int = 64
    overnight_priority: int = 0
    overnight_share: float = 0.1
    overnight_slots: float = 0.5
    interactive_memory_seconds: float = 30.0
    fairness_quantum: float = 2.0
    holding_weight: float = 0.05
    initial_holding_seconds: float = 1.0


class Waiting(typing.NamedTuple):
    """A request in the queue with the priority that it may use."""

    ticket: api.Ticket
    priority: int


class ArtifactQueue:
    """Slots, running requests and waiting requests of one artifact."""

    def __init__(self, settings: QueueSettings) -> None:
        self.slots = settings.default_slots
        self.first_token_seconds = 0.0
        self._settings = settings
        self._waiting: dict[str, Waiting] = {}
        self._running = 0
        self._running_overnight = 0
        self._credit = 0.0
        self._interactive_at = -math.inf
        self._served: dict[str, float] = {}
        self._virtual_time = 0.0
        self._holding = settings.initial_holding_seconds

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether the queue is at its bound."""
        return len(self._waiting) >= self._settings.limit

    def overnight(self, priority: int) -> bool:
        """Return whether a priority is that of overnight work."""
        return priority <= self._settings.overnight_priority

    def note(self, priority: int, now: float) -> None:
        """Note that a request came."""
        if not self.overnight(priority):
            self._interactive_at = now

    def can_start(self, priority: int, now: float) -> bool:
        """Return whether a new request may start past an empty class."""
        if self.overnight(priority):
            return not self._waiting and self._overnight_fits(now)
        ahead = any(not self.overnight(w.priority) for w in self._entries())
        return not ahead and self._running < self.slots

    def start(self, waiting: Waiting) -> None:
        """Count a request as running."""
        self._running += 1
        if self.overnight(waiting.priority):
            self._running_overnight += 1
            self._credit = max(0.0, self._credit - 1.0)
        elif self._any_overnight():
            self._credit = min(
                1.0, self._credit + self._settings.overnight_share
            )
        caller = waiting.ticket.caller
        served = max(self._served.get(caller, 0.0), self._virtual_time)
        self._served[caller] = served + 1.0

    def end(self, waiting: Waiting, held_seconds: float) -> None:
        """Count a running request as ended."""
        self._running -= 1
        if self.overnight(waiting.priority):
            self._running_overnight -= 1
        gap = held_seconds - self._holding
        self._holding += self._settings.holding_weight * gap
        if not self._running and not self._waiting:
            self._served.clear()
            self._virtual_time = 0.0

    def add(self, waiting: Waiting) -> None:
        """Queue a request."""
        caller = waiting.ticket.caller
        served = self._served.get(caller, 0.0)
        self._served[caller] = max(served, self._virtual_time)
        self._waiting[waiting.ticket.request_id] = waiting

    def remove(self, request_id: str) -> None:
        """Take a request out of the queue."""
        del self._waiting[request_id]

    def take(self, now: float) -> Waiting | None:
        """Take out the request that may start next, if any may."""
        if not self._waiting or self._running >= self.slots:
            return None
        candidates = self._candidates(now)
        if not candidates:
            return None
        chosen = min(candidates, key=self._rank)
        served = self._served[chosen.ticket.caller]
        self._virtual_time = max(self._virtual_time, served)
        self.remove(chosen.ticket.request_id)
        return chosen

    def wait_seconds(self, waiting: Waiting) -> float:
        """Return how long a new request would expect to wait for a slot."""
        ahead = sum(_precedes(w, waiting) for w in self._entries())
        return self._seconds_for(ahead + 1)

    def drain_seconds(self) -> float:
        """Return how long the whole queue takes."""
        return self._seconds_for(len(self._waiting) + 1)

    def hopeless(self, now: float) -> list[Waiting]:
        """Return waiting requests whose deadline can no longer be met."""
        latest = now + self.first_token_seconds
        return [w for w in self._entries() if w.ticket.deadline < latest]

    def due(self) -> float:
        """Return when the next waiting request becomes hopeless."""
        deadlines = [w.ticket.deadline for w in self._entries()]
        if not deadlines:
            return math.inf
        return min(deadlines) - self.first_token_seconds

    def displaced_by(self, waiting: Waiting) -> Waiting | None:
        """Return whom a request may displace from a full queue.

        It displaces a lower priority, else a caller that has at least two
        more waiting than its own caller.
        """
        worst = min(
            self._entries(), key=lambda w: (w.priority, -w.ticket.deadline)
        )
        if worst.priority < waiting.priority:
            return worst
        counts: dict[str, int] = {}
        for entry in self._entries():
            if entry.priority == waiting.priority:
                caller = entry.ticket.caller
                counts[caller] = counts.get(caller, 0) + 1
        heaviest = max(counts, key=lambda name: counts[name], default='')
        own = counts.get(waiting.ticket.caller, 0)
        if counts.get(heaviest, 0) < own + 2:
            return None
        return max(
            (
                w
                for w in self._entries()
                if w.ticket.caller == heaviest
                and w.priority == waiting.priority
            ),
            key=lambda w: w.ticket.deadline,
        )

    def _entries(self) -> typing.Iterable[Waiting]:
        return self._waiting.values()

    def _any_overnight(self) -> bool:
        return any(self.overnight(w.priority) for w in self._entries())

    def _overnight_fits(self, now: float) -> bool:
        """Return whether overnight work may take one more slot."""
        if self._running >= self.slots:
            return False
        memory = self._settings.interactive_memory_seconds
        if now - self._interactive_at > memory:
            return True
        share = int(self.slots * self._settings.overnight_slots)
        return self._running_overnight < max(1, share)

    def _candidates(self, now: float) -> list[Waiting]:
        """Return the class whose turn it is."""
        interactive = [
            w for w in self._entries() if not self.overnight(w.priority)
        ]
        overnight = [w for w in self._entries() if self.overnight(w.priority)]
        if overnight and self._credit >= 1.0:
            return overnight
        if interactive:
            return interactive
        return overnight if self._overnight_fits(now) else []

    def _rank(self, waiting: Waiting) -> tuple[int, float, float]:
        """Order by priority, then by the caller's share, then deadline."""
        served = self._served[waiting.ticket.caller]
        quanta = served // self._settings.fairness_quantum
        return (-waiting.priority, quanta, waiting.ticket.deadline)

    def _seconds_for(self, requests: int) -> float:
        """Return how long it takes until so many slots were freed."""
        free = self.slots - self._running
        if requests <= free:
            return 0.0
        if self.slots <= 0:
            return self._holding * requests
        return self._holding * (requests - max(free, 0)) / self.slots


def _precedes(left: Waiting, right: Waiting) -> bool:
    if left.priority != right.priority:
        return left.priority > right.priority
    return left.ticket.deadline <= right.ticket.deadline
