"""What one server holds or may hold, and what may be done to it."""

from __future__ import annotations

import dataclasses
import typing

from ..external import api as external_api

if typing.TYPE_CHECKING:
    from collections import abc

    from ..records import api as records_api

__all__ = ['OpenOrder', 'ServerLedger']


@dataclasses.dataclass(slots=True)
class OpenOrder:
    """An order that may still have an effect, or whose effect is unseen.

    ``foreign`` orders were issued under an earlier epoch. ``known_at`` and
    ``ended_at`` are versions of the server's ledger.
    """

    order: external_api.Order
    foreign: bool
    known_at: int
    logged: bool = False
    sends: int = 0
    pending_sends: int = 0
    ambiguous: bool = False
    ended_at: int | None = None

    @property
    def open(self) -> bool:
        """Whether the order may still take effect."""
        return self.ended_at is None


class ServerLedger:
    """Confirmed and possible contents of a server under one epoch.

    An observation is an answer of the engine on its whole contents. The
    version taken before it was asked for tells which ends of orders it is
    sure to reflect.
    """

    def __init__(
        self, server: records_api.Server, fencing: bool, epoch: int
    ) -> None:
        """Make the ledger of a server of which nothing is known yet.

        :param fencing: whether the engine is said to refuse old numbers.
        """
        self.server = server
        self.leaving = False
        self.reachable = True
        self.written_off = False
        self._fencing = fencing
        self._epoch = epoch
        self._state: external_api.EngineState | None = None
        self._version = 0
        self._orders: dict[str, OpenOrder] = {}
        self._bases: dict[str, str] = {}

    @property
    def state(self) -> external_api.EngineState | None:
        """The last observation."""
        return self._state

    @property
    def incarnation(self) -> str:
        """The engine process that was observed last, or empty."""
        return '' if self._state is None else self._state.incarnation

    @property
    def ignores_numbers(self) -> bool:
        """Whether old orders can get through, so that intents are needed."""
        if not self._fencing:
            return True
        return self._state is not None and not self._state.lists_loading

    @property
    def known(self) -> bool:
        """Whether the contents are known and no older epoch can add any."""
        if self._state is None:
            return False
        return self.ignores_numbers or (
            self._state.highest_fence == self._epoch
        )

    @property
    def must_teach(self) -> bool:
        """Whether the engine has yet to learn this epoch's number."""
        return self._fencing and (
            self._state is None or self._state.highest_fence < self._epoch
        )

    @property
    def superseded(self) -> bool:
        """Whether the engine has seen a higher number than this epoch's."""
        return (
            self._fencing
            and self._state is not None
            and self._state.highest_fence > self._epoch
        )

    @property
    def orders(self) -> abc.Mapping[str, OpenOrder]:
        """Orders that are charged, by order id."""
        return self._orders

    @property
    def capacity_bytes(self) -> int:
        """The smaller of the declared and the observed capacity."""
        declared = self.server.capacity_bytes
        if self._state is None:
            return declared
        return min(declared, self._state.capacity_bytes)

    @property
    def confirmed_bytes(self) -> int:
        """The memory of the contents that were observed last."""
        if self._state is None:
            return 0
        return sum(item.memory_bytes for item in self._state.artifacts)

    @property
    def possible_bytes(self) -> int:
        """The memory that may be in use at the peak of what is open."""
        return sum(self.possible().values())

    @property
    def loads(self) -> int:
        """How many loads may run here now."""
        running = {
            charged.order.artifact
            for charged in self._orders.values()
            if charged.order.kind is external_api.OrderKind.LOAD
        }
        running -= {item.artifact for item in self._artifacts() if item.ready}
        running |= {
            item.artifact
            for item in self._artifacts()
            if not item.ready and not item.unloading
        }
        return len(running)

    def possible(self) -> dict[str, int]:
        """Return all that may be in memory, in bytes by artifact."""
        contents = {
            item.artifact: item.memory_bytes for item in self._artifacts()
        }
        for charged in self._orders.values():
            order = charged.order
            if order.kind is external_api.OrderKind.LOAD:
                known = contents.get(order.artifact, 0)
                contents[order.artifact] = max(known, order.memory_bytes)
        return contents

    def ready(self) -> frozenset[str]:
        """Return what can serve now and no order may withdraw."""
        if not self.known or not self.reachable:
            return frozenset()
        unloads = {
            charged.order.artifact
            for charged in self._orders.values()
            if charged.order.kind is external_api.OrderKind.UNLOAD
        }
        return frozenset(
            item.artifact
            for item in self._artifacts()
            if item.ready
            and not item.unloading
            and item.artifact not in unloads
        )

    def withdrawing(self, artifact: str) -> bool:
        """Whether an order may withdraw an artifact."""
        return any(
            charged.order.artifact == artifact
            and charged.order.kind is external_api.OrderKind.UNLOAD
            for charged in self._orders.values()
        )

    def busy(self, artifact: str) -> bool:
        """Whether an order on an artifact is charged."""
        return any(
            charged.order.artifact == artifact
            for charged in self._orders.values()
        )

    def starts_load(self, order: external_api.Order) -> bool:
        """Whether sending an order can start a load that is not running."""
        if order.kind is not external_api.OrderKind.LOAD:
            return False
        return all(
            item.artifact != order.artifact for item in self._artifacts()
        )

    def base_of(self, artifact: str) -> str:
        """Return the base that an adapter was loaded on, if known."""
        return self._bases.get(artifact, '')

    def add(self, order: external_api.Order, foreign: bool) -> OpenOrder:
        """Charge an order from now on."""
        self._version += 1
        charged = OpenOrder(order, foreign, self._version, logged=foreign)
        self._orders[order.order_id] = charged
        if order.kind is external_api.OrderKind.LOAD and order.base:
            self._bases[order.artifact] = order.base
        return charged

    def end(self, order_id: str, ran: bool) -> None:
        """Note that an order can have no further effect.

        :param ran: whether it may have had one, to be seen by observation.
        """
        charged = self._orders.get(order_id)
        if charged is None:
            return
        self._version += 1
        charged.ended_at = self._version
        if not ran:
            del self._orders[order_id]

    def begin_observation(self) -> int:
        """Return the version to give with the observation that follows."""
        return self._version

    def observe(
        self, state: external_api.EngineState, began: int
    ) -> tuple[str, ...]:
        """Take in an observation; only one may be under way at a time.

        :param began: the version when the observation was asked for.
        :return: orders that ended because the engine process is new.
        """
        self._state = state
        self.reachable = True
        self.written_off = False
        dropped = []
        for order_id, charged in list(self._orders.items()):
            if charged.ended_at is not None:
                if charged.ended_at <= began:
                    del self._orders[order_id]
                continue
            replaced = charged.order.incarnation != state.incarnation
            if replaced and charged.known_at <= began:
                del self._orders[order_id]
                dropped.append(order_id)
        return tuple(dropped)

    def _artifacts(self) -> tuple[external_api.ArtifactState, ...]:
        return () if self._state is None else self._state.artifacts
