"""Applies overload control to the requests of this instance."""

from __future__ import annotations

import math
import typing

from ..fleet import queue
from ..gateway import api
from ..gateway import outcomes
from ..observe import logs
from ..overload import admission
from ..overload import api as overload_api
from ..overload import backlog as backlogs
from ..overload import order
from ..overload import returns
from . import overload_peers
from . import pool_states
from . import start_times

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..fleet import choice
    from ..fleet import registry as registries
    from ..fleet import server as servers
    from ..gateway import messages
    from ..gateway import metrics as gateway_metrics

__all__ = ['OverloadControl', 'Place']

_LOG: typing.Final = logs.ComponentLog('overload')

# How often waiting requests are checked.
CHECK_SECONDS: typing.Final = 0.025
# A pool that has refused nobody for so long is not overloaded any more.
RELIEVED_SECONDS: typing.Final = 1.0
# Answers by which a full server rejects a request.
_REJECTED: typing.Final = frozenset({'status_429', 'status_503'})
_SERVER_ERROR: typing.Final = 500


class Place(typing.NamedTuple):
    """A request's times and rank in the queue."""

    wait_deadline: float
    objective_at: float
    in_turn: bool = False


class OverloadControl:
    """Decides for all services where tenants are declared, and paced ones.

    Other services stay as they are.
    """

    def __init__(
        self,
        registry: registries.Registry,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics | None = None,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._all = False
        self._paced: set[str] = set()
        self._exchange = overload_peers.PoolExchange()
        self._times = start_times.StartTimes()
        self._order = order.FeasibleOrder(lambda ticket: ticket.fair_tag)
        self._states = pool_states.PoolStates(registry, self._exchange)
        self._plan = returns.ReturnPlan()
        self._overloaded: dict[overload_api.Pool, float] = {}
        self._checked_at = -math.inf
        self._tickets: abc.Collection[queue.Ticket] = ()
        if metrics is not None:
            metrics.gauge(
                'gateway_pool_backlog',
                'Waiting requests of all instances under overload control',
                self._backlog,
            )

    @property
    def times(self) -> start_times.StartTimes:
        """The usual times of answers."""
        return self._times

    @property
    def exchange(self) -> overload_peers.PoolExchange:
        """What the owner is told, and tells of the others."""
        return self._exchange

    def attach(
        self,
        tickets: abc.Collection[queue.Ticket],
        capacity: abc.Callable[[servers.Server], float],
    ) -> None:
        """Set the waiting requests, and what a server may have at a time."""
        self._tickets = tickets
        self._states.attach(tickets, capacity)

    def enabled(self, service: str) -> bool:
        """Whether a service is under overload control."""
        return self._all or service in self._paced

    def configure(self, tenants_declared: bool) -> None:
        """Set whether all services are under control."""
        self._all = tenants_declared

    def on_paced(self, service: str) -> None:
        """Record that a server of a service states its pace."""
        self._paced.add(service)

    def on_arrival(self, call: api.Call) -> None:
        """Count a caller's request."""
        if self.enabled(call.service):
            pool = self._exchange.of(_pool_of(call))
            pool.on_arrival(call.priority, self._clock.now())

    def on_started(self, call: api.Call) -> None:
        """Count a request that is sent to a server."""
        self._exchange.of(_pool_of(call)).on_started()

    def on_ended(self, call: api.Call) -> None:
        """Count the end of a request at a server."""
        self._exchange.of(_pool_of(call)).on_ended()

    def on_outcome(
        self,
        call: api.Call,
        outcome: outcomes.Outcome,
        seconds: float,
        whole: bool,
    ) -> None:
        """Record the outcome of an attempt and the time that it took.

        :param whole: whether the attempt was for the answer from its begin.
        """
        now = self._clock.now()
        match outcome:
            case outcomes.Whole(status) if status >= _SERVER_ERROR:
                # A failing server is not a fast one.
                pass
            case outcomes.Whole() | outcomes.Streamed():
                self._exchange.of(_pool_of(call)).on_completed(seconds, now)
                if whole:
                    self._times.on_whole(call, seconds)
            case outcomes.NotRun(reason, True) if reason in _REJECTED:
                if self.enabled(call.service):
                    seconds = self._times.work_seconds(call)
                    self._states.full.on_rejected(call.service, seconds, now)

    def holds(self, server: servers.Server) -> bool:
        """Whether a server may be full, as others of its service are."""
        return self._states.holds(server, self._clock.now())

    def yields(self, call: api.Call, need: choice.Need) -> bool:
        """Whether a new request leaves free servers to others elsewhere."""
        if need.successor or not self.enabled(call.service):
            return False
        now = self._clock.now()
        pool = _pool_of(call)
        if not self._exchange.of(pool).others_waiting(now):
            return False
        state = self._states.state(pool, now)
        late = now > self._times.objective_start(call)
        return state is not None and admission.yields(
            late, call.priority, state
        )

    def place(
        self,
        call: api.Call,
        need: choice.Need,
        wait_deadline: float,
        started: bool,
    ) -> Place | None:
        """Return the place of a request in the queue.

        :param wait_deadline: when it leaves the queue without control.
        :param started: whether its caller has got a part of the answer.
        :return: ``None`` if it cannot be answered in time.
        """
        if not self.enabled(call.service):
            return Place(wait_deadline, call.objective_at)
        if started or need.successor:
            # The next part of the stream is due until then.
            return Place(wait_deadline, wait_deadline)
        now = self._clock.now()
        place = self._returned(call, now)
        pool = _pool_of(call)
        state = self._states.state(pool, now)
        if state is None:
            return place._replace(wait_deadline=wait_deadline)
        if place.wait_deadline == math.inf:
            place = place._replace(wait_deadline=wait_deadline)
        request = _request(call.priority, place)
        match admission.decide(request, state, now):
            case None:
                return place._replace(wait_deadline=wait_deadline)
            case overload_api.Refuse():
                self._record_refusal(pool, state, 'refused_at_arrival', now)
                return None
            case overload_api.Wait(_, on_time=False):
                return place._replace(
                    objective_at=min(place.objective_at, now)
                )
        return place

    def overdue(self) -> list[queue.Ticket]:
        """Return the waiting requests that cannot be answered in time."""
        now = self._clock.now()
        if now - self._checked_at < CHECK_SECONDS or not self._controls():
            return []
        self._checked_at = now
        rank = self._order.rank(self._tickets, now)
        by_pool: dict[overload_api.Pool, list[queue.Ticket]] = {}
        for ticket in sorted(self._tickets, key=rank):
            if self.enabled(ticket.need.service) and _is_judged(ticket):
                pool = order.pool_of(ticket)
                by_pool.setdefault(pool, []).append(ticket)
        dropped = []
        for pool, tickets in by_pool.items():
            state = self._states.state(pool, now)
            if state is None:
                continue
            requests = [
                (item, _request(item.priority, item)) for item in tickets
            ]
            for ticket in admission.overdue(requests, state, now):
                self._record_refusal(pool, state, 'dropped_waiting', now)
                dropped.append(ticket)
        return dropped

    def rank(
        self, now: float
    ) -> abc.Callable[[queue.Ticket], order.Rank | None] | None:
        """Return the order of the queue, ``None`` for the usual one."""
        if not self._controls():
            return None
        in_order = self._order.rank(self._tickets, now)
        states: dict[overload_api.Pool, backlogs.State | None] = {}

        def rank(ticket: queue.Ticket) -> order.Rank | None:
            if not self.enabled(ticket.need.service):
                place, fair, entered_at = queue.priority_rank(ticket, now)
                return False, place, False, fair, entered_at
            key = in_order(ticket)
            pool = order.pool_of(ticket)
            if not _is_judged(ticket) or not self._exchange.of(
                pool
            ).others_waiting(now):
                return key
            if pool not in states:
                states[pool] = self._states.state(pool, now)
            state = states[pool]
            late, priority, *_ = key
            if state is not None and admission.yields(late, priority, state):
                return None
            return key

        return rank

    def on_assigned(
        self, tickets: abc.Collection[queue.Ticket], now: float
    ) -> None:
        """Record which waiting requests have got a server."""
        if tickets and self._controls():
            self._order.on_assigned(tickets, self._tickets, now)

    def retry_after(self, call: api.Call) -> float | None:
        """Return when a refused caller may come back, zero for not at all.

        ``None`` if control does not apply or knows nothing of the pool. The
        caller gets a turn for that time.
        """
        if not self.enabled(call.service):
            return None
        now = self._clock.now()
        pool = _pool_of(call)
        state = self._states.state(pool, now)
        if state is None or state.drain is None:
            return None
        ahead = admission.late_backlog(
            call.priority, (*state.own, *state.others)
        )
        until = call.deadline
        if call.terms.wait_seconds != math.inf:
            # The caller may wait for longer than the route allows.
            until = call.arrived_at + call.terms.wait_seconds
        seconds = self._plan.seconds(
            pool,
            state.own_rate,
            state.seconds(ahead, 0.0),
            until - now,
            self._times.work_seconds(call),
            now,
        )
        if seconds is None:
            return 0.0
        begins_at = now + seconds
        ends_at = begins_at + call.route.objective_seconds
        turn = returns.Turn(begins_at, ends_at, call.objective_at)
        self._exchange.turns.add(call.identity, turn)
        return seconds

    def load_rows(self) -> tuple[tuple[messages.PoolRow, ...], bytes]:
        """Return the pools and the turns of this instance, for the owner."""
        now = self._clock.now()
        self._log_relieved(now)
        if not self._controls():
            return (), b''
        waiting = {order.pool_of(ticket) for ticket in self._tickets}
        figures = {
            pool: known.own(self._states.waiting(pool, now), now)
            for pool, known in self._exchange.pools.items()
            if self.enabled(pool.service)
            and (known.active(now) or pool in waiting)
        }
        return self._exchange.load_rows(figures, now)

    def _controls(self) -> bool:
        return self._all or bool(self._paced)

    def _returned(self, call: api.Call, now: float) -> Place:
        """Return the place of a request, of a returning caller too.

        Its ``wait_deadline`` is infinite if the usual time is not known.
        """
        latest = self._times.latest_start(call)
        objective_start = self._times.objective_start(call)
        turn = self._exchange.turns.take(call.identity, now)
        if turn is None:
            return Place(latest, objective_start)
        if now < turn.begins_at:
            self._count('returned_early')
            return Place(latest, objective_start)
        self._count('returned_in_turn')
        # What the caller has waited before counts.
        objective_start -= max(0.0, call.objective_at - turn.objective_at)
        return Place(latest, objective_start, True)

    def _backlog(self) -> float:
        """Return the number of waiting requests that this instance knows."""
        now = self._clock.now()
        own = sum(self.enabled(item.need.service) for item in self._tickets)
        return own + sum(
            item.others_waiting(now) for item in self._exchange.pools.values()
        )

    def _count(self, reason: str) -> None:
        if self._metrics is not None:
            self._metrics.overloaded(reason)

    def _record_refusal(
        self,
        pool: overload_api.Pool,
        state: backlogs.State,
        reason: str,
        now: float,
    ) -> None:
        """Count a refusal, and log that its pool is overloaded."""
        self._count(reason)
        if pool not in self._overloaded:
            _LOG.write(
                'overloaded',
                service=pool.service,
                model=pool.model,
                waiting=state.waiting,
                drain=round(state.drain or 0.0, 2),
            )
        self._overloaded[pool] = now

    def _log_relieved(self, now: float) -> None:
        for pool, at in list(self._overloaded.items()):
            if now - at >= RELIEVED_SECONDS:
                del self._overloaded[pool]
                _LOG.write('relieved', service=pool.service, model=pool.model)


def _pool_of(call: api.Call) -> overload_api.Pool:
    return overload_api.Pool(call.service, call.terms.model)


def _request(
    priority: int, place: Place | queue.Ticket
) -> overload_api.Request:
    return overload_api.Request(
        priority, place.objective_at, place.wait_deadline, place.in_turn
    )


def _is_judged(ticket: queue.Ticket) -> bool:
    """Whether a request may be dropped, as it runs nowhere.

    A stream that has begun waits until its next part is due.
    """
    started = ticket.objective_at >= ticket.wait_deadline
    return not (started or ticket.need.successor)
