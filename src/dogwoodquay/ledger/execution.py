"""Sends approved orders, and resolves those whose answer was lost."""

from __future__ import annotations

import dataclasses
import typing

import anyio

from . import entries
from ..external import api as external_api

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from . import core
    from ..journal import writer as journal_writer

__all__ = ['Executor']

INTENT_TIMEOUT_SECONDS: typing.Final = 10.0
ORDER_TIMEOUT_SECONDS: typing.Final = 120.0
UNLOAD_DELAY_SECONDS: typing.Final = 3.0
INITIAL_RETRY_SECONDS: typing.Final = 0.5
MAX_RETRY_SECONDS: typing.Final = 10.0


@dataclasses.dataclass(eq=False)
class Executor:
    """Carries out orders from their approval to their end.

    ``on_change`` is called after each change of the ledger.
    ``unload_delay_seconds`` is the delay before an unload, during which the
    published state stops other instances from routing to the artifact.
    """

    ledger: core.PoolLedger
    engine: external_api.Engine
    writer: journal_writer.Writer[entries.LedgerEntry]
    clock: clocks.Clock
    on_change: abc.Callable[[], None]
    unload_delay_seconds: float = UNLOAD_DELAY_SECONDS

    async def execute(self, approved: core.Approved) -> None:
        """Carry out an approved order, or abandon it if it can't be sent."""
        self.on_change()
        if approved.order.kind is external_api.OrderKind.UNLOAD:
            await anyio.sleep(self.unload_delay_seconds)
        if approved.needs_intent and not await self._log_intent(approved):
            self.ledger.abandon(approved.order.order_id)
            self.on_change()
            return
        if not self.ledger.may_send(approved.order.order_id):
            self.ledger.abandon(approved.order.order_id)
            self.on_change()
            return
        await self.resolve(approved.order)

    async def _log_intent(self, approved: core.Approved) -> bool:
        record = self.ledger.intent(approved)
        deadline = self.clock.now() + INTENT_TIMEOUT_SECONDS
        result = await self.writer.append(record, deadline)
        if result.is_error() or not result.ok[-1].valid:
            return False
        self.ledger.on_intent_logged(approved.order.order_id)
        return True

    async def resolve(self, order: external_api.Order) -> None:
        """Send an order, with retries, until it has ended or can't be resent.

        If the pool declares a bound, a logged order is sent only once.
        """
        pause = INITIAL_RETRY_SECONDS
        while self._is_open(order):
            if self.ledger.may_send(order.order_id):
                await self._send(order)
                self.on_change()
            if not self._is_open(order) or not self._may_resend(order):
                return
            await anyio.sleep(pause)
            pause = min(MAX_RETRY_SECONDS, 2 * pause)

    def _is_open(self, order: external_api.Order) -> bool:
        tracked = self.ledger.find_order(order.order_id)
        return tracked is not None and tracked.open

    def _may_resend(self, order: external_api.Order) -> bool:
        tracked = self.ledger.find_order(order.order_id)
        if tracked is None or not tracked.logged:
            return tracked is not None
        return self.ledger.pool.order_bound_seconds <= 0

    async def _send(self, order: external_api.Order) -> None:
        server = self.ledger.server_of(order.order_id).server
        self.ledger.on_attempt(order.order_id)
        deadline = self.clock.now() + ORDER_TIMEOUT_SECONDS
        result = await self.engine.order(
            server.address, server.port, order, deadline
        )
        if result.is_ok():
            self.ledger.on_completed(order.order_id)
            return
        match result.error:
            case external_api.Ambiguous():
                self.ledger.on_answer_lost(order.order_id)
            case external_api.StaleFence():
                self.ledger.on_stale_fence()
                self.ledger.on_refused(order.order_id)
            case external_api.Refused():
                self.ledger.on_refused(order.order_id)
            case external_api.Unavailable():
                self.ledger.on_unsent(order.order_id)
