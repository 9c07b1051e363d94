"""The catalogue as a pure function of the operators' stream."""

from __future__ import annotations

import collections
import typing

import msgspec

from . import api
from . import decode
from . import lift
from . import refusal
from . import rules
from . import wire

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Accepted', 'CatalogState', 'Outcome', 'RefusedRecord']

KEPT_REFUSALS: typing.Final = 100

_FIELDS: typing.Final = {
    'adapter': 'adapters',
    'caller': 'callers',
    'model': 'models',
    'pool': 'pools',
    'rollout': 'rollouts',
    'service': 'services',
}


class Accepted(msgspec.Struct, frozen=True):
    """The record at an offset is in force."""

    offset: int
    kind: str
    name: str
    record_id: str = ''


class RefusedRecord(msgspec.Struct, frozen=True):
    """The record at an offset changed nothing; ``explanation`` says why."""

    offset: int
    kind: str
    name: str
    reason: refusal.Reason
    explanation: str
    record_id: str = ''


Outcome = Accepted | RefusedRecord

_Key = tuple[str, str]


class CatalogState:
    """What is declared after some offset, with the origin of each field.

    The same records at the same offsets lead to the same state everywhere.
    """

    def __init__(self) -> None:
        self._catalog = api.Catalog()
        self._stored: dict[_Key, lift.Stored] = {}
        self._refused: collections.deque[RefusedRecord] = collections.deque(
            maxlen=KEPT_REFUSALS
        )

    @property
    def catalog(self) -> api.Catalog:
        """What is in force; a new object after each change."""
        return self._catalog

    @property
    def offset(self) -> int:
        """The last offset that is reflected here, -1 before the first."""
        return self._catalog.offset

    @property
    def refused(self) -> tuple[RefusedRecord, ...]:
        """The last refused records, oldest first."""
        return tuple(self._refused)

    @property
    def stored(self) -> tuple[lift.Stored, ...]:
        """All declared records with the origin of their fields."""
        return tuple(self._stored[key] for key in sorted(self._stored))

    def find(self, kind: str, name: str) -> lift.Stored | None:
        """Return a declared record."""
        return self._stored.get((kind, name))

    def apply(self, offset: int, payload: bytes) -> Outcome | None:
        """Take in the record at an offset.

        :return: ``None`` for an offset that is reflected here already.
        """
        if offset <= self.offset:
            return None
        head = decode.header(payload)
        refused = self._take(offset, payload)
        if refused is None:
            return Accepted(offset, head.kind, head.name, head.record_id)
        outcome = RefusedRecord(
            offset,
            refusal.cut(head.kind),
            refusal.cut(head.name),
            refused.reason,
            refused.explanation,
            refusal.cut(head.record_id),
        )
        self._refused.append(outcome)
        self._catalog = msgspec.structs.replace(self._catalog, offset=offset)
        return outcome

    def load(
        self,
        offset: int,
        stored: abc.Iterable[lift.Stored],
        refused: abc.Iterable[RefusedRecord],
    ) -> bool:
        """Take over a whole state; false when it is not newer."""
        if offset <= self.offset:
            return False
        self._stored = {(item.kind, item.name): item for item in stored}
        self._refused.clear()
        self._refused.extend(refused)
        catalog = api.Catalog(offset=offset)
        for item in self._stored.values():
            catalog = _with(catalog, item.kind, item.name, lift.internal(item))
        self._catalog = catalog
        return True

    def _take(self, offset: int, payload: bytes) -> refusal.Refusal | None:
        record = decode.decode(payload)
        if isinstance(record, refusal.Refusal):
            return record
        refused = rules.check_policy_name(record) or self._check_race(record)
        if refused is not None:
            return refused
        if isinstance(record, wire.Withdrawal):
            return self._withdraw(offset, record)
        return self._declare(offset, record)

    def _check_race(self, record: wire.Record) -> refusal.Refusal | None:
        """Check a conditional record against what is in force."""
        if record.expected_offset is None:
            return None
        present = self.find(record.kind_name, record.name)
        offset = present.offset if present is not None else -1
        if record.expected_offset == offset:
            return None
        return refusal.allow(
            refusal.Reason.LOST_RACE,
            '$.expected_offset',
            record.expected_offset,
            f'{offset}, the offset of {record.kind_name} {record.name}'
            ' now in force (-1 for none)',
        )

    def _declare(
        self, offset: int, record: wire.Record
    ) -> refusal.Refusal | None:
        key = (record.kind_name, record.name)
        stored = lift.merge(self._stored.get(key), record, offset)
        item = lift.internal(stored)
        after = _with(self._catalog, *key, item)
        refused = rules.check_declared(self._catalog, after, item)
        if refused is not None:
            return refused
        self._stored[key] = stored
        self._catalog = msgspec.structs.replace(after, offset=offset)
        return None

    def _withdraw(
        self, offset: int, record: wire.Withdrawal
    ) -> refusal.Refusal | None:
        key = (record.kind, record.name)
        if key not in self._stored:
            return refusal.allow(
                refusal.Reason.NOT_DECLARED,
                '$.name',
                record.name,
                f'the name of a declared {record.kind}',
            )
        refused = rules.check_withdrawal(self._catalog, *key)
        if refused is not None:
            return refused
        del self._stored[key]
        after = _with(self._catalog, *key, None)
        self._catalog = msgspec.structs.replace(after, offset=offset)
        return None


def _with(
    catalog: api.Catalog, kind: str, name: str, item: lift.Internal | None
) -> api.Catalog:
    """Return a catalogue with one record set, or removed for ``None``."""
    if kind == 'policy':
        policy = item if isinstance(item, api.Policy) else api.Policy()
        return msgspec.structs.replace(catalog, policy=policy)
    field = _FIELDS[kind]
    items = dict(getattr(catalog, field))
    if item is None:
        items.pop(name, None)
    else:
        items[name] = item
    return msgspec.structs.replace(catalog, **{field: items})
