"""An instance for the fuzzer: the real ledger and follower, step by step."""

from __future__ import annotations

import dataclasses
import random
import typing

from . import logs
from dogwoodquay import clock
from dogwoodquay.journal import follower as followers
from dogwoodquay.ledger import core
from dogwoodquay.ledger import entries
from dogwoodquay.ledger import replay
from dogwoodquay.records import api as records_api

if typing.TYPE_CHECKING:
    from dogwoodquay.external import api as external_api

__all__ = ['Attempt', 'Instance', 'Observation']


@dataclasses.dataclass
class Attempt:
    """An attempt to send an order, in flight between owner and engine."""

    order: external_api.Order
    server_id: str
    instance: Instance
    ledger: core.PoolLedger
    reply: str = ''
    answered: bool = False


@dataclasses.dataclass(frozen=True)
class Observation:
    """An engine's reply that the owner has not processed yet."""

    ledger: core.PoolLedger
    server_id: str
    began: int
    state: external_api.EngineState | None


class Instance:
    """Follows the log and keeps a ledger while it owns the pool."""

    def __init__(self, instance_id: str, log: logs.LogModel, duty: str):
        self.instance_id = instance_id
        self.state = replay.DutyState(duty)
        self.follower = followers.Follower(
            log.stream,
            self.state,
            log,
            clock.ManualClock(),
            random.Random(0),
        )
        self.alive = True
        self.ledger: core.PoolLedger | None = None
        self.intents: dict[str, core.Approved] = {}
        self.observations: dict[str, Observation] = {}
        self.highest_offset = -1

    @property
    def is_owner(self) -> bool:
        """Whether the instance owns the pool by the entries it has read."""
        return self.state.ownership.is_owner(self.instance_id, 0)

    def read(self) -> None:
        """Read the new entries of the log."""
        logs.run_now(self.follower.step())

    def update_ledger(
        self, catalog: records_api.Catalog, slots: int, late: bool
    ) -> None:
        """Begin or end an ownership term by the entries that were read.

        :param late: keep the ledger although the ownership has ended.
        """
        epoch = self.state.ownership.epoch
        if not self.is_owner:
            if not late:
                self.ledger = None
            return
        if self.ledger is None or self.ledger.epoch != epoch:
            pool = next(iter(catalog.pools.values()))
            self.ledger = core.PoolLedger(
                pool, catalog, epoch, self.state.sequence
            )
            self.ledger.set_slots(slots)
            self.intents.clear()
            self.observations.clear()
        self.ledger.sync(self.state.open_intents)

    def take_sendable(self) -> list[core.Approved]:
        """Return the orders that may be sent since their intents were read."""
        sendable = []
        for order_id, approved in list(self.intents.items()):
            verdict = self.follower.recorded_verdict(order_id)
            if verdict is None or self.ledger is None:
                continue
            del self.intents[order_id]
            if verdict.valid:
                self.ledger.on_intent_logged(order_id)
            if verdict.valid and self.ledger.may_send(order_id):
                sendable.append(approved)
            else:
                self.ledger.abandon(order_id)
        return sendable

    def abandon_intents(self) -> None:
        """Abandon all orders whose intents have not been read back."""
        for order_id in self.intents:
            if self.ledger is not None:
                self.ledger.abandon(order_id)
        self.intents.clear()

    def outcomes(self) -> tuple[entries.Outcome, ...]:
        """Return the outcomes of orders that are to be appended to the log."""
        if self.ledger is None:
            return ()
        return tuple(
            self.ledger.outcome(order_id, end)
            for order_id, end in self.ledger.pending_outcomes.items()
        )
