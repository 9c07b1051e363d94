"""What a fake engine holds, its orders and its fencing number.

Nothing here needs a task of its own: loads and late orders take effect when
the state is looked at after their time. Overcommit is counted, never hidden.
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


@dataclasses.dataclass(slots=True)
class Resident:
    """A model or adapter in memory; ``ready_at`` is when its load ends."""

    artifact: str
    memory_bytes: int
    base: str
    order_id: str
    ready_at: float | None
    unloading: bool = False
    running: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OrderOutcome:
    """What an engine says to an order, before the order is done."""

    error: api.Refused | api.StaleFence | None = None


_ACCEPTED: typing.Final = OrderOutcome()


def _refused(reason: str) -> OrderOutcome:
    return OrderOutcome(api.Refused(reason))


class Residency:
    """Contents, fence and orders of one engine process."""

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
        self._seen: set[str] = set()
        self._sequence = itertools.count()
        self._late: list[tuple[float, int, api.Order]] = []

    @property
    def used_bytes(self) -> int:
        """Bytes in memory, loads in progress included."""
        return sum(held.memory_bytes for held in self._residents.values())

    @property
    def residents(self) -> tuple[Resident, ...]:
        """Everything in memory, loads in progress included."""
        self.settle()
        return tuple(self._residents.values())

    def restart(self, incarnation: str, forget_fence: bool) -> None:
        """Begin a new process: the memory is empty, orders are forgotten."""
        self.incarnation = incarnation
        self._residents.clear()
        self._seen.clear()
        if forget_fence:
            self.highest_fence = 0
        self.changed.notify()

    def teach(self, fence: int) -> api.StaleFence | None:
        """Learn a fencing number; an engine that ignores them does not."""
        self.settle()
        if not self.fencing:
            return None
        if fence < self.highest_fence:
            return api.StaleFence(self.highest_fence)
        self.highest_fence = fence
        return None

    def delay(self, order: api.Order, due: float) -> None:
        """Let an order arrive at a later time."""
        entry = (due, next(self._sequence), order)
        heapq.heappush(self._late, entry)
        self.changed.notify()

    def release_late(self) -> int:
        """Let every delayed order arrive now; return how many."""
        late, self._late = sorted(self._late), []
        for _, _, order in late:
            self.apply(order)
        return len(late)

    def apply(self, order: api.Order) -> OrderOutcome:
        """Take an order; its effect may still need time."""
        self.settle()
        if order.incarnation and order.incarnation != self.incarnation:
            return _refused('incarnation')
        if self.fencing:
            if order.fence < self.highest_fence:
                return OrderOutcome(api.StaleFence(self.highest_fence))
            self.highest_fence = order.fence
        if order.order_id in self._seen:
            return _ACCEPTED
        outcome = self._start(order)
        if outcome.error is None:
            self._seen.add(order.order_id)
        self.settle()
        self.changed.notify()
        return outcome

    def is_done(self, order: api.Order) -> bool:
        """Say whether an accepted order has had its whole effect."""
        self.settle()
        held = self._residents.get(order.artifact)
        match order.kind:
            case api.OrderKind.LOAD:
                return held is None or held.ready_at == 0.0
            case api.OrderKind.UNLOAD:
                return held is None
            case api.OrderKind.SET_ROLE:
                return True

    def next_change(self) -> float:
        """Return when time alone changes the state next."""
        dues = [self._late[0][0]] if self._late else []
        for held in self._residents.values():
            if held.ready_at is None:
                dues.append(self._time.now() + 0.1)
            elif held.ready_at > 0.0:
                dues.append(held.ready_at)
        return min(dues, default=math.inf)

    def find(self, target: str) -> Resident | None:
        """Return what serves an artifact id, or a name without a version."""
        self.settle()
        held = self._residents.get(target)
        if held is None and '@' not in target:
            prefix = f'{target}@'
            names = [key for key in self._residents if key.startswith(prefix)]
            held = self._residents[max(names)] if names else None
        if held is None or held.unloading or held.ready_at != 0.0:
            return None
        return held

    def acquire(self, held: Resident) -> None:
        """Count a request that runs on a resident."""
        held.running += 1

    def release(self, held: Resident) -> None:
        """End a request's use; the last one lets an unload finish."""
        held.running -= 1
        self._finish_unloads()

    def settle(self) -> None:
        """Bring the state up to the present time."""
        now = self._time.now()
        while self._late and self._late[0][0] <= now:
            _, _, order = heapq.heappop(self._late)
            self.apply(order)
        changed = False
        for held in self._residents.values():
            if held.ready_at is None:
                held.ready_at = self._store.start_load(held.memory_bytes)
            if held.ready_at and held.ready_at <= now:
                held.ready_at = 0.0
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
        held = self._residents.get(order.artifact)
        if held is not None:
            return _refused('unloading') if held.unloading else _ACCEPTED
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
        held = self._residents.get(order.artifact)
        if held is None:
            return _ACCEPTED
        if any(
            other.base == order.artifact for other in self._residents.values()
        ):
            return _refused('adapters_resident')
        held.unloading = True
        held.order_id = order.order_id
        self._finish_unloads()
        return _ACCEPTED

    def _finish_unloads(self) -> None:
        done = [
            held.artifact
            for held in self._residents.values()
            if held.unloading and held.running == 0 and held.ready_at == 0.0
        ]
        for artifact in done:
            del self._residents[artifact]
        if done:
            self.changed.notify()
