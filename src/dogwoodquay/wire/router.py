"""The handlers of each message type."""

from __future__ import annotations

import typing

import msgspec

from . import codec

if typing.TYPE_CHECKING:
    from . import api

__all__ = ['Handlers', 'Router']


class Handlers(msgspec.Struct, frozen=True):
    """The handlers of one message type."""

    handler: api.Handler | None
    stream: api.StreamHandler | None


class Router:
    """The message types and handlers shared by all connections."""

    def __init__(self) -> None:
        self._codec = codec.Codec()
        self._handlers: dict[type[api.Message], Handlers] = {}

    @property
    def codec(self) -> codec.Codec:
        """The codec of all registered types."""
        return self._codec

    def register(
        self,
        message_type: type[api.Message],
        handler: api.Handler | None = None,
        stream: api.StreamHandler | None = None,
    ) -> None:
        """Register a message type and its handlers."""
        self._codec.add(message_type)
        self._handlers[message_type] = Handlers(handler, stream)

    def handlers(self, message: api.Message) -> Handlers:
        """Return the handlers of a message's type."""
        return self._handlers[type(message)]
