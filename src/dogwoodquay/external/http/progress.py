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


async def read(
    response: httpx.Response, on_received: abc.Callable[[int], None]
) -> bytes | None:
    """Return the body of a response, ``None`` if it arrives too slowly.

    The read timeout of the response limits its pauses.

    :param on_received: called with the size of the received part of the body
        of a successful response.
    :raises httpx.HTTPError: if the connection fails.
    """
    body = bytearray()
    due = anyio.current_time() + MAX_PAUSE_SECONDS
    with anyio.CancelScope(deadline=due) as scope:
        async for part in response.aiter_bytes():
            body += part
            scope.deadline = due + len(body) / MIN_BYTES_PER_SECOND
            if response.is_success:
                on_received(len(body))
    return None if scope.cancelled_caught else bytes(body)
