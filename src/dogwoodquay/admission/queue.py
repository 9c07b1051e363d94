"""The bounded queue of one artifact.

It is ordered by priority, fairness between callers, and deadline.
"""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from . import api

__all__ = ['ArtifactQueue', 'QueueSettings', 'QueuedRequest']


class QueueSettings(typing.NamedTuple):
    """Limits of a queue, and the treatment of overnight work.

    Requests at or below ``overnight_priority`` are overnight work, all
    others interactive. Overnight work may use all slots once no interactive
    request has arrived for ``interactive_window_seconds``. Until then it may
    use the share ``overnight_slot_share`` of them, and gets the share
    ``overnight_admission_share`` of the admissions while it waits.

    Callers take turns after ``fairness_quantum`` admissions each. The mean
    time for which a request holds its slot starts at
    ``initial_holding_seconds``; each new value counts ``holding_weight``.
    """

    limit: int = 128
    default_slots: int = 64
    overnight_priority: int = 0
    overnight_admission_share: float = 0.1
    overnight_slot_share: float = 0.5
    interactive_window_seconds: float = 30.0
    fairness_quantum: float = 2.0
    holding_weight: float = 0.05
    initial_holding_seconds: float = 1.0


class QueuedRequest(typing.NamedTuple):
    """A ticket with its effective priority, capped by the caller's."""

    ticket: api.Ticket
    priority: int


class ArtifactQueue:
    """The slots, running requests and queued requests of one artifact."""

    def __init__(self, settings: QueueSettings) -> None:
        self.slots = settings.default_slots
        self.first_token_seconds = 0.0
        self._settings = settings
        self._waiting: dict[str, QueuedRequest] = {}
        self._running = 0
        self._running_overnight = 0
        self._overnight_credit = 0.0
        self._last_interactive_at = -math.inf
        self._admitted_counts: dict[str, float] = {}
        self._virtual_time = 0.0
        self._mean_holding_seconds = settings.initial_holding_seconds

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether the queue has reached its limit."""
        return len(self._waiting) >= self._settings.limit

    def is_overnight(self, priority: int) -> bool:
        """Return whether requests of a priority are overnight work."""
        return priority <= self._settings.overnight_priority

    def record_arrival(self, priority: int, now: float) -> None:
        """Record the arrival of a request."""
        if not self.is_overnight(priority):
            self._last_interactive_at = now

    def can_start(self, priority: int, now: float) -> bool:
        """Return whether a new request can start without waiting.

        Interactive requests do not wait for queued overnight work.
        """
        if self.is_overnight(priority):
            return not self._waiting and self._overnight_fits(now)
        has_interactive = any(
            not self.is_overnight(item.priority) for item in self._entries()
        )
        return not has_interactive and self._running < self.slots

    def start(self, request: QueuedRequest) -> None:
        """Count a request as running, and update the fair shares."""
        self._running += 1
        if self.is_overnight(request.priority):
            self._running_overnight += 1
            self._overnight_credit = max(0.0, self._overnight_credit - 1.0)
        elif self._has_overnight():
            self._overnight_credit = min(
                1.0,
                self._overnight_credit
                + self._settings.overnight_admission_share,
            )
        caller = request.ticket.caller
        admitted_count = max(
            self._admitted_counts.get(caller, 0.0), self._virtual_time
        )
        self._admitted_counts[caller] = admitted_count + 1.0

    def end(self, request: QueuedRequest, held_seconds: float) -> None:
        """Count a running request as ended.

        :param held_seconds: how long it used its slot.
        """
        self._running -= 1
        if self.is_overnight(request.priority):
            self._running_overnight -= 1
        difference = held_seconds - self._mean_holding_seconds
        self._mean_holding_seconds += (
            self._settings.holding_weight * difference
        )
        if not self._running and not self._waiting:
            self._admitted_counts.clear()
            self._virtual_time = 0.0

    def add(self, request: QueuedRequest) -> None:
        """Queue a request."""
        caller = request.ticket.caller
        admitted_count = self._admitted_counts.get(caller, 0.0)
        self._admitted_counts[caller] = max(admitted_count, self._virtual_time)
        self._waiting[request.ticket.request_id] = request

    def remove(self, request_id: str) -> None:
        """Remove a request from the queue."""
        del self._waiting[request_id]

    def pop_next(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request that can start, if any."""
        if not self._waiting or self._running >= self.slots:
            return None
        candidates = self._candidates(now)
        if not candidates:
            return None
        chosen = min(candidates, key=self._order_key)
        admitted_count = self._admitted_counts[chosen.ticket.caller]
        self._virtual_time = max(self._virtual_time, admitted_count)
        self.remove(chosen.ticket.request_id)
        return chosen

    def wait_seconds(self, request: QueuedRequest) -> float:
        """Return how long a new request is expected to wait for a slot."""
        ahead = sum(_precedes(item, request) for item in self._entries())
        return self._seconds_until_free(ahead + 1)

    def drain_seconds(self) -> float:
        """Return the expected time until all queued requests have started."""
        return self._seconds_until_free(len(self._waiting) + 1)

    def unmeetable(self, now: float) -> list[QueuedRequest]:
        """Return the queued requests that cannot meet their deadline."""
        latest = now + self.first_token_seconds
        return [
            item for item in self._entries() if item.ticket.deadline < latest
        ]

    def next_unmeetable_at(self) -> float:
        """Return when the next queued request becomes unmeetable."""
        deadlines = [item.ticket.deadline for item in self._entries()]
        if not deadlines:
            return math.inf
        return min(deadlines) - self.first_token_seconds

    def displaced_by(self, request: QueuedRequest) -> QueuedRequest | None:
        """Return the queued request that a new one may displace, if any.

        That is a request of the lowest priority, if lower than the new
        one's. Otherwise it belongs to the caller with the most queued
        requests of the same priority, if these are at least two more than
        those of the new request's caller.
        """
        lowest = min(
            self._entries(),
            key=lambda item: (item.priority, -item.ticket.deadline),
        )
        if lowest.priority < request.priority:
            return lowest
        counts: dict[str, int] = {}
        for entry in self._entries():
            if entry.priority == request.priority:
                caller = entry.ticket.caller
                counts[caller] = counts.get(caller, 0) + 1
        busiest_caller = max(counts, key=lambda name: counts[name], default='')
        own_count = counts.get(request.ticket.caller, 0)
        if counts.get(busiest_caller, 0) < own_count + 2:
            return None
        return max(
            (
                item
                for item in self._entries()
                if item.ticket.caller == busiest_caller
                and item.priority == request.priority
            ),
            key=lambda item: item.ticket.deadline,
        )

    def _entries(self) -> typing.Iterable[QueuedRequest]:
        return self._waiting.values()

    def _has_overnight(self) -> bool:
        return any(
            self.is_overnight(item.priority) for item in self._entries()
        )

    def _overnight_fits(self, now: float) -> bool:
        """Return whether overnight work can use another slot."""
        if self._running >= self.slots:
            return False
        window = self._settings.interactive_window_seconds
        if now - self._last_interactive_at > window:
            return True
        share = int(self.slots * self._settings.overnight_slot_share)
        return self._running_overnight < max(1, share)

    def _candidates(self, now: float) -> list[QueuedRequest]:
        """Return the requests to admit from: interactive or overnight."""
        interactive = [
            item
            for item in self._entries()
            if not self.is_overnight(item.priority)
        ]
        overnight = [
            item
            for item in self._entries()
            if self.is_overnight(item.priority)
        ]
        if overnight and self._overnight_credit >= 1.0:
            return overnight
        if interactive:
            return interactive
        return overnight if self._overnight_fits(now) else []

    def _order_key(self, request: QueuedRequest) -> tuple[int, float, float]:
        """Return the sort key: priority, caller's admissions, deadline."""
        admitted_count = self._admitted_counts[request.ticket.caller]
        quanta = admitted_count // self._settings.fairness_quantum
        return (-request.priority, quanta, request.ticket.deadline)

    def _seconds_until_free(self, requests: int) -> float:
        """Return the expected time until a number of slots become free."""
        free = self.slots - self._running
        if requests <= free:
            return 0.0
        if self.slots <= 0:
            return self._mean_holding_seconds * requests
        return (
            self._mean_holding_seconds * (requests - max(free, 0)) / self.slots
        )


def _precedes(left: QueuedRequest, right: QueuedRequest) -> bool:
    if left.priority != right.priority:
        return left.priority > right.priority
    return left.ticket.deadline <= right.ticket.deadline
