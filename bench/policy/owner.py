"""The owner of the pool: it plans, and its moves take their time."""

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
    """Plans a world's pool and carries the moves out on its engines."""

    def __init__(self, world: typing.Any, planner: typing.Any) -> None:
        self.moves: collections.Counter[str] = collections.Counter()
        self.violations = 0
        self.unreachable = 0.0
        self.demand: tuple[placement_api.Demand, ...] = ()
        self.speeds: dict[str, float] = {}
        self._world = world
        self._planner = planner
        self._version = 0
        self._loading: dict[tuple[str, str], bool] = {}
        self._store_free_at = workloads.START

    def artifacts(self) -> list[str]:
        """Return all declared artifacts."""
        found = [
            records.artifact_id(item.name, item.version)
            for group in (
                self._world.catalog.models,
                self._world.catalog.adapters,
            )
            for item in group.values()
        ]
        for item in self._world.catalog.rollouts.values():
            found.append(records.artifact_id(item.target, item.version))
        return found

    def view(self) -> pools_api.PoolView:
        """Return what instances are to know of the pool."""
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
                    server.domain,
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
                server.domain,
                server.capacity,
                False,
                frozenset(server.ready),
                dict(server.possible),
                self.speeds.get(server.server_id, 1.0),
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

    def place_first(self, now: float) -> None:
        """Place for the first rates at once; these moves do not count."""
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
                    self._check(server)
                else:
                    server.ready.discard(move.artifact)
                    server.possible.pop(move.artifact, None)
            if not plan.moves:
                return

    def plan_tick(self, now: float) -> None:
        """Plan, start the moves, and look for what is unreachable."""
        if now > workloads.START + workloads.SECONDS:
            return
        self._world.at(now + PLAN_SECONDS, self.plan_tick)
        if now > workloads.START + PLAN_SECONDS:
            for move in self._plan(now).moves:
                self._start(move, now)
        ready = set().union(*(e.ready for e in self._world.engines.values()))
        old = [name for name in self.artifacts() if name.endswith('@1')]
        rolled = [
            item.target for item in self._world.catalog.rollouts.values()
        ]
        for artifact in old:
            name = artifact.rpartition('@')[0]
            served = artifact in ready
            if name in rolled:
                served = served or f'{name}@2' in ready
            self.unreachable += 0.0 if served else PLAN_SECONDS

    def _start(self, move: placement_api.Move, now: float) -> None:
        """Give a move to an engine; loads go through the weight store."""
        server = self._world.engines[move.server_id]
        self.moves[move.kind.value] += 1
        incarnation = server.incarnation
        if move.kind is placement_api.MoveKind.UNLOAD:
            server.ready.discard(move.artifact)
            args = (server, move.artifact, incarnation)
            self._world.at(now + UNLOAD_SECONDS, self._unloaded, *args)
            return
        server.possible[move.artifact] = move.memory_bytes
        self._check(server)
        begin = max(now, self._store_free_at)
        policy = self._world.catalog.policy
        self._store_free_at = begin + 1.0 / policy.loads_per_second
        self._loading[(server.server_id, move.artifact)] = True
        crowd = max(1.0, len(self._loading) / policy.parallel_loads)
        seconds = move.memory_bytes * crowd / STORE_BYTES_PER_SECOND
        args = (server, move.artifact, incarnation)
        self._world.at(begin + seconds + 0.5, self._loaded, *args)

    def _loaded(
        self, now: float, server: typing.Any, artifact: str, inc: int
    ) -> None:
        self._loading.pop((server.server_id, artifact), None)
        if server.incarnation == inc and server.alive:
            server.ready.add(artifact)

    def _unloaded(
        self, now: float, server: typing.Any, artifact: str, inc: int
    ) -> None:
        if server.incarnation == inc:
            server.possible.pop(artifact, None)

    def _check(self, server: typing.Any) -> None:
        if sum(server.possible.values()) > server.capacity:
            self.violations += 1
