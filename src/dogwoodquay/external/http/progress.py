"""Reads response bodies whose time is limited by their progress."""

from __future__ import annotations

import typing

import anyio

if typing.TYPE_CHECKING:
    from collections import abc

    import httpx

__all__ = ['MAX_PAUSE_SECONDS', 'MIN_BYTES_PER_SECOND', 'read']

# A body of any size may be received as long as it arrives without a longer
# pause and at this mean rate, far below that of the slowest links.
MAX_PAUSE_SECONDS: typing.Final = 1.0
MIN_BYTES_PER_SECOND: typing.Final = 4 << 10
# A body in parts of a few bytes costs more than it brings, and would be read
# for minutes; the first ones may be as small as they like.
FREE_PARTS: typing.Final = 1024
MIN_PART_BYTES: typing.Final = 64


async def read(
    response: httpx.Response, on_received: abc.Callable[[int], None]
) -> bytes | None:
    """Return the body of a response, ``None`` if it makes no progress.

    That is if it arrives too slowly, or in many parts of a few bytes. The
    read timeout of the response limits its pauses.

    :param on_received: called with the size of the received part of the body
        of a successful response.
    :raises httpx.HTTPError: if the connection fails.
    """
    body = bytearray()
    parts = 0
    due = anyio.current_time() + MAX_PAUSE_SECONDS
    with anyio.CancelScope(deadline=due) as scope:
        async for part in response.aiter_bytes():
            body += part
            parts += 1
            if parts > FREE_PARTS and len(body) < parts * MIN_PART_BYTES:
                return None
            scope.deadline = due + len(body) / MIN_BYTES_PER_SECOND
            if response.is_success:
                on_received(len(body))
    return None if scope.cancelled_caught else bytes(body)
