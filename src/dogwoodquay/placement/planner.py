"""The planner that weighs attainment against the cost of moves."""

from __future__ import annotations

import typing

from . import api
from . import draft as drafts
from . import memory
from . import reach
from . import retire
from . import scale
from . import state
from . import wanted

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['CostPlanner', 'note_pending']


class CostPlanner:
    """Plans the moves of one pool; see ``api.Planner``.

    A plan holds only loads that fit beside all that may be in memory now.
    A load that needs an unload first comes with a later plan, once the
    memory is known to be free. One planner serves one pool, and remembers
    the moves that its last plans asked for.
    """

    def __init__(self, settings: drafts.PlannerSettings | None = None) -> None:
        self._settings = settings or drafts.PlannerSettings()
        self._past = memory.MoveMemory(self._settings.patience_seconds)

    def plan(
        self, planner_input: api.PlannerInput, now: float
    ) -> abc.Iterator[api.Plan | None]:
        """Yield ``None`` after each slice of work, and last the plan."""
        catalog = planner_input.catalog
        artifacts = wanted.declared(catalog, planner_input.pool)
        yield None
        needs = wanted.needs(catalog, artifacts, planner_input.demand)
        yield None
        self._past.observe(planner_input.servers, now)
        yield None
        pool = state.PoolState(planner_input.servers, artifacts, needs)
        draft = drafts.Draft(
            pool,
            catalog.policy,
            self._settings,
            self._past,
            wanted.frozen(catalog, now),
            now,
        )
        note_pending(draft, self._past)
        yield None
        yield from pool.settle()
        yield None
        pool.rebalance()
        yield None
        parallel = catalog.policy.parallel_loads
        draft.budget = parallel - planner_input.loads_running
        yield from reach.load_missing(draft)
        yield None
        yield from reach.load_minimum(draft)
        yield None
        yield from scale.load_for_demand(draft)
        yield None
        yield from retire.unload_retired(draft)
        yield api.Plan(tuple(draft.moves), tuple(draft.infeasible))


def note_pending(draft: drafts.Draft, past: memory.MoveMemory) -> None:
    """Count loads and unloads under way in a new draft."""
    for server in draft.pool.servers:
        for artifact, size in server.contents.possible.items():
            server_id = server.server_id
            if past.is_withdrawn(server_id, artifact):
                server.ready.discard(artifact)
                draft.note_freeing(server, size)
            elif artifact in server.ready:
                continue
            elif past.is_coming(server_id, artifact, draft.now):
                draft.pool.note_coming(server, artifact)
