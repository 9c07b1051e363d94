"""Reasons for the refusal of a record, and the text of a refusal."""

from __future__ import annotations

import enum
import typing

import msgspec

__all__ = ['Reason', 'Refusal', 'refuse_value', 'shorten']

MAX_EXPLANATION_CHARACTERS: typing.Final = 600
_MAX_VALUE_CHARACTERS: typing.Final = 80


class Reason(enum.StrEnum):
    """Stable reason codes, also used as metric labels."""

    TOO_LARGE = 'too_large'
    UNPARSABLE = 'unparsable'
    UNKNOWN_KIND = 'unknown_kind'
    UNKNOWN_VERSION = 'unknown_version'
    UNKNOWN_FIELD = 'unknown_field'
    BAD_VALUE = 'bad_value'
    UNRESOLVED = 'unresolved'
    CLASH = 'clash'
    LOST_RACE = 'lost_race'
    NOT_DECLARED = 'not_declared'
    IN_USE = 'in_use'
    DOES_NOT_FIT = 'does_not_fit'


class Refusal(msgspec.Struct, frozen=True):
    """The reason why a record was not applied."""

    reason: Reason
    explanation: str


def refuse_value(
    reason: Reason, path: str, value: object, allowed: str
) -> Refusal:
    """Return a refusal that names the path, its value and allowed values."""
    shown = shorten(msgspec.json.encode(value).decode())
    text = f'{shorten(path)} is {shown}; allowed: {allowed}'
    return Refusal(reason, shorten(text, MAX_EXPLANATION_CHARACTERS))


def shorten(text: str, length: int = _MAX_VALUE_CHARACTERS) -> str:
    """Return the first ``length`` characters, with an ellipsis if cut."""
    return text if len(text) <= length else f'{text[:length]}...'
