"""The interface of the peer protocol between instances.

Messages are frozen, tagged ``msgspec.Struct`` classes with ``array_like``.
A package registers a handler for each message type that it receives.
"""

from __future__ import annotations

import contextlib
import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

    import expression

__all__ = [
    'Answer',
    'Declined',
    'Handler',
    'Message',
    'NoAnswer',
    'PeerAddress',
    'Sender',
    'StreamBroken',
    'StreamHandler',
    'Transport',
    'Unreachable',
    'WireError',
]


class Message(msgspec.Struct, frozen=True, array_like=True):
    """The base of all messages; subclasses set ``tag`` to a unique name."""


class PeerAddress(typing.NamedTuple):
    """The IP address and port on which an instance listens for peers."""

    address: str
    port: int


class Sender(typing.NamedTuple):
    """The authenticated peer that sent a message."""

    instance_id: str
    address: PeerAddress


class Unreachable(msgspec.Struct, frozen=True):
    """The message was not sent; the peer has certainly not handled it."""

    reason: str


class NoAnswer(msgspec.Struct, frozen=True):
    """No answer was received; the peer may have handled the message."""

    reason: str


class Declined(msgspec.Struct, frozen=True):
    """The peer answered without a message.

    Its handler declined, failed or is missing, or the request was rejected.
    """

    reason: str


WireError = Unreachable | NoAnswer | Declined

Answer = typing.TypeVar('Answer', bound=Message)


class StreamBroken(Exception):
    """A stream between peers ended before it was complete."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self._reason = reason

    @property
    def reason(self) -> str:
        """The cause, also used as a metric label."""
        return self._reason


class Handler(typing.Protocol):
    """Handles one message; ``None`` declines a request."""

    async def __call__(
        self, sender: Sender, message: typing.Any, deadline: float, /
    ) -> Message | None:
        """Return the answer, which is discarded for one-way messages."""


class StreamHandler(typing.Protocol):
    """Answers one message with a stream of messages."""

    def __call__(
        self, sender: Sender, message: typing.Any, deadline: float, /
    ) -> abc.AsyncIterator[Message]:
        """Yield the messages of the stream."""


class Transport(typing.Protocol):
    """Sends messages to peers; connections are opened on demand."""

    def register(
        self,
        message_type: type[Message],
        handler: Handler | None = None,
        stream: StreamHandler | None = None,
    ) -> None:
        """Register a message type and its local handlers, if any.

        Types of answers are registered as well, without a handler.
        """

    def send(
        self, peer: PeerAddress, message: Message, coalesce: str = ''
    ) -> bool:
        """Queue a one-way message; return false if it was dropped.

        :param coalesce: a key; the message replaces a queued message with
            the same key.
        """

    async def request(
        self,
        peer: PeerAddress,
        message: Message,
        answer_type: type[Answer],
        deadline: float,
    ) -> expression.Result[Answer, WireError]:
        """Send a message and wait for its answer."""

    def stream(
        self, peer: PeerAddress, message: Message, deadline: float
    ) -> contextlib.AbstractAsyncContextManager[abc.AsyncIterator[Message]]:
        """Open a stream of answers; leaving the context cancels it.

        Iterating raises ``StreamBroken`` if the stream is not complete.
        Flow control stops the peer while messages are not consumed.
        """
