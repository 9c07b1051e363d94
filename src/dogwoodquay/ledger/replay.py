"""The replayed state of a duty: its owner, open orders and slots."""

from __future__ import annotations

import types
import typing

import msgspec

from . import entries
from ..external import api as external_api
from ..journal import api as journal_api
from ..journal import entries as journal_entries
from ..ownership import core as ownership_core
from ..ownership import entries as ownership_entries

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['DutyState', 'OpenIntent', 'SlotHolder', 'duty_stream']


class OpenIntent(msgspec.Struct, frozen=True):
    """An order without a known end; ``time`` is that of its entry."""

    epoch: int
    server_id: str
    order: external_api.Order
    time: float


class SlotHolder(msgspec.Struct, frozen=True):
    """The pool that may use a slot; empty for a free slot.

    ``pool_epoch`` is the highest epoch of the pool that asked.
    """

    pool: str
    pool_epoch: int


class _Image(msgspec.Struct, frozen=True):
    offset: int
    ownership: ownership_core.Ownership
    sequence: int
    open_intents: dict[str, OpenIntent]
    slots: dict[int, SlotHolder]


def duty_stream(duty: str) -> str:
    """Return the stream on which a duty's entries are kept."""
    return f'duty/{duty}'


class DutyState:
    """The entries of one duty's stream, replayed in order."""

    def __init__(self, duty: str) -> None:
        self._image = _Image(-1, ownership_core.Ownership(duty), -1, {}, {})

    @property
    def offset(self) -> int:
        """The last offset that is reflected here, -1 before the first."""
        return self._image.offset

    @property
    def ownership(self) -> ownership_core.Ownership:
        """Who owns the duty."""
        return self._image.ownership

    @property
    def sequence(self) -> int:
        """The sequence of the last valid intent of the epoch, or -1."""
        return self._image.sequence

    @property
    def open_intents(self) -> abc.Mapping[str, OpenIntent]:
        """Orders without a known end, by order id."""
        return types.MappingProxyType(self._image.open_intents)

    @property
    def slots(self) -> abc.Mapping[int, SlotHolder]:
        """Slots of the weight store that a pool may use."""
        return types.MappingProxyType(self._image.slots)

    def apply(
        self, entry: external_api.LogEntry
    ) -> tuple[journal_api.Verdict, ...]:
        """Take in a record; each entry is judged by the state before it."""
        verdicts = []
        for item in entries.CODEC.decode(entry.payload):
            valid = self._apply(item, entry)
            verdicts.append(
                journal_api.Verdict(item.entry_id, valid, entry.offset)
            )
        self._change(offset=entry.offset)
        return tuple(verdicts)

    def snapshot(self) -> bytes:
        """Return the full state."""
        return journal_entries.pack(self._image)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot's."""
        self._image = journal_entries.unpack(snapshot, _Image)

    def _change(self, **fields: object) -> None:
        self._image = msgspec.structs.replace(self._image, **fields)

    def _apply(
        self, item: entries.LedgerEntry, entry: external_api.LogEntry
    ) -> bool:
        match item:
            case ownership_entries.Claim() | ownership_entries.Release():
                return self._apply_ownership(item, entry.offset)
            case entries.Intent():
                return self._apply_intent(item, entry.time)
            case entries.Outcome():
                return self._apply_outcome(item, entry.time)
            case entries.SlotAssigned():
                return self._apply_assigned(item)
            case entries.SlotFreed():
                return self._apply_freed(item)

    def _apply_ownership(
        self,
        item: ownership_entries.Claim | ownership_entries.Release,
        offset: int,
    ) -> bool:
        changed = ownership_core.apply(self.ownership, item, offset)
        if changed is None:
            return False
        sequence = self.sequence if changed.epoch != offset else -1
        self._change(ownership=changed, sequence=sequence)
        return True

    def _apply_intent(self, item: entries.Intent, time: float) -> bool:
        if not self.ownership.permits(item.epoch):
            return False
        if item.sequence <= self.sequence:
            return False
        if item.entry_id != item.order.order_id:
            return False
        intent = OpenIntent(item.epoch, item.server_id, item.order, time)
        open_intents = {**self._image.open_intents, item.entry_id: intent}
        self._change(sequence=item.sequence, open_intents=open_intents)
        return True

    def _apply_outcome(self, item: entries.Outcome, time: float) -> bool:
        intent = self._image.open_intents.get(item.order_id)
        if intent is None:
            return False
        match item.end:
            case entries.OrderEnd.NOT_RUN:
                valid = item.epoch == intent.epoch and self.ownership.permits(
                    item.epoch
                )
            case entries.OrderEnd.BOUND:
                waited = time - intent.time
                valid = 0 < item.bound_seconds <= waited
            case _:
                valid = True
        if not valid:
            return False
        open_intents = dict(self._image.open_intents)
        del open_intents[item.order_id]
        self._change(open_intents=open_intents)
        return True

    def _apply_assigned(self, item: entries.SlotAssigned) -> bool:
        if not self.ownership.permits(item.epoch):
            return False
        holder = self._image.slots.get(item.slot, SlotHolder('', -1))
        if holder.pool not in ('', item.pool):
            return False
        if holder.pool and holder.pool_epoch > item.pool_epoch:
            return False
        return self._set_slot(item.slot, item.pool, item.pool_epoch)

    def _apply_freed(self, item: entries.SlotFreed) -> bool:
        if not self.ownership.permits(item.epoch):
            return False
        holder = self._image.slots.get(item.slot)
        if holder is None or holder != (
            SlotHolder(item.pool, item.pool_epoch)
        ):
            return False
        slots = dict(self._image.slots)
        del slots[item.slot]
        self._change(slots=slots)
        return True

    def _set_slot(self, slot: int, pool: str, pool_epoch: int) -> bool:
        holder = SlotHolder(pool, pool_epoch)
        self._change(slots={**self._image.slots, slot: holder})
        return True
