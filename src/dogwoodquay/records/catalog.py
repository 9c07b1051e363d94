"""The catalog as a pure function of the operators' stream."""

from __future__ import annotations

import collections
import typing

import msgspec

from . import api
from . import decode
from . import refusal
from . import rules
from . import upgrade
from . import wire

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Accepted', 'CatalogState', 'Outcome', 'RefusedRecord']

MAX_KEPT_REFUSALS: typing.Final = 100

_CATALOG_FIELDS: typing.Final = {
    'adapter': 'adapters',
    'caller': 'callers',
    'model': 'models',
    'pool': 'pools',
    'rollout': 'rollouts',
    'service': 'services',
}


class Accepted(msgspec.Struct, frozen=True):
    """The record at an offset was applied."""

    offset: int
    kind: str
    name: str
    record_id: str = ''


class RefusedRecord(msgspec.Struct, frozen=True):
    """The record at an offset was refused and changed nothing."""

    offset: int
    kind: str
    name: str
    reason: refusal.Reason
    explanation: str
    record_id: str = ''


Outcome = Accepted | RefusedRecord

_Key = tuple[str, str]


class CatalogState:
    """The declared records up to an offset, with the origin of each field.

    The same records at the same offsets lead to the same state on every
    instance.
    """

    def __init__(self) -> None:
        self._catalog = api.Catalog()
        self._stored: dict[_Key, upgrade.StoredRecord] = {}
        self._refused: collections.deque[RefusedRecord] = collections.deque(
            maxlen=MAX_KEPT_REFUSALS
        )

    @property
    def catalog(self) -> api.Catalog:
        """The active declarations; a new object after each change."""
        return self._catalog

    @property
    def offset(self) -> int:
        """The last replayed offset, -1 before the first record."""
        return self._catalog.offset

    @property
    def refused(self) -> tuple[RefusedRecord, ...]:
        """The most recently refused records, oldest first."""
        return tuple(self._refused)

    @property
    def stored(self) -> tuple[upgrade.StoredRecord, ...]:
        """All declared records, sorted by kind and name."""
        return tuple(self._stored[key] for key in sorted(self._stored))

    def find(self, kind: str, name: str) -> upgrade.StoredRecord | None:
        """Return the declared record of a kind and name, if any."""
        return self._stored.get((kind, name))

    def apply(self, offset: int, payload: bytes) -> Outcome | None:
        """Replay the record at an offset.

        :return: ``None`` for an offset that was replayed before.
        """
        if offset <= self.offset:
            return None
        header = decode.read_header(payload)
        refused = self._apply_record(offset, payload)
        if refused is None:
            return Accepted(offset, header.kind, header.name, header.record_id)
        outcome = RefusedRecord(
            offset,
            refusal.shorten(header.kind),
            refusal.shorten(header.name),
            refused.reason,
            refused.explanation,
            refusal.shorten(header.record_id),
        )
        self._refused.append(outcome)
        self._catalog = msgspec.structs.replace(self._catalog, offset=offset)
        return outcome

    def load(
        self,
        offset: int,
        stored: abc.Iterable[upgrade.StoredRecord],
        refused: abc.Iterable[RefusedRecord],
    ) -> bool:
        """Replace the state; return false if the given one is not newer."""
        if offset <= self.offset:
            return False
        self._stored = {(item.kind, item.name): item for item in stored}
        self._refused.clear()
        self._refused.extend(refused)
        catalog = api.Catalog(offset=offset)
        for item in self._stored.values():
            catalog = _with_record(
                catalog, item.kind, item.name, upgrade.to_internal(item)
            )
        self._catalog = catalog
        return True

    def _apply_record(
        self, offset: int, payload: bytes
    ) -> refusal.Refusal | None:
        record = decode.decode(payload)
        if isinstance(record, refusal.Refusal):
            return record
        refused = rules.check_policy_name(record) or self._check_offset(record)
        if refused is not None:
            return refused
        if isinstance(record, wire.Withdrawal):
            return self._withdraw(offset, record)
        return self._declare(offset, record)

    def _check_offset(self, record: wire.Record) -> refusal.Refusal | None:
        """Check a conditional record against the active record."""
        if record.expected_offset is None:
            return None
        declared = self.find(record.kind_name, record.name)
        offset = declared.offset if declared is not None else -1
        if record.expected_offset == offset:
            return None
        return refusal.refuse_value(
            refusal.Reason.LOST_RACE,
            '$.expected_offset',
            record.expected_offset,
            f'{offset}, the offset of {record.kind_name} {record.name}'
            ' in force (-1 for none)',
        )

    def _declare(
        self, offset: int, record: wire.Record
    ) -> refusal.Refusal | None:
        key = (record.kind_name, record.name)
        stored = upgrade.merge(self._stored.get(key), record, offset)
        item = upgrade.to_internal(stored)
        after = _with_record(self._catalog, *key, item)
        refused = rules.check_declaration(self._catalog, after, item)
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
            return refusal.refuse_value(
                refusal.Reason.NOT_DECLARED,
                '$.name',
                record.name,
                f'the name of a declared {record.kind}',
            )
        refused = rules.check_withdrawal(self._catalog, *key)
        if refused is not None:
            return refused
        del self._stored[key]
        after = _with_record(self._catalog, *key, None)
        self._catalog = msgspec.structs.replace(after, offset=offset)
        return None


def _with_record(
    catalog: api.Catalog,
    kind: str,
    name: str,
    item: upgrade.InternalRecord | None,
) -> api.Catalog:
    """Return a catalog with one record set, or removed for ``None``."""
    if kind == 'policy':
        policy = item if isinstance(item, api.Policy) else api.Policy()
        return msgspec.structs.replace(catalog, policy=policy)
    field = _CATALOG_FIELDS[kind]
    items = dict(getattr(catalog, field))
    if item is None:
        items.pop(name, None)
    else:
        items[name] = item
    return msgspec.structs.replace(catalog, **{field: items})
