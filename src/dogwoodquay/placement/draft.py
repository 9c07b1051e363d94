"""A plan in the making, with the checks that every move has to pass."""

from __future__ import annotations

import typing

from . import api
from . import state

if typing.TYPE_CHECKING:
    from . import memory
    from ..records import api as records_api

__all__ = ['Draft', 'PlannerSettings']


class PlannerSettings(typing.NamedTuple):
    """What the planner weighs besides the policy record.

    Up to ``target_load`` a busy server costs callers nothing. ``move_cost``
    is what one move costs, in the same measure, at a weight of one.
    """

    target_load: float = 0.7
    move_cost: float = 0.1
    residence_seconds: float = 30.0
    patience_seconds: float = 120.0
    hot_artifacts: int = 24
    cool_servers: int = 8
    slice_evaluations: int = 120


class Draft:
    """The moves so far, over the state that they would lead to."""

    def __init__(
        self,
        pool: state.PoolState,
        policy: records_api.Policy,
        settings: PlannerSettings,
        past: memory.MoveMemory,
        frozen: frozenset[str],
        now: float,
    ) -> None:
        self.pool = pool
        self.policy = policy
        self.settings = settings
        self.now = now
        self.budget = 0
        self.moves: list[api.Move] = []
        self.infeasible: list[api.Infeasible] = []
        self._past = past
        self._frozen = frozen
        self._evaluations = 0
        self._largest = max(
            (item.memory_bytes for item in pool.artifacts.values()), default=0
        )
        self._freeing: dict[str, int] = {}
        self._sitting = _adapters_by_base(pool)

    def spend(self, count: int) -> None:
        """Count evaluations, each of some microseconds."""
        self._evaluations += count

    def evaluated(self, count: int = 1) -> bool:
        """Count evaluations; return whether the slice is used up."""
        self.spend(count)
        if self._evaluations < self.settings.slice_evaluations:
            return False
        self._evaluations = 0
        return True

    def is_frozen(self, artifact: str) -> bool:
        """Return whether a freeze window forbids to move an artifact."""
        return artifact.rpartition('@')[0] in self._frozen

    def freeing(self, server: state.ServerPlan) -> int:
        """Return the bytes that unloads under way will free."""
        return self._freeing.get(server.server_id, 0)

    def note_freeing(self, server: state.ServerPlan, memory: int) -> None:
        """Count bytes that an unload under way will free."""
        self._freeing[server.server_id] = self.freeing(server) + memory

    def load(
        self, server: state.ServerPlan, artifact: str, reason: str
    ) -> None:
        """Ask for a load that fits into the server's free memory."""
        item = self.pool.artifacts[artifact]
        self.pool.add(server, artifact)
        self.budget -= 1
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
        """Ask for an unload that ``may_unload`` allows."""
        memory = server.contents.possible[artifact]
        item = self.pool.artifacts.get(artifact)
        self.pool.remove(server, artifact)
        self.note_freeing(server, memory)
        self._past.note_unload(server.server_id, artifact, self.now)
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

    def may_unload(self, server: state.ServerPlan, artifact: str) -> bool:
        """Return whether callers keep a ready replica, and no adapter sits.

        A version with a successor may go once that one is ready.
        """
        if artifact not in server.ready or self.is_frozen(artifact):
            return False
        if self.sitting(server, artifact):
            return False
        item = self.pool.artifacts.get(artifact)
        if item is None:
            return True
        if item.successor and self.pool.ready(item.successor):
            return True
        others = self.pool.ready(artifact)
        return any(other is not server for other in others)

    def spare(self, server: state.ServerPlan, artifact: str) -> bool:
        """Return whether a replica may go now to make room for another."""
        return self._superfluous(server, artifact) and self.may_unload(
            server, artifact
        )

    def spare_group(
        self, server: state.ServerPlan, artifact: str
    ) -> list[str]:
        """Return a replica and the adapters on it, if all may go."""
        if not self._superfluous(server, artifact):
            return []
        adapters = self.sitting(server, artifact)
        if not adapters:
            return [artifact] if self.may_unload(server, artifact) else []
        if self.is_frozen(artifact) or artifact not in server.ready:
            return []
        if len(self.pool.ready(artifact)) < 2:
            return []
        if not all(self.spare(server, name) for name in adapters):
            return []
        return [*adapters, artifact]

    def sitting(self, server: state.ServerPlan, artifact: str) -> list[str]:
        """Return adapters in a server's memory that need an artifact."""
        successor = ''
        item = self.pool.artifacts.get(artifact)
        if item is not None:
            successor = item.successor
        adapters = self._sitting.get(artifact, [])
        adapters = adapters + self._sitting.get(successor, [])
        return [name for name in adapters if server.holds(name)]

    def fits_base(self, server: state.ServerPlan, artifact: str) -> bool:
        """Return whether a server has the base that an adapter needs."""
        base = self.pool.artifacts[artifact].base
        if not base:
            return True
        return base in server.ready and self.pool.sits_right(server, base)

    def keeps_room(self, server: state.ServerPlan, memory: int) -> bool:
        """Return whether room for one move stays after a load."""
        for other in self.pool.staying:
            free = other.free - (memory if other is server else 0)
            if free >= self._largest:
                return True
            if free + self._spare_bytes(other) >= self._largest:
                return True
        return False

    def report(self, artifact: str, reason: str, needed: int) -> None:
        """Name what does not fit, with the largest free memory."""
        free = max((item.free for item in self.pool.staying), default=0)
        self.infeasible.append(api.Infeasible(artifact, reason, needed, free))

    def _superfluous(self, server: state.ServerPlan, artifact: str) -> bool:
        """Return whether enough others are ready, and it stayed a while."""
        item = self.pool.artifacts.get(artifact)
        if item is None or item.successor:
            return True
        if len(self.pool.ready(artifact)) <= item.min_replicas:
            return False
        resident = self._past.ready_seconds(
            server.server_id, artifact, self.now
        )
        return resident >= self.settings.residence_seconds

    def _spare_bytes(self, server: state.ServerPlan) -> int:
        return sum(
            server.contents.possible[artifact]
            for artifact in server.ready
            if self.spare(server, artifact)
        )


def _adapters_by_base(pool: state.PoolState) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for item in pool.artifacts.values():
        if item.base:
            found.setdefault(item.base, []).append(item.artifact)
    return found
