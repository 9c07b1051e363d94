"""Crashes of servers and verdicts on what their requests have in common."""

from __future__ import annotations

import hashlib
import typing

__all__ = [
    'BrokenRequest',
    'CrashReport',
    'MAX_PARTS',
    'MAX_PART_CHARACTERS',
    'Traits',
    'Verdict',
    'is_whole_request',
    'traits_of',
]

# Shared parts of a prompt that are considered, and the longest name that is
# kept as it is.
MAX_PARTS: typing.Final = 16
MAX_PART_CHARACTERS: typing.Final = 64
LONG_DIGEST_BYTES: typing.Final = 16
# Begins the trait that stands for all of a request; no identifier of a part
# of a prompt begins with it.
_REQUEST_PREFIX: typing.Final = 'request='


class Traits(typing.NamedTuple):
    """What a request has in common with others, or with its own repeats.

    ``shared`` holds the identifiers of its prompt's parts without the last
    one, which belongs to the request or its session, and one trait that
    stands for the whole request: it is the same when the request comes again.
    ``own`` tells requests apart.
    """

    shared: frozenset[str]
    own: str


class BrokenRequest(typing.NamedTuple):
    """A request whose answer broke off when its server ended.

    ``shared`` holds the traits that may have caused it.
    """

    own: str
    shared: frozenset[str]


class CrashReport(typing.NamedTuple):
    """The end of a server, and the requests that one instance had there.

    ``started_ms`` is the start of the process that has ended, in Unix
    milliseconds, by the entry that the instance knew; zero if it is unknown.
    A server may start again under its id.
    """

    server_id: str
    at: float
    requests: tuple[BrokenRequest, ...]
    started_ms: int = 0


class Verdict(typing.NamedTuple):
    """Traits of requests that crash servers; ``parts`` come together.

    ``seen_at`` is when a request with all of them last came or crashed a
    server; ``crashes`` is the number of servers that had ended.
    """

    parts: frozenset[str]
    seen_at: float
    crashes: int


def traits_of(parts: tuple[str, ...], identity: str = '') -> Traits | None:
    """Return a request's traits; ``None`` if nothing is known of it.

    :param parts: the identifiers of its prompt's parts, in their order.
    :param identity: the same text each time the request comes.
    """
    shared = {
        _short(part)
        for part in parts[:-1][:MAX_PARTS]
        if not is_whole_request(part)
    }
    whole = _REQUEST_PREFIX + identity
    if identity:
        shared.add(whole)
    if not shared:
        return None
    own = _short(parts[-1]) if parts else whole
    return Traits(frozenset(shared), own)


def _short(part: str) -> str:
    """Return an identifier of a part, a digest of a long one."""
    if len(part) <= MAX_PART_CHARACTERS:
        return part
    data = part.encode('utf-8', 'surrogateescape')
    return hashlib.blake2b(data, digest_size=LONG_DIGEST_BYTES).hexdigest()


def is_whole_request(trait: str) -> bool:
    """Whether a trait stands for all of a request."""
    return trait.startswith(_REQUEST_PREFIX)
