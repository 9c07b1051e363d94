"""Mutual authentication over a new websocket."""

from __future__ import annotations

import contextlib
import secrets as secrets_module
import typing

import anyio
import websockets

from . import auth
from . import codec

if typing.TYPE_CHECKING:
    from collections import abc

    from websockets.asyncio import connection as ws_connection

    from . import api
    from . import settings

__all__ = ['HANDSHAKE_FRAME_BYTES', 'accept', 'initiate']

HANDSHAKE_FRAME_BYTES: typing.Final = 2048

StructType = typing.TypeVar('StructType')


async def initiate(
    socket: ws_connection.Connection,
    own: auth.Identity,
    secrets: auth.Secrets,
    limits: settings.WireSettings,
) -> api.Sender:
    """Authenticate as the dialling side.

    Each side raises its limit on the size of frames before the other may
    send messages.

    :return: the listener's identity.
    :raises auth.AuthError: if either side refuses the other.
    """
    with _bounded(limits.handshake_seconds):
        hello = secrets.hello(own, _nonce())
        await socket.send(codec.encode(hello))
        challenge = await _receive(socket, auth.Challenge)
        proof = secrets.prove(hello, challenge)
        socket.protocol.max_message_size = limits.max_frame_bytes
        await socket.send(codec.encode(proof))
        await _receive(socket, auth.Welcome)
        return challenge.identity.sender


async def accept(
    socket: ws_connection.Connection,
    own: auth.Identity,
    secrets: auth.Secrets,
    limits: settings.WireSettings,
) -> api.Sender:
    """Authenticate as the listening side.

    :return: the dialling side's identity.
    :raises auth.AuthError: if either side refuses the other.
    """
    with _bounded(limits.handshake_seconds):
        hello = await _receive(socket, auth.Hello)
        challenge = secrets.challenge(hello, own, _nonce())
        await socket.send(codec.encode(challenge))
        proof = await _receive(socket, auth.Proof)
        secrets.verify(hello, challenge, proof)
        socket.protocol.max_message_size = limits.max_frame_bytes
        await socket.send(codec.encode(auth.Welcome()))
        return hello.identity.sender


@contextlib.contextmanager
def _bounded(seconds: float) -> abc.Iterator[None]:
    """Limit the time of the handshake and turn errors into refusals."""
    try:
        with anyio.fail_after(seconds):
            yield
    except TimeoutError as error:
        raise auth.AuthError(auth.Refusal.TIMEOUT) from error
    except (codec.CodecError, websockets.ConnectionClosed) as error:
        raise auth.AuthError(auth.Refusal.MALFORMED) from error


async def _receive(
    socket: ws_connection.Connection, struct_type: type[StructType]
) -> StructType:
    data = await socket.recv(decode=False)
    return codec.decode(data, struct_type)


def _nonce() -> bytes:
    return secrets_module.token_bytes(auth.NONCE_BYTES)
