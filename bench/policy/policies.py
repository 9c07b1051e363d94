"""The policies to compare: baselines and this project's own versions."""

from __future__ import annotations

import functools
import typing

from dogwoodquay.placement import baselines as placement_baselines
from dogwoodquay.placement import planner
from dogwoodquay.routing import baselines as routing_baselines
from dogwoodquay.routing import router


class Policy(typing.NamedTuple):
    """A router for each instance and a planner for the owner."""

    name: str
    router: typing.Callable[[str], typing.Any]
    planner: typing.Callable[[], typing.Any]


_ALL = (
    Policy(
        'static_round_robin',
        lambda domain: routing_baselines.RoundRobinRouter(),
        placement_baselines.StaticPlanner,
    ),
    Policy(
        'static_least_reported',
        lambda domain: routing_baselines.LeastReportedRouter(),
        placement_baselines.StaticPlanner,
    ),
    Policy(
        'no_move_cost',
        router.ScoringRouter,
        placement_baselines.without_move_cost,
    ),
    *(
        Policy(
            f'routing_v{number}',
            functools.partial(router.ScoringRouter, settings=settings),
            planner.CostPlanner,
        )
        for number, settings in routing_baselines.VERSIONS.items()
    ),
    Policy('own', router.ScoringRouter, planner.CostPlanner),
)

POLICIES = {item.name: item for item in _ALL}
BASELINES = ('static_round_robin', 'static_least_reported')
