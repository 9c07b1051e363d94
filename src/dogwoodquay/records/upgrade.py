"""Converts records of every schema version to the newest and internal form.

A stored record keeps each field with the schema version and offset that set
it. A record sets the fields of its own schema version and leaves the others
unchanged, so that a tool with an old version does not remove newer fields. If
an old version has a lower precision for a field, the stored value is kept
unless the field changes in that precision.
"""

from __future__ import annotations

import typing

import msgspec

from . import api
from . import wire

__all__ = [
    'GIB',
    'InternalRecord',
    'StoredField',
    'StoredRecord',
    'merge',
    'to_internal',
]

GIB: typing.Final = 2**30

InternalRecord = (
    api.Adapter
    | api.Caller
    | api.Model
    | api.Policy
    | api.Pool
    | api.Rollout
    | api.Service
)

_HEADER_FIELDS: typing.Final = frozenset(
    {'schema_version', 'kind', 'name', 'expected_offset', 'record_id'}
)
_INTERNAL_CLASSES: typing.Final[dict[str, type[InternalRecord]]] = {
    'adapter': api.Adapter,
    'caller': api.Caller,
    'model': api.Model,
    'policy': api.Policy,
    'pool': api.Pool,
    'rollout': api.Rollout,
    'service': api.Service,
}
_NAME_FIELDS: typing.Final = {'rollout': 'target', 'policy': ''}


class StoredField(msgspec.Struct, frozen=True, array_like=True):
    """A field's value as a JSON type, and the origin of the value."""

    value: typing.Any
    schema_version: int
    offset: int


class StoredRecord(msgspec.Struct, frozen=True):
    """A declared record in the newest schema version."""

    kind: str
    name: str
    offset: int
    schema_version: int
    fields: dict[str, StoredField]


def merge(
    previous: StoredRecord | None, record: wire.Record, offset: int
) -> StoredRecord:
    """Return the stored record after a new record is applied.

    :param previous: the stored record of the same kind and name.
    """
    version = record.version_number
    values = _field_values(previous, record)
    fields = dict(previous.fields) if previous is not None else {}
    for name, value in values.items():
        fields[name] = StoredField(value, version, offset)
    return StoredRecord(record.kind_name, record.name, offset, version, fields)


def to_internal(stored: StoredRecord) -> InternalRecord:
    """Return the internal form of a stored record for the catalog."""
    values = {name: field.value for name, field in stored.fields.items()}
    name_field = _NAME_FIELDS.get(stored.kind, 'name')
    if name_field:
        values[name_field] = stored.name
    return msgspec.convert(values, _INTERNAL_CLASSES[stored.kind])


def _field_values(
    previous: StoredRecord | None, record: wire.Record
) -> dict[str, typing.Any]:
    """Return the fields that a record sets, in the newest version."""
    values: dict[str, typing.Any] = msgspec.to_builtins(record)
    for name in _HEADER_FIELDS:
        values.pop(name, None)
    match record:
        case wire.ModelV1(memory_gib=memory_gib):
            del values['memory_gib']
            if memory_gib != _memory_gib(previous):
                values['memory_bytes'] = memory_gib * GIB
    return values


def _memory_gib(previous: StoredRecord | None) -> int | None:
    """Return the stored memory size in whole GiB, as in version 1."""
    if previous is None:
        return None
    size: int = previous.fields['memory_bytes'].value
    return -(-size // GIB)
