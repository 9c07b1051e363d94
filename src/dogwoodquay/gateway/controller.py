"""Gives orders to engines while this instance holds the duty."""

from __future__ import annotations

import typing

import anyio

from . import demand as demands
from ..fleet import registry as registries
from . import groups
from . import messages
from ..observe import logs
from ..residency import adapters
from ..residency import api as residency_api
from ..residency import ceiling
from ..residency import contents as engine_contents
from ..residency import planner as planners

if typing.TYPE_CHECKING:
    from collections import abc

    import anyio.abc

    from .. import clock as clocks
    from . import duty as duties
    from . import metrics as gateway_metrics
    from ..routes import api as routes_api
    from . import settings as gateway_settings

__all__ = ['Controller']

_LOG: typing.Final = logs.PartLog('orders')

STEP_SECONDS: typing.Final = 0.1
# How old a report may get; sooner while something is under way.
REPORT_SECONDS: typing.Final = 0.6
BUSY_REPORT_SECONDS: typing.Final = 0.15
CALL_SECONDS: typing.Final = 0.5
# An order is answered at once or lost, and may be given again.
ORDER_SECONDS: typing.Final = 0.3
# Time of an adapter on its way, beyond which a report tells more.
ADAPTER_SECONDS: typing.Final = 0.012
# An adapter that was used since is not removed.
ADAPTER_IDLE_SECONDS: typing.Final = 1.0
# What an adapter adds to how full an engine seems.
ADAPTER_COST: typing.Final = 0.02
SEARCH_PAUSE_SECONDS: typing.Final = 0.01
# Loads that another holder may have begun just before the duty moved.
UNKNOWN_LOADS: typing.Final = 4


class Controller:
    """Keeps engines' contents as demand wants them."""

    def __init__(
        self,
        duty: duties.Duty,
        registry: registries.Registry,
        engines: groups.EngineCalls,
        settings: gateway_settings.InstanceSettings,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._duty = duty
        self._registry = registry
        self._calls = engines
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._board = demands.DemandBoard()
        self._services: dict[str, routes_api.Service] = {}
        self._groups: dict[str, groups.EngineGroup] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    def configure(
        self, services: abc.Mapping[str, routes_api.Service]
    ) -> None:
        """Take in the declared services."""
        self._services = dict(services)

    def take(self, load: messages.InstanceLoad) -> messages.FleetView | None:
        """Take in an instance's load; return the holder's view."""
        now = self._clock.now()
        # A holder that stops offers the duty to who told it something.
        self._board.take(load, now)
        if not self._duty.holds(now):
            holder = self._duty.holder
            if holder in ('', self._duty.member):
                return None
            return messages.FleetView(holder, (), (), 0, -1)
        return self.view(load.instance_id)

    def peers(self) -> list[str]:
        """Return the instances that told their load lately, newest first."""
        peers = self._board.members(self._clock.now())
        return [name for name in peers if name != self._duty.member]

    def view(self, instance_id: str) -> messages.FleetView:
        """Return what is known of all engines, for one instance."""
        now = self._clock.now()
        return messages.FleetView(
            self._duty.member,
            tuple(
                messages.EngineView(
                    server_id,
                    engine.server.started_ms,
                    {
                        model: tuple(sorted(names))
                        for model, names in group.offered(engine).items()
                    },
                    self._board.others(server_id, instance_id),
                )
                for group in self._groups.values()
                for server_id, engine in group.engines.items()
                if engine.known
            ),
            tuple(
                messages.ComingModel(name, model, max(0.0, ready_at - now))
                for name, group in self._groups.items()
                for model, ready_at in group.coming(now).items()
            ),
            self._board.instances(now),
            self._board.configuration_version(now),
        )

    async def run(self) -> None:
        """Plan and order until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self.step(tasks)
                await anyio.sleep(STEP_SECONDS)

    def step(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the reports and orders that are due."""
        now = self._clock.now()
        if not self._duty.holds(now):
            self._groups.clear()
            return
        for name, service in self._services.items():
            if service.engine is not None:
                group = self._group(name, service.engine, now)
                self._follow(name, group, service.engine)
                self._poll(group, now, tasks)
                if self._duty.may_order(now):
                    self._plan(name, group, now, tasks)

    async def find(
        self, service: str, model: str, adapter: str, deadline: float
    ) -> str:
        """Bring an adapter to an engine; return the server, or nothing."""
        while self._clock.now() < deadline:
            group = self._groups.get(service)
            if group is None or not self._duty.may_order(self._clock.now()):
                return ''
            engines = [
                engine
                for server_id, engine in group.engines.items()
                if self._usable(group, server_id)
            ]
            there = adapters.find_engine(engines, model, adapter)
            if there is not None:
                await self._arrival(there, model, adapter)
                return there.server.server_id
            placed = adapters.place(
                engines,
                model,
                adapter,
                self._fullness,
                self._board.used_at,
                self._clock.now() - ADAPTER_IDLE_SECONDS,
            )
            if placed is None:
                await anyio.sleep(SEARCH_PAUSE_SECONDS)
                continue
            for order in placed.orders:
                if not await self._order(group, placed.engine, order):
                    break
        return ''

    def _usable(self, group: groups.EngineGroup, server_id: str) -> bool:
        server = self._registry.get(server_id)
        now = self._clock.now()
        return (
            server is not None
            and not server.leaving
            and not server.ejected(now)
            and server_id not in group.silent
        )

    async def _arrival(
        self,
        engine: engine_contents.EngineContents,
        model: str,
        adapter: str,
    ) -> None:
        """Wait until an adapter's time on its way is over."""
        key = adapters.AdapterKey(engine.server.server_id, model, adapter)
        self._board.use(key, self._clock.now())
        if (model, adapter) in engine.loading_adapters:
            await anyio.sleep(ADAPTER_SECONDS)
            engine.on_adapter_loaded(model, adapter)

    def _fullness(self, engine: engine_contents.EngineContents) -> float:
        server = self._registry.get(engine.server.server_id)
        if server is None:
            return 1.0
        load = server.load(self._clock.now()) / engine.spec.slots
        return min(1.0, load) + ADAPTER_COST * len(engine.adapters)

    def _group(
        self, name: str, spec: routes_api.EngineSpec, now: float
    ) -> groups.EngineGroup:
        group = self._groups.get(name)
        if group is None:
            window = self._settings.ceiling_window_seconds
            limit = ceiling.LoadCeiling(
                int(spec.loads_per_second * window),
                UNKNOWN_LOADS,
                window,
                now,
            )
            group = self._groups[name] = groups.EngineGroup(limit)
        return group

    def _follow(
        self, name: str, group: groups.EngineGroup, spec: routes_api.EngineSpec
    ) -> None:
        """Keep one ledger for each process of an engine."""
        listed = {
            server.entry.server_id: server.entry
            for server in self._registry.of_service(name)
        }
        for server_id, entry in listed.items():
            known = group.engines.get(server_id)
            if known is None:
                group.engines[server_id] = engine_contents.EngineContents(
                    entry, spec
                )
            elif known.server.started_ms != entry.started_ms:
                group.engines[server_id] = engine_contents.EngineContents(
                    entry, spec, known.unresolved_orders
                )
                group.report_due.pop(server_id, None)
            else:
                known.update_server(entry, spec)
        for server_id in set(group.engines) - set(listed):
            del group.engines[server_id]

    def _poll(
        self, group: groups.EngineGroup, now: float, tasks: anyio.abc.TaskGroup
    ) -> None:
        for server_id, engine in group.engines.items():
            due = group.report_due.get(server_id, now)
            if now < due or server_id in group.reporting:
                continue
            group.reporting.add(server_id)
            tasks.start_soon(self._report, group, engine)

    async def _report(
        self, group: groups.EngineGroup, engine: engine_contents.EngineContents
    ) -> None:
        server_id = engine.server.server_id
        began = self._clock.now()
        number = engine.order_number
        result = await self._calls.report(engine.server, began + CALL_SECONDS)
        group.reporting.discard(server_id)
        now = self._clock.now()
        if result.is_ok() and engine.order_number == number:
            engine.observe(result.ok)
            self._note(group, engine, now)
        self._hear(group, server_id, result.error if result.is_error() else '')
        settled = engine.known and not engine.busy
        settled = settled and server_id not in group.silent
        pause = REPORT_SECONDS if settled else BUSY_REPORT_SECONDS
        group.report_due[server_id] = now + pause

    def _hear(
        self, group: groups.EngineGroup, server_id: str, error: str
    ) -> None:
        """Note whether an engine answers; one that does not is not used."""
        if not error:
            if server_id in group.silent:
                group.silent.discard(server_id)
                _LOG.write('engine_answers', server=server_id)
        elif server_id not in group.silent:
            group.silent.add(server_id)
            _LOG.write('engine_silent', server=server_id, reason=error)

    def _note(
        self,
        group: groups.EngineGroup,
        engine: engine_contents.EngineContents,
        now: float,
    ) -> None:
        """Let routing on this instance know what an engine holds."""
        server = self._registry.get(engine.server.server_id)
        if server is not None and engine.known:
            server.update_loaded(group.offered(engine), now)

    def _plan(
        self,
        name: str,
        group: groups.EngineGroup,
        now: float,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        engines = [
            engine
            for server_id, engine in group.engines.items()
            if self._usable(group, server_id)
        ]
        demand = self._board.demand(name, now)

        def running(server_id: str, model: str) -> int:
            return self._board.running(server_id, model)

        for engine, order in group.planner.plan(engines, demand, running, now):
            if not self._paced(group, engine, order, now):
                continue
            _LOG.write(
                'planned',
                server=engine.server.server_id,
                order=type(order).__name__,
                model=order.model,
                demand=[
                    round(item, 1)
                    for item in demand.get(order.model, planners.NO_DEMAND)
                ],
            )
            tasks.start_soon(self._order, group, engine, order)

    def _paced(
        self,
        group: groups.EngineGroup,
        engine: engine_contents.EngineContents,
        order: residency_api.Order,
        now: float,
    ) -> bool:
        """Whether the weight store's rate leaves room for an order."""
        if not isinstance(order, residency_api.LoadModel):
            return True
        report = engine.report
        if report is not None and (
            order.model in report.in_memory or order.model in report.on_disk
        ):
            return True
        return group.ceiling.take(now)

    async def _order(
        self,
        group: groups.EngineGroup,
        engine: engine_contents.EngineContents,
        order: residency_api.Order,
    ) -> bool:
        """Send an order if it is safe; return whether it took effect."""
        now = self._clock.now()
        if not engine.permits(order) or not self._duty.may_order(now):
            return False
        number = engine.begin_order(order)
        answer = residency_api.OrderAnswer.UNKNOWN
        try:
            answer = await self._calls.order(
                engine.server,
                order,
                number,
                self._duty.fence,
                now + ORDER_SECONDS,
            )
        finally:
            engine.on_answer(answer)
        server_id = engine.server.server_id
        group.report_due[server_id] = self._clock.now()
        if answer is residency_api.OrderAnswer.STALE_FENCE:
            self._duty.superseded()
        kind = type(order).__name__
        self._metrics.ordered(kind, answer.value)
        _LOG.write(
            'order',
            server=server_id,
            order=kind,
            model=order.model,
            adapter=getattr(order, 'adapter', ''),
            number=number,
            fence=self._duty.fence,
            answer=answer.value,
        )
        server = self._registry.get(server_id)
        if server is not None and engine.known:
            server.update_loaded(group.offered(engine), self._clock.now())
        return answer in (
            residency_api.OrderAnswer.ACCEPTED,
            residency_api.OrderAnswer.HOLDS_ALREADY,
        )
