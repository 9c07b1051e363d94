"""Reasons for which a record is refused, and how the refusal reads."""

from __future__ import annotations

import enum
import typing

import msgspec

__all__ = ['Reason', 'Refusal', 'allow', 'cut']

MAX_EXPLANATION_CHARACTERS: typing.Final = 600
_SHOWN_CHARACTERS: typing.Final = 80


class Reason(enum.StrEnum):
    """Stable reasons; each is also a counter's label."""

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
    """Why a record is not in force."""

    reason: Reason
    explanation: str


def allow(reason: Reason, path: str, value: object, allowed: str) -> Refusal:
    """Return a refusal that names path, value and what is allowed."""
    shown = cut(msgspec.json.encode(value).decode())
    text = f'{cut(path)} is {shown}; allowed: {allowed}'
    return Refusal(reason, cut(text, MAX_EXPLANATION_CHARACTERS))


def cut(text: str, length: int = _SHOWN_CHARACTERS) -> str:
    """Return a text that is no longer than what is worth showing."""
    return text if len(text) <= length else f'{text[:length]}...'
