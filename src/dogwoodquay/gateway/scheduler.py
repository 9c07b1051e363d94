"""Assigns a server to each request; requests wait where none is free."""

from __future__ import annotations

import itertools
import typing

import anyio
import msgspec

from . import adapter_search
from . import api
from ..fleet import choice
from ..fleet import queue
from . import limit_waits
from . import model_demand
from ..observe import logs
from . import outlook as server_outlook
from . import refusal_reasons
from ..traffic import fair_waits
from ..traffic import overload_control

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clocks
    from ..fleet import registry as registries
    from ..fleet import server as servers
    from ..ratelimit import api as limit_api
    from ..routes import api as routes_api
    from . import server_limits
    from ..traffic import server_capacity

__all__ = ['Scheduler']

_LOG: typing.Final = logs.ComponentLog('scheduler')

# Interval at which waiting requests are checked without another event.
ASSIGN_INTERVAL_SECONDS: typing.Final = 0.025
# Requests that a server may have beyond those that it runs at a time.
# They wait in its own queue.
ENGINE_QUEUE_DEPTH: typing.Final = 4
SERVICE_QUEUE_DEPTH: typing.Final = 2
# Requests of one instance that may await their first byte at an engine. The
# engine reads prompts in order of arrival, while the queue of this instance
# is ordered by urgency.
MAX_PENDING_PREFILLS: typing.Final = 1

_Key = tuple[str, str]


class _Waiter(msgspec.Struct):
    """A waiting request; ``server`` is set if one is assigned to it."""

    event: anyio.Event = msgspec.field(default_factory=anyio.Event)
    server: servers.Server | None = None


class Scheduler:
    """Assigns servers to the requests of this instance."""

    def __init__(
        self,
        registry: registries.Registry,
        failure_domain: str,
        clock: clocks.Clock,
        rng: random.Random,
        finder: adapter_search.AdapterFinder,
        limits: server_limits.ServerLimits,
        capacity: server_capacity.ServerCapacity,
        overload: overload_control.OverloadControl | None = None,
    ) -> None:
        self._limits = limits
        self._capacity = capacity
        self._limit_waits = limit_waits.LimitWaits(limits, registry, clock)
        self._on_wanting: abc.Callable[[], None] = lambda: None
        self._registry = registry
        self._failure_domain = failure_domain
        self._clock = clock
        self._rng = rng
        self._searches = adapter_search.AdapterSearches(
            registry, clock, finder, self.assign_waiting
        )
        self._services: dict[str, routes_api.Service] = {}
        self._queue = queue.RequestQueue()
        self._fair_waits = fair_waits.FairWaits()
        self._waiters: dict[int, _Waiter] = {}
        self._ticket_numbers = itertools.count()
        self._counts = model_demand.RequestCounts()
        self._closed = False
        self._outlook = server_outlook.ServerOutlook(registry, clock)
        self._overload = overload or overload_control.OverloadControl(
            registry, clock
        )
        self._overload.attach(self._queue.tickets, self.request_capacity)

    @property
    def overload(self) -> overload_control.OverloadControl:
        """Which requests wait, and when refused callers return."""
        return self._overload

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return len(self._queue)

    def configure(
        self, services: abc.Mapping[str, routes_api.Service]
    ) -> None:
        """Replace the declared services."""
        self._services = dict(services)
        self._capacity.configure(services)

    def close(self) -> None:
        """End all waits without a server; later requests do not wait."""
        self._closed = True
        for ticket in tuple(self._queue.tickets):
            self._queue.discard(ticket.number)
            self._resolve(ticket.number, None)

    def demand(self) -> dict[_Key, model_demand.LocalDemand]:
        """Return the demand by service and model."""
        return model_demand.local_demand(
            self._counts.models, self._queue.tickets, self._clock.now()
        )

    def version_demand(self) -> dict[model_demand.VersionKey, int]:
        """Return how many requests wait for a model at one version."""
        return model_demand.version_demand(self._queue.tickets)

    def adapters_in_use(self) -> list[tuple[str, str, str]]:
        """Return server, model and adapter of the requests in flight."""
        return self._counts.adapters_in_use()

    def running(self) -> dict[_Key, int]:
        """Return the number of requests in flight by server and model.

        Those without a model count at servers of paced services only.
        """
        paced = self._capacity.paced_server
        return {
            key: count
            for key, count in self._counts.running().items()
            if key[1] or paced(key[0])
        }

    def permits_wanted(self) -> list[limit_api.Want]:
        """Return the permits that waiting requests could use."""
        return self._limit_waits.wants(self._queue.tickets)

    def on_wanting(self, notify: abc.Callable[[], None]) -> None:
        """Set what is called when a request begins to wait for a permit."""
        self._on_wanting = notify

    async def run(self) -> None:
        """Assign waiting requests at intervals until cancelled."""
        async with anyio.create_task_group() as group:
            self._searches.start(group)
            while True:
                await anyio.sleep(ASSIGN_INTERVAL_SECONDS)
                if self._waiters:
                    self.assign_waiting()

    def is_declared(self, call: api.Call) -> bool:
        """Whether the active configuration declares a request's model."""
        service = self._services.get(call.service)
        if not call.terms.model or service is None or service.engine is None:
            return True
        return call.terms.model in service.engine.models

    def record_arrival(self, call: api.Call) -> None:
        """Count a caller's request in the arrival rate of its model."""
        self._limit_waits.record_use(call.service)
        self._overload.on_arrival(call)
        if call.terms.model:
            self._counts.of(call).rate.add(self._clock.now())

    async def acquire(
        self,
        call: api.Call,
        avoid: frozenset[str],
        wait_deadline: float,
        version: str | None = None,
        started: bool = False,
    ) -> servers.Server | None:
        """Return a server for a request, ``None`` if none becomes free.

        The server counts the request until ``release`` is called.

        :param avoid: servers at which earlier attempts failed.
        :param wait_deadline: when the request stops waiting.
        :param version: the only software version of servers that may be used.
            The wait ends when no server of it is left.
        :param started: whether the caller has got a part of the answer.
        """
        need = self._need(call, avoid, version)
        return await self._acquire(call, need, wait_deadline, started)

    async def acquire_successor(
        self,
        call: api.Call,
        avoid: frozenset[str],
        wait_deadline: float,
        version: str | None = None,
    ) -> servers.Server | None:
        """Return another server for a request that still runs at one.

        As ``acquire``, but only healthy servers outside ``avoid`` count.
        """
        need = self._need(call, avoid, version)._replace(successor=True)
        return await self._acquire(call, need, wait_deadline)

    async def _acquire(
        self,
        call: api.Call,
        need: choice.Need,
        wait_deadline: float,
        started: bool = False,
    ) -> servers.Server | None:
        if self._outlook.snapshot().is_hopeless(need, wait_deadline):
            return None
        waits = self._queue.has_unserved
        if not started:
            waits = waits or self._overload.yields(call, need)
        server = None if waits else self._choose(need)
        if server is not None:
            self._take_permit(server)
        elif not self._closed and self._limit_waits.admits(
            need, call, wait_deadline, self._queue.tickets
        ):
            place = self._overload.place(call, need, wait_deadline, started)
            if place is not None:
                server = await self._wait(call, need, place)
        if server is None:
            return None
        server.begin()
        self._capacity.on_own(server)
        self._counts.begin(call, server)
        self._overload.on_started(call)
        return server

    def on_answer_started(self, server: servers.Server) -> None:
        """Record that a server has started its answer to a request."""
        server.on_answer_started()
        if self._waiters:
            self.assign_waiting()

    def release(
        self, call: api.Call, server: servers.Server, started: bool
    ) -> None:
        """Record that a request has ended at a server."""
        server.end(started)
        self._capacity.on_own(server)
        self._counts.end(call, server)
        self._overload.on_ended(call)
        if self._waiters:
            self.assign_waiting()

    def assign_waiting(self) -> None:
        """Assign waiting requests to servers that have free slots."""
        now = self._clock.now()
        for ticket in self._queue.expired(now):
            self._resolve(ticket.number, None)
        outlook = self._outlook.snapshot()
        for ticket in tuple(self._queue.tickets):
            if outlook.is_hopeless(ticket.need, ticket.wait_deadline):
                self._queue.discard(ticket.number)
                self._resolve(ticket.number, None)
        for overdue in (
            self._limit_waits.overdue(self._queue.tickets),
            self._overload.overdue(),
        ):
            for ticket in overdue:
                self._queue.discard(ticket.number)
                self._resolve(ticket.number, None)
        rank = self._overload.rank(now)
        assigned = self._queue.assign(
            self._choose, now, self._take_permit, rank
        )
        self._overload.on_assigned([ticket for ticket, _ in assigned], now)
        for ticket, server in assigned:
            self._fair_waits.served(ticket)
            # Counted at once, so that the next choice considers it.
            server.begin()
            self._resolve(ticket.number, server)

    def refusal_reason(
        self, call: api.Call, version: str | None = None
    ) -> api.RefusalReason:
        """Return why no server was assigned to a request."""
        if self._closed:
            return api.RefusalReason.STOPPING
        need = self._need(call, frozenset(), version)
        return refusal_reasons.reason(need, self._outlook, self._limit_waits)

    def seconds_until_permit(
        self, call: api.Call, version: str | None
    ) -> float | None:
        """Return when a caller may come back, if servers' limits are why."""
        need = self._need(call, frozenset(), version)
        return self._limit_waits.seconds_to_wait(need, self._queue.tickets)

    def seconds_until_pause_end(
        self, call: api.Call, version: str | None
    ) -> float:
        """Return the time until a server that has paused may be used."""
        need = self._need(call, frozenset(), version)
        end = self._outlook.pause_end(need)
        return 0.0 if end is None else max(0.0, end - self._clock.now())

    def update_loading(self, ready_at: dict[_Key, float]) -> None:
        """Set when the models that no server has loaded will be ready."""
        self._outlook.update_loading(ready_at)

    def seconds_until_ready(self, call: api.Call) -> float | None:
        """Return the time until a request's model is loaded, if known."""
        ready_at = self._outlook.ready_at(call.service, call.terms.model)
        if ready_at is None:
            return None
        return max(0.0, ready_at - self._clock.now())

    def defer(self, call: api.Call, seconds: float) -> None:
        """Count a caller that was asked to retry after some seconds."""
        self._counts.of(call).retry_at.append(self._clock.now() + seconds)

    async def _wait(
        self,
        call: api.Call,
        need: choice.Need,
        place: overload_control.Place,
    ) -> servers.Server | None:
        number = next(self._ticket_numbers)
        priority = call.priority
        waiter = self._waiters[number] = _Waiter()
        self._queue.add(
            queue.Ticket(
                number,
                priority,
                place.objective_at,
                place.wait_deadline,
                self._clock.now(),
                need,
                self._fair_waits.tag(call, priority),
                place.in_turn,
            )
        )
        try:
            self.assign_waiting()
            if waiter.server is None and self._limit_waits.wants_permit(need):
                self._on_wanting()
            await waiter.event.wait()
        except BaseException:
            self._queue.discard(number)
            if waiter.server is not None:
                waiter.server.end(started=False)
            raise
        finally:
            self._waiters.pop(number, None)
            if waiter.server is None:
                self._fair_waits.withdrawn(call, priority)
        if waiter.server is not None:
            # ``acquire`` counts the request again.
            waiter.server.end(started=False)
        return waiter.server

    def _resolve(self, number: int, server: servers.Server | None) -> None:
        waiter = self._waiters[number]
        waiter.server = server
        waiter.event.set()

    def _need(
        self, call: api.Call, avoid: frozenset[str], version: str | None
    ) -> choice.Need:
        terms = call.terms
        return choice.Need(
            call.service,
            terms.model,
            terms.adapter,
            avoid,
            version=version,
            first=call.first_version,
        )

    def _choose(self, need: choice.Need) -> servers.Server | None:
        now = self._clock.now()
        candidates = self._registry.of_service(need.service)
        need = choice.at_first_version(candidates, need, now)
        chosen = choice.choose(
            candidates,
            need,
            self._failure_domain,
            self._available_capacity,
            now,
            self._rng,
            self._limit_waits.extra_cost,
            self._capacity.chooser(need),
        )
        if chosen is None and need.adapter:
            self._searches.search(need, candidates)
        return chosen

    def request_capacity(self, server: servers.Server) -> float:
        """Return the limit of a server's requests from all instances."""
        service = self._services.get(server.entry.service)
        if service is not None and service.engine is not None:
            return service.engine.slots + ENGINE_QUEUE_DEPTH
        learned = self._capacity.limit(server)
        slots = server.entry.slots if learned is None else learned
        return slots + SERVICE_QUEUE_DEPTH

    def _take_permit(self, server: servers.Server) -> None:
        self._limits.take(server.entry)

    def _available_capacity(self, server: servers.Server) -> float:
        """Return a server's capacity, zero at a limit of new requests."""
        if not self._limits.available(server.entry) or self._overload.holds(
            server
        ):
            return 0.0
        service = self._services.get(server.entry.service)
        engine = service is not None and service.engine is not None
        if engine and server.awaiting_first_byte >= MAX_PENDING_PREFILLS:
            return 0.0
        capacity = self.request_capacity(server)
        share = server.share_after_pause(self._clock.now())
        if share < 1.0 and server.in_flight >= max(1.0, share * capacity):
            return 0.0
        return capacity
