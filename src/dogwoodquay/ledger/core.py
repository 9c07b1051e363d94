"""The ledger of a pool: approves safe moves and tracks their orders."""

from __future__ import annotations

import dataclasses
import typing

from . import entries
from ..external import api as external_api
from ..placement import api as placement_api
from ..records import api as records_api
from . import rules
from . import servers as server_ledgers

if typing.TYPE_CHECKING:
    from collections import abc

    from . import replay

__all__ = ['Approved', 'Denied', 'PoolLedger']


@dataclasses.dataclass(frozen=True, slots=True)
class Approved:
    """An approved move and its order, which the ledger now tracks.

    If ``needs_intent`` is set, the order may be sent only after its intent
    has been read back from the log as valid.
    """

    server_id: str
    order: external_api.Order
    sequence: int
    needs_intent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """A rejected move: it is not safe in the current state."""

    reason: rules.Denial


class PoolLedger:
    """The servers of a pool under one epoch; pure logic without a clock."""

    def __init__(
        self,
        pool: records_api.Pool,
        catalog: records_api.Catalog,
        epoch: int,
        sequence: int = -1,
    ) -> None:
        """Make the ledger for a new epoch.

        :param sequence: the last sequence number used in the epoch.
        """
        self._pool = pool
        self._epoch = epoch
        self._sequence = sequence
        self._servers: dict[str, server_ledgers.ServerLedger] = {}
        self._rules = rules.Rules(self._servers)
        self._server_ids: dict[str, str] = {}
        self._abandoned: set[str] = set()
        self._closed_by_intent: dict[str, tuple[str, ...]] = {}
        self._pending_outcomes: dict[str, entries.OrderEnd] = {}
        self._slots = 0
        self._superseded = False
        self.update_catalog(catalog)

    @property
    def epoch(self) -> int:
        """The epoch, which is the fencing token of all orders."""
        return self._epoch

    @property
    def pool(self) -> records_api.Pool:
        """The pool's current declaration."""
        return self._pool

    @property
    def servers(self) -> abc.Mapping[str, server_ledgers.ServerLedger]:
        """The server ledgers by server id."""
        return self._servers

    @property
    def loads(self) -> int:
        """Upper bound on the loads running in the pool, under any epoch.

        A server with unknown contents counts with the maximum, unless it is
        presumed down. A wrong presumption slows down loads; memory is safe.
        """
        return sum(_count_loads(server) for server in self._servers.values())

    @property
    def all_known(self) -> bool:
        """Whether the contents of every server are known."""
        return all(server.known for server in self._servers.values())

    @property
    def pending_outcomes(self) -> abc.Mapping[str, entries.OrderEnd]:
        """Ends of logged orders whose outcome is not on the log yet."""
        return self._pending_outcomes

    @property
    def superseded(self) -> bool:
        """Whether an engine has seen a fencing token above the epoch."""
        return self._superseded

    def on_stale_fence(self) -> None:
        """Record that an engine refused the epoch as a stale token."""
        self._superseded = True

    def set_slots(self, slots: int) -> None:
        """Set the number of weight store slots that the pool may use."""
        self._slots = slots

    def update_catalog(self, catalog: records_api.Catalog) -> None:
        """Update the declared servers, models and adapters."""
        self._pool = catalog.pools.get(self._pool.name, self._pool)
        self._rules.update(catalog, self._pool.name)
        declared = {server.server_id for server in self._pool.servers}
        for server in self._pool.servers:
            self._update_server(server)
        for server_id in set(self._servers) - declared:
            self._servers[server_id].leaving = True

    def _update_server(self, server: records_api.Server) -> None:
        ledger = self._servers.get(server.server_id)
        if ledger is None:
            self._servers[server.server_id] = server_ledgers.ServerLedger(
                server, self._pool.fencing, self._epoch
            )
            return
        ledger.server = server

    def set_leaving(self, leaving: abc.Collection[str]) -> None:
        """Set the servers that the platform lists as leaving."""
        declared = {server.server_id for server in self._pool.servers}
        for server_id, server in self._servers.items():
            server.leaving = server_id in leaving or server_id not in declared

    def find_order(self, order_id: str) -> server_ledgers.TrackedOrder | None:
        """Return a tracked order, or nothing if it is not tracked."""
        server_id = self._server_ids.get(order_id)
        if server_id is None:
            return None
        return self._servers[server_id].orders.get(order_id)

    def server_of(self, order_id: str) -> server_ledgers.ServerLedger:
        """Return the ledger of the server that an order was issued to."""
        return self._servers[self._server_ids[order_id]]

    def approve(self, move: placement_api.Move) -> Approved | Denied:
        """Issue an order for a move that is safe for all possible contents."""
        server = self._servers.get(move.server_id)
        if server is None:
            return Denied(rules.Denial.UNKNOWN_SERVER)
        denial = (
            self._check_server(server)
            or self._rules.check_move(server, move)
            or self._check_slots(server, move)
        )
        if denial is not None:
            return Denied(denial)
        self._sequence += 1
        order = self._make_order(server, move)
        server.add(order, inherited=False)
        self._server_ids[order.order_id] = move.server_id
        return Approved(
            move.server_id,
            order,
            self._sequence,
            server.may_accept_stale_orders,
        )

    def _make_order(
        self, server: server_ledgers.ServerLedger, move: placement_api.Move
    ) -> external_api.Order:
        return external_api.Order(
            order_id=f'{self._pool.name}-{self._epoch}-{self._sequence}',
            fence=self._epoch,
            kind=external_api.OrderKind(move.kind.value),
            artifact=move.artifact,
            memory_bytes=move.memory_bytes,
            base=move.base,
            incarnation=server.incarnation,
        )

    def _check_server(
        self, server: server_ledgers.ServerLedger
    ) -> rules.Denial | None:
        if self._superseded:
            return rules.Denial.SUPERSEDED
        if not server.known:
            return rules.Denial.CONTENTS_UNKNOWN
        if not server.reachable:
            return rules.Denial.UNREACHABLE
        return None

    def _check_slots(
        self, server: server_ledgers.ServerLedger, move: placement_api.Move
    ) -> rules.Denial | None:
        if move.kind is not placement_api.MoveKind.LOAD:
            return None
        full = server.loads >= rules.MAX_LOADS_PER_SERVER
        if full or self.loads >= self._slots:
            return rules.Denial.NO_SLOT
        return None

    def may_send(self, order_id: str) -> bool:
        """Whether it is safe now to send or resend an order."""
        tracked = self.find_order(order_id)
        if tracked is None or not tracked.open:
            return False
        server = self.server_of(order_id)
        if tracked.order.incarnation != server.incarnation:
            return False
        if self._check_server(server) is not None:
            return False
        if server.may_accept_stale_orders and not tracked.logged:
            return False
        if server.may_start_load(tracked.order) and self.loads > self._slots:
            return False
        return self._rules.check_order(server, tracked.order) is None

    def intent(
        self, approved: Approved
    ) -> tuple[entries.Outcome | entries.Intent, ...]:
        """Return the log record that must be valid before an order is sent.

        The record first closes all abandoned orders: their intents may have
        reached the log and must not stay open next to this one.
        """
        order_id = approved.order.order_id
        abandoned = tuple(sorted(self._abandoned))
        self._closed_by_intent[order_id] = abandoned
        closed = tuple(
            self.outcome(other, entries.OrderEnd.NOT_RUN)
            for other in abandoned
        )
        intent = entries.Intent(
            entry_id=order_id,
            epoch=self._epoch,
            sequence=approved.sequence,
            server_id=approved.server_id,
            order=approved.order,
        )
        return (*closed, intent)

    def outcome(self, order_id: str, end: entries.OrderEnd) -> entries.Outcome:
        """Return the entry that records the end of an order."""
        return entries.Outcome(
            entry_id=f'{order_id}-{self._epoch}-{end.value}',
            epoch=self._epoch,
            order_id=order_id,
            end=end,
            bound_seconds=self._pool.order_bound_seconds,
        )

    def on_intent_logged(self, order_id: str) -> None:
        """Handle an intent that was read back as valid."""
        self._abandoned -= set(self._closed_by_intent.pop(order_id, ()))
        tracked = self.find_order(order_id)
        if tracked is not None:
            tracked.logged = True

    def abandon(self, order_id: str) -> None:
        """Abandon an order that was never sent."""
        tracked = self.find_order(order_id)
        if tracked is None or tracked.attempts:
            return
        self._abandoned.add(order_id)
        self._closed_by_intent.pop(order_id, None)
        if tracked.logged:
            self._pending_outcomes[order_id] = entries.OrderEnd.NOT_RUN
        self.server_of(order_id).end(order_id, ran=False)

    def on_attempt(self, order_id: str) -> None:
        """Handle the start of an attempt to send an order."""
        tracked = self.find_order(order_id)
        if tracked is not None:
            tracked.attempts += 1
            tracked.pending_attempts += 1

    def on_answer_lost(self, order_id: str) -> None:
        """Handle the loss of the answer to an attempt."""
        tracked = self.find_order(order_id)
        if tracked is not None:
            tracked.pending_attempts -= 1
            tracked.ambiguous = True

    def on_unsent(self, order_id: str) -> bool:
        """Handle an attempt that failed before anything was sent.

        :return: whether the order has ended.
        """
        return self._on_failed_attempt(order_id, ran=False)

    def on_refused(self, order_id: str) -> bool:
        """Handle an engine's refusal of an attempt.

        An attempt can arrive twice, and the refusal may answer the second
        copy. Therefore the order stays tracked until the next observation.

        :return: whether the order has ended.
        """
        return self._on_failed_attempt(order_id, ran=True)

    def _on_failed_attempt(self, order_id: str, ran: bool) -> bool:
        tracked = self.find_order(order_id)
        if tracked is None or not tracked.open:
            return False
        tracked.pending_attempts -= 1
        if tracked.inherited or tracked.ambiguous or tracked.pending_attempts:
            return False
        if tracked.logged:
            self._pending_outcomes[order_id] = entries.OrderEnd.NOT_RUN
        self.server_of(order_id).end(order_id, ran)
        return True

    def on_completed(self, order_id: str) -> None:
        """Handle the confirmation that an order has completed."""
        tracked = self.find_order(order_id)
        if tracked is None or not tracked.open:
            return
        if tracked.logged:
            self._pending_outcomes[order_id] = entries.OrderEnd.DONE
        self.server_of(order_id).end(order_id, ran=True)

    def observe(
        self, server_id: str, state: external_api.EngineState, version: int
    ) -> None:
        """Update a server from an engine's report of its whole contents.

        :param version: the server ledger's version at the request.
        """
        server = self._servers[server_id]
        logged = {
            order_id
            for order_id, tracked in server.orders.items()
            if tracked.logged
        }
        ended = server.observe(state, version)
        self._superseded = self._superseded or server.superseded
        for order_id in ended:
            if order_id in logged:
                self._pending_outcomes[order_id] = entries.OrderEnd.RESTARTED

    def sync(self, open_intents: abc.Mapping[str, replay.OpenIntent]) -> None:
        """Reconcile the tracked orders with the open intents on the log."""
        for order_id, intent in open_intents.items():
            self._sync_open(order_id, intent)
        for order_id in [*self._server_ids, *self._pending_outcomes]:
            if order_id not in open_intents:
                self._sync_closed(order_id)

    def _sync_open(self, order_id: str, intent: replay.OpenIntent) -> None:
        if order_id in self._pending_outcomes:
            return
        if order_id in self._abandoned:
            self._pending_outcomes[order_id] = entries.OrderEnd.NOT_RUN
            return
        if order_id in self._server_ids or intent.server_id not in (
            self._servers
        ):
            return
        self._servers[intent.server_id].add(intent.order, inherited=True)
        self._server_ids[order_id] = intent.server_id

    def _sync_closed(self, order_id: str) -> None:
        self._pending_outcomes.pop(order_id, None)
        tracked = self.find_order(order_id)
        if tracked is None:
            self._server_ids.pop(order_id, None)
            return
        if tracked.open and tracked.logged:
            self.server_of(order_id).end(order_id, ran=True)

    def contents(self) -> tuple[placement_api.Contents, ...]:
        """Return the contents of all known servers, for the planner."""
        return tuple(
            placement_api.Contents(
                server_id=server_id,
                failure_domain=server.server.failure_domain,
                capacity_bytes=server.capacity_bytes,
                leaving=server.leaving or not server.reachable,
                ready=server.ready_artifacts(),
                possible=server.possible_contents(),
            )
            for server_id, server in sorted(self._servers.items())
            if server.known
        )


def _count_loads(server: server_ledgers.ServerLedger) -> int:
    if server.known:
        return server.loads
    return 0 if server.presumed_down else rules.MAX_LOADS_PER_SERVER
