"""The ledger of a pool: which moves are safe, and what orders may do yet."""

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
    """An order that is charged from now on.

    With ``needs_intent`` it may be sent only after its intent was read back
    as valid.
    """

    server_id: str
    order: external_api.Order
    sequence: int
    needs_intent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """The move is not safe now."""

    reason: rules.Denial


class PoolLedger:
    """The servers of a pool under one epoch; pure, without time."""

    def __init__(
        self,
        pool: records_api.Pool,
        catalog: records_api.Catalog,
        epoch: int,
        sequence: int = -1,
    ) -> None:
        """Make the ledger for a new epoch.

        :param sequence: the last sequence that the epoch has used.
        """
        self._pool = pool
        self._epoch = epoch
        self._sequence = sequence
        self._servers: dict[str, server_ledgers.ServerLedger] = {}
        self._rules = rules.Rules(self._servers)
        self._locations: dict[str, str] = {}
        self._given_up: set[str] = set()
        self._closed_by: dict[str, tuple[str, ...]] = {}
        self._closing: dict[str, entries.OrderEnd] = {}
        self._slots = 0
        self._superseded = False
        self.update_catalog(catalog)

    @property
    def epoch(self) -> int:
        """The epoch, which is the fencing number of all orders."""
        return self._epoch

    @property
    def pool(self) -> records_api.Pool:
        """The pool as it is declared now."""
        return self._pool

    @property
    def servers(self) -> abc.Mapping[str, server_ledgers.ServerLedger]:
        """The servers' ledgers by server id."""
        return self._servers

    @property
    def loads(self) -> int:
        """How many loads may run in the pool, whoever ordered them.

        A server of which nothing is known yet may run as many as it can,
        unless it has been silent for so long that it was written off; that
        endangers the speed of other loads, never memory.
        """
        return sum(_loads_of(server) for server in self._servers.values())

    @property
    def all_known(self) -> bool:
        """Whether the contents of every server are known."""
        return all(server.known for server in self._servers.values())

    @property
    def closing(self) -> abc.Mapping[str, entries.OrderEnd]:
        """Ends of logged orders that the log does not show yet."""
        return self._closing

    @property
    def superseded(self) -> bool:
        """Whether some engine has seen a higher number than the epoch."""
        return self._superseded

    def supersede(self) -> None:
        """Note that an engine refused the epoch's number as old."""
        self._superseded = True

    def set_slots(self, slots: int) -> None:
        """Set how many slots of the weight store the pool may use."""
        self._slots = slots

    def update_catalog(self, catalog: records_api.Catalog) -> None:
        """Take in the declared servers, models and adapters."""
        self._pool = catalog.pools.get(self._pool.name, self._pool)
        self._rules.update(catalog, self._pool.name)
        declared = {server.server_id for server in self._pool.servers}
        for server in self._pool.servers:
            self._update_server(server)
        for server_id in set(self._servers) - declared:
            self._servers[server_id].leaving = True

    def _update_server(self, server: records_api.Server) -> None:
        known = self._servers.get(server.server_id)
        if known is None:
            self._servers[server.server_id] = server_ledgers.ServerLedger(
                server, self._pool.fencing, self._epoch
            )
            return
        known.server = server

    def set_leaving(self, leaving: abc.Collection[str]) -> None:
        """Set the servers that the platform says are leaving."""
        declared = {server.server_id for server in self._pool.servers}
        for server_id, server in self._servers.items():
            server.leaving = server_id in leaving or server_id not in declared

    def locate(self, order_id: str) -> server_ledgers.OpenOrder | None:
        """Return a charged order."""
        server_id = self._locations.get(order_id)
        if server_id is None:
            return None
        return self._servers[server_id].orders.get(order_id)

    def server_of(self, order_id: str) -> server_ledgers.ServerLedger:
        """Return the server of an order that was charged."""
        return self._servers[self._locations[order_id]]

    def approve(self, move: placement_api.Move) -> Approved | Denied:
        """Charge a move as an order if it is safe, whatever else happens."""
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
        order = self._order(server, move)
        server.add(order, foreign=False)
        self._locations[order.order_id] = move.server_id
        return Approved(
            move.server_id, order, self._sequence, server.ignores_numbers
        )

    def _order(
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
        full = server.loads >= rules.LOADS_PER_SERVER
        if full or self.loads >= self._slots:
            return rules.Denial.NO_SLOT
        return None

    def may_send(self, order_id: str) -> bool:
        """Whether sending an order, first or again, is safe now."""
        charged = self.locate(order_id)
        if charged is None or not charged.open:
            return False
        server = self.server_of(order_id)
        if charged.order.incarnation != server.incarnation:
            return False
        if self._check_server(server) is not None:
            return False
        if server.ignores_numbers and not charged.logged:
            return False
        if server.starts_load(charged.order) and self.loads > self._slots:
            return False
        return self._rules.check_order(server, charged.order) is None

    def intent(
        self, approved: Approved
    ) -> tuple[entries.Outcome | entries.Intent, ...]:
        """Return the record that has to be valid before an order is sent.

        The record first closes the orders that were given up: their own
        intents may have landed, and must not be open beside this one.
        """
        order_id = approved.order.order_id
        given_up = tuple(sorted(self._given_up))
        self._closed_by[order_id] = given_up
        closed = tuple(
            self.outcome(other, entries.OrderEnd.NOT_RUN) for other in given_up
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
        """Return the entry that shows the end of an order."""
        return entries.Outcome(
            entry_id=f'{order_id}-{self._epoch}-{end.value}',
            epoch=self._epoch,
            order_id=order_id,
            end=end,
            bound_seconds=self._pool.order_bound_seconds,
        )

    def logged(self, order_id: str) -> None:
        """Note that an order's intent was read back as valid."""
        self._given_up -= set(self._closed_by.pop(order_id, ()))
        charged = self.locate(order_id)
        if charged is not None:
            charged.logged = True

    def give_up(self, order_id: str) -> None:
        """End an order that was never sent."""
        charged = self.locate(order_id)
        if charged is None or charged.sends:
            return
        self._given_up.add(order_id)
        self._closed_by.pop(order_id, None)
        if charged.logged:
            self._closing[order_id] = entries.OrderEnd.NOT_RUN
        self.server_of(order_id).end(order_id, ran=False)

    def sending(self, order_id: str) -> None:
        """Note that an order is being sent."""
        charged = self.locate(order_id)
        if charged is not None:
            charged.sends += 1
            charged.pending_sends += 1

    def lost(self, order_id: str) -> None:
        """Note that the answer to a sent order is lost."""
        charged = self.locate(order_id)
        if charged is not None:
            charged.pending_sends -= 1
            charged.ambiguous = True

    def unsent(self, order_id: str) -> bool:
        """Note that one sending of an order certainly never left.

        :return: whether that ends the order.
        """
        return self._fail(order_id, ran=False)

    def refused(self, order_id: str) -> bool:
        """Note that an engine refused one sending of an order.

        A sending can arrive twice, and the answer be that to the second
        copy; so the order stays charged until the server is seen again.

        :return: whether that ends the order.
        """
        return self._fail(order_id, ran=True)

    def _fail(self, order_id: str, ran: bool) -> bool:
        charged = self.locate(order_id)
        if charged is None or not charged.open:
            return False
        charged.pending_sends -= 1
        if charged.foreign or charged.ambiguous or charged.pending_sends:
            return False
        if charged.logged:
            self._closing[order_id] = entries.OrderEnd.NOT_RUN
        self.server_of(order_id).end(order_id, ran)
        return True

    def done(self, order_id: str) -> None:
        """Note an order's own answer: it has had its whole effect."""
        charged = self.locate(order_id)
        if charged is None or not charged.open:
            return
        if charged.logged:
            self._closing[order_id] = entries.OrderEnd.DONE
        self.server_of(order_id).end(order_id, ran=True)

    def observe(
        self, server_id: str, state: external_api.EngineState, began: int
    ) -> None:
        """Take in an engine's answer on its whole contents."""
        server = self._servers[server_id]
        logged = {
            order_id
            for order_id, charged in server.orders.items()
            if charged.logged
        }
        ended = server.observe(state, began)
        self._superseded = self._superseded or server.superseded
        for order_id in ended:
            if order_id in logged:
                self._closing[order_id] = entries.OrderEnd.RESTARTED

    def sync(self, open_intents: abc.Mapping[str, replay.OpenIntent]) -> None:
        """Compare the charged orders with the log's open intents."""
        for order_id, intent in open_intents.items():
            self._sync_open(order_id, intent)
        for order_id in [*self._locations, *self._closing]:
            if order_id not in open_intents:
                self._sync_closed(order_id)

    def _sync_open(self, order_id: str, intent: replay.OpenIntent) -> None:
        if order_id in self._closing:
            return
        if order_id in self._given_up:
            self._closing[order_id] = entries.OrderEnd.NOT_RUN
            return
        if order_id in self._locations or intent.server_id not in (
            self._servers
        ):
            return
        self._servers[intent.server_id].add(intent.order, foreign=True)
        self._locations[order_id] = intent.server_id

    def _sync_closed(self, order_id: str) -> None:
        self._closing.pop(order_id, None)
        charged = self.locate(order_id)
        if charged is None:
            self._locations.pop(order_id, None)
            return
        if charged.open and charged.logged:
            self.server_of(order_id).end(order_id, ran=True)

    def contents(self) -> tuple[placement_api.Contents, ...]:
        """Return what a plan is to be made from."""
        return tuple(
            placement_api.Contents(
                server_id=server_id,
                failure_domain=server.server.failure_domain,
                capacity_bytes=server.capacity_bytes,
                leaving=server.leaving or not server.reachable,
                ready=server.ready(),
                possible=server.possible(),
            )
            for server_id, server in sorted(self._servers.items())
            if server.known
        )


def _loads_of(server: server_ledgers.ServerLedger) -> int:
    if server.known:
        return server.loads
    return 0 if server.written_off else rules.LOADS_PER_SERVER
