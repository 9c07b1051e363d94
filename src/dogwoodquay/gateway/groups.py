"""Engines that are planned together, and how to speak with them."""

from __future__ import annotations

import typing

from ..residency import planner as planners

if typing.TYPE_CHECKING:
    import expression

    from ..fleet import api as fleet_api
    from ..residency import api as residency_api
    from ..residency import ceiling
    from ..residency import contents as engine_contents

__all__ = ['EngineCalls', 'EngineGroup']


class EngineCalls(typing.Protocol):
    """Reads engines' reports and gives them orders."""

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
        """Give an order."""


class EngineGroup:
    """The engines of one service and what is planned for them.

    ``report_due`` says when each has to be asked again, ``reporting`` which
    are being asked and ``silent`` which did not answer the last time.
    ``ready_at`` is when a load is expected to end, by server and model.
    """

    def __init__(self, limit: ceiling.LoadCeiling) -> None:
        self.engines: dict[str, engine_contents.EngineContents] = {}
        self.planner = planners.ModelPlanner()
        self.ceiling = limit
        self.report_due: dict[str, float] = {}
        self.reporting: set[str] = set()
        self.silent: set[str] = set()
        self.ready_at: dict[tuple[str, str], float] = {}

    def offered(
        self, engine: engine_contents.EngineContents
    ) -> dict[str, frozenset[str]]:
        """Return what requests may be sent for to an engine."""
        withdrawn = self.planner.models_to_unload(engine.server.server_id)
        return {
            model: adapters
            for model, adapters in engine.models().items()
            if model not in withdrawn
        }

    def coming(self, now: float) -> dict[str, float]:
        """Return when the models that no engine offers will be ready.

        A load that this instance did not begin is taken to begin when it is
        first seen.
        """
        offered: set[str] = set()
        coming: dict[str, float] = {}
        loads: dict[tuple[str, str], float] = {}
        for server_id, engine in self.engines.items():
            offered.update(self.offered(engine))
            model = engine.loading_model
            if not model or server_id in self.silent:
                continue
            latest = now + planners.load_seconds(engine, model)
            ready_at = self.ready_at.get((server_id, model), latest)
            loads[server_id, model] = ready_at
            coming[model] = min(coming.get(model, ready_at), ready_at)
        self.ready_at = loads
        return {
            model: ready_at
            for model, ready_at in coming.items()
            if model not in offered
        }
