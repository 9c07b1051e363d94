"""Decodes records from the log and explains why a record is refused."""

from __future__ import annotations

import re
import typing

import msgspec

from . import refusal
from . import wire

__all__ = ['Header', 'MAX_RECORD_BYTES', 'decode', 'read_header']

MAX_RECORD_BYTES: typing.Final = 256 * 1024

_ERROR_WITH_PATH: typing.Final = re.compile(
    r'^(?P<text>.*?)(?: - at `(?P<path>[^`]*)`)?$'
)
_PATH_STEP: typing.Final = re.compile(r'\.([^.\[]+)|\[(\d+)\]')
_FIELD_NAME: typing.Final = re.compile(r'field `([^`]*)`')
_MISSING: typing.Final = '(missing)'


class Header(msgspec.Struct, frozen=True):
    """The fields that are read before a record's version is known."""

    schema_version: int = 0
    kind: str = ''
    name: str = ''
    record_id: str = ''
    withdraw: bool = False


_UNREADABLE: typing.Final = Header()


def read_header(payload: bytes) -> Header:
    """Return the header fields of a record; defaults if it is unreadable."""
    try:
        return msgspec.json.decode(payload, type=Header)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _UNREADABLE


def decode(payload: bytes) -> wire.Record | refusal.Refusal:
    """Return the record in a payload, or the reason for its refusal."""
    if len(payload) > MAX_RECORD_BYTES:
        return refusal.refuse_value(
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
        return refusal.refuse_value(
            refusal.Reason.UNPARSABLE, '$', raw, 'a JSON object'
        )
    record_type = _find_record_type(raw)
    if isinstance(record_type, refusal.Refusal):
        return record_type
    return _convert(raw, record_type)


def _find_record_type(
    raw: dict[str, typing.Any],
) -> type[wire.Record] | refusal.Refusal:
    """Return the class of a record's kind and version."""
    kind = raw.get('kind', _MISSING)
    versions = wire.KINDS.get(kind) if isinstance(kind, str) else None
    if versions is None:
        return refusal.refuse_value(
            refusal.Reason.UNKNOWN_KIND,
            '$.kind',
            kind,
            ', '.join(sorted(wire.KINDS)),
        )
    version = raw.get('schema_version', _MISSING)
    record_type = versions.get(version) if type(version) is int else None
    if record_type is None:
        return refusal.refuse_value(
            refusal.Reason.UNKNOWN_VERSION,
            '$.schema_version',
            version,
            f'for {kind} one of {", ".join(map(str, sorted(versions)))}',
        )
    return wire.Withdrawal if 'withdraw' in raw else record_type


def _convert(
    raw: dict[str, typing.Any], record_type: type[wire.Record]
) -> wire.Record | refusal.Refusal:
    try:
        return msgspec.convert(raw, record_type)
    except msgspec.ValidationError as error:
        return _explain_error(raw, record_type, str(error))


def _explain_error(
    raw: dict[str, typing.Any], record_type: type[wire.Record], message: str
) -> refusal.Refusal:
    """Turn an error message of msgspec into a refusal."""
    found = _ERROR_WITH_PATH.match(message.replace('\n', ' '))
    text = found['text'] if found else message
    path = (found['path'] if found else None) or '$'
    value = _value_at(raw, path)
    field = _FIELD_NAME.search(text)
    if 'unknown field' in text and field is not None:
        known = ', '.join(_known_fields(raw, record_type, path))
        return refusal.refuse_value(
            refusal.Reason.UNKNOWN_FIELD,
            f'{path}.{field[1]}',
            value.get(field[1]) if isinstance(value, dict) else value,
            f'{known or "other fields"} in version {raw["schema_version"]}',
        )
    if 'missing required field' in text and field is not None:
        return refusal.refuse_value(
            refusal.Reason.BAD_VALUE,
            f'{path}.{field[1]}',
            _MISSING,
            'a value; the field is required',
        )
    allowed = text.removeprefix('Expected ').partition(', got')[0]
    return refusal.refuse_value(refusal.Reason.BAD_VALUE, path, value, allowed)


def _known_fields(
    raw: dict[str, typing.Any], record_type: type[wire.Record], path: str
) -> tuple[str, ...]:
    if path != '$':
        return ()
    return tuple(sorted(record_type.__struct_fields__))


def _value_at(raw: dict[str, typing.Any], path: str) -> typing.Any:
    """Return the value at a path, or that of its nearest existing parent."""
    value: typing.Any = raw
    for match in _PATH_STEP.finditer(path.lstrip('$')):
        key, index = match[1], match[2]
        if key and isinstance(value, dict) and key in value:
            value = value[key]
        elif index and isinstance(value, list) and int(index) < len(value):
            value = value[int(index)]
        else:
            return value
    return value
