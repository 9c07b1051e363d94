"""One tenure as a pool's owner: learns, plans, orders, publishes."""

from __future__ import annotations

import collections
import dataclasses
import typing

import anyio
import anyio.abc
import eliot

from . import allowance
from . import core
from . import entries
from . import execution
from ..placement import api as placement_api
from . import polling
from ..pools import api as pools_api
from ..records import api as records_api
from . import rules
from . import views

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..external import api as external_api
    from ..journal import follower as followers
    from ..journal import writer as journal_writer
    from . import replay

__all__ = ['Parts', 'TenureRun']

POLL_SECONDS: typing.Final = 0.5
PLAN_SECONDS: typing.Final = 1.0
MIN_PLAN_SECONDS: typing.Final = 0.1
PUBLISH_SECONDS: typing.Final = 1.0
CLOSE_SECONDS: typing.Final = 0.2
SETTLE_SECONDS: typing.Final = 3.0
PERMIT_SECONDS: typing.Final = 5.0
IDLE_SECONDS: typing.Final = 10.0
APPEND_SECONDS: typing.Final = 10.0
MAX_BATCH: typing.Final = 100


@dataclasses.dataclass(frozen=True)
class Parts:
    """What a runner works with.

    ``catalog``, ``demand``, ``speeds``, ``leaving`` and ``earlier_view``
    return what is known at the time of the call; ``leaving`` holds server
    ids.
    """

    instance_id: str
    engine: external_api.Engine
    state: replay.DutyState
    follower: followers.Follower
    writer: journal_writer.Writer[entries.LedgerEntry]
    planner: placement_api.Planner
    permits: allowance.PermitSource
    clock: clocks.Clock
    catalog: abc.Callable[[], records_api.Catalog]
    demand: abc.Callable[[], tuple[placement_api.Demand, ...]]
    leaving: abc.Callable[[], frozenset[str]]
    earlier_view: abc.Callable[[], pools_api.PoolView | None]
    publish: abc.Callable[[pools_api.PoolView], None]
    speeds: abc.Callable[[], abc.Mapping[str, float]] = dict


class TenureRun:
    """One tenure; ends when it is stopped or an engine knows a newer one."""

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
        self._settle_at = parts.clock.now() + SETTLE_SECONDS
        self._slots: frozenset[int] = frozenset()
        self._idle_since = parts.clock.now()
        self._wants_slots = True
        self._version = 0
        self._published: pools_api.PoolView | None = None
        self._next_publish = 0.0
        self._resolving: set[str] = set()
        self._paced = False
        self._load_ended = anyio.Event()
        self._loads = 0
        self._polled: set[str] = set()
        policy = catalog.policy
        self._pace = allowance.Pace(
            policy.loads_per_second, policy.parallel_loads
        )
        self._executor = execution.Executor(
            self.ledger,
            parts.engine,
            parts.writer,
            parts.clock,
            self._changed,
        )

    def stop(self) -> None:
        """End the tenure; what was sent is fenced or on the log."""
        self._scope.cancel()

    async def run(self) -> None:
        """Run until stopped."""
        with self._scope:
            self.ledger.sync(self._parts.state.open_intents)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._repeat, self._renew, POLL_SECONDS)
                tasks.start_soon(self._keep_polling, tasks)
                tasks.start_soon(self._keep_planning, tasks)
                tasks.start_soon(self._repeat, self._close, CLOSE_SECONDS)
                tasks.start_soon(self._repeat, self._ask_permits, PLAN_SECONDS)

    async def _repeat(
        self, step: abc.Callable[[], abc.Awaitable[None]], seconds: float
    ) -> None:
        while True:
            await step()
            await anyio.sleep(seconds)

    async def _renew(self) -> None:
        catalog = self._parts.catalog()
        self.ledger.update_catalog(catalog)
        self._pace.follow(catalog.policy)
        self.ledger.set_leaving(self._parts.leaving())
        self.ledger.sync(self._parts.state.open_intents)
        self._changed()
        if self.ledger.superseded and not self._owner_by_log():
            self.stop()

    def _owner_by_log(self) -> bool:
        return self._parts.state.ownership.permits(self.ledger.epoch)

    async def _keep_polling(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            for server_id in self.ledger.servers:
                if server_id not in self._polled:
                    self._polled.add(server_id)
                    tasks.start_soon(self._poll, server_id)
            await anyio.sleep(POLL_SECONDS)

    async def _poll(self, server_id: str) -> None:
        poller = polling.Poller(
            self.ledger, server_id, self._parts.engine, self._parts.clock
        )
        while True:
            await poller.poll()
            self._changed()
            if not self.ledger.servers[server_id].must_teach:
                await anyio.sleep(POLL_SECONDS)
            else:
                await anyio.sleep(POLL_SECONDS / 5)

    def _settled(self) -> bool:
        if self.ledger.all_known:
            return True
        return self._parts.clock.now() >= self._settle_at

    async def _keep_planning(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            self._resolve_foreign(tasks)
            if self._settled():
                await self._plan(tasks)
            pause = self._plan_pause()
            await anyio.sleep(MIN_PLAN_SECONDS)
            with anyio.move_on_after(pause - MIN_PLAN_SECONDS):
                await self._load_ended.wait()

    def _plan_pause(self) -> float:
        """Return the time to the next plan, sooner when a load may start."""
        if not self._paced:
            return PLAN_SECONDS
        left = self._pace.next_at - self._parts.clock.now()
        return min(PLAN_SECONDS, max(MIN_PLAN_SECONDS, left))

    def _resolve_foreign(self, tasks: anyio.abc.TaskGroup) -> None:
        if self.ledger.pool.order_bound_seconds > 0:
            return
        for server in self.ledger.servers.values():
            for order_id, charged in server.orders.items():
                if charged.foreign and order_id not in self._resolving:
                    self._resolving.add(order_id)
                    tasks.start_soon(self._executor.resolve, charged.order)

    async def _plan(self, tasks: anyio.abc.TaskGroup) -> None:
        planner_input = placement_api.PlannerInput(
            pool=self._pool,
            catalog=self._parts.catalog(),
            servers=self._contents(),
            demand=self._parts.demand(),
            loads_running=self.ledger.loads,
        )
        try:
            plan = await self._make_plan(planner_input)
        except Exception:
            # The owner goes on without a move: if it ended here, each
            # instance would end that owns the pool in its turn.
            self._denials['planner_failed'] += 1
            eliot.write_traceback()
            return
        if plan is not None:
            self.infeasible = plan.infeasible
            self._start(plan.moves, tasks)

    async def _make_plan(
        self, planner_input: placement_api.PlannerInput
    ) -> placement_api.Plan | None:
        now = self._parts.clock.now()
        plan = None
        for plan in self._parts.planner.plan(planner_input, now):
            await anyio.sleep(0)
        return plan

    def _contents(self) -> tuple[placement_api.Contents, ...]:
        speeds = self._parts.speeds()
        return tuple(
            found._replace(
                relative_throughput=speeds.get(found.server_id, 1.0)
            )
            for found in self.ledger.contents()
        )

    def _start(
        self,
        moves: tuple[placement_api.Move, ...],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._paced = False
        self._loads = 0
        self._load_ended = anyio.Event()
        for move in moves:
            now = self._parts.clock.now()
            load = move.kind is placement_api.MoveKind.LOAD
            if load and not self._pace.ready(now):
                self._denials['paced'] += 1
                self._paced = True
                continue
            match self.ledger.approve(move):
                case core.Approved() as approved:
                    self._moves[move.kind.value] += 1
                    if load:
                        self._pace.started(len(self._slots), now)
                    tasks.start_soon(self._executor.execute, approved)
                case core.Denied(reason):
                    self._denials[reason.value] += 1
                    if reason is rules.Denial.NO_SLOT:
                        self._wants_slots = len(self._slots) < self._share()
                        self._loads = self.ledger.loads

    async def _ask_permits(self) -> None:
        now = self._parts.clock.now()
        if self.ledger.loads:
            self._idle_since = now
        if self._wants_slots:
            await self._acquire(self._share())
        elif self._returnable(now):
            await self._release()

    def _share(self) -> int:
        """Return how many slots the pool should have when it is busy."""
        catalog = self._parts.catalog()
        pools = max(1, len(catalog.pools))
        return max(1, catalog.policy.parallel_loads // pools)

    async def _acquire(self, wanted: int) -> None:
        deadline = self._parts.clock.now() + PERMIT_SECONDS
        slots = await self._parts.permits.acquire(
            self._pool, self.ledger.epoch, wanted, deadline
        )
        if slots is not None:
            self._slots = slots
            self._wants_slots = False
            self._idle_since = self._parts.clock.now()
            self.ledger.set_slots(len(slots))

    def _returnable(self, now: float) -> bool:
        shared = len(self._parts.catalog().pools) > 1
        idle = now - self._idle_since >= IDLE_SECONDS
        return shared and idle and bool(self._slots)

    async def _release(self) -> None:
        slots, self._slots = self._slots, frozenset()
        self.ledger.set_slots(0)
        deadline = self._parts.clock.now() + PERMIT_SECONDS
        await self._parts.permits.release(
            self._pool, self.ledger.epoch, slots, deadline
        )

    async def _close(self) -> None:
        outcomes = [
            self.ledger.outcome(order_id, end)
            for order_id, end in self.ledger.closing.items()
        ]
        outcomes += self._expired()
        if not outcomes:
            return
        deadline = self._parts.clock.now() + APPEND_SECONDS
        batch = tuple(outcomes[:MAX_BATCH])
        await self._parts.writer.append(batch, deadline)
        self.ledger.sync(self._parts.state.open_intents)

    def _expired(self) -> list[entries.Outcome]:
        bound = self.ledger.pool.order_bound_seconds
        if bound <= 0:
            return []
        now = self._parts.clock.now()
        return [
            self.ledger.outcome(order_id, entries.OrderEnd.BOUND)
            for order_id, intent in self._parts.state.open_intents.items()
            if order_id not in self.ledger.closing
            and now >= intent.time + bound
        ]

    def _changed(self) -> None:
        if self.ledger.loads < self._loads:
            self._load_ended.set()
        if not self._settled():
            return
        view = views.pool_view(
            self.ledger,
            self._parts.instance_id,
            self._version + 1,
            self._parts.earlier_view(),
        )
        now = self._parts.clock.now()
        if now < self._next_publish and not self._differs(view):
            return
        self._version += 1
        self._published = view
        self._next_publish = now + PUBLISH_SECONDS
        self._parts.publish(view)

    def _differs(self, view: pools_api.PoolView) -> bool:
        if self._published is None:
            return True
        pairs = zip(view.servers, self._published.servers, strict=False)
        return len(view.servers) != len(self._published.servers) or any(
            (new.artifacts, new.leaving, new.server_id)
            != (old.artifacts, old.leaving, old.server_id)
            for new, old in pairs
        )
