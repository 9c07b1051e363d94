"""The planner that weighs deadline attainment against the cost of moves."""

from __future__ import annotations

import typing

from . import api
from . import desired
from . import draft as drafts
from . import history
from . import reachability
from . import retire
from . import scale
from . import state

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['CostPlanner', 'add_pending_moves']


class CostPlanner:
    """Plans the moves of one pool; see ``api.Planner``.

    A plan contains only loads that fit beside everything that may be in
    memory now. Where a load needs an unload first, this plan contains the
    unload, and a later one the load, once the memory is known to be free.
    A planner keeps the move history of its pool, so each pool needs its own.
    """

    def __init__(self, settings: drafts.PlannerSettings | None = None) -> None:
        self._settings = settings or drafts.PlannerSettings()
        self._history = history.MoveHistory(
            self._settings.pending_timeout_seconds
        )

    def plan(
        self, planner_input: api.PlannerInput, now: float
    ) -> abc.Iterator[api.Plan | None]:
        """Yield ``None`` after each slice of work, and finally the plan."""
        catalog = planner_input.catalog
        artifacts = desired.declared_artifacts(catalog, planner_input.pool)
        yield None
        needs = desired.needs(catalog, artifacts, planner_input.demand)
        yield None
        self._history.observe(planner_input.servers, now)
        yield None
        pool = state.PoolState(planner_input.servers, artifacts, needs)
        draft = drafts.Draft(
            pool,
            catalog.policy,
            self._settings,
            self._history,
            desired.frozen_names(catalog, now),
            now,
        )
        add_pending_moves(draft, self._history)
        yield None
        yield from pool.find_replicas()
        yield None
        pool.rebalance()
        yield None
        parallel = catalog.policy.parallel_loads
        draft.load_budget = parallel - planner_input.loads_running
        yield from reachability.load_missing(draft)
        yield None
        yield from reachability.load_minimum(draft)
        yield None
        yield from scale.load_for_demand(draft)
        yield None
        yield from retire.unload_retired(draft)
        yield api.Plan(tuple(draft.moves), tuple(draft.infeasible))


def add_pending_moves(
    draft: drafts.Draft, move_history: history.MoveHistory
) -> None:
    """Add the loads and unloads in progress to a new draft."""
    for server in draft.pool.servers:
        for artifact, size in server.contents.possible.items():
            server_id = server.server_id
            if move_history.is_unload_pending(server_id, artifact):
                server.ready.discard(artifact)
                draft.add_pending_free(server, size)
            elif artifact in server.ready:
                continue
            elif move_history.is_loading(server_id, artifact, draft.now):
                draft.pool.add_loading(server, artifact)
