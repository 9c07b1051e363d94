"""Reads settings from JSON with comments and validates them."""

from __future__ import annotations

import dataclasses
import pathlib
import re
import typing

import expression
import json5
import msgspec

from . import schema

__all__ = ['SettingsError', 'load', 'parse']

_MAX_VALUE_CHARACTERS: typing.Final = 60
_ERROR_WITH_PATH: typing.Final = re.compile(
    r'^(?P<what>.*?)( - at `(?P<at>.*)`)?$'
)
_PATH_STEP: typing.Final = re.compile(r'\.([^.\[]+)|\[(\d+)\]')
_SECRET_KEYS: typing.Final = frozenset({'secrets', 'token'})


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsError:
    """An invalid setting: its path, its value and the allowed values."""

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f'{self.path}: {self.allowed}, got {self.value}'


def load(
    file: pathlib.Path,
) -> expression.Result[schema.Settings, SettingsError]:
    """Read and validate a settings file."""
    try:
        text = file.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error(
            SettingsError(str(file), 'nothing', f'Expected a file ({error})')
        )
    return parse(text)


def parse(
    text: str,
) -> expression.Result[schema.Settings, SettingsError]:
    """Validate settings given as JSON with comments."""
    try:
        raw = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        return expression.Error(
            SettingsError('$', 'other text', f'Expected JSON ({error})')
        )
    try:
        return expression.Ok(msgspec.convert(raw, schema.Settings))
    except msgspec.ValidationError as error:
        return expression.Error(_explain_error(raw, str(error)))


def _explain_error(raw: object, message: str) -> SettingsError:
    """Turn an error message of msgspec into a ``SettingsError``."""
    found = _ERROR_WITH_PATH.match(message)
    path = '$' if found is None else found['at'] or '$'
    allowed = message if found is None else found['what']
    return SettingsError(path, _describe_value(raw, path), allowed)


def _describe_value(raw: object, path: str) -> str:
    """Describe the value at a path, without showing secrets."""
    value = raw
    for key, index in _PATH_STEP.findall(path):
        if key in _SECRET_KEYS:
            return 'a secret (not shown)'
        match value:
            case dict() if key in value:
                value = value[key]
            case list() if index and int(index) < len(value):
                value = value[int(index)]
            case _:
                return 'nothing'
    if isinstance(value, dict):
        return 'an object with ' + (', '.join(sorted(value)) or 'no keys')
    text = repr(value)
    if len(text) > _MAX_VALUE_CHARACTERS:
        return text[:_MAX_VALUE_CHARACTERS] + '...'
    return text
