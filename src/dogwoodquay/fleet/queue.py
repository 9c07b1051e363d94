"""The queue of requests that wait for a server with free capacity."""

from __future__ import annotations

import operator
import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from . import choice

__all__ = ['RequestQueue', 'Ticket', 'priority_rank']


class Ticket(typing.NamedTuple):
    """A waiting request; a lower ``priority`` is more urgent.

    ``objective_at`` is when the first byte or a complete plain answer is due,
    and ``wait_deadline`` when the request leaves the queue unserved. Within
    one priority a lower ``fair_tag`` goes first; it is the same for all
    requests where none has a tenant. ``in_turn`` is whether a refused caller
    comes back when it was told to.
    """

    number: int
    priority: int
    objective_at: float
    wait_deadline: float
    entered_at: float
    need: choice.Need
    fair_tag: float = 0.0
    in_turn: bool = False


_NOBODY: typing.Final[frozenset[str]] = frozenset()
# Added to the priority of a request that is past its objective.
PAST_OBJECTIVE_PENALTY: typing.Final = 2

_Server = typing.TypeVar('_Server')


def priority_rank(ticket: Ticket, now: float) -> tuple[int, float, float]:
    """Return the order of a request by priority, fair tag and age."""
    past_objective = now >= ticket.objective_at
    penalty = PAST_OBJECTIVE_PENALTY if past_objective else 0
    return ticket.priority + penalty, ticket.fair_tag, ticket.entered_at


class RequestQueue:
    """Waiting requests, ordered by priority, fair tag and age.

    During a burst, requests that can still meet their objective are served
    before those that are past it, and requests past their wait deadline leave
    the queue.
    """

    def __init__(self) -> None:
        self._tickets: dict[int, Ticket] = {}
        self._successors = 0

    def __len__(self) -> int:
        return len(self._tickets)

    @property
    def tickets(self) -> abc.Collection[Ticket]:
        """All waiting requests, in no particular order."""
        return self._tickets.values()

    @property
    def has_unserved(self) -> bool:
        """Whether a request waits that runs nowhere."""
        return len(self._tickets) > self._successors

    def add(self, ticket: Ticket) -> None:
        """Add a request."""
        self._tickets[ticket.number] = ticket
        self._successors += ticket.need.successor

    def discard(self, number: int) -> None:
        """Remove a request, for example because its caller disconnected."""
        ticket = self._tickets.pop(number, None)
        if ticket is not None:
            self._successors -= ticket.need.successor

    def expired(self, now: float) -> list[Ticket]:
        """Remove and return the requests past their wait deadline."""
        due = [
            item
            for item in self._tickets.values()
            if now >= item.wait_deadline
        ]
        for ticket in due:
            self.discard(ticket.number)
        return due

    def assign(
        self,
        choose: abc.Callable[[choice.Need], _Server | None],
        now: float,
        on_assigned: abc.Callable[[_Server], None] = lambda _: None,
        rank: abc.Callable[[Ticket], tuple[float, ...] | None] | None = None,
    ) -> list[tuple[Ticket, _Server]]:
        """Remove and return the requests for which a server is available.

        If no server is available for any request for a model and adapter, the
        others for these are skipped, and if none is for a request that some
        servers cannot take, those with the same need.

        :param on_assigned: called before the next server is chosen.
        :param rank: returns the order of requests, the first one lowest, and
            ``None`` for those that wait for others' requests.
        """
        rank = rank or (lambda ticket: priority_rank(ticket, now))
        ranked = [
            (order, ticket)
            for ticket in self.tickets
            if (order := rank(ticket)) is not None
        ]
        ranked.sort(key=operator.itemgetter(0))
        assigned = []
        full: set[choice.Need] = set()
        for _, ticket in ranked:
            need = ticket.need
            common = need._replace(avoid=_NOBODY, successor=False)
            if need in full or common in full:
                continue
            server = choose(need)
            if server is None:
                full.add(need)
                if need != common and choose(common) is None:
                    full.add(common)
                continue
            self.discard(ticket.number)
            on_assigned(server)
            assigned.append((ticket, server))
        return assigned
