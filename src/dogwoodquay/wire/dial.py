"""Opens a websocket to a peer."""

from __future__ import annotations

import logging
import typing

from . import handshake

if typing.TYPE_CHECKING:
    from collections import abc

    from websockets.asyncio import client

    from . import api
    from . import settings

__all__ = ['SILENT_LOGGER', 'Dialler', 'open_socket']

# Failures are reported to the caller and counted, so they are not logged.
SILENT_LOGGER: typing.Final = logging.getLogger('dogwoodquay.wire')
SILENT_LOGGER.addHandler(logging.NullHandler())
SILENT_LOGGER.propagate = False

Dialler: typing.TypeAlias = (
    'abc.Callable[[api.PeerAddress, settings.WireSettings],'
    ' abc.Awaitable[client.ClientConnection]]'
)


async def open_socket(
    peer: api.PeerAddress, limits: settings.WireSettings
) -> client.ClientConnection:
    """Connect to a peer, without authentication.

    :raises OSError: if the peer does not listen or is unreachable.
    """
    # Imported once the instance has started.
    from websockets.asyncio import client

    scheme = 'wss' if limits.client_tls is not None else 'ws'
    host = f'[{peer.address}]' if ':' in peer.address else peer.address
    return await client.connect(
        f'{scheme}://{host}:{peer.port}/',
        ssl=limits.client_tls,
        compression=None,
        proxy=None,
        logger=SILENT_LOGGER,
        user_agent_header=None,
        max_size=handshake.HANDSHAKE_FRAME_BYTES,
        open_timeout=limits.handshake_seconds,
        close_timeout=limits.handshake_seconds,
    )
