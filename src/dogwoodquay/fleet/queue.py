"""Requests that wait at an instance for a server with room."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from . import choice

__all__ = ['RequestQueue', 'Ticket']


class Ticket(typing.NamedTuple):
    """A request that waits; a lower ``priority`` is more urgent.

    ``objective_at`` is until when its answer is on time, and ``give_up_at``
    when it can no longer be served at all.
    """

    number: int
    priority: int
    objective_at: float
    give_up_at: float
    entered_at: float
    need: choice.Need


# By how many priorities a request falls back once it is late.
LATE_PENALTY: typing.Final = 2

_Server = typing.TypeVar('_Server')


class RequestQueue:
    """Waiting requests, the most urgent first and then the oldest.

    Answers a burst: when a server gets room, the request that is worth most
    to its caller goes. One that is late already makes way for those that can
    still be on time, and what cannot be served any more leaves at once.
    """

    def __init__(self) -> None:
        self._tickets: dict[int, Ticket] = {}

    def __len__(self) -> int:
        return len(self._tickets)

    @property
    def tickets(self) -> abc.Collection[Ticket]:
        """All that wait, in no order."""
        return self._tickets.values()

    def add(self, ticket: Ticket) -> None:
        """Let a request wait."""
        self._tickets[ticket.number] = ticket

    def discard(self, number: int) -> None:
        """Forget a request, for example because its caller left."""
        self._tickets.pop(number, None)

    def expired(self, now: float) -> list[Ticket]:
        """Remove and return the requests that waited too long."""
        due = [
            item for item in self._tickets.values() if now >= item.give_up_at
        ]
        for ticket in due:
            del self._tickets[ticket.number]
        return due

    def assign(
        self, choose: abc.Callable[[choice.Need], _Server | None], now: float
    ) -> list[tuple[Ticket, _Server]]:
        """Remove and return the requests for which there is room now.

        Requests of the same need are not tried again after one of them
        found no room.
        """

        def rank(ticket: Ticket) -> tuple[int, float]:
            late = now >= ticket.objective_at
            order = ticket.priority + (LATE_PENALTY if late else 0)
            return order, ticket.entered_at

        assigned = []
        full: set[tuple[str, str, str]] = set()
        for ticket in sorted(self._tickets.values(), key=rank):
            need = ticket.need
            kind = (need.service, need.model, need.adapter)
            if kind in full:
                continue
            server = choose(need)
            if server is None:
                full.add(kind)
                continue
            del self._tickets[ticket.number]
            assigned.append((ticket, server))
        return assigned
