"""The order in which waiting requests get servers."""

from __future__ import annotations

import typing

from . import api
from . import backlog

if typing.TYPE_CHECKING:
    from collections import abc

    from ..fleet import queue

__all__ = ['FeasibleOrder', 'Rank']

# Of the servers that become free while more urgent requests wait, one in ten
# goes to a less urgent request whose objective comes near. Admission counts
# on this share.
LEAST_SHARE: typing.Final = backlog.LEAST_SHARE
# An objective is near when this share of the time until it is left.
NEAR_SHARE: typing.Final = 0.5
# Pools whose share is remembered.
MAX_POOLS: typing.Final = 512

# Lateness, priority, turn, tie-break value, time.
Rank = tuple[bool, int, bool, float, float]


class FeasibleOrder:
    """Ranks requests that can meet their objective before all others.

    Among each, priority decides, then whether a caller returns in its turn,
    then the tie-break value, then age. The ``objective_at`` of tickets is the
    latest start with which they meet their objective.

    :param tie: returns a value that goes before age at equal priority.
    """

    def __init__(
        self, tie: abc.Callable[[queue.Ticket], float] = lambda _: 0.0
    ) -> None:
        self._tie = tie
        # The share that less urgent requests have not yet got, by pool.
        self._owed: dict[api.Pool, float] = {}

    def rank(
        self, tickets: abc.Iterable[queue.Ticket], now: float
    ) -> abc.Callable[[queue.Ticket], Rank]:
        """Return the rank of waiting requests at this time."""
        raised = self._raised(tickets, now) if self._owed else {}

        def rank(ticket: queue.Ticket) -> Rank:
            priority = raised.get(ticket.number, ticket.priority)
            return (
                now > ticket.objective_at,
                priority,
                not ticket.in_turn,
                self._tie(ticket),
                ticket.entered_at,
            )

        return rank

    def on_assigned(
        self,
        assigned: abc.Iterable[queue.Ticket],
        waiting: abc.Collection[queue.Ticket],
        now: float,
    ) -> None:
        """Record which requests got a server while others wait."""
        least: dict[api.Pool, int] = {}
        for ticket in waiting:
            if _near(ticket, now):
                pool = pool_of(ticket)
                least[pool] = max(least.get(pool, 0), ticket.priority)
        for ticket in assigned:
            pool = pool_of(ticket)
            if ticket.priority < least.get(pool, ticket.priority):
                owed = self._owed.pop(pool, 0.0) + LEAST_SHARE
                self._owed[pool] = min(owed, 1.0)
            elif self._owed.get(pool, 0.0) >= 1.0:
                del self._owed[pool]
        while len(self._owed) > MAX_POOLS:
            del self._owed[next(iter(self._owed))]

    def _raised(
        self, tickets: abc.Iterable[queue.Ticket], now: float
    ) -> dict[int, int]:
        """Return the requests that go first in their pool for once."""
        oldest: dict[api.Pool, queue.Ticket] = {}
        urgent: dict[api.Pool, int] = {}
        for ticket in tickets:
            pool = pool_of(ticket)
            if self._owed.get(pool, 0.0) < 1.0:
                continue
            urgent[pool] = min(
                urgent.get(pool, ticket.priority), ticket.priority
            )
            if _near(ticket, now):
                known = oldest.get(pool)
                if known is None or (
                    (ticket.priority, -ticket.entered_at)
                    > (known.priority, -known.entered_at)
                ):
                    oldest[pool] = ticket
        return {
            ticket.number: urgent[pool] - 1
            for pool, ticket in oldest.items()
            if ticket.priority > urgent[pool]
        }


def pool_of(ticket: queue.Ticket) -> api.Pool:
    """Return the pool for which a request waits."""
    return api.Pool(ticket.need.service, ticket.need.model)


def _near(ticket: queue.Ticket, now: float) -> bool:
    """Whether a request has used up much of its time to the objective."""
    left = ticket.objective_at - now
    span = ticket.objective_at - ticket.entered_at
    return 0.0 <= left <= span * NEAR_SHARE
