"""The state of pools, for decisions about requests."""

from __future__ import annotations

import collections
import typing

from ..fleet import choice
from ..overload import full as full_servers

if typing.TYPE_CHECKING:
    from collections import abc

    from ..fleet import queue
    from ..fleet import registry as registries
    from ..fleet import server as servers
    from ..overload import api as overload_api
    from ..overload import backlog as backlogs
    from . import overload_peers

__all__ = ['PoolStates']

# The room at servers is counted again after this time: a flood brings several
# requests to an instance meanwhile, and the servers of a pool are many.
FREE_SECONDS: typing.Final = 0.01


class PoolStates:
    """Finds which requests wait for a pool, and how much room it has."""

    def __init__(
        self,
        registry: registries.Registry,
        exchange: overload_peers.PoolExchange,
    ) -> None:
        self._registry = registry
        self._exchange = exchange
        self._full = full_servers.FullServers()
        self._free: dict[overload_api.Pool, tuple[float, int | None]] = {}
        self._tickets: abc.Collection[queue.Ticket] = ()
        self._capacity: abc.Callable[[servers.Server], float] = lambda _: 0

    @property
    def full(self) -> full_servers.FullServers:
        """The services whose servers have rejected requests."""
        return self._full

    def attach(
        self,
        tickets: abc.Collection[queue.Ticket],
        capacity: abc.Callable[[servers.Server], float],
    ) -> None:
        """Set the waiting requests, and what a server may have at a time."""
        self._tickets = tickets
        self._capacity = capacity

    def holds(self, server: servers.Server, now: float) -> bool:
        """Whether a server may be full, as others of its service are."""
        known = server.load_known(now)
        return self._full.holds(server.entry.service, known, now)

    def waiting(
        self, pool: overload_api.Pool, now: float
    ) -> dict[int, tuple[int, int]]:
        """Return the requests on time and the late ones by priority."""
        service, model = pool
        all_of: collections.Counter[int] = collections.Counter()
        late: collections.Counter[int] = collections.Counter()
        for ticket in self._tickets:
            need = ticket.need
            if need.model != model or need.service != service:
                continue
            if not need.successor:
                all_of[ticket.priority] += 1
                if now > ticket.objective_at:
                    late[ticket.priority] += 1
        return {
            priority: (count - late[priority], late[priority])
            for priority, count in all_of.items()
        }

    def state(
        self, pool: overload_api.Pool, now: float
    ) -> backlogs.State | None:
        """Return the state of a pool, ``None`` if no server can be used."""
        known = self._free.get(pool)
        if known is None or not known[0] <= now < known[0] + FREE_SECONDS:
            known = self._free[pool] = now, self._find_free(pool, now)
        free = known[1]
        if free is None:
            return None
        backlog = self._exchange.of(pool)
        return backlog.state(self.waiting(pool, now), free, now)

    def _find_free(self, pool: overload_api.Pool, now: float) -> int | None:
        """Return the room at the servers of a pool, if any can be used."""
        need = choice.Need(pool.service, pool.model)
        listed = self._registry.of_service(pool.service)
        usable = choice.usable(listed, need, now)
        if not usable:
            return None
        return sum(
            max(0, int(self._capacity(server)) - server.load(now))
            for server in usable
            if not self.holds(server, now)
        )
