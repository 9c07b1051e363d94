"""Log entries for engine orders and weight store slots."""

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
    """An order that may be sent once this entry has been read back as valid.

    ``entry_id`` is the order's id. ``sequence`` increases within an epoch,
    which makes an entry void if it is appended after a later one.
    """

    epoch: int
    sequence: int
    server_id: str
    order: external_api.Order


class Outcome(journal_entries.Entry, frozen=True, tag='outcome', kw_only=True):
    """The end of an order.

    ``NOT_RUN`` is valid only under the epoch that issued the order.
    ``BOUND`` is valid once ``bound_seconds`` have passed since the intent:
    the declared upper bound on the time until an order takes effect.
    """

    epoch: int
    order_id: str
    end: OrderEnd
    bound_seconds: float = 0.0


class SlotAssigned(
    journal_entries.Entry, frozen=True, tag='slot_assigned', kw_only=True
):
    """Assigns a weight store slot to a pool."""

    epoch: int
    slot: int
    pool: str
    pool_epoch: int


class SlotFreed(
    journal_entries.Entry, frozen=True, tag='slot_freed', kw_only=True
):
    """Frees a slot that no load of its pool can use any more."""

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
