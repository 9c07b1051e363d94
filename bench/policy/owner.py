"""A simulated owner of the pool, whose moves take time."""

from __future__ import annotations

import collections
import typing

from bench.policy import workloads
from dogwoodquay.placement import api as placement_api
from dogwoodquay.pools import api as pools_api
from dogwoodquay.records import api as records

PLAN_SECONDS = 2.0
STORE_BYTES_PER_SECOND = 2.0 * workloads.GIGABYTE
UNLOAD_SECONDS = 1.0


class Owner:
    """Plans the pool and executes the moves on the simulated engines."""

    def __init__(self, world: typing.Any, planner: typing.Any) -> None:
        self.moves: collections.Counter[str] = collections.Counter()
        self.violations = 0
        self.unreachable_seconds = 0.0
        self.demand: tuple[placement_api.Demand, ...] = ()
        self.throughputs: dict[str, float] = {}
        self._world = world
        self._planner = planner
        self._version = 0
        self._loading: dict[tuple[str, str], bool] = {}
        self._store_free_at = workloads.START

    def artifacts(self) -> list[str]:
        """Return all declared artifacts."""
        artifacts = [
            records.artifact_id(item.name, item.version)
            for group in (
                self._world.catalog.models,
                self._world.catalog.adapters,
            )
            for item in group.values()
        ]
        for item in self._world.catalog.rollouts.values():
            artifacts.append(records.artifact_id(item.target, item.version))
        return artifacts

    def view(self) -> pools_api.PoolView:
        """Return the pool state to publish to the instances."""
        self._version += 1
        return pools_api.PoolView(
            'pool',
            'i0',
            1,
            self._version,
            tuple(
                pools_api.ServerView(
                    server.server_id,
                    '127.0.0.1',
                    1,
                    server.failure_domain,
                    False,
                    tuple(
                        pools_api.ArtifactView(artifact, True)
                        for artifact in sorted(server.ready)
                    ),
                )
                for server in self._world.engines.values()
                if server.alive
            ),
        )

    def _plan(self, now: float) -> placement_api.Plan:
        contents = tuple(
            placement_api.Contents(
                server.server_id,
                server.failure_domain,
                server.capacity,
                False,
                frozenset(server.ready),
                dict(server.possible),
                self.throughputs.get(server.server_id, 1.0),
            )
            for server in self._world.engines.values()
            if server.alive
        )
        planner_input = placement_api.PlannerInput(
            'pool',
            self._world.catalog,
            contents,
            self.demand,
            len(self._loading),
        )
        plan = None
        for plan in self._planner.plan(planner_input, now):
            pass
        assert plan is not None
        return plan

    def place_initially(self, now: float) -> None:
        """Place artifacts for the initial rates, without counting moves."""
        rates = self._world.source.rates(now)
        self.demand = tuple(
            placement_api.Demand(f'{name}@1', rate, rate * 160.0, 0)
            for name, rate in rates.items()
        )
        for step in range(200):
            plan = self._plan(now - 2000.0 + step * 10.0)
            for move in plan.moves:
                server = self._world.engines[move.server_id]
                if move.kind is placement_api.MoveKind.LOAD:
                    server.possible[move.artifact] = move.memory_bytes
                    server.ready.add(move.artifact)
                    self._check_memory(server)
                else:
                    server.ready.discard(move.artifact)
                    server.possible.pop(move.artifact, None)
            if not plan.moves:
                return

    def plan_tick(self, now: float) -> None:
        """Plan, start the moves and add up the time of unreachable models."""
        if now > workloads.START + workloads.SECONDS:
            return
        self._world.schedule(now + PLAN_SECONDS, self.plan_tick)
        if now > workloads.START + PLAN_SECONDS:
            for move in self._plan(now).moves:
                self._start_move(move, now)
        ready = set().union(*(e.ready for e in self._world.engines.values()))
        declared_artifacts = [
            name for name in self.artifacts() if name.endswith('@1')
        ]
        rollout_targets = [
            item.target for item in self._world.catalog.rollouts.values()
        ]
        for artifact in declared_artifacts:
            name = artifact.rpartition('@')[0]
            is_served = artifact in ready
            if name in rollout_targets:
                is_served = is_served or f'{name}@2' in ready
            self.unreachable_seconds += 0.0 if is_served else PLAN_SECONDS

    def _start_move(self, move: placement_api.Move, now: float) -> None:
        """Start a move; loads are limited by the weight store."""
        server = self._world.engines[move.server_id]
        self.moves[move.kind.value] += 1
        incarnation = server.incarnation
        if move.kind is placement_api.MoveKind.UNLOAD:
            server.ready.discard(move.artifact)
            args = (server, move.artifact, incarnation)
            self._world.schedule(
                now + UNLOAD_SECONDS, self._on_unloaded, *args
            )
            return
        server.possible[move.artifact] = move.memory_bytes
        self._check_memory(server)
        begin = max(now, self._store_free_at)
        policy = self._world.catalog.policy
        self._store_free_at = begin + 1.0 / policy.loads_per_second
        self._loading[(server.server_id, move.artifact)] = True
        slowdown = max(1.0, len(self._loading) / policy.parallel_loads)
        seconds = move.memory_bytes * slowdown / STORE_BYTES_PER_SECOND
        args = (server, move.artifact, incarnation)
        self._world.schedule(begin + seconds + 0.5, self._on_loaded, *args)

    def _on_loaded(
        self, now: float, server: typing.Any, artifact: str, incarnation: int
    ) -> None:
        self._loading.pop((server.server_id, artifact), None)
        if server.incarnation == incarnation and server.alive:
            server.ready.add(artifact)

    def _on_unloaded(
        self, now: float, server: typing.Any, artifact: str, incarnation: int
    ) -> None:
        if server.incarnation == incarnation:
            server.possible.pop(artifact, None)

    def _check_memory(self, server: typing.Any) -> None:
        if sum(server.possible.values()) > server.capacity:
            self.violations += 1
