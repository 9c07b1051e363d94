"""A model engine as the oracle sees it: it does whatever it is told."""

from __future__ import annotations

import dataclasses

from dogwoodquay.external import api as external_api

__all__ = ['EngineModel', 'Reply']


@dataclasses.dataclass
class Resident:
    """One artifact in memory."""

    memory_bytes: int
    order_id: str
    ready: bool = False


@dataclasses.dataclass(frozen=True)
class Reply:
    """What an engine says of an order on its arrival."""

    accepted: bool
    stale: bool = False


class EngineModel:
    """An engine that checks fence, process and order id, and nothing else."""

    def __init__(
        self, capacity: int, fencing: bool, lists_loading: bool
    ) -> None:
        self.capacity = capacity
        self.fencing = fencing
        self.lists_loading = lists_loading
        self.process = 0
        self.fence = 0
        self.residents: dict[str, Resident] = {}
        self.seen: set[str] = set()
        self.done: set[str] = set()

    @property
    def incarnation(self) -> str:
        """The name of the process."""
        return f'p{self.process}'

    @property
    def used(self) -> int:
        """The memory in use."""
        return sum(item.memory_bytes for item in self.residents.values())

    def ready(self, artifact: str) -> bool:
        """Whether an artifact can serve."""
        held = self.residents.get(artifact)
        return held is not None and held.ready

    def state(self) -> external_api.EngineState:
        """Return the contents, loads in progress included if it does that."""
        artifacts = tuple(
            external_api.ArtifactState(
                name, held.memory_bytes, held.ready, held.order_id
            )
            for name, held in self.residents.items()
            if held.ready or self.lists_loading
        )
        return external_api.EngineState(
            self.incarnation,
            self.fence,
            self.capacity,
            artifacts,
            external_api.LoadReport(0.0, 0, 0, 0.0, 0.0),
            lists_loading=self.lists_loading,
        )

    def teach(self, fence: int) -> external_api.EngineState | None:
        """Learn a number; nothing for an old one."""
        if fence < self.fence:
            return None
        self.fence = fence
        return self.state()

    def apply(self, order: external_api.Order) -> Reply:
        """Take an order that arrives."""
        if order.incarnation != self.incarnation:
            return Reply(accepted=False)
        if self.fencing and order.fence < self.fence:
            return Reply(accepted=False, stale=True)
        if self.fencing:
            self.fence = order.fence
        if order.order_id in self.seen:
            return Reply(accepted=True)
        self.seen.add(order.order_id)
        if order.kind is external_api.OrderKind.UNLOAD:
            self.residents.pop(order.artifact, None)
            self.done.add(order.order_id)
        elif order.artifact in self.residents:
            self.done.add(order.order_id)
        else:
            self.residents[order.artifact] = Resident(
                order.memory_bytes, order.order_id
            )
        return Reply(accepted=True)

    def finish(self) -> None:
        """End the loads in progress."""
        for held in self.residents.values():
            held.ready = True
            self.done.add(held.order_id)

    def restart(self, forget: bool) -> None:
        """Begin a new, empty process."""
        self.process += 1
        self.residents.clear()
        self.seen.clear()
        self.done.clear()
        if forget:
            self.fence = 0
