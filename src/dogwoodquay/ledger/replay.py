"""Replayed state of a duty: its owner, open orders and slots.

A duty is a task that one instance does for all.
"""

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

__all__ = ['DutyState', 'OpenIntent', 'SlotAssignment', 'duty_stream']


class OpenIntent(msgspec.Struct, frozen=True):
    """An order without a known end; ``time`` is the log time of its entry."""

    epoch: int
    server_id: str
    order: external_api.Order
    time: float


class SlotAssignment(msgspec.Struct, frozen=True):
    """The pool that may use a slot; ``pool`` is empty for a free slot.

    ``pool_epoch`` is the highest epoch under which the pool requested it.
    """

    pool: str
    pool_epoch: int


class _State(msgspec.Struct, frozen=True):
    offset: int
    ownership: ownership_core.Ownership
    sequence: int
    open_intents: dict[str, OpenIntent]
    slots: dict[int, SlotAssignment]


def duty_stream(duty: str) -> str:
    """Return the name of the log stream that stores a duty's entries."""
    return f'duty/{duty}'


class DutyState:
    """The state after replaying the entries of one duty's stream."""

    def __init__(self, duty: str) -> None:
        self._state = _State(-1, ownership_core.Ownership(duty), -1, {}, {})

    @property
    def offset(self) -> int:
        """The last applied offset, or -1 if there is none."""
        return self._state.offset

    @property
    def ownership(self) -> ownership_core.Ownership:
        """The current ownership of the duty."""
        return self._state.ownership

    @property
    def sequence(self) -> int:
        """The sequence number of the epoch's last valid intent, or -1."""
        return self._state.sequence

    @property
    def open_intents(self) -> abc.Mapping[str, OpenIntent]:
        """Orders without a known end, by order id."""
        return types.MappingProxyType(self._state.open_intents)

    @property
    def slots(self) -> abc.Mapping[int, SlotAssignment]:
        """The assigned weight store slots, by number."""
        return types.MappingProxyType(self._state.slots)

    def apply(
        self, entry: external_api.LogEntry
    ) -> tuple[journal_api.Verdict, ...]:
        """Apply a record; each entry is checked against the state before it.

        :return: the verdict on each entry of the record.
        """
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
        return journal_entries.pack(self._state)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot."""
        self._state = journal_entries.unpack(snapshot, _State)

    def _change(self, **fields: object) -> None:
        self._state = msgspec.structs.replace(self._state, **fields)

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
        open_intents = {**self._state.open_intents, item.entry_id: intent}
        self._change(sequence=item.sequence, open_intents=open_intents)
        return True

    def _apply_outcome(self, item: entries.Outcome, time: float) -> bool:
        intent = self._state.open_intents.get(item.order_id)
        if intent is None:
            return False
        match item.end:
            case entries.OrderEnd.NOT_RUN:
                valid = item.epoch == intent.epoch and self.ownership.permits(
                    item.epoch
                )
            case entries.OrderEnd.BOUND:
                elapsed = time - intent.time
                valid = 0 < item.bound_seconds <= elapsed
            case _:
                valid = True
        if not valid:
            return False
        open_intents = dict(self._state.open_intents)
        del open_intents[item.order_id]
        self._change(open_intents=open_intents)
        return True

    def _apply_assigned(self, item: entries.SlotAssigned) -> bool:
        if not self.ownership.permits(item.epoch):
            return False
        assignment = self._state.slots.get(item.slot, SlotAssignment('', -1))
        if assignment.pool not in ('', item.pool):
            return False
        if assignment.pool and assignment.pool_epoch > item.pool_epoch:
            return False
        return self._set_slot(item.slot, item.pool, item.pool_epoch)

    def _apply_freed(self, item: entries.SlotFreed) -> bool:
        if not self.ownership.permits(item.epoch):
            return False
        assignment = self._state.slots.get(item.slot)
        if assignment is None or assignment != (
            SlotAssignment(item.pool, item.pool_epoch)
        ):
            return False
        slots = dict(self._state.slots)
        del slots[item.slot]
        self._change(slots=slots)
        return True

    def _set_slot(self, slot: int, pool: str, pool_epoch: int) -> bool:
        assignment = SlotAssignment(pool, pool_epoch)
        self._change(slots={**self._state.slots, slot: assignment})
        return True
