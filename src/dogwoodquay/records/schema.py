"""JSON Schemas of all kinds of records and their versions."""

from __future__ import annotations

import typing

import msgspec

from . import wire

__all__ = ['SchemaFile', 'schemas']

_DIALECT: typing.Final = 'https://json-schema.org/draft/2020-12/schema'


class SchemaFile(typing.NamedTuple):
    """A JSON Schema and its file name."""

    name: str
    content: bytes


def schemas() -> tuple[SchemaFile, ...]:
    """Return a schema for each kind and version, and for withdrawals."""
    files = [
        _schema(f'{kind}-v{version}', record_type)
        for kind, versions in sorted(wire.KINDS.items())
        for version, record_type in sorted(versions.items())
    ]
    files.append(_schema('withdrawal', wire.Withdrawal))
    return tuple(files)


def _schema(name: str, record_type: type[wire.Record]) -> SchemaFile:
    content = {'$schema': _DIALECT, **msgspec.json.schema(record_type)}
    encoded = msgspec.json.encode(content, order='sorted')
    return SchemaFile(
        f'{name}.schema.json', msgspec.json.format(encoded, indent=2) + b'\n'
    )
