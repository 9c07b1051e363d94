"""Runs one term of a pool's owner.

The owner polls the engines, plans moves, sends orders and publishes the state
of the pool.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

import anyio
import anyio.abc
import eliot

from . import core
from . import entries
from . import execution
from ..placement import api as placement_api
from . import polling
from ..pools import api as pools_api
from ..records import api as records_api
from . import rules
from . import views
from . import weight_slots

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..external import api as external_api
    from ..journal import follower as followers
    from ..journal import writer as journal_writer
    from . import replay

__all__ = ['Parts', 'PoolTerm']

POLL_INTERVAL_SECONDS: typing.Final = 0.5
PLAN_INTERVAL_SECONDS: typing.Final = 1.0
MIN_PLAN_INTERVAL_SECONDS: typing.Final = 0.1
PUBLISH_INTERVAL_SECONDS: typing.Final = 1.0
OUTCOME_INTERVAL_SECONDS: typing.Final = 0.2
MAX_DISCOVERY_SECONDS: typing.Final = 3.0
PERMIT_TIMEOUT_SECONDS: typing.Final = 5.0
SLOT_IDLE_SECONDS: typing.Final = 10.0
APPEND_TIMEOUT_SECONDS: typing.Final = 10.0
MAX_BATCH_OUTCOMES: typing.Final = 100


@dataclasses.dataclass(frozen=True)
class Parts:
    """The dependencies of a ledger runner.

    ``catalog``, ``demand``, ``throughputs``, ``leaving`` and ``previous_view``
    return the current value at each call. ``leaving`` returns server ids.
    """

    instance_id: str
    engine: external_api.Engine
    state: replay.DutyState
    follower: followers.Follower
    writer: journal_writer.Writer[entries.LedgerEntry]
    planner: placement_api.Planner
    permits: weight_slots.PermitSource
    clock: clocks.Clock
    catalog: abc.Callable[[], records_api.Catalog]
    demand: abc.Callable[[], tuple[placement_api.Demand, ...]]
    leaving: abc.Callable[[], frozenset[str]]
    previous_view: abc.Callable[[], pools_api.PoolView | None]
    publish: abc.Callable[[pools_api.PoolView], None]
    throughputs: abc.Callable[[], abc.Mapping[str, float]] = dict


class PoolTerm:
    """Runs a pool during one term.

    The term ends when it is stopped, or when an engine has seen a higher
    fencing token and the epoch is no longer valid on the log.
    """

    def __init__(
        self,
        pool: str,
        epoch: int,
        parts: Parts,
        denials: collections.Counter[str],
        moves: collections.Counter[str],
    ) -> None:
        catalog = parts.catalog()
        self.ledger = core.PoolLedger(
            catalog.pools[pool], catalog, epoch, parts.state.sequence
        )
        self.infeasible: tuple[placement_api.Infeasible, ...] = ()
        self._pool = pool
        self._parts = parts
        self._denials = denials
        self._moves = moves
        self._scope = anyio.CancelScope()
        self._discovery_deadline = parts.clock.now() + MAX_DISCOVERY_SECONDS
        self._slots: frozenset[int] = frozenset()
        self._idle_since = parts.clock.now()
        self._needs_slots = True
        self._version = 0
        self._published: pools_api.PoolView | None = None
        self._next_publish = 0.0
        self._resolving_orders: set[str] = set()
        self._rate_limited = False
        self._load_ended = anyio.Event()
        self._loads_when_denied = 0
        self._polled_servers: set[str] = set()
        policy = catalog.policy
        self._rate_limiter = weight_slots.LoadRateLimiter(
            policy.loads_per_second, policy.parallel_loads
        )
        self._executor = execution.Executor(
            self.ledger,
            parts.engine,
            parts.writer,
            parts.clock,
            self._on_ledger_change,
        )

    def stop(self) -> None:
        """End the term; orders already sent are fenced or on the log."""
        self._scope.cancel()

    async def run(self) -> None:
        """Run until the term ends."""
        with self._scope:
            self.ledger.sync(self._parts.state.open_intents)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._repeat, self._refresh, POLL_INTERVAL_SECONDS
                )
                tasks.start_soon(self._start_pollers, tasks)
                tasks.start_soon(self._plan_repeatedly, tasks)
                tasks.start_soon(
                    self._repeat,
                    self._append_outcomes,
                    OUTCOME_INTERVAL_SECONDS,
                )
                tasks.start_soon(
                    self._repeat, self._adjust_slots, PLAN_INTERVAL_SECONDS
                )

    async def _repeat(
        self, step: abc.Callable[[], abc.Awaitable[None]], interval: float
    ) -> None:
        while True:
            await step()
            await anyio.sleep(interval)

    async def _refresh(self) -> None:
        catalog = self._parts.catalog()
        self.ledger.update_catalog(catalog)
        self._rate_limiter.update_policy(catalog.policy)
        self.ledger.set_leaving(self._parts.leaving())
        self.ledger.sync(self._parts.state.open_intents)
        self._on_ledger_change()
        if self.ledger.superseded and not self._owns_by_log():
            self.stop()

    def _owns_by_log(self) -> bool:
        return self._parts.state.ownership.permits(self.ledger.epoch)

    async def _start_pollers(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            for server_id in self.ledger.servers:
                if server_id not in self._polled_servers:
                    self._polled_servers.add(server_id)
                    tasks.start_soon(self._poll_server, server_id)
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def _poll_server(self, server_id: str) -> None:
        poller = polling.Poller(
            self.ledger, server_id, self._parts.engine, self._parts.clock
        )
        while True:
            await poller.poll()
            self._on_ledger_change()
            if not self.ledger.servers[server_id].needs_fencing_token:
                await anyio.sleep(POLL_INTERVAL_SECONDS)
            else:
                await anyio.sleep(POLL_INTERVAL_SECONDS / 5)

    def _is_discovery_done(self) -> bool:
        if self.ledger.all_known:
            return True
        return self._parts.clock.now() >= self._discovery_deadline

    async def _plan_repeatedly(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            self._resolve_inherited(tasks)
            if self._is_discovery_done():
                await self._plan(tasks)
            pause = self._plan_pause()
            await anyio.sleep(MIN_PLAN_INTERVAL_SECONDS)
            with anyio.move_on_after(pause - MIN_PLAN_INTERVAL_SECONDS):
                await self._load_ended.wait()

    def _plan_pause(self) -> float:
        """Return the seconds until the next plan.

        If the rate limit delayed a load, the next plan is made as soon as
        the load may start.
        """
        if not self._rate_limited:
            return PLAN_INTERVAL_SECONDS
        remaining = self._rate_limiter.next_start - self._parts.clock.now()
        return min(
            PLAN_INTERVAL_SECONDS, max(MIN_PLAN_INTERVAL_SECONDS, remaining)
        )

    def _resolve_inherited(self, tasks: anyio.abc.TaskGroup) -> None:
        if self.ledger.pool.order_bound_seconds > 0:
            return
        for server in self.ledger.servers.values():
            for order_id, tracked in server.orders.items():
                if (
                    tracked.inherited
                    and order_id not in self._resolving_orders
                ):
                    self._resolving_orders.add(order_id)
                    tasks.start_soon(self._executor.resolve, tracked.order)

    async def _plan(self, tasks: anyio.abc.TaskGroup) -> None:
        planner_input = placement_api.PlannerInput(
            pool=self._pool,
            catalog=self._parts.catalog(),
            servers=self._planner_contents(),
            demand=self._parts.demand(),
            loads_running=self.ledger.loads,
        )
        try:
            plan = await self._run_planner(planner_input)
        except Exception:
            # Continue without a move: a crash here would repeat on each
            # instance that takes over the pool.
            self._denials['planner_failed'] += 1
            eliot.write_traceback()
            return
        if plan is not None:
            self.infeasible = plan.infeasible
            self._start_moves(plan.moves, tasks)

    async def _run_planner(
        self, planner_input: placement_api.PlannerInput
    ) -> placement_api.Plan | None:
        now = self._parts.clock.now()
        plan = None
        for plan in self._parts.planner.plan(planner_input, now):
            await anyio.sleep(0)
        return plan

    def _planner_contents(self) -> tuple[placement_api.Contents, ...]:
        throughputs = self._parts.throughputs()
        return tuple(
            contents._replace(
                relative_throughput=throughputs.get(contents.server_id, 1.0)
            )
            for contents in self.ledger.contents()
        )

    def _start_moves(
        self,
        moves: tuple[placement_api.Move, ...],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._rate_limited = False
        self._loads_when_denied = 0
        self._load_ended = anyio.Event()
        for move in moves:
            now = self._parts.clock.now()
            is_load = move.kind is placement_api.MoveKind.LOAD
            if is_load and not self._rate_limiter.may_start(now):
                self._denials['paced'] += 1
                self._rate_limited = True
                continue
            match self.ledger.approve(move):
                case core.Approved() as approved:
                    self._moves[move.kind.value] += 1
                    if is_load:
                        self._rate_limiter.on_load_started(
                            len(self._slots), now
                        )
                    tasks.start_soon(self._executor.execute, approved)
                case core.Denied(reason):
                    self._denials[reason.value] += 1
                    if reason is rules.Denial.NO_SLOT:
                        self._needs_slots = (
                            len(self._slots) < self._fair_share()
                        )
                        self._loads_when_denied = self.ledger.loads

    async def _adjust_slots(self) -> None:
        now = self._parts.clock.now()
        if self.ledger.loads:
            self._idle_since = now
        if self._needs_slots:
            await self._acquire_slots(self._fair_share())
        elif self._may_release_slots(now):
            await self._release_slots()

    def _fair_share(self) -> int:
        """Return the pool's fair share of the slots, at least one."""
        catalog = self._parts.catalog()
        pools = max(1, len(catalog.pools))
        return max(1, catalog.policy.parallel_loads // pools)

    async def _acquire_slots(self, wanted: int) -> None:
        deadline = self._parts.clock.now() + PERMIT_TIMEOUT_SECONDS
        slots = await self._parts.permits.acquire(
            self._pool, self.ledger.epoch, wanted, deadline
        )
        if slots is not None:
            self._slots = slots
            self._needs_slots = False
            self._idle_since = self._parts.clock.now()
            self.ledger.set_slots(len(slots))

    def _may_release_slots(self, now: float) -> bool:
        shared = len(self._parts.catalog().pools) > 1
        idle = now - self._idle_since >= SLOT_IDLE_SECONDS
        return shared and idle and bool(self._slots)

    async def _release_slots(self) -> None:
        slots, self._slots = self._slots, frozenset()
        self.ledger.set_slots(0)
        deadline = self._parts.clock.now() + PERMIT_TIMEOUT_SECONDS
        await self._parts.permits.release(
            self._pool, self.ledger.epoch, slots, deadline
        )

    async def _append_outcomes(self) -> None:
        outcomes = [
            self.ledger.outcome(order_id, end)
            for order_id, end in self.ledger.pending_outcomes.items()
        ]
        outcomes += self._expired_outcomes()
        if not outcomes:
            return
        deadline = self._parts.clock.now() + APPEND_TIMEOUT_SECONDS
        batch = tuple(outcomes[:MAX_BATCH_OUTCOMES])
        await self._parts.writer.append(batch, deadline)
        self.ledger.sync(self._parts.state.open_intents)

    def _expired_outcomes(self) -> list[entries.Outcome]:
        bound = self.ledger.pool.order_bound_seconds
        if bound <= 0:
            return []
        now = self._parts.clock.now()
        return [
            self.ledger.outcome(order_id, entries.OrderEnd.BOUND)
            for order_id, intent in self._parts.state.open_intents.items()
            if order_id not in self.ledger.pending_outcomes
            and now >= intent.time + bound
        ]

    def _on_ledger_change(self) -> None:
        if self.ledger.loads < self._loads_when_denied:
            self._load_ended.set()
        if not self._is_discovery_done():
            return
        view = views.pool_view(
            self.ledger,
            self._parts.instance_id,
            self._version + 1,
            self._parts.previous_view(),
        )
        now = self._parts.clock.now()
        if now < self._next_publish and not self._has_changed(view):
            return
        self._version += 1
        self._published = view
        self._next_publish = now + PUBLISH_INTERVAL_SECONDS
        self._parts.publish(view)

    def _has_changed(self, view: pools_api.PoolView) -> bool:
        if self._published is None:
            return True
        pairs = zip(view.servers, self._published.servers, strict=False)
        return len(view.servers) != len(self._published.servers) or any(
            (new.artifacts, new.leaving, new.server_id)
            != (old.artifacts, old.leaving, old.server_id)
            for new, old in pairs
        )
