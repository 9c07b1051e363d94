"""A simulated pool for the tests of the planner."""

from __future__ import annotations

import typing

from dogwoodquay.placement import api
from dogwoodquay.records import api as records

GIGABYTE = 10**9
POOL = 'pool'


class FakePool:
    """Simulated servers that execute the moves of plans.

    ``violations`` lists each point of a plan at which the possible contents
    exceed a server's memory, an adapter is loaded without its base, or a
    declared artifact has lost its last ready replica.
    """

    def __init__(
        self, capacities: typing.Sequence[int], failure_domain_count: int = 3
    ) -> None:
        self.ready: dict[str, set[str]] = {}
        self.possible: dict[str, dict[str, int]] = {}
        self.capacity: dict[str, int] = {}
        self.failure_domain: dict[str, str] = {}
        self.leaving: set[str] = set()
        self.violations: list[str] = []
        self.move_count = 0
        for index, capacity in enumerate(capacities):
            name = f's{index}'
            self.ready[name] = set()
            self.possible[name] = {}
            self.capacity[name] = capacity
            self.failure_domain[name] = f'd{index % failure_domain_count}'

    def servers_with(self, artifact: str) -> list[str]:
        """Return the servers on which an artifact is ready."""
        return [name for name in self.ready if artifact in self.ready[name]]

    def make_ready(self, server: str, artifact: str, size: int) -> None:
        """Make an artifact ready without a move."""
        self.ready[server].add(artifact)
        self.possible[server][artifact] = size

    def input(
        self,
        catalog: records.Catalog,
        demand: tuple[api.Demand, ...] = (),
        loads_running: int = 0,
    ) -> api.PlannerInput:
        """Return the planner's input for the current state."""
        servers = tuple(
            api.Contents(
                name,
                self.failure_domain[name],
                self.capacity[name],
                name in self.leaving,
                frozenset(self.ready[name]),
                dict(self.possible[name]),
            )
            for name in self.ready
        )
        return api.PlannerInput(POOL, catalog, servers, demand, loads_running)

    def step(
        self,
        planner: api.Planner,
        catalog: records.Catalog,
        demand: tuple[api.Demand, ...],
        now: float,
    ) -> api.Plan:
        """Make a plan, execute all of its moves, and check the state."""
        before = {name: set(ready) for name, ready in self.ready.items()}
        result = plan(planner, self.input(catalog, demand), now)
        for move in result.moves:
            self.start(move)
        for move in result.moves:
            self._end(move)
        self._check_reachable(before, catalog)
        self.move_count += len(result.moves)
        return result

    def start(self, move: api.Move) -> None:
        """Start a move; an unload's memory stays charged until it ends."""
        contents = self.possible[move.server_id]
        if move.kind is api.MoveKind.LOAD:
            if move.artifact in contents:
                self.violations.append(f'still in memory before {move}')
            contents[move.artifact] = move.memory_bytes
            if move.base and move.base not in self.ready[move.server_id]:
                self.violations.append(f'no base for {move}')
            if sum(contents.values()) > self.capacity[move.server_id]:
                self.violations.append(f'too much memory after {move}')
            return
        self.ready[move.server_id].remove(move.artifact)

    def _end(self, move: api.Move) -> None:
        if move.kind is api.MoveKind.LOAD:
            self.ready[move.server_id].add(move.artifact)
        else:
            del self.possible[move.server_id][move.artifact]

    def _check_reachable(
        self, before: dict[str, set[str]], catalog: records.Catalog
    ) -> None:
        """Record the declared artifacts that a plan made unreachable."""
        declared = [
            records.artifact_id(item.name, item.version)
            for group in (catalog.models, catalog.adapters)
            for item in group.values()
            if item.name not in catalog.rollouts
        ]
        for artifact in declared:
            had = any(artifact in names for names in before.values())
            if had and not self.servers_with(artifact):
                self.violations.append(f'{artifact} became unreachable')


def plan(
    planner: api.Planner, planner_input: api.PlannerInput, now: float
) -> api.Plan:
    """Run all slices, and return the plan."""
    last = None
    for last in planner.plan(planner_input, now):
        pass
    assert last is not None
    return last


def catalog(
    sizes: typing.Sequence[int],
    adapters: typing.Sequence[int] = (),
    policy: records.Policy | None = None,
    rollouts: dict[str, records.Rollout] | None = None,
    min_replicas: int = 1,
) -> records.Catalog:
    """Return a catalog with models ``m0...`` and adapters ``a0...``.

    :param sizes: the models' sizes in bytes.
    :param adapters: the number of the base model for each adapter.
    """
    models = {
        f'm{n}': records.Model(f'm{n}', '1', size, POOL, min_replicas)
        for n, size in enumerate(sizes)
    }
    found = {
        f'a{n}': records.Adapter(f'a{n}', '1', f'm{base}', GIGABYTE)
        for n, base in enumerate(adapters)
    }
    return records.Catalog(
        models=models,
        adapters=found,
        rollouts=rollouts or {},
        pools={POOL: records.Pool(POOL, ())},
        policy=policy or records.Policy(),
    )


def demand(**servers: float) -> tuple[api.Demand, ...]:
    """Return demand that keeps the given number of servers busy, by model."""
    return tuple(
        api.Demand(f'{name}@1', busy * 20.0, busy * 2000.0, 0)
        for name, busy in servers.items()
    )
