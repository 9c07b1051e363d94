"""Reads a record from the log's bytes, or says why it is none."""

from __future__ import annotations

import re
import typing

import msgspec

from . import refusal
from . import wire

__all__ = ['Header', 'MAX_RECORD_BYTES', 'decode', 'header']

MAX_RECORD_BYTES: typing.Final = 256 * 1024

_AT: typing.Final = re.compile(r'^(?P<text>.*?)(?: - at `(?P<path>[^`]*)`)?$')
_STEP: typing.Final = re.compile(r'\.([^.\[]+)|\[(\d+)\]')
_FIELD: typing.Final = re.compile(r'field `([^`]*)`')
_NOTHING: typing.Final = '(nothing)'


class Header(msgspec.Struct, frozen=True):
    """What can be told of a record before its version is known."""

    schema_version: int = 0
    kind: str = ''
    name: str = ''
    record_id: str = ''
    withdraw: bool = False


_UNREADABLE: typing.Final = Header()


def header(payload: bytes) -> Header:
    """Return as much as can be told of a record, also of a bad one."""
    try:
        return msgspec.json.decode(payload, type=Header)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _UNREADABLE


def decode(payload: bytes) -> wire.Record | refusal.Refusal:
    """Return the record that a payload holds, or why it is refused."""
    if len(payload) > MAX_RECORD_BYTES:
        return refusal.allow(
            refusal.Reason.TOO_LARGE,
            'the record',
            f'{len(payload)} bytes',
            f'at most {MAX_RECORD_BYTES} bytes',
        )
    try:
        raw = msgspec.json.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return refusal.Refusal(
            refusal.Reason.UNPARSABLE, f'the record is not JSON: {error}'
        )
    if not isinstance(raw, dict):
        return refusal.allow(
            refusal.Reason.UNPARSABLE, '$', raw, 'a JSON object'
        )
    form = _form(raw)
    if isinstance(form, refusal.Refusal):
        return form
    return _convert(raw, form)


def _form(raw: dict[str, typing.Any]) -> type[wire.Record] | refusal.Refusal:
    """Return the class for a record's kind and version."""
    kind = raw.get('kind', _NOTHING)
    versions = wire.KINDS.get(kind) if isinstance(kind, str) else None
    if versions is None:
        return refusal.allow(
            refusal.Reason.UNKNOWN_KIND,
            '$.kind',
            kind,
            ', '.join(sorted(wire.KINDS)),
        )
    version = raw.get('schema_version', _NOTHING)
    form = versions.get(version) if type(version) is int else None
    if form is None:
        return refusal.allow(
            refusal.Reason.UNKNOWN_VERSION,
            '$.schema_version',
            version,
            f'for {kind} one of {", ".join(map(str, sorted(versions)))}',
        )
    return wire.Withdrawal if 'withdraw' in raw else form


def _convert(
    raw: dict[str, typing.Any], form: type[wire.Record]
) -> wire.Record | refusal.Refusal:
    try:
        return msgspec.convert(raw, form)
    except msgspec.ValidationError as error:
        return _explain(raw, form, str(error))


def _explain(
    raw: dict[str, typing.Any], form: type[wire.Record], message: str
) -> refusal.Refusal:
    found = _AT.match(message.replace('\n', ' '))
    text = found['text'] if found else message
    path = (found['path'] if found else None) or '$'
    value = _find(raw, path)
    field = _FIELD.search(text)
    if 'unknown field' in text and field is not None:
        known = ', '.join(_known_fields(raw, form, path))
        return refusal.allow(
            refusal.Reason.UNKNOWN_FIELD,
            f'{path}.{field[1]}',
            value.get(field[1]) if isinstance(value, dict) else value,
            f'{known or "other fields"} in version {raw["schema_version"]}',
        )
    if 'missing required field' in text and field is not None:
        return refusal.allow(
            refusal.Reason.BAD_VALUE,
            f'{path}.{field[1]}',
            _NOTHING,
            'a value; the field is required',
        )
    allowed = text.removeprefix('Expected ').partition(', got')[0]
    return refusal.allow(refusal.Reason.BAD_VALUE, path, value, allowed)


def _known_fields(
    raw: dict[str, typing.Any], form: type[wire.Record], path: str
) -> tuple[str, ...]:
    if path != '$':
        return ()
    return tuple(sorted(form.__struct_fields__))


def _find(raw: dict[str, typing.Any], path: str) -> typing.Any:
    """Return the value at a path, or the nearest one around it."""
    value: typing.Any = raw
    for match in _STEP.finditer(path.lstrip('$')):
        key, index = match[1], match[2]
        if key and isinstance(value, dict) and key in value:
            value = value[key]
        elif index and isinstance(value, list) and int(index) < len(value):
            value = value[int(index)]
        else:
            return value
    return value
