"""Crashes of servers and verdicts on parts of prompts."""

from __future__ import annotations

import typing

__all__ = [
    'BrokenRequest',
    'CrashReport',
    'MAX_PARTS',
    'MAX_PART_CHARACTERS',
    'Prompt',
    'Verdict',
    'prompt_of',
]

# Shared parts of a prompt that are considered, and their longest name.
MAX_PARTS: typing.Final = 16
MAX_PART_CHARACTERS: typing.Final = 64


class Prompt(typing.NamedTuple):
    """The identifiers of a prompt's parts.

    ``own`` is the last part, which belongs to the request or its session.
    """

    shared: frozenset[str]
    own: str


class BrokenRequest(typing.NamedTuple):
    """A request whose answer broke off when its server ended.

    ``shared`` holds the parts that may have caused it.
    """

    own: str
    shared: frozenset[str]


class CrashReport(typing.NamedTuple):
    """The end of a server, and the requests that one instance had there."""

    server_id: str
    at: float
    requests: tuple[BrokenRequest, ...]


class Verdict(typing.NamedTuple):
    """Parts that crash servers together.

    ``seen_at`` is when a request with all of them last came or crashed a
    server; ``crashes`` is the number of servers that had ended.
    """

    parts: frozenset[str]
    seen_at: float
    crashes: int


def prompt_of(parts: tuple[str, ...]) -> Prompt | None:
    """Return a prompt; ``None`` if it has no shared part.

    :param parts: the identifiers in the order of the prompt.
    """
    shared = frozenset(
        part
        for part in parts[:-1][:MAX_PARTS]
        if len(part) <= MAX_PART_CHARACTERS
    )
    if not shared:
        return None
    return Prompt(shared, parts[-1][:MAX_PART_CHARACTERS])
