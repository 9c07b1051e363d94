"""Frames of the peer protocol: typed messages in CBOR."""

from __future__ import annotations

import enum
import typing

import cbor2
import msgspec

from . import api

__all__ = ['Codec', 'CodecError', 'Frame', 'FrameKind', 'decode', 'encode']

StructType = typing.TypeVar('StructType')


class CodecError(Exception):
    """A frame or message is malformed or of an unknown type."""


class FrameKind(enum.IntEnum):
    """The type of a frame."""

    ONE_WAY = 0
    REQUEST = 1
    ANSWER = 2
    DECLINE = 3
    STREAM = 4
    ITEM = 5
    END = 6
    CREDIT = 7
    CANCEL = 8


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One websocket message between authenticated peers.

    ``deadline`` and ``sent_at`` are times on the sender's clock, zero if not
    set. ``body`` is a message in builtin types, the reason of a decline or
    of a broken stream, or the number of credits.
    """

    kind: FrameKind
    call_id: int = 0
    body: typing.Any = None
    deadline: float = 0.0
    sent_at: float = 0.0


def encode(value: msgspec.Struct) -> bytes:
    """Encode a struct as CBOR."""
    plain = msgspec.to_builtins(value, builtin_types=(bytes,))
    return cbor2.dumps(plain)


def decode(data: bytes, struct_type: type[StructType]) -> StructType:
    """Decode CBOR to a struct of the given type.

    :raises CodecError: if the bytes do not decode to that type.
    """
    try:
        plain = cbor2.loads(data)
        return msgspec.convert(plain, struct_type, builtin_types=(bytes,))
    except RecursionError as error:
        raise CodecError('nested too deeply') from error
    except (
        cbor2.CBORDecodeError,
        msgspec.MsgspecError,
        ArithmeticError,
        ValueError,
        TypeError,
    ) as error:
        raise CodecError(str(error)) from error


class Codec:
    """Converts between messages of registered types and frame bodies."""

    def __init__(self) -> None:
        self._types: dict[str, type[api.Message]] = {}

    def add(self, message_type: type[api.Message]) -> None:
        """Register a message type.

        :raises ValueError: if it has no tag or the tag of another type.
        """
        tag = message_type.__struct_config__.tag
        if not isinstance(tag, str):
            raise ValueError(f'{message_type.__name__} has no tag')
        if self._types.setdefault(tag, message_type) is not message_type:
            raise ValueError(f'two message types have the tag {tag}')

    def body(self, message: api.Message) -> typing.Any:
        """Return the builtin form of a message."""
        return msgspec.to_builtins(message, builtin_types=(bytes,))

    def message(self, body: typing.Any) -> api.Message:
        """Return the message in a body.

        :raises CodecError: if its type is unknown or its fields are invalid.
        """
        tag = body[0] if isinstance(body, list) and body else None
        message_type = self._types.get(tag) if isinstance(tag, str) else None
        if message_type is None:
            raise CodecError('unknown message type')
        try:
            return msgspec.convert(body, message_type, builtin_types=(bytes,))
        except (msgspec.MsgspecError, ArithmeticError, ValueError) as error:
            raise CodecError(str(error)) from error
