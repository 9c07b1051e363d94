"""The authentication of both sides over a fresh websocket."""

from __future__ import annotations

import contextlib
import secrets as random_bytes
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

__all__ = ['HANDSHAKE_FRAME_BYTES', 'accept', 'greet']

HANDSHAKE_FRAME_BYTES: typing.Final = 2048

Shape = typing.TypeVar('Shape')


async def greet(
    socket: ws_connection.Connection,
    own: auth.Identity,
    secrets: auth.Secrets,
    limits: settings.WireSettings,
) -> api.Sender:
    """Authenticate as the dialling side.

    Each side lifts its limit on frames before the other may send messages.

    :return: the listener's identity.
    :raises auth.AuthError: when either side refuses the other.
    """
    with _limit(limits.handshake_seconds):
        hello = secrets.hello(own, _nonce())
        await socket.send(codec.encode(hello))
        challenge = await _receive(socket, auth.Challenge)
        proof = secrets.answer(hello, challenge)
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
    :raises auth.AuthError: when either side refuses the other.
    """
    with _limit(limits.handshake_seconds):
        hello = await _receive(socket, auth.Hello)
        challenge = secrets.challenge(hello, own, _nonce())
        await socket.send(codec.encode(challenge))
        proof = await _receive(socket, auth.Proof)
        secrets.verify(hello, challenge, proof)
        socket.protocol.max_message_size = limits.max_frame_bytes
        await socket.send(codec.encode(auth.Welcome()))
        return hello.identity.sender


@contextlib.contextmanager
def _limit(seconds: float) -> abc.Iterator[None]:
    """Bound the handshake and turn its errors into refusals."""
    try:
        with anyio.fail_after(seconds):
            yield
    except TimeoutError as error:
        raise auth.AuthError(auth.Refusal.TIMEOUT) from error
    except (codec.CodecError, websockets.ConnectionClosed) as error:
        raise auth.AuthError(auth.Refusal.MALFORMED) from error


async def _receive(
    socket: ws_connection.Connection, shape: type[Shape]
) -> Shape:
    data = await socket.recv(decode=False)
    return codec.decode(data, shape)


def _nonce() -> bytes:
    return random_bytes.token_bytes(auth.NONCE_BYTES)
