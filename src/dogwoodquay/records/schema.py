"""JSON Schemas of all kinds of records and their versions."""

from __future__ import annotations

import typing

import msgspec

from . import wire

__all__ = ['SchemaFile', 'schemas']

_DIALECT: typing.Final = 'https://json-schema.org/draft/2020-12/schema'


class SchemaFile(typing.NamedTuple):
    """A schema and the name of a file for it."""

    name: str
    content: bytes


def schemas() -> tuple[SchemaFile, ...]:
    """Return a schema for each kind and version, and for withdrawals."""
    found = [
        _schema(f'{kind}-v{version}', form)
        for kind, versions in sorted(wire.KINDS.items())
        for version, form in sorted(versions.items())
    ]
    found.append(_schema('withdrawal', wire.Withdrawal))
    return tuple(found)


def _schema(name: str, form: type[wire.Record]) -> SchemaFile:
    content = {'$schema': _DIALECT, **msgspec.json.schema(form)}
    encoded = msgspec.json.encode(content, order='sorted')
    return SchemaFile(
        f'{name}.schema.json', msgspec.json.format(encoded, indent=2) + b'\n'
    )
