"""The entries on orders to engines and on slots of the weight store."""

from __future__ import annotations

import enum

from ..external import api as external_api
from ..journal import entries as journal_entries
from ..ownership import entries as ownership_entries

__all__ = [
    'CODEC',
    'Intent',
    'LedgerEntry',
    'OrderEnd',
    'Outcome',
    'SlotAssigned',
    'SlotFreed',
]


class OrderEnd(enum.StrEnum):
    """Why an order can have no further effect."""

    DONE = 'done'
    NOT_RUN = 'not_run'
    RESTARTED = 'restarted'
    BOUND = 'bound'


class Intent(journal_entries.Entry, frozen=True, tag='intent', kw_only=True):
    """An order that may be sent once this entry was read back as valid.

    ``entry_id`` is the order's id; ``sequence`` rises within an epoch, so
    that an entry which lands late is void.
    """

    epoch: int
    sequence: int
    server_id: str
    order: external_api.Order


class Outcome(journal_entries.Entry, frozen=True, tag='outcome', kw_only=True):
    """The end of an order.

    Only the epoch that issued an order can say that it did not run.
    ``bound_seconds`` is the operator's promise, for ends by it.
    """

    epoch: int
    order_id: str
    end: OrderEnd
    bound_seconds: float = 0.0


class SlotAssigned(
    journal_entries.Entry, frozen=True, tag='slot_assigned', kw_only=True
):
    """A slot of the weight store that a pool's owner may use from now on."""

    epoch: int
    slot: int
    pool: str
    pool_epoch: int


class SlotFreed(
    journal_entries.Entry, frozen=True, tag='slot_freed', kw_only=True
):
    """A slot that no load of its pool can use any more."""

    epoch: int
    slot: int
    pool: str
    pool_epoch: int


LedgerEntry = (
    ownership_entries.Claim
    | ownership_entries.Release
    | Intent
    | Outcome
    | SlotAssigned
    | SlotFreed
)

CODEC: journal_entries.Codec[LedgerEntry] = journal_entries.Codec(LedgerEntry)
