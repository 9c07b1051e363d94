"""The memory contents, orders and fencing token of a fake engine.

There is no background task: finished loads and delayed orders are applied when
the state is next accessed. Loads beyond the capacity are accepted and counted.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import typing

from .. import api
from . import timeline
from . import weights

__all__ = ['OrderOutcome', 'Residency', 'Resident']

_OUTAGE_RETRY_SECONDS: typing.Final = 0.1


@dataclasses.dataclass(slots=True)
class Resident:
    """A model or adapter in memory.

    ``ready_at`` is the time when the load ends: zero once it has ended, and
    ``None`` while it waits for the weight store.
    """

    artifact: str
    memory_bytes: int
    base: str
    order_id: str
    ready_at: float | None
    unloading: bool = False
    running: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OrderOutcome:
    """The immediate result of an order; ``error`` is set if it was refused."""

    error: api.Refused | api.StaleFence | None = None


_ACCEPTED: typing.Final = OrderOutcome()


def _refused(reason: str) -> OrderOutcome:
    return OrderOutcome(api.Refused(reason))


class Residency:
    """The memory contents and the fencing token of a fake engine."""

    def __init__(
        self,
        time: timeline.Timeline,
        store: weights.MemoryWeightStore,
        capacity_bytes: int,
        fencing: bool = True,
    ) -> None:
        self.capacity_bytes = capacity_bytes
        self.fencing = fencing
        self.incarnation = ''
        self.highest_fence = 0
        self.role = 'serve'
        self.memory_violations = 0
        self.peak_bytes = 0
        self.changed = timeline.Signal()
        self._time = time
        self._store = store
        self._residents: dict[str, Resident] = {}
        self._accepted_ids: set[str] = set()
        self._sequence = itertools.count()
        self._delayed: list[tuple[float, int, api.Order]] = []

    @property
    def used_bytes(self) -> int:
        """The used memory, including loads in progress."""
        return sum(
            resident.memory_bytes for resident in self._residents.values()
        )

    @property
    def residents(self) -> tuple[Resident, ...]:
        """All models and adapters in memory, including loads in progress."""
        self.apply_due()
        return tuple(self._residents.values())

    def restart(self, incarnation: str, forget_fence: bool) -> None:
        """Start a new process with empty memory and no accepted orders."""
        self.incarnation = incarnation
        self._residents.clear()
        self._accepted_ids.clear()
        if forget_fence:
            self.highest_fence = 0
        self.changed.notify()

    def raise_fence(self, fence: int) -> api.StaleFence | None:
        """Raise the fencing token; ignored by engines without fencing."""
        self.apply_due()
        if not self.fencing:
            return None
        if fence < self.highest_fence:
            return api.StaleFence(self.highest_fence)
        self.highest_fence = fence
        return None

    def delay(self, order: api.Order, due: float) -> None:
        """Apply an order at a later time."""
        entry = (due, next(self._sequence), order)
        heapq.heappush(self._delayed, entry)
        self.changed.notify()

    def release_delayed(self) -> int:
        """Apply all delayed orders now and return their number."""
        delayed, self._delayed = sorted(self._delayed), []
        for _, _, order in delayed:
            self.apply(order)
        return len(delayed)

    def apply(self, order: api.Order) -> OrderOutcome:
        """Accept or refuse an order; it may take time to complete."""
        self.apply_due()
        if order.incarnation and order.incarnation != self.incarnation:
            return _refused('incarnation')
        if self.fencing:
            if order.fence < self.highest_fence:
                return OrderOutcome(api.StaleFence(self.highest_fence))
            self.highest_fence = order.fence
        if order.order_id in self._accepted_ids:
            return _ACCEPTED
        outcome = self._start(order)
        if outcome.error is None:
            self._accepted_ids.add(order.order_id)
        self.apply_due()
        self.changed.notify()
        return outcome

    def is_done(self, order: api.Order) -> bool:
        """Return whether an accepted order is complete."""
        self.apply_due()
        resident = self._residents.get(order.artifact)
        match order.kind:
            case api.OrderKind.LOAD:
                return resident is None or resident.ready_at == 0.0
            case api.OrderKind.UNLOAD:
                return resident is None
            case api.OrderKind.SET_ROLE:
                return True

    def next_change(self) -> float:
        """Return the time of the next change that needs no further call."""
        due_times = [self._delayed[0][0]] if self._delayed else []
        for resident in self._residents.values():
            if resident.ready_at is None:
                due_times.append(self._time.now() + _OUTAGE_RETRY_SECONDS)
            elif resident.ready_at > 0.0:
                due_times.append(resident.ready_at)
        return min(due_times, default=math.inf)

    def find(self, target: str) -> Resident | None:
        """Return the ready artifact of an id or of a name without version."""
        self.apply_due()
        resident = self._residents.get(target)
        if resident is None and '@' not in target:
            prefix = f'{target}@'
            names = [key for key in self._residents if key.startswith(prefix)]
            resident = self._residents[max(names)] if names else None
        if resident is None or resident.unloading or resident.ready_at != 0.0:
            return None
        return resident

    def acquire(self, resident: Resident) -> None:
        """Count a request that uses a resident artifact."""
        resident.running += 1

    def release(self, resident: Resident) -> None:
        """End the use by a request; a pending unload follows the last one."""
        resident.running -= 1
        self._finish_unloads()

    def apply_due(self) -> None:
        """Apply all changes that are due by now."""
        now = self._time.now()
        while self._delayed and self._delayed[0][0] <= now:
            _, _, order = heapq.heappop(self._delayed)
            self.apply(order)
        changed = False
        for resident in self._residents.values():
            if resident.ready_at is None:
                resident.ready_at = self._store.start_load(
                    resident.memory_bytes
                )
            if resident.ready_at and resident.ready_at <= now:
                resident.ready_at = 0.0
                changed = True
        if changed:
            self.changed.notify()
        self._finish_unloads()

    def _start(self, order: api.Order) -> OrderOutcome:
        match order.kind:
            case api.OrderKind.LOAD:
                return self._load(order)
            case api.OrderKind.UNLOAD:
                return self._unload(order)
            case api.OrderKind.SET_ROLE:
                self.role = order.role
                return _ACCEPTED

    def _load(self, order: api.Order) -> OrderOutcome:
        resident = self._residents.get(order.artifact)
        if resident is not None:
            return _refused('unloading') if resident.unloading else _ACCEPTED
        if order.base:
            base = self._residents.get(order.base)
            if base is None or base.unloading or base.ready_at != 0.0:
                return _refused('base_not_ready')
        self._residents[order.artifact] = Resident(
            order.artifact,
            order.memory_bytes,
            order.base,
            order.order_id,
            self._store.start_load(order.memory_bytes),
        )
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        if self.used_bytes > self.capacity_bytes:
            self.memory_violations += 1
        return _ACCEPTED

    def _unload(self, order: api.Order) -> OrderOutcome:
        resident = self._residents.get(order.artifact)
        if resident is None:
            return _ACCEPTED
        if any(
            other.base == order.artifact for other in self._residents.values()
        ):
            return _refused('adapters_resident')
        resident.unloading = True
        resident.order_id = order.order_id
        self._finish_unloads()
        return _ACCEPTED

    def _finish_unloads(self) -> None:
        done = [
            resident.artifact
            for resident in self._residents.values()
            if resident.unloading
            and resident.running == 0
            and resident.ready_at == 0.0
        ]
        for artifact in done:
            del self._residents[artifact]
        if done:
            self.changed.notify()
