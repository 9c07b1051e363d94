"""Simple planners that serve as baselines in benchmarks."""

from __future__ import annotations

import typing

from . import api
from . import desired
from . import draft as drafts
from . import headroom
from . import history
from . import planner
from . import reachability
from . import state

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['StaticPlanner', 'without_move_cost']


class StaticPlanner:
    """Fills the free memory with replicas, whatever the demand is.

    Once the memory is full, it only loads artifacts that have no replica
    left or fewer than the declared minimum.
    """

    def __init__(self) -> None:
        self._settings = drafts.PlannerSettings()
        self._history = history.MoveHistory(
            self._settings.pending_timeout_seconds
        )

    def plan(
        self, planner_input: api.PlannerInput, now: float
    ) -> abc.Iterator[api.Plan | None]:
        """Yield ``None`` after each slice of work, and finally the plan."""
        catalog = planner_input.catalog
        artifacts = desired.declared_artifacts(catalog, planner_input.pool)
        needs = dict.fromkeys(artifacts, 0.0)
        self._history.observe(planner_input.servers, now)
        pool = state.PoolState(planner_input.servers, artifacts, needs)
        draft = drafts.Draft(
            pool,
            catalog.policy,
            self._settings,
            self._history,
            frozenset(),
            now,
        )
        planner.add_pending_moves(draft, self._history)
        yield from pool.find_replicas()
        parallel = catalog.policy.parallel_loads
        draft.load_budget = parallel - planner_input.loads_running
        yield from reachability.load_missing(draft)
        yield from reachability.load_minimum(draft)
        yield from self._fill(draft)
        yield api.Plan(tuple(draft.moves), tuple(draft.infeasible))

    def _fill(self, draft: drafts.Draft) -> abc.Iterator[None]:
        """Add one replica of each artifact that fits, rarest first."""
        pool = draft.pool
        items = sorted(
            pool.artifacts.values(),
            key=lambda item: len(pool.replicas(item.artifact)),
        )
        for item in items:
            if draft.load_budget <= 0:
                return
            server = headroom.best_server(draft, item)
            if server is not None and not item.successor:
                draft.load(server, item.artifact, 'fill')
            yield None


def without_move_cost() -> planner.CostPlanner:
    """Return a planner that ignores the cost of moves."""
    settings = drafts.PlannerSettings(move_cost=0.0, residence_seconds=0.0)
    return planner.CostPlanner(settings)
