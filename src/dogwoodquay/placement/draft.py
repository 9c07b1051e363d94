"""Builds a plan move by move, and checks whether each move is allowed."""

from __future__ import annotations

import typing

from . import api
from . import state

if typing.TYPE_CHECKING:
    from . import history
    from ..records import api as records_api

__all__ = ['Draft', 'PlannerSettings']


class PlannerSettings(typing.NamedTuple):
    """Parameters of the planner that the policy record does not hold.

    Load up to ``target_load`` has no congestion cost. ``move_cost`` is the
    cost of one move, in the unit of the congestion cost, at a
    ``move_weight`` of one. A surplus replica stays for at least
    ``residence_seconds``. A load or unload that takes longer than
    ``pending_timeout_seconds`` is no longer waited for.
    """

    target_load: float = 0.7
    move_cost: float = 0.1
    residence_seconds: float = 30.0
    pending_timeout_seconds: float = 120.0
    max_hot_artifacts: int = 24
    max_target_servers: int = 8
    evaluations_per_slice: int = 120


class Draft:
    """A plan under construction: its moves, and the state they lead to.

    ``load_budget`` is how many more loads the plan may contain.
    """

    def __init__(
        self,
        pool: state.PoolState,
        policy: records_api.Policy,
        settings: PlannerSettings,
        move_history: history.MoveHistory,
        frozen: frozenset[str],
        now: float,
    ) -> None:
        self.pool = pool
        self.policy = policy
        self.settings = settings
        self.now = now
        self.load_budget = 0
        self.moves: list[api.Move] = []
        self.infeasible: list[api.Infeasible] = []
        self._history = move_history
        self._frozen = frozen
        self._evaluations = 0
        self._largest_bytes = max(
            (item.memory_bytes for item in pool.artifacts.values()), default=0
        )
        self._pending_free_bytes: dict[str, int] = {}
        self._dependents = _adapters_by_base(pool)

    def count_evaluations(self, count: int) -> None:
        """Count evaluations, of some microseconds each, for the slice."""
        self._evaluations += count

    def ends_slice(self, count: int = 1) -> bool:
        """Count evaluations, and return whether the slice has to end."""
        self.count_evaluations(count)
        if self._evaluations < self.settings.evaluations_per_slice:
            return False
        self._evaluations = 0
        return True

    def is_frozen(self, artifact: str) -> bool:
        """Return whether a freeze window forbids moving an artifact."""
        return artifact.rpartition('@')[0] in self._frozen

    def pending_free_bytes(self, server: state.ServerPlan) -> int:
        """Return the bytes that pending unloads on a server will free."""
        return self._pending_free_bytes.get(server.server_id, 0)

    def add_pending_free(self, server: state.ServerPlan, memory: int) -> None:
        """Add the size of a pending unload on a server."""
        self._pending_free_bytes[server.server_id] = (
            self.pending_free_bytes(server) + memory
        )

    def load(
        self, server: state.ServerPlan, artifact: str, reason: str
    ) -> None:
        """Add a load to the plan; it has to fit into the free memory."""
        item = self.pool.artifacts[artifact]
        self.pool.add(server, artifact)
        self.load_budget -= 1
        self.moves.append(
            api.Move(
                api.MoveKind.LOAD,
                server.server_id,
                artifact,
                item.memory_bytes,
                item.base,
                reason,
            )
        )

    def unload(
        self, server: state.ServerPlan, artifact: str, reason: str
    ) -> None:
        """Add an unload to the plan; ``can_unload`` has to allow it."""
        memory = server.contents.possible[artifact]
        item = self.pool.artifacts.get(artifact)
        self.pool.remove(server, artifact)
        self.add_pending_free(server, memory)
        self._history.record_unload(server.server_id, artifact, self.now)
        self.moves.append(
            api.Move(
                api.MoveKind.UNLOAD,
                server.server_id,
                artifact,
                memory,
                item.base if item else '',
                reason,
            )
        )

    def can_unload(self, server: state.ServerPlan, artifact: str) -> bool:
        """Return whether a replica can be unloaded without an outage.

        Another replica has to be ready, or the successor of a version that
        is being replaced, and no adapter on the server may depend on it.
        """
        if artifact not in server.ready or self.is_frozen(artifact):
            return False
        if self.dependent_adapters(server, artifact):
            return False
        item = self.pool.artifacts.get(artifact)
        if item is None:
            return True
        if item.successor and self.pool.ready(item.successor):
            return True
        others = self.pool.ready(artifact)
        return any(other is not server for other in others)

    def is_spare(self, server: state.ServerPlan, artifact: str) -> bool:
        """Return whether a replica can be evicted now."""
        return self._is_surplus(server, artifact) and self.can_unload(
            server, artifact
        )

    def spare_group(
        self, server: state.ServerPlan, artifact: str
    ) -> list[str]:
        """Return a replica with its adapters, adapters first.

        The list is empty unless all of them can be evicted.
        """
        if not self._is_surplus(server, artifact):
            return []
        adapters = self.dependent_adapters(server, artifact)
        if not adapters:
            return [artifact] if self.can_unload(server, artifact) else []
        if self.is_frozen(artifact) or artifact not in server.ready:
            return []
        if len(self.pool.ready(artifact)) < 2:
            return []
        if not all(self.is_spare(server, name) for name in adapters):
            return []
        return [*adapters, artifact]

    def dependent_adapters(
        self, server: state.ServerPlan, artifact: str
    ) -> list[str]:
        """Return the adapters in a server's memory that need a base."""
        successor = ''
        item = self.pool.artifacts.get(artifact)
        if item is not None:
            successor = item.successor
        adapters = self._dependents.get(artifact, [])
        adapters = adapters + self._dependents.get(successor, [])
        return [name for name in adapters if server.may_contain(name)]

    def has_base(self, server: state.ServerPlan, artifact: str) -> bool:
        """Return whether a server has the base that an artifact needs.

        Models need none.
        """
        base = self.pool.artifacts[artifact].base
        if not base:
            return True
        return base in server.ready and self.pool.has_only_base(server, base)

    def keeps_headroom(self, server: state.ServerPlan, memory: int) -> bool:
        """Return whether the largest artifact still fits after a load.

        It fits if a server has the memory free, or can free it by evicting
        surplus replicas. The headroom lets later plans move artifacts.
        """
        for other in self.pool.staying:
            free = other.free_bytes - (memory if other is server else 0)
            if free >= self._largest_bytes:
                return True
            if free + self._spare_bytes(other) >= self._largest_bytes:
                return True
        return False

    def report_infeasible(
        self, artifact: str, reason: str, needed: int
    ) -> None:
        """Record an artifact that cannot be placed as required."""
        free = max((item.free_bytes for item in self.pool.staying), default=0)
        self.infeasible.append(api.Infeasible(artifact, reason, needed, free))

    def _is_surplus(self, server: state.ServerPlan, artifact: str) -> bool:
        """Return whether a replica is not needed.

        That holds for undeclared and replaced versions, and for a replica
        beyond the declared minimum once its residence time has passed.
        """
        item = self.pool.artifacts.get(artifact)
        if item is None or item.successor:
            return True
        if len(self.pool.ready(artifact)) <= item.min_replicas:
            return False
        resident = self._history.ready_seconds(
            server.server_id, artifact, self.now
        )
        return resident >= self.settings.residence_seconds

    def _spare_bytes(self, server: state.ServerPlan) -> int:
        return sum(
            server.contents.possible[artifact]
            for artifact in server.ready
            if self.is_spare(server, artifact)
        )


def _adapters_by_base(pool: state.PoolState) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for item in pool.artifacts.values():
        if item.base:
            found.setdefault(item.base, []).append(item.artifact)
    return found
