"""Opening a websocket to a peer."""

from __future__ import annotations

import logging
import typing

from websockets.asyncio import client

from . import handshake

if typing.TYPE_CHECKING:
    from collections import abc

    from . import api
    from . import settings

__all__ = ['QUIET', 'Dialler', 'open_socket']

QUIET: typing.Final = logging.getLogger('dogwoodquay.wire')
QUIET.addHandler(logging.NullHandler())
QUIET.propagate = False

Dialler: typing.TypeAlias = (
    'abc.Callable[[api.PeerAddress, settings.WireSettings],'
    ' abc.Awaitable[client.ClientConnection]]'
)


async def open_socket(
    peer: api.PeerAddress, limits: settings.WireSettings
) -> client.ClientConnection:
    """Connect to a peer; it is not authenticated yet.

    :raises OSError: when the peer does not listen or cannot be reached.
    """
    scheme = 'wss' if limits.client_tls is not None else 'ws'
    host = f'[{peer.address}]' if ':' in peer.address else peer.address
    return await client.connect(
        f'{scheme}://{host}:{peer.port}/',
        ssl=limits.client_tls,
        compression=None,
        proxy=None,
        logger=QUIET,
        user_agent_header=None,
        max_size=handshake.HANDSHAKE_FRAME_BYTES,
        open_timeout=limits.handshake_seconds,
        close_timeout=limits.handshake_seconds,
    )
