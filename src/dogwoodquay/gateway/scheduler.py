"""Finds a server for each request, and lets requests wait for one."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import typing

import anyio

from . import api
from ..fleet import choice
from ..fleet import queue
from ..fleet import rate as rates
from ..observe import logs

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    import anyio.abc

    from .. import clock as clocks
    from ..fleet import registry as registries
    from ..fleet import server as servers
    from ..routes import api as routes_api

__all__ = ['AdapterFinder', 'ModelLoad', 'Scheduler']

_LOG: typing.Final = logs.PartLog('scheduler')

TICK_SECONDS: typing.Final = 0.025
# Requests that a server may have beyond those that it runs at a time.
ENGINE_AHEAD: typing.Final = 4
SERVICE_AHEAD: typing.Final = 2
# Requests of one instance whose prompts an engine may have to read. What it
# has been given it takes in that order, what waits here by its worth.
UNSTARTED: typing.Final = 1
# How long a failed search for an adapter's place is not repeated.
SEARCH_AGAIN_SECONDS: typing.Final = 0.05

_Key = tuple[str, str]


class AdapterFinder(typing.Protocol):
    """Brings an adapter to a server that holds its model."""

    async def find(
        self, service: str, model: str, adapter: str, deadline: float
    ) -> str:
        """Return the server that has the adapter, empty for none."""


class ModelLoad(typing.NamedTuple):
    """What callers of this instance ask of a model.

    ``rate`` is in requests a second.
    ``waiting`` counts those as well that were told to come back for it.
    """

    rate: float
    in_flight: int
    waiting: int
    oldest_wait_seconds: float


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A request that waits, and what it gets."""

    event: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    server: servers.Server | None = None


@dataclasses.dataclass(slots=True)
class _Counts:
    """Requests for one model.

    ``back_at`` is when each caller that was sent away may come back.
    """

    rate: rates.DecayingRate = dataclasses.field(
        default_factory=rates.DecayingRate
    )
    in_flight: int = 0
    back_at: list[float] = dataclasses.field(default_factory=list)

    def away(self, now: float) -> int:
        """Return how many callers were told to come back later."""
        self.back_at = [until for until in self.back_at if until > now]
        return len(self.back_at)


class Scheduler:
    """Chooses servers for the requests of this instance."""

    def __init__(
        self,
        registry: registries.Registry,
        domain: str,
        clock: clocks.Clock,
        rng: random.Random,
        finder: AdapterFinder,
    ) -> None:
        self._registry = registry
        self._domain = domain
        self._clock = clock
        self._rng = rng
        self._finder = finder
        self._services: dict[str, routes_api.Service] = {}
        self._queue = queue.RequestQueue()
        self._waiters: dict[int, _Waiter] = {}
        self._numbers = itertools.count()
        self._counts: dict[_Key, _Counts] = {}
        self._searches: dict[tuple[str, str, str], float] = {}
        self._used: dict[tuple[str, str, str], int] = {}
        self._running: collections.Counter[_Key] = collections.Counter()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._closed = False
        self._coming: dict[_Key, float] = {}

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    def configure(
        self, services: abc.Mapping[str, routes_api.Service]
    ) -> None:
        """Take in the declared services."""
        self._services = dict(services)

    def close(self) -> None:
        """Let nothing wait any more; who waits finds no server."""
        self._closed = True
        for ticket in tuple(self._queue.tickets):
            self._queue.discard(ticket.number)
            self._finish(ticket.number, None)

    def loads(self) -> dict[_Key, ModelLoad]:
        """Return what is asked of each model, by service and model."""
        now = self._clock.now()
        waiting: dict[_Key, list[float]] = {}
        for ticket in self._queue.tickets:
            key = (ticket.need.service, ticket.need.model)
            waiting.setdefault(key, []).append(now - ticket.entered_at)
        return {
            key: ModelLoad(
                counts.rate.at(now),
                counts.in_flight,
                len(waiting.get(key, ())) + counts.away(now),
                max(waiting.get(key, (0.0,))),
            )
            for key, counts in self._counts.items()
        }

    def adapters_in_use(self) -> list[tuple[str, str, str]]:
        """Return server, model and adapter of the requests under way."""
        return list(self._used)

    def running(self) -> dict[_Key, int]:
        """Return the requests under way by server and model."""
        return {key: count for key, count in self._running.items() if count}

    async def run(self) -> None:
        """Move the queue until cancelled."""
        async with anyio.create_task_group() as group:
            self._tasks = group
            while True:
                await anyio.sleep(TICK_SECONDS)
                if self._waiters:
                    self.pump()

    def declares(self, call: api.Call) -> bool:
        """Whether the configuration in force knows a request's model."""
        service = self._services.get(call.service)
        if not call.terms.model or service is None or service.engine is None:
            return True
        return call.terms.model in service.engine.models

    def arrived(self, call: api.Call) -> None:
        """Count a caller's request in the demand for its model."""
        if call.terms.model:
            self._count(call).rate.add(self._clock.now())

    async def acquire(
        self,
        call: api.Call,
        avoid: frozenset[str],
        give_up_at: float,
    ) -> servers.Server | None:
        """Return a server that counts the request, or nothing in time.

        :param avoid: servers that failed the request before.
        """
        need = self._need(call, avoid)
        if self._hopeless(need, give_up_at):
            return None
        server = None if len(self._queue) else self._choose(need)
        if server is None and not self._closed:
            server = await self._wait(call, need, give_up_at)
        if server is None:
            return None
        self._begin(call, server)
        return server

    def started(self, server: servers.Server) -> None:
        """Note that a server has begun to answer a request."""
        server.started()
        if self._waiters:
            self.pump()

    def release(
        self, call: api.Call, server: servers.Server, started: bool
    ) -> None:
        """Note that a server is done with a request."""
        server.end(started)
        terms = call.terms
        if terms.model:
            self._count(call).in_flight -= 1
            self._running[server.entry.server_id, terms.model] -= 1
        if terms.adapter:
            key = (server.entry.server_id, terms.model, terms.adapter)
            self._used[key] -= 1
            if not self._used[key]:
                del self._used[key]
        if self._waiters:
            self.pump()

    def pump(self) -> None:
        """Give waiting requests the servers that have room."""
        now = self._clock.now()
        for ticket in self._queue.expired(now):
            self._finish(ticket.number, None)
        for ticket in tuple(self._queue.tickets):
            if self._hopeless(ticket.need, ticket.wait_deadline):
                self._queue.discard(ticket.number)
                self._finish(ticket.number, None)
        for ticket, server in self._queue.assign(self._choose, now):
            # Counted at once, so that the next one sees it.
            server.begin()
            self._finish(ticket.number, server)

    def why_none(self, call: api.Call) -> api.RefusalReason:
        """Return why a request found no server."""
        if self._closed:
            return api.RefusalReason.STOPPING
        candidates = self._registry.of_service(call.service)
        if not candidates:
            return api.RefusalReason.NO_SERVER
        terms = call.terms
        if not any(
            item.has_loaded(terms.model, terms.adapter) for item in candidates
        ):
            return api.RefusalReason.MODEL_ABSENT
        return api.RefusalReason.OVERLOADED

    def note_coming(self, ready_at: dict[_Key, float]) -> None:
        """Take in when models that no server holds will be ready."""
        self._coming = ready_at

    def ready_in(self, call: api.Call) -> float | None:
        """Return in how long a model will be ready, if it is on its way."""
        ready_at = self._coming.get((call.service, call.terms.model))
        if ready_at is None:
            return None
        return max(0.0, ready_at - self._clock.now())

    def sent_away(self, call: api.Call, seconds: float) -> None:
        """Count a caller that is to come back for its model."""
        self._count(call).back_at.append(self._clock.now() + seconds)

    def _hopeless(self, need: choice.Need, give_up_at: float) -> bool:
        """Whether a model comes only when a request cannot wait any more.

        Answers demand that moves to a model whose load takes longer than
        its callers stay: they learn at once when to come back.
        """
        ready_at = self._coming.get((need.service, need.model))
        if ready_at is None or ready_at <= give_up_at:
            return False
        return not any(
            server.has_loaded(need.model, '')
            for server in self._registry.of_service(need.service)
        )

    async def _wait(
        self, call: api.Call, need: choice.Need, give_up_at: float
    ) -> servers.Server | None:
        number = next(self._numbers)
        waiter = self._waiters[number] = _Waiter()
        self._queue.add(
            queue.Ticket(
                number,
                call.route.priority,
                call.objective_at,
                give_up_at,
                self._clock.now(),
                need,
            )
        )
        try:
            self.pump()
            await waiter.event.wait()
        except BaseException:
            self._queue.discard(number)
            if waiter.server is not None:
                waiter.server.end(started=False)
            raise
        finally:
            self._waiters.pop(number, None)
        if waiter.server is not None:
            # ``_begin`` counts it for the request itself.
            waiter.server.end(started=False)
        return waiter.server

    def _finish(self, number: int, server: servers.Server | None) -> None:
        waiter = self._waiters[number]
        waiter.server = server
        waiter.event.set()

    def _begin(self, call: api.Call, server: servers.Server) -> None:
        server.begin()
        terms = call.terms
        if terms.model:
            self._count(call).in_flight += 1
            self._running[server.entry.server_id, terms.model] += 1
        if terms.adapter:
            key = (server.entry.server_id, terms.model, terms.adapter)
            self._used[key] = self._used.get(key, 0) + 1

    def _need(self, call: api.Call, avoid: frozenset[str]) -> choice.Need:
        terms = call.terms
        return choice.Need(call.service, terms.model, terms.adapter, avoid)

    def _choose(self, need: choice.Need) -> servers.Server | None:
        now = self._clock.now()
        candidates = self._registry.of_service(need.service)
        chosen = choice.choose(
            candidates, need, self._domain, self._room, now, self._rng
        )
        if chosen is None and need.adapter:
            self._search(need, candidates, now)
        return chosen

    def places(self, server: servers.Server) -> int:
        """Return how many requests a server may have from all instances."""
        service = self._services.get(server.entry.service)
        if service is not None and service.engine is not None:
            return service.engine.slots + ENGINE_AHEAD
        return server.entry.slots + SERVICE_AHEAD

    def _room(self, server: servers.Server) -> float:
        """Return the places of a server, none while it reads a prompt."""
        service = self._services.get(server.entry.service)
        engine = service is not None and service.engine is not None
        if engine and server.awaiting_first_byte >= UNSTARTED:
            return 0.0
        return self.places(server)

    def _search(
        self,
        need: choice.Need,
        candidates: list[servers.Server],
        now: float,
    ) -> None:
        """Have an adapter brought to a server that holds its model."""
        key = (need.service, need.model, need.adapter)
        if self._tasks is None or now < self._searches.get(key, now):
            return
        if not any(item.has_loaded(need.model, '') for item in candidates):
            return
        self._searches[key] = float('inf')
        self._tasks.start_soon(self._find, key)

    async def _find(self, key: tuple[str, str, str]) -> None:
        service, model, adapter = key
        deadline = self._clock.now() + 1.0
        server_id = await self._finder.find(service, model, adapter, deadline)
        now = self._clock.now()
        server = self._registry.get(server_id)
        if server is None:
            self._searches[key] = now + SEARCH_AGAIN_SECONDS
        else:
            self._searches.pop(key, None)
            held = dict(server.loaded)
            if model in held:
                held[model] = held[model] | {adapter}
            server.update_loaded(held, now)
        self.pump()

    def _count(self, call: api.Call) -> _Counts:
        key = (call.service, call.terms.model)
        counts = self._counts.get(key)
        if counts is None:
            counts = self._counts[key] = _Counts()
        return counts
