"""What is to be done with the connection of a response, told by its reader."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import httpx

__all__ = [
    'BARRED_KEY',
    'DISCARD_KEY',
    'KEEP_ALIVE_KEY',
    'bar_repeat',
    'discard',
    'keep_idle',
]

# Keys of the extensions of a response.
DISCARD_KEY: typing.Final = 'discard_connection'
KEEP_ALIVE_KEY: typing.Final = 'idle_seconds'
BARRED_KEY: typing.Final = 'repeat_barred'


def discard(response: httpx.Response) -> None:
    """Close the connection after this response instead of reusing it."""
    response.extensions[DISCARD_KEY] = True


def keep_idle(response: httpx.Response, seconds: float) -> None:
    """Limit how long the connection of a response is kept idle for reuse."""
    response.extensions[KEEP_ALIVE_KEY] = seconds


def bar_repeat(response: httpx.Response) -> None:
    """Never use the connection of a response for the same request again.

    It stays in use for other requests.
    """
    response.extensions[BARRED_KEY] = True
