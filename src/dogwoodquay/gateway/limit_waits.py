"""Which waiting requests want permits, and which will get none in time."""

from __future__ import annotations

import itertools
import math
import typing

from ..fleet import choice
from ..ratelimit import returns
from ..ratelimit import waits
from . import server_limits

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from . import api
    from ..fleet import queue
    from ..fleet import registry as registries
    from ..fleet import server as servers
    from ..ratelimit import api as limit_api

__all__ = ['LimitWaits']

# Added, in shares of a server's capacity, to the cost of a limited server:
# others take its requests as long as they have room.
LIMITED_COST: typing.Final = 1.0
# The wants of more waiting requests than these change nothing.
MAX_WANTING: typing.Final = 64
# A service without a request for so long is not tried.
USE_SECONDS: typing.Final = 1.0
# Nobody waits for a trial.
TRIAL_PRIORITY: typing.Final = 100


class LimitWaits:
    """The requests of one instance that wait for limited servers."""

    def __init__(
        self,
        limits: server_limits.ServerLimits,
        registry: registries.Registry,
        clock: clocks.Clock,
    ) -> None:
        self._limits = limits
        self._registry = registry
        self._clock = clock
        self._returns = returns.ReturnTimes[str]()
        self._used_at: dict[str, float] = {}
        self._turns = itertools.count()

    def extra_cost(self, server: servers.Server) -> float:
        """Return the cost of a limited server beyond that of its load."""
        if self._limits.rate(server.entry) is None:
            return 0.0
        key = server_limits.key_of(server.entry)
        if self._limits.limits.trial_due(key, self._clock.now()):
            return 0.0
        return LIMITED_COST

    def record_use(self, service: str) -> None:
        """Record that there is a request for a service."""
        if self._limits.limits.any:
            self._used_at[service] = self._clock.now()

    def wants_permit(self, need: choice.Need) -> bool:
        """Whether a waiting request could be sent with a permit."""
        return self._limits.limits.any and bool(self._servers(need)[0])

    def all_limited(self, need: choice.Need) -> bool:
        """Whether all servers that can run a request are limited."""
        return self._backlog(need, math.inf) is not None

    def wants(
        self, tickets: abc.Iterable[queue.Ticket]
    ) -> list[limit_api.Want]:
        """Return the permits that waiting requests and trials could use."""
        limits = self._limits.limits
        if not limits.any:
            return []
        now = self._clock.now()
        services = self._limited_services()
        requests = []
        urgent = sorted(tickets, key=lambda item: item.priority)
        for ticket in urgent[:MAX_WANTING]:
            if ticket.need.service not in services:
                continue
            servers, _ = self._servers(ticket.need)
            if servers:
                requests.append((ticket.priority, servers))
        for statement in limits.limited:
            if limits.trial_due(statement.server, now):
                server = self._registry.get(statement.server.server_id)
                if server is not None and self._is_used(
                    server.entry.service, now
                ):
                    requests.append((TRIAL_PRIORITY, [statement.server]))
        return waits.spread_wants(requests, limits, next(self._turns), now)

    def seconds_to_wait(
        self, need: choice.Need, tickets: abc.Iterable[queue.Ticket]
    ) -> float | None:
        """Return after which time a refused caller may come back.

        ``None`` if some server that can run the request is not limited.
        """
        backlog = self._backlog(need, math.inf)
        if backlog is None:
            return None
        if not backlog.rate:
            return waits.ALONE_RETRY_SECONDS
        ahead = _waiting_before(None, need, tickets)
        return self._returns.next(
            need.service,
            backlog.own_rate(ahead),
            backlog.seconds(ahead),
            self._clock.now(),
        )

    def admits(
        self,
        need: choice.Need,
        call: api.Call,
        wait_deadline: float,
        tickets: abc.Iterable[queue.Ticket],
    ) -> bool:
        """Whether a request that comes now can expect a permit in time."""
        backlog = self._backlog(need, call.priority)
        if backlog is None:
            return True
        now = self._clock.now()
        ahead = _waiting_before(call.priority, need, tickets)
        seconds = backlog.seconds(ahead)
        longest = backlog.longest_wait(call.objective_at - now)
        return seconds <= min(longest, wait_deadline - now)

    def overdue(
        self, tickets: abc.Collection[queue.Ticket]
    ) -> list[queue.Ticket]:
        """Return the waiting requests that get no permit in time.

        More urgent requests have come after them.
        """
        if not self._limits.limits.any:
            return []
        now = self._clock.now()
        backlogs: dict[tuple[choice.Need, int], waits.Backlog | None] = {}
        ahead: dict[tuple[str, str], int] = {}
        late = []
        services = self._limited_services()
        ranked = sorted(tickets, key=lambda t: (t.priority, t.entered_at))
        for ticket in ranked:
            need = ticket.need
            if need.successor or need.service not in services:
                continue
            kind = (need, ticket.priority)
            if kind not in backlogs:
                backlogs[kind] = self._backlog(*kind)
            backlog = backlogs[kind]
            if backlog is None:
                continue
            key = (need.service, need.model)
            before = ahead.get(key, 0)
            if now + backlog.seconds(before) > ticket.wait_deadline:
                late.append(ticket)
            else:
                ahead[key] = before + 1
        return late

    def _backlog(
        self, need: choice.Need, priority: float
    ) -> waits.Backlog | None:
        if not self._limits.limits.any:
            return None
        servers, all_limited = self._servers(need)
        if not servers or not all_limited:
            return None
        now = self._clock.now()
        return waits.Backlog.of(self._limits.limits, servers, priority, now)

    def _servers(
        self, need: choice.Need
    ) -> tuple[list[limit_api.ServerKey], bool]:
        """Return the limited servers that can run a request.

        :return: and whether there are no others, nor any that can load its
            adapter, which takes milliseconds.
        """
        now = self._clock.now()
        listed = self._registry.of_service(need.service)
        limited = [
            server_limits.key_of(server.entry)
            for server in choice.usable(listed, need, now)
            if self._limits.rate(server.entry) is not None
        ]
        with_model = need._replace(adapter='')
        all_limited = all(
            self._limits.rate(server.entry) is not None
            for server in choice.usable(listed, with_model, now)
        )
        return limited, all_limited

    def _limited_services(self) -> set[str]:
        """Return the services with a limited server."""
        found = (
            self._registry.get(item.server.server_id)
            for item in self._limits.limits.limited
        )
        return {server.entry.service for server in found if server}

    def _is_used(self, service: str, now: float) -> bool:
        return now - self._used_at.get(service, -USE_SECONDS) <= USE_SECONDS


def _waiting_before(
    priority: int | None,
    need: choice.Need,
    tickets: abc.Iterable[queue.Ticket],
) -> int:
    """Count the waiting requests of a service and model.

    :param priority: that of a request which goes after those as urgent or
        more, ``None`` to count all.
    """
    return sum(
        ticket.need.service == need.service
        and ticket.need.model == need.model
        and (priority is None or ticket.priority <= priority)
        for ticket in tickets
    )
