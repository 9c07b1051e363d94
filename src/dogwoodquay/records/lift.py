"""Lifts records of every version to the newest form and to the catalogue's.

A stored record keeps each field with the version and offset that set it. A
record sets the fields that its version knows and leaves the others as they
are, so that a tool of an old version strips nothing. Where an old version
shows a field more coarsely, a value that looks unchanged to it stays as it is.
"""

from __future__ import annotations

import typing

import msgspec

from . import api
from . import wire

__all__ = ['GIB', 'Field', 'Internal', 'Stored', 'internal', 'merge']

GIB: typing.Final = 2**30

Internal = (
    api.Adapter
    | api.Caller
    | api.Model
    | api.Policy
    | api.Pool
    | api.Rollout
    | api.Service
)

_HEADER: typing.Final = frozenset(
    {'schema_version', 'kind', 'name', 'expected_offset', 'record_id'}
)
_CLASSES: typing.Final[dict[str, type[Internal]]] = {
    'adapter': api.Adapter,
    'caller': api.Caller,
    'model': api.Model,
    'policy': api.Policy,
    'pool': api.Pool,
    'rollout': api.Rollout,
    'service': api.Service,
}
_NAME_FIELDS: typing.Final = {'rollout': 'target', 'policy': ''}


class Field(msgspec.Struct, frozen=True, array_like=True):
    """A field's value in JSON's types, and the record that set it."""

    value: typing.Any
    schema_version: int
    offset: int


class Stored(msgspec.Struct, frozen=True):
    """A declared record in the newest form, field by field."""

    kind: str
    name: str
    offset: int
    schema_version: int
    fields: dict[str, Field]


def merge(previous: Stored | None, record: wire.Record, offset: int) -> Stored:
    """Return what is stored once a record is in force.

    :param previous: what was stored under the same kind and name.
    """
    version = record.version_number
    values = _values(previous, record)
    fields = dict(previous.fields) if previous is not None else {}
    for name, value in values.items():
        fields[name] = Field(value, version, offset)
    return Stored(record.kind_name, record.name, offset, version, fields)


def internal(stored: Stored) -> Internal:
    """Return the catalogue's form of a stored record."""
    values = {name: field.value for name, field in stored.fields.items()}
    name_field = _NAME_FIELDS.get(stored.kind, 'name')
    if name_field:
        values[name_field] = stored.name
    return msgspec.convert(values, _CLASSES[stored.kind])


def _values(
    previous: Stored | None, record: wire.Record
) -> dict[str, typing.Any]:
    """Return the newest form of the fields that a record sets."""
    values: dict[str, typing.Any] = msgspec.to_builtins(record)
    for name in _HEADER:
        values.pop(name, None)
    match record:
        case wire.ModelV1(memory_gib=memory_gib):
            del values['memory_gib']
            if memory_gib != _shown_gib(previous):
                values['memory_bytes'] = memory_gib * GIB
    return values


def _shown_gib(previous: Stored | None) -> int | None:
    """Return the memory as version 1 shows what is stored."""
    if previous is None:
        return None
    size: int = previous.fields['memory_bytes'].value
    return -(-size // GIB)
