"""Which handler takes which message."""

from __future__ import annotations

import dataclasses
import typing

from . import codec

if typing.TYPE_CHECKING:
    from . import api

__all__ = ['Route', 'Router']


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The handlers of one message type."""

    handler: api.Handler | None
    stream: api.StreamHandler | None


class Router:
    """Message types and their handlers; one for all connections."""

    def __init__(self) -> None:
        self._codec = codec.Codec()
        self._routes: dict[type[api.Message], Route] = {}

    @property
    def codec(self) -> codec.Codec:
        """The codec that knows all registered types."""
        return self._codec

    def register(
        self,
        message_type: type[api.Message],
        handler: api.Handler | None = None,
        stream: api.StreamHandler | None = None,
    ) -> None:
        """Make a message type known, with its handlers."""
        self._codec.add(message_type)
        self._routes[message_type] = Route(handler, stream)

    def route(self, message: api.Message) -> Route:
        """Return the handlers of a message of a registered type."""
        return self._routes[type(message)]
