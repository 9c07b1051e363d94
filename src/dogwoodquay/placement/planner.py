"""The planner that weighs attainment against the cost of moves."""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['CostPlanner', 'PlannerSettings']


class PlannerSettings(typing.NamedTuple):
    """What the planner weighs besides the policy record."""

    target_utilization: float = 0.7


class CostPlanner:
    """Plans the moves of one pool; see ``api.Planner``."""

    def __init__(self, settings: PlannerSettings | None = None) -> None:
        self._settings = settings or PlannerSettings()

    def plan(
        self, planner_input: api.PlannerInput, now: float
    ) -> abc.Iterator[api.Plan | None]:
        """Yield ``None`` after each slice of work, and last the plan."""
        raise NotImplementedError
