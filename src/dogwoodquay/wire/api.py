"""The abstract part of the inner protocol between instances.

Messages are frozen, tagged ``msgspec.Struct`` classes with ``array_like``.
A package registers a handler for each message type that it receives.
"""

from __future__ import annotations

import contextlib
import dataclasses
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
    """Where an instance listens for its peers: IP address and port."""

    address: str
    port: int


class Sender(typing.NamedTuple):
    """The authenticated peer that a message came from."""

    instance_id: str
    address: PeerAddress


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The message was certainly not handled by the peer."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """The message may have been handled; its answer did not come."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The peer's handler gave no answer: it refused, failed or is missing."""

    reason: str


WireError = Unreachable | NoAnswer | Declined

Answer = typing.TypeVar('Answer', bound=Message)


class StreamBroken(Exception):
    """A stream between peers ended before it was whole."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self._reason = reason

    @property
    def reason(self) -> str:
        """The counter's label for what went wrong."""
        return self._reason


class Handler(typing.Protocol):
    """Handles one message; ``None`` declines a request."""

    async def __call__(
        self, sender: Sender, message: typing.Any, deadline: float, /
    ) -> Message | None:
        """Return the answer, which is dropped for one-way messages."""


class StreamHandler(typing.Protocol):
    """Answers one message with a stream of messages."""

    def __call__(
        self, sender: Sender, message: typing.Any, deadline: float, /
    ) -> abc.AsyncIterator[Message]:
        """Yield the messages of the stream."""


class Transport(typing.Protocol):
    """Sends messages to peers; connections are made on demand."""

    def register(
        self,
        message_type: type[Message],
        handler: Handler | None = None,
        stream: StreamHandler | None = None,
    ) -> None:
        """Make a message type known, with what handles it here if any.

        Types of answers are registered as well, without a handler.
        """

    def send(
        self, peer: PeerAddress, message: Message, coalesce: str = ''
    ) -> bool:
        """Queue a one-way message; false when it was dropped.

        :param coalesce: a waiting message with the same word is replaced.
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

        Iterating raises ``StreamBroken`` when it ends before it is whole.
        The peer is held back when the messages are not consumed.
        """
