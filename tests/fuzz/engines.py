"""A simulated model engine that executes each order it accepts."""

from __future__ import annotations

import dataclasses

from dogwoodquay.external import api as external_api

__all__ = ['EngineModel', 'Reply']


@dataclasses.dataclass
class Resident:
    """An artifact in an engine's memory, loading or ready."""

    memory_bytes: int
    order_id: str
    ready: bool = False


@dataclasses.dataclass(frozen=True)
class Reply:
    """An engine's reply to an order."""

    accepted: bool
    stale: bool = False


class EngineModel:
    """Checks only the fencing token, the process and the id of an order.

    It does not check memory, so that unsafe orders become visible.
    """

    def __init__(
        self, capacity: int, fencing: bool, lists_loading: bool
    ) -> None:
        self.capacity = capacity
        self.fencing = fencing
        self.lists_loading = lists_loading
        self.process_number = 0
        self.fence = 0
        self.residents: dict[str, Resident] = {}
        self.accepted_orders: set[str] = set()
        self.completed_orders: set[str] = set()

    @property
    def incarnation(self) -> str:
        """The name of the engine process."""
        return f'p{self.process_number}'

    @property
    def used_bytes(self) -> int:
        """The number of bytes in use."""
        return sum(item.memory_bytes for item in self.residents.values())

    def ready(self, artifact: str) -> bool:
        """Whether an artifact is loaded and ready."""
        resident = self.residents.get(artifact)
        return resident is not None and resident.ready

    def state(self) -> external_api.EngineState:
        """Return the contents, with loads in progress if it lists them."""
        artifacts = tuple(
            external_api.ArtifactState(
                name, resident.memory_bytes, resident.ready, resident.order_id
            )
            for name, resident in self.residents.items()
            if resident.ready or self.lists_loading
        )
        return external_api.EngineState(
            self.incarnation,
            self.fence,
            self.capacity,
            artifacts,
            external_api.LoadReport(0.0, 0, 0, 0.0, 0.0),
            lists_loading=self.lists_loading,
        )

    def store_fence(self, fence: int) -> external_api.EngineState | None:
        """Store a fencing token and return the state.

        :return: ``None`` if the token is lower than the stored one.
        """
        if fence < self.fence:
            return None
        self.fence = fence
        return self.state()

    def apply(self, order: external_api.Order) -> Reply:
        """Execute an order unless its process or token is outdated."""
        if order.incarnation != self.incarnation:
            return Reply(accepted=False)
        if self.fencing and order.fence < self.fence:
            return Reply(accepted=False, stale=True)
        if self.fencing:
            self.fence = order.fence
        if order.order_id in self.accepted_orders:
            return Reply(accepted=True)
        self.accepted_orders.add(order.order_id)
        if order.kind is external_api.OrderKind.UNLOAD:
            self.residents.pop(order.artifact, None)
            self.completed_orders.add(order.order_id)
        elif order.artifact in self.residents:
            self.completed_orders.add(order.order_id)
        else:
            self.residents[order.artifact] = Resident(
                order.memory_bytes, order.order_id
            )
        return Reply(accepted=True)

    def complete_loads(self) -> None:
        """Complete the loads in progress."""
        for resident in self.residents.values():
            resident.ready = True
            self.completed_orders.add(resident.order_id)

    def restart(self, forget: bool) -> None:
        """Start a new process with empty memory.

        :param forget: whether the fencing token is lost as well.
        """
        self.process_number += 1
        self.residents.clear()
        self.accepted_orders.clear()
        self.completed_orders.clear()
        if forget:
            self.fence = 0
