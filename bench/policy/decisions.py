"""Measures the processor time of routing and planning decisions."""

from __future__ import annotations

import random
import time
import typing

import msgspec

from dogwoodquay.placement import api as placement_api
from dogwoodquay.placement import planner
from dogwoodquay.pools import api as pools_api
from dogwoodquay.records import api as records
from dogwoodquay.routing import api as routing_api
from dogwoodquay.routing import router

REPLICAS = (5, 64, 512)
DECISIONS = 5000
IN_FLIGHT = 64
SERVERS = 64
MODELS = 300
ADAPTERS = 410
GIGABYTE = 10**9
PLANS = 200


class Cost(msgspec.Struct, frozen=True):
    """Processor times of a kind of decision, in microseconds."""

    decision: str
    median: float
    p99: float
    longest: float


def routing(replicas: int) -> Cost:
    """Measure choices among replicas, with eight prefix blocks."""
    scoring_router = router.ScoringRouter('d0')
    ready = (pools_api.ArtifactView('m@1', True),)
    servers = tuple(
        pools_api.ServerView(
            f's{n}', '127.0.0.1', 1, f'd{n % 7}', False, ready
        )
        for n in range(replicas)
    )
    scoring_router.update_view(
        pools_api.PoolView('p', 'i', 1, 1, servers), 0.0
    )
    rng = random.Random(1)
    times = []
    for number in range(DECISIONS):
        prompt = rng.randrange(40) * 100
        request = routing_api.RouteRequest(
            f'{number}', 'm@1', 400, 3, 1e9, tuple(range(prompt, prompt + 8))
        )
        now = number * 0.001
        start = time.process_time()
        scoring_router.choose(request, now, rng)
        times.append(time.process_time() - start)
        scoring_router.first_token(f'{number - IN_FLIGHT}', now)
        scoring_router.finished(f'{number - IN_FLIGHT}', True, now)
    return _cost(f'route among {replicas}', times)


def planning() -> list[Cost]:
    """Measure plans of a large pool, initially empty, and their slices."""
    rng = random.Random(1)
    catalog, demand = _large_pool(rng)
    contents: list[dict[str, int]] = [{} for _ in range(SERVERS)]
    cost_planner = planner.CostPlanner()
    plans: list[float] = []
    slices: list[float] = []
    for step in range(PLANS):
        servers = tuple(
            placement_api.Contents(
                f's{n}', f'd{n % 7}', 600 * GIGABYTE, False,
                frozenset(loaded), dict(loaded),
            )
            for n, loaded in enumerate(contents)
        )  # fmt: skip
        planner_input = placement_api.PlannerInput(
            'p', catalog, servers, demand, 0
        )
        start = time.process_time()
        before = start
        plan = None
        for plan in cost_planner.plan(planner_input, step * 10.0):
            now = time.process_time()
            slices.append(now - before)
            before = now
        plans.append(before - start)
        _apply_moves(plan, contents)
    return [_cost('plan', plans), _cost('slice of a plan', slices)]


def _large_pool(
    rng: random.Random,
) -> tuple[records.Catalog, tuple[placement_api.Demand, ...]]:
    models = {
        f'm{n}': records.Model(
            f'm{n}', '1', rng.randint(8, 60) * GIGABYTE, 'p'
        )
        for n in range(MODELS)
    }
    adapters = {
        f'a{n}': records.Adapter(
            f'a{n}', '1', f'm{rng.randrange(MODELS)}', GIGABYTE // 3
        )
        for n in range(ADAPTERS)
    }
    names = [*models, *adapters]
    rng.shuffle(names)
    total = sum(1.0 / (rank + 1) for rank in range(len(names)))
    busiest_rate = 0.6 * SERVERS * 2000.0 / total
    demand = tuple(
        placement_api.Demand(f'{name}@1', 8.0, busiest_rate / (rank + 1), 0)
        for rank, name in enumerate(names)
    )
    return records.Catalog(models=models, adapters=adapters), demand


def _apply_moves(
    plan: placement_api.Plan | None, contents: list[dict[str, int]]
) -> None:
    """Apply all moves of a plan to the contents."""
    if plan is None:
        return
    for move in plan.moves:
        loaded = contents[int(move.server_id[1:])]
        if move.kind is placement_api.MoveKind.LOAD:
            loaded[move.artifact] = move.memory_bytes
        else:
            del loaded[move.artifact]


def _cost(decision: str, times: typing.Sequence[float]) -> Cost:
    ordered = sorted(value * 1e6 for value in times)
    return Cost(
        decision,
        ordered[len(ordered) // 2],
        ordered[int(len(ordered) * 0.99)],
        ordered[-1],
    )


def measure() -> list[Cost]:
    """Measure all kinds of decisions."""
    return [*(routing(count) for count in REPLICAS), *planning()]
