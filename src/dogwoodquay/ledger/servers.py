"""Possible contents of one server, and its tracked orders."""

from __future__ import annotations

import dataclasses
import typing

from ..external import api as external_api

if typing.TYPE_CHECKING:
    from collections import abc

    from ..records import api as records_api

__all__ = ['ServerLedger', 'TrackedOrder']


@dataclasses.dataclass(slots=True)
class TrackedOrder:
    """An order that may still take effect or has an unobserved effect.

    ``inherited`` orders were issued under an earlier epoch. ``added_version``
    and ``ended_version`` are versions of the server's ledger. ``ambiguous``
    is set once the answer to an attempt was lost.
    """

    order: external_api.Order
    inherited: bool
    added_version: int
    logged: bool = False
    attempts: int = 0
    pending_attempts: int = 0
    ambiguous: bool = False
    ended_version: int | None = None

    @property
    def open(self) -> bool:
        """Whether the order may still take effect."""
        return self.ended_version is None


class ServerLedger:
    """Confirmed and possible contents of a server under one epoch.

    An observation is an engine's report of its whole contents. It reflects
    the orders that had ended before it was requested; the ledger's version
    at the time of the request identifies them.

    The poller sets ``reachable`` to false after a short time without an
    answer of the engine, and ``presumed_down`` to true after a longer one.
    """

    def __init__(
        self, server: records_api.Server, fencing: bool, epoch: int
    ) -> None:
        """Make the ledger of a server with unknown contents.

        :param fencing: whether the engine is declared to refuse stale
            fencing tokens.
        """
        self.server = server
        self.leaving = False
        self.reachable = True
        self.presumed_down = False
        self._fencing = fencing
        self._epoch = epoch
        self._state: external_api.EngineState | None = None
        self._version = 0
        self._orders: dict[str, TrackedOrder] = {}
        self._bases: dict[str, str] = {}

    @property
    def state(self) -> external_api.EngineState | None:
        """The last observation."""
        return self._state

    @property
    def incarnation(self) -> str:
        """The incarnation of the engine in the last observation, or empty."""
        return '' if self._state is None else self._state.incarnation

    @property
    def may_accept_stale_orders(self) -> bool:
        """Whether the engine may accept stale orders, so intents are needed.

        An engine that does not list running loads counts as such: the load
        of an earlier epoch would not be visible in its observations.
        """
        if not self._fencing:
            return True
        return self._state is not None and not self._state.lists_loading

    @property
    def known(self) -> bool:
        """Whether the contents are known and no older epoch can add any."""
        if self._state is None:
            return False
        return self.may_accept_stale_orders or (
            self._state.highest_fence == self._epoch
        )

    @property
    def needs_fencing_token(self) -> bool:
        """Whether the engine has yet to receive this epoch's fencing token."""
        return self._fencing and (
            self._state is None or self._state.highest_fence < self._epoch
        )

    @property
    def superseded(self) -> bool:
        """Whether the engine has seen a fencing token above this epoch."""
        return (
            self._fencing
            and self._state is not None
            and self._state.highest_fence > self._epoch
        )

    @property
    def orders(self) -> abc.Mapping[str, TrackedOrder]:
        """The tracked orders by order id."""
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
        """The memory of the artifacts in the last observation."""
        if self._state is None:
            return 0
        return sum(item.memory_bytes for item in self._state.artifacts)

    @property
    def possible_bytes(self) -> int:
        """The peak memory of the possible contents."""
        return sum(self.possible_contents().values())

    @property
    def loads(self) -> int:
        """Upper bound on the loads that are running on the server."""
        running = {
            tracked.order.artifact
            for tracked in self._orders.values()
            if tracked.order.kind is external_api.OrderKind.LOAD
        }
        running -= {item.artifact for item in self._artifacts() if item.ready}
        running |= {
            item.artifact
            for item in self._artifacts()
            if not item.ready and not item.unloading
        }
        return len(running)

    def possible_contents(self) -> dict[str, int]:
        """Return the possible contents: bytes by artifact."""
        contents = {
            item.artifact: item.memory_bytes for item in self._artifacts()
        }
        for tracked in self._orders.values():
            order = tracked.order
            if order.kind is external_api.OrderKind.LOAD:
                confirmed = contents.get(order.artifact, 0)
                contents[order.artifact] = max(confirmed, order.memory_bytes)
        return contents

    def ready_artifacts(self) -> frozenset[str]:
        """Return the artifacts that can serve and have no tracked unload."""
        if not self.known or not self.reachable:
            return frozenset()
        unloads = {
            tracked.order.artifact
            for tracked in self._orders.values()
            if tracked.order.kind is external_api.OrderKind.UNLOAD
        }
        return frozenset(
            item.artifact
            for item in self._artifacts()
            if item.ready
            and not item.unloading
            and item.artifact not in unloads
        )

    def has_unload(self, artifact: str) -> bool:
        """Whether an unload of an artifact is tracked."""
        return any(
            tracked.order.artifact == artifact
            and tracked.order.kind is external_api.OrderKind.UNLOAD
            for tracked in self._orders.values()
        )

    def has_order(self, artifact: str) -> bool:
        """Whether an order for an artifact is tracked."""
        return any(
            tracked.order.artifact == artifact
            for tracked in self._orders.values()
        )

    def may_start_load(self, order: external_api.Order) -> bool:
        """Whether an order may start a load that is not observed yet."""
        if order.kind is not external_api.OrderKind.LOAD:
            return False
        return all(
            item.artifact != order.artifact for item in self._artifacts()
        )

    def base_of(self, artifact: str) -> str:
        """Return the base that an adapter was loaded on, or empty."""
        return self._bases.get(artifact, '')

    def add(self, order: external_api.Order, inherited: bool) -> TrackedOrder:
        """Track an order.

        :param inherited: whether it was issued under an earlier epoch.
        """
        self._version += 1
        tracked = TrackedOrder(
            order, inherited, self._version, logged=inherited
        )
        self._orders[order.order_id] = tracked
        if order.kind is external_api.OrderKind.LOAD and order.base:
            self._bases[order.artifact] = order.base
        return tracked

    def end(self, order_id: str, ran: bool) -> None:
        """Record that an order can have no further effect.

        :param ran: whether it may have run; it then stays tracked until an
            observation reflects its effect.
        """
        tracked = self._orders.get(order_id)
        if tracked is None:
            return
        self._version += 1
        tracked.ended_version = self._version
        if not ran:
            del self._orders[order_id]

    def begin_observation(self) -> int:
        """Return the version to pass to ``observe`` afterwards."""
        return self._version

    def observe(
        self, state: external_api.EngineState, version: int
    ) -> tuple[str, ...]:
        """Update from an observation; only one may be in flight at a time.

        :param version: the version at the time of the request.
        :return: ids of the orders that ended because the engine restarted.
        """
        self._state = state
        self.reachable = True
        self.presumed_down = False
        ended_ids = []
        for order_id, tracked in list(self._orders.items()):
            if tracked.ended_version is not None:
                if tracked.ended_version <= version:
                    del self._orders[order_id]
                continue
            restarted = tracked.order.incarnation != state.incarnation
            if restarted and tracked.added_version <= version:
                del self._orders[order_id]
                ended_ids.append(order_id)
        return tuple(ended_ids)

    def _artifacts(self) -> tuple[external_api.ArtifactState, ...]:
        return () if self._state is None else self._state.artifacts
