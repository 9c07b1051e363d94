"""Gives orders to engines while this instance owns that duty."""

from __future__ import annotations

import typing

import anyio

from . import demand as demands
from ..fleet import registry as registries
from . import groups
from . import messages
from ..observe import logs
from . import readers
from ..residency import adapters
from ..residency import api as residency_api
from ..residency import ceiling
from ..residency import served

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    import anyio.abc

    from .. import clock as clocks
    from . import metrics as gateway_metrics
    from . import ownership as order_ownership
    from ..residency import contents as engine_contents
    from ..routes import api as routes_api
    from . import server_limits
    from . import settings as gateway_settings

__all__ = ['Controller']

_LOG: typing.Final = logs.ComponentLog('orders')

STEP_SECONDS: typing.Final = 0.1
# Interval of an engine's reports, and the shorter one while it is busy, not
# yet known or unreachable.
REPORT_INTERVAL_SECONDS: typing.Final = 0.6
BUSY_REPORT_INTERVAL_SECONDS: typing.Final = 0.15
CALL_TIMEOUT_SECONDS: typing.Final = 0.5
# An order is answered at once or lost; it may be given again.
ORDER_TIMEOUT_SECONDS: typing.Final = 0.3
# Assumed time to load an adapter; a report shows whether it took longer.
ADAPTER_LOAD_SECONDS: typing.Final = 0.012
# An adapter that was used within this time is not unloaded.
ADAPTER_IDLE_SECONDS: typing.Final = 1.0
# Utilization that each loaded adapter adds in the choice of an engine.
ADAPTER_UTILIZATION: typing.Final = 0.02
SEARCH_RETRY_SECONDS: typing.Final = 0.01
# Loads that another owner may have started just before the duty moved.
UNSEEN_LOADS: typing.Final = 4


class Controller:
    """Loads and unloads models and adapters on engines by demand."""

    def __init__(
        self,
        ownership: order_ownership.OrderOwnership,
        registry: registries.Registry,
        engines: groups.EngineCalls,
        settings: gateway_settings.InstanceSettings,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
        rng: random.Random,
        limits: server_limits.ServerLimits,
        contended: abc.Callable[[str], bool] = lambda _: False,
    ) -> None:
        """Create the controller.

        :param contended: whether a service is under contended load.
        """
        self._contended = contended
        self._rate_limits = limits.rate_limits
        self._ownership = ownership
        self._registry = registry
        self._calls = engines
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._demand = demands.DemandTracker()
        self._readers = readers.ReaderChoice(rng)
        self._services: dict[str, routes_api.Service] = {}
        self._groups: dict[str, groups.EngineGroup] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def demand(self) -> demands.DemandTracker:
        """The loads of all instances."""
        return self._demand

    def configure(
        self, services: abc.Mapping[str, routes_api.Service]
    ) -> None:
        """Replace the declared services."""
        self._services = dict(services)

    def on_load(
        self, load: messages.InstanceLoad
    ) -> messages.FleetView | None:
        """Record an instance's load and return the owner's view.

        An instance that is not the owner returns the owner's name alone, or
        ``None`` if it knows no other owner.
        """
        now = self._clock.now()
        # A stopping owner offers the duty to peers with a recent load.
        self._demand.update(load, now)
        if not self._ownership.is_owner(now):
            owner = self._ownership.owner
            if owner in ('', self._ownership.member):
                return None
            return messages.FleetView(owner, (), (), 0, -1)
        self._readers.update(load.instance_id, load.configuration_version, now)
        return self.view(load.instance_id)

    def recent_peers(self) -> list[str]:
        """Return the peers that sent their load lately, newest first."""
        members = self._demand.reporting_instances(self._clock.now())
        return [name for name in members if name != self._ownership.member]

    def view(self, instance_id: str) -> messages.FleetView:
        """Return the view of all engines for one instance."""
        now = self._clock.now()
        owner = self._ownership.member
        return messages.FleetView(
            owner,
            tuple(
                messages.EngineView(
                    server_id,
                    engine.server.started_ms,
                    {
                        model: tuple(sorted(names))
                        for model, names in group.servable(engine).items()
                    },
                    self._demand.other_requests(server_id, instance_id),
                )
                for group in self._groups.values()
                for server_id, engine in group.engines.items()
                if engine.known
            ),
            tuple(
                messages.LoadingModel(name, model, max(0.0, ready_at - now))
                for name, group in self._groups.items()
                for model, ready_at in group.loading_models(now).items()
            ),
            self._demand.instance_count(now),
            self._demand.configuration_version(now),
            self._readers.reads_store(instance_id, owner, now),
            self._readers.holder(instance_id, owner, now),
            configuration_seconds=self._demand.configuration_seconds(now),
        )

    async def run(self) -> None:
        """Read reports and give orders until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self.step(tasks)
                await anyio.sleep(STEP_SECONDS)

    def step(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the reports and orders that are due."""
        now = self._clock.now()
        if not self._ownership.is_owner(now):
            self._groups.clear()
            return
        for name, service in self._services.items():
            if service.engine is not None:
                group = self._group(name, service.engine, now)
                group.planner.configure(
                    served.CONTENDED
                    if self._contended(name)
                    else served.DEFAULT
                )
                listed = self._registry.of_service(name)
                group.update_engines(
                    [server.entry for server in listed], service.engine
                )
                self._start_reports(group, now, tasks)
                if self._ownership.may_order(now):
                    self._start_planned_orders(name, group, now, tasks)

    async def find_adapter(
        self,
        service: str,
        model: str,
        adapter: str,
        deadline: float,
        version: str | None = None,
    ) -> str:
        """Return a server for an adapter, loaded if needed; empty for none.

        :param version: the only software version of engines that may be used.
        """
        while self._clock.now() < deadline:
            group = self._groups.get(service)
            if group is None or not self._ownership.may_order(
                self._clock.now()
            ):
                return ''
            engines = [
                engine
                for server_id, engine in group.engines.items()
                if self._usable(group, server_id)
                and version in (None, engine.server.version)
            ]
            engines = adapters.prefer(engines, self._rate_limits(), model)
            loaded = adapters.find_engine(engines, model, adapter)
            if loaded is not None:
                await self._wait_for_adapter(loaded, model, adapter)
                return loaded.server.server_id
            placement = adapters.place(
                engines,
                model,
                adapter,
                self._utilization,
                self._demand.used_at,
                self._clock.now() - ADAPTER_IDLE_SECONDS,
            )
            if placement is None:
                await anyio.sleep(SEARCH_RETRY_SECONDS)
                continue
            for order in placement.orders:
                if not await self._send_order(group, placement.engine, order):
                    break
        return ''

    def _usable(self, group: groups.EngineGroup, server_id: str) -> bool:
        server = self._registry.get(server_id)
        now = self._clock.now()
        return (
            server is not None
            and not server.leaving
            and not server.ejected(now)
            and not server.paused(now)
            and server_id not in group.unreachable
        )

    async def _wait_for_adapter(
        self, engine: engine_contents.EngineContents, model: str, adapter: str
    ) -> None:
        """Wait for the assumed load time if an adapter is being loaded."""
        key = adapters.AdapterKey(engine.server.server_id, model, adapter)
        self._demand.record_use(key, self._clock.now())
        if (model, adapter) in engine.loading_adapters:
            await anyio.sleep(ADAPTER_LOAD_SECONDS)
            engine.on_adapter_loaded(model, adapter)

    def _utilization(self, engine: engine_contents.EngineContents) -> float:
        server = self._registry.get(engine.server.server_id)
        if server is None:
            return 1.0
        load = server.load(self._clock.now()) / engine.spec.slots
        return min(1.0, load) + ADAPTER_UTILIZATION * len(engine.adapters)

    def _group(
        self, name: str, spec: routes_api.EngineSpec, now: float
    ) -> groups.EngineGroup:
        group = self._groups.get(name)
        if group is None:
            window = self._settings.ceiling_window_seconds
            limit = ceiling.LoadCeiling(
                int(spec.loads_per_second * window), UNSEEN_LOADS, window, now
            )
            group = self._groups[name] = groups.EngineGroup(limit)
        return group

    def _start_reports(
        self, group: groups.EngineGroup, now: float, tasks: anyio.abc.TaskGroup
    ) -> None:
        for server_id, engine in group.engines.items():
            due = group.report_due.get(server_id, now)
            if now < due or server_id in group.reports_in_flight:
                continue
            server = self._registry.get(server_id)
            if server is not None and server.paused(now):
                continue
            group.reports_in_flight.add(server_id)
            tasks.start_soon(self._read_report, group, engine)

    async def _read_report(
        self, group: groups.EngineGroup, engine: engine_contents.EngineContents
    ) -> None:
        server_id = engine.server.server_id
        began = self._clock.now()
        number = engine.order_number
        result = await self._calls.report(
            engine.server, began + CALL_TIMEOUT_SECONDS
        )
        group.reports_in_flight.discard(server_id)
        now = self._clock.now()
        if result.is_ok() and engine.order_number == number:
            engine.observe(result.ok)
            self._update_loaded(group, engine, now)
        self._update_reachability(
            group, server_id, result.error if result.is_error() else ''
        )
        settled = engine.known and not engine.busy
        settled = settled and server_id not in group.unreachable
        pause = (
            REPORT_INTERVAL_SECONDS
            if settled
            else BUSY_REPORT_INTERVAL_SECONDS
        )
        group.report_due[server_id] = now + pause

    def _update_reachability(
        self, group: groups.EngineGroup, server_id: str, error: str
    ) -> None:
        """Record whether an engine answers; it is not used if it does not."""
        if not error:
            if server_id in group.unreachable:
                group.unreachable.discard(server_id)
                _LOG.write('engine_answers', server=server_id)
        elif server_id not in group.unreachable:
            group.unreachable.add(server_id)
            _LOG.write('engine_silent', server=server_id, reason=error)

    def _update_loaded(
        self,
        group: groups.EngineGroup,
        engine: engine_contents.EngineContents,
        now: float,
    ) -> None:
        """Update the loaded models that this instance routes by."""
        server = self._registry.get(engine.server.server_id)
        if server is not None and engine.known:
            server.update_loaded(group.servable(engine), now)

    def _start_planned_orders(
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
        demand = self._demand.demand(name, now)
        at_version = self._demand.version_demand(name, now)

        def running(server_id: str, model: str) -> int:
            return self._demand.requests(server_id, model)

        orders = group.planner.plan(
            engines, demand, running, now, at_version, self._rate_limits()
        )
        for engine, order in orders:
            if not group.within_load_rate(engine, order, now):
                continue
            _LOG.write(
                'planned',
                server=engine.server.server_id,
                order=type(order).__name__,
                model=order.model,
                demand=[
                    round(item, 1)
                    for item in demand.get(order.model, served.NO_DEMAND)
                ],
            )
            tasks.start_soon(self._send_order, group, engine, order)

    async def _send_order(
        self,
        group: groups.EngineGroup,
        engine: engine_contents.EngineContents,
        order: residency_api.Order,
    ) -> bool:
        """Send an order if it is permitted; return whether it took effect."""
        now = self._clock.now()
        if not engine.permits(order) or not self._ownership.may_order(now):
            return False
        number = engine.begin_order(order)
        answer = residency_api.OrderAnswer.UNKNOWN
        try:
            answer = await self._calls.order(
                engine.server,
                order,
                number,
                self._ownership.fence,
                now + ORDER_TIMEOUT_SECONDS,
            )
        finally:
            engine.on_answer(answer)
        server_id = engine.server.server_id
        group.report_due[server_id] = self._clock.now()
        if answer is residency_api.OrderAnswer.STALE_FENCE:
            self._ownership.on_superseded()
        kind = type(order).__name__
        self._metrics.ordered(kind, answer.value)
        _LOG.write(
            'order',
            server=server_id,
            order=kind,
            model=order.model,
            adapter=getattr(order, 'adapter', ''),
            number=number,
            fence=self._ownership.fence,
            answer=answer.value,
        )
        server = self._registry.get(server_id)
        if server is not None and engine.known:
            server.update_loaded(group.servable(engine), self._clock.now())
        return answer in (
            residency_api.OrderAnswer.ACCEPTED,
            residency_api.OrderAnswer.HOLDS_ALREADY,
        )
