"""Digests by which a request is known when it comes again."""

from __future__ import annotations

import hashlib
import typing

if typing.TYPE_CHECKING:
    from . import api
    from ..inbound import parts

__all__ = ['digest']

DIGEST_BYTES: typing.Final = 12
# Of a longer body only so much of its begin and of its end counts, and its
# length.
MAX_BODY_BYTES: typing.Final = 65_536
# The headers that tell for whom, and where, a request is.
_HEADERS: typing.Final = frozenset(
    {b'host', b'authorization', b'cookie', b'api-key'}
)


def digest(
    method: str,
    target: str,
    headers: api.RawHeaders,
    body: parts.Body,
    terms: api.CallerTerms,
) -> str:
    """Return the same text for each attempt to send a request.

    What differs between attempts does not count: ids, deadlines, connections
    and how much of a stream was received.

    :param headers: names are in lower case.
    """
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    fields = [method.encode(), target.encode('latin-1', 'replace')]
    fields.extend(
        part
        for name, value in sorted(headers)
        if name in _HEADERS
        for part in (name, value)
    )
    fields.extend(
        item.encode('latin-1', 'replace')
        for item in (
            terms.model,
            terms.adapter,
            *(part.part_id for part in terms.prompt_parts),
        )
    )
    for field in fields:
        state.update(b'%d:' % len(field))
        state.update(field)
    state.update(b'%d:' % len(body))
    if len(body) <= 2 * MAX_BODY_BYTES:
        state.update(body[:])
    else:
        state.update(body[:MAX_BODY_BYTES])
        state.update(body[-MAX_BODY_BYTES:])
    return state.hexdigest()
