"""Applies what servers say of their load and pace, and shares it."""

from __future__ import annotations

import functools
import typing

from ..capacity import api as capacity_api
from ..capacity import core
from ..capacity import estimates
from ..gateway import messages
from ..gateway import server_limits
from ..observe import logs

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clocks
    from ..fleet import api as fleet_api
    from ..fleet import choice
    from ..fleet import registry as registries
    from ..fleet import server as servers
    from ..gateway import api
    from ..gateway import metrics as gateway_metrics
    from ..routes import api as routes_api

__all__ = ['ServerCapacity']

_LOG: typing.Final = logs.ComponentLog('capacity')

# Servers that fit one message.
MAX_ROWS: typing.Final = 512
# The least time between two lines about the limit of one server.
LOG_SECONDS: typing.Final = 1.0
# The least change of a limit that is logged.
LOGGED_CHANGE: typing.Final = 1.0
# Streams with fewer events tell too little of the time between them.
MIN_EVENTS: typing.Final = 8
_OK: typing.Final = range(200, 300)


class ServerCapacity:
    """Translates between servers, messages and the learned capacities."""

    def __init__(
        self,
        registry: registries.Registry,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._capacities = core.Capacities()
        self._engines: frozenset[str] = frozenset()
        # The limit that was logged last, and when.
        self._logged: dict[capacity_api.ServerKey, tuple[float, float]] = {}
        metrics.gauge(
            'gateway_paced_servers',
            'Servers of services whose servers state their pace',
            lambda: len(self._capacities.servers),
        )
        metrics.gauge(
            'gateway_learned_slots',
            'Requests that servers of paced services run well at a time',
            self._sum_limits,
        )

    @property
    def capacities(self) -> core.Capacities:
        """What this instance knows of the servers."""
        return self._capacities

    def configure(
        self, services: abc.Mapping[str, routes_api.Service]
    ) -> None:
        """Set which services are engines, and forget those that changed."""
        engines = frozenset(
            name
            for name, service in services.items()
            if service.engine is not None
        )
        changed = engines ^ self._engines
        self._engines = engines
        self._capacities.keep_only(
            {
                key
                for key, server in self._capacities.servers.items()
                if server.service not in changed
            }
        )

    def paced(self, service: str) -> bool:
        """Whether a server of a service has stated its pace."""
        return self._capacities.paced(service)

    def paced_server(self, server_id: str) -> bool:
        """Whether a listed server is one of a paced service."""
        if not self._capacities.any:
            return False
        server = self._registry.get(server_id)
        return server is not None and self.paced(server.entry.service)

    def limit(self, server: servers.Server) -> float | None:
        """Return how many requests a server runs well, ``None`` if unknown."""
        if not self.paced(server.entry.service):
            return None
        return self._of(server).limit(self._clock.now())

    def pace_at_start(self, server: servers.Server) -> float | None:
        """Return the pace for a request that is sent now, if it is known."""
        if not self.paced(server.entry.service):
            return None
        return self._of(server).pace_at_start(self._clock.now())

    def chooser(self, need: choice.Need) -> choice.ByCompletion | None:
        """Return what chooses between the servers of a paced service."""
        if not self.paced(need.service):
            return None
        return functools.partial(self._choose, need.model)

    def on_own(self, server: servers.Server) -> None:
        """Record that a request of this instance has begun or ended."""
        if self.paced(server.entry.service):
            self._of(server).on_own(server.in_flight, self._clock.now())

    def on_answer(
        self, server: servers.Server, terms: api.AnswerTerms
    ) -> None:
        """Apply the figures in the head of an answer."""
        service = server.entry.service
        if terms.running is None or terms.waiting is None:
            return
        if terms.pace is None and not self.paced(service):
            return
        if not self.paced(service):
            self._add_paced(service)
        now = self._clock.now()
        known = self._of(server)
        pace = known.pace(now) if terms.pace is None else terms.pace
        known.on_figures(terms.running, terms.waiting, pace, now)
        known.add_news(now, 0.0, 0.0)

    def before(self, handler: api.AnswerHandler) -> api.AnswerHandler:
        """Return a handler of engines' answers that applies them here too."""

        def handle(
            entry: fleet_api.ServerEntry, terms: api.AnswerTerms
        ) -> None:
            server = self._registry.get(entry.server_id)
            if server and server.entry.started_ms == entry.started_ms:
                self.on_answer(server, terms)
            handler(entry, terms)

        return handle

    def on_completed(
        self,
        server: servers.Server,
        kind: str,
        status: int,
        seconds: float,
        pace_at_start: float | None,
    ) -> None:
        """Apply a complete plain answer.

        An error may be made without the work, so it tells nothing of the
        speed of a server.
        """
        if status in _OK and self.paced(server.entry.service):
            work = capacity_api.Work(kind, seconds, seconds)
            self._apply(server, work, pace_at_start)

    def on_streamed(
        self,
        server: servers.Server,
        model: str,
        events: int,
        seconds: float,
        whole_seconds: float,
        pace_at_start: float | None,
    ) -> None:
        """Apply a complete stream by the time between its events.

        :param events: those that came in ``seconds``, after the first.
        """
        if events < MIN_EVENTS or not self.paced(server.entry.service):
            return
        work = capacity_api.Work(
            model, seconds, whole_seconds, events, False, model
        )
        self._apply(server, work, pace_at_start)

    def _apply(
        self,
        server: servers.Server,
        work: capacity_api.Work,
        pace_at_start: float | None,
    ) -> None:
        if work.seconds > 0.0:
            key = self._known(server)
            now = self._clock.now()
            self._capacities.on_completed(key, work, pace_at_start, now)
            self._log_limit(key)

    def load_rows(self) -> tuple[messages.CapacityRow, ...]:
        """Return what this instance has heard since its last load."""
        if not self._capacities.any:
            return ()
        self._forget_unlisted()
        return self._rows(self._capacities.load_rows(self._clock.now()))

    def on_load(self, load: messages.InstanceLoad) -> None:
        """Merge an instance's figures at the owner."""
        now = self._clock.now()
        self._capacities.on_load(self._reports(load.capacities, now), now)

    def view_rows(
        self, others: abc.Callable[[str], int]
    ) -> tuple[messages.CapacityRow, ...]:
        """Return the newest figures of servers with news or requests.

        :param others: returns how many requests all instances but the
            receiver have at a server.
        """
        if not self._capacities.any:
            return ()
        now = self._clock.now()
        return self._rows(self._capacities.view_rows(now, others))

    def on_view(self, view: messages.FleetView, asked_at: float) -> None:
        """Apply the owner's view.

        :param asked_at: when the owner was asked for it.
        """
        if view.capacities:
            now = self._clock.now()
            reports = self._reports(view.capacities, asked_at)
            self._capacities.on_view(reports, asked_at, now)
            for row in reports:
                self._log_limit(row.server)

    def _choose(
        self, model: str, candidates: abc.Sequence[choice.Candidate]
    ) -> servers.Server | None:
        """Return the best server for a request, ``None`` if none has room."""
        index = self._capacities.choose(
            [
                capacity_api.Candidate(
                    self._known(item.server),
                    item.server.in_flight,
                    item.capacity,
                    item.cost,
                )
                for item in candidates
            ],
            model,
            self._clock.now(),
            self._rng,
        )
        return None if index is None else candidates[index].server

    def _reports(
        self, rows: tuple[messages.CapacityRow, ...], as_of: float
    ) -> list[capacity_api.Report]:
        """Return the rows of listed servers.

        :param as_of: the time from which their ages count.
        """
        reports = []
        for row in rows[:MAX_ROWS]:
            server = self._registry.get(row.server_id)
            if server is None or server.entry.started_ms != row.started_ms:
                continue
            if not row.age >= 0.0:
                continue
            self._add_paced(server.entry.service)
            reports.append(
                capacity_api.Report(
                    self._known(server),
                    row.running,
                    row.waiting,
                    row.pace,
                    as_of - row.age,
                    row.count,
                    row.work,
                    row.others,
                )
            )
        return reports

    def _rows(
        self, reports: list[capacity_api.Report]
    ) -> tuple[messages.CapacityRow, ...]:
        now = self._clock.now()
        return tuple(
            messages.CapacityRow(
                *item.server,
                item.running,
                item.waiting,
                item.pace,
                round(max(0.0, now - item.as_of), 4),
                round(item.measured, 2),
                round(item.work, 3),
                item.others,
            )
            for item in reports[:MAX_ROWS]
        )

    def _add_paced(self, service: str) -> None:
        """Begin to learn the capacity of a service's servers."""
        if self.paced(service):
            return
        self._capacities.add_paced(service)
        _LOG.write('paced', service=service)
        now = self._clock.now()
        for server in self._registry.of_service(service):
            self._of(server).on_own(server.in_flight, now)

    def _of(self, server: servers.Server) -> estimates.ServerEstimate:
        entry = server.entry
        return self._capacities.server(
            server_limits.key_of(entry),
            entry.service,
            entry.slots,
            self._clock.now(),
            learns_limit=entry.service not in self._engines,
        )

    def _known(self, server: servers.Server) -> capacity_api.ServerKey:
        """Return the key of a server that the capacities know."""
        self._of(server)
        return server_limits.key_of(server.entry)

    def _forget_unlisted(self) -> None:
        listed = {
            server_limits.key_of(server.entry)
            for server in self._registry.servers.values()
        }
        self._capacities.keep_only(listed)
        for key in [item for item in self._logged if item not in listed]:
            del self._logged[key]

    def _log_limit(self, key: capacity_api.ServerKey) -> None:
        """Log a limit that has changed, at most once a second."""
        now = self._clock.now()
        server = self._capacities.servers[key]
        limit = server.limit(now)
        logged, at = self._logged.get(key, (float(server.slots), -LOG_SECONDS))
        if abs(limit - logged) < LOGGED_CHANGE or now - at < LOG_SECONDS:
            return
        self._logged[key] = (limit, now)
        self._metrics.learned_limit_changed()
        _LOG.write(
            'limit',
            server=key.server_id,
            slots=server.slots,
            limit=round(limit, 1),
            before=round(logged, 1),
            factor=round(server.factor(now), 2),
            pace=round(server.pace(now), 2),
        )

    def _sum_limits(self) -> float:
        now = self._clock.now()
        known = self._capacities.servers.values()
        return sum(item.limit(now) for item in known)
