"""Simple planners to measure the planner against."""

from __future__ import annotations

import typing

from . import api
from . import draft as drafts
from . import memory
from . import planner
from . import reach
from . import room
from . import state
from . import wanted

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['StaticPlanner', 'without_move_cost']


class StaticPlanner:
    """Fills the memory evenly, whatever the demand, and then stays.

    It loads again only what no server has any more.
    """

    def __init__(self) -> None:
        self._settings = drafts.PlannerSettings()
        self._past = memory.MoveMemory(self._settings.patience_seconds)

    def plan(
        self, planner_input: api.PlannerInput, now: float
    ) -> abc.Iterator[api.Plan | None]:
        """Yield ``None`` after each slice of work, and last the plan."""
        catalog = planner_input.catalog
        artifacts = wanted.declared(catalog, planner_input.pool)
        needs = dict.fromkeys(artifacts, 0.0)
        self._past.observe(planner_input.servers, now)
        pool = state.PoolState(planner_input.servers, artifacts, needs)
        draft = drafts.Draft(
            pool, catalog.policy, self._settings, self._past, frozenset(), now
        )
        planner.note_pending(draft, self._past)
        yield from pool.settle()
        parallel = catalog.policy.parallel_loads
        draft.budget = parallel - planner_input.loads_running
        yield from reach.load_missing(draft)
        yield from reach.load_minimum(draft)
        yield from self._fill(draft)
        yield api.Plan(tuple(draft.moves), tuple(draft.infeasible))

    def _fill(self, draft: drafts.Draft) -> abc.Iterator[None]:
        """Add replicas, those with the fewest first, while memory lasts."""
        pool = draft.pool
        items = sorted(
            pool.artifacts.values(),
            key=lambda item: len(pool.replicas(item.artifact)),
        )
        for item in items:
            if draft.budget <= 0:
                return
            server = room.best_server(draft, item)
            if server is not None and not item.successor:
                draft.load(server, item.artifact, 'fill')
            yield None


def without_move_cost() -> planner.CostPlanner:
    """Return a planner to which moves cost nothing."""
    settings = drafts.PlannerSettings(move_cost=0.0, residence_seconds=0.0)
    return planner.CostPlanner(settings)
