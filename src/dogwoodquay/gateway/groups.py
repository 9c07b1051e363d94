"""Engines that are planned together, and the calls to them."""

from __future__ import annotations

import typing

from ..residency import api as residency_api
from ..residency import contents as engine_contents
from ..residency import loads
from ..residency import planner as planners

if typing.TYPE_CHECKING:
    from collections import abc

    import expression

    from ..fleet import api as fleet_api
    from ..residency import ceiling
    from ..routes import api as routes_api

__all__ = ['EngineCalls', 'EngineGroup']


class EngineCalls(typing.Protocol):
    """Reads reports of engines and sends orders to them."""

    async def report(
        self, server: fleet_api.ServerEntry, deadline: float
    ) -> expression.Result[residency_api.EngineReport, str]:
        """Return an engine's report."""

    async def order(
        self,
        server: fleet_api.ServerEntry,
        order: residency_api.Order,
        order_number: int,
        fence: int,
        deadline: float,
    ) -> residency_api.OrderAnswer:
        """Send an order and return the engine's answer."""


class EngineGroup:
    """The engines of one service, their planner and their reports.

    ``report_due`` is when the next report of each engine is due,
    ``reports_in_flight`` the engines whose reports are being read and
    ``unreachable`` those that did not answer the last call. ``ready_at`` is
    when a load is expected to end, by server and model.
    """

    def __init__(self, limit: ceiling.LoadCeiling) -> None:
        self.engines: dict[str, engine_contents.EngineContents] = {}
        self.planner = planners.ModelPlanner()
        self.ceiling = limit
        self.report_due: dict[str, float] = {}
        self.reports_in_flight: set[str] = set()
        self.unreachable: set[str] = set()
        self.ready_at: dict[tuple[str, str], float] = {}

    def update_engines(
        self,
        entries: abc.Iterable[fleet_api.ServerEntry],
        spec: routes_api.EngineSpec,
    ) -> None:
        """Keep one ``EngineContents`` for each process of an engine.

        :param entries: the entries of all engines of the service.
        """
        listed = {entry.server_id: entry for entry in entries}
        for server_id, entry in listed.items():
            known = self.engines.get(server_id)
            if known is None:
                self.engines[server_id] = engine_contents.EngineContents(
                    entry, spec
                )
            elif known.server.started_ms != entry.started_ms:
                self.engines[server_id] = engine_contents.EngineContents(
                    entry, spec, known.unresolved_orders
                )
                self.report_due.pop(server_id, None)
            else:
                known.update_server(entry, spec)
        for server_id in set(self.engines) - set(listed):
            del self.engines[server_id]

    def servable(
        self, engine: engine_contents.EngineContents
    ) -> dict[str, frozenset[str]]:
        """Return the models and adapters for which an engine gets requests.

        Models that the planner is about to unload are left out.
        """
        withdrawn = self.planner.models_to_unload(engine.server.server_id)
        return {
            model: adapters
            for model, adapters in engine.models().items()
            if model not in withdrawn
        }

    def loading_models(self, now: float) -> dict[str, float]:
        """Return when the models that no engine can serve will be ready.

        A load that another instance started counts from the time when it is
        first seen.
        """
        servable: set[str] = set()
        loading: dict[str, float] = {}
        ready_at_by_load: dict[tuple[str, str], float] = {}
        for server_id, engine in self.engines.items():
            servable.update(self.servable(engine))
            model = engine.loading_model
            if not model or server_id in self.unreachable:
                continue
            latest = now + loads.load_seconds(engine, model)
            ready_at = self.ready_at.get((server_id, model), latest)
            ready_at_by_load[server_id, model] = ready_at
            loading[model] = min(loading.get(model, ready_at), ready_at)
        self.ready_at = ready_at_by_load
        return {
            model: ready_at
            for model, ready_at in loading.items()
            if model not in servable
        }

    def within_load_rate(
        self,
        engine: engine_contents.EngineContents,
        order: residency_api.Order,
        now: float,
    ) -> bool:
        """Whether an order is within the load rate of the weight store.

        Loads from an engine's own memory or disk do not count.
        """
        if not isinstance(order, residency_api.LoadModel):
            return True
        report = engine.report
        if report is not None and (
            order.model in report.in_memory or order.model in report.on_disk
        ):
            return True
        return self.ceiling.take(now)
