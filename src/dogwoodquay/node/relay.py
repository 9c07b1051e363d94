"""Relays streams between instances.

A caller may resume a stream at any instance, which reads it from the instance
that owns it.
"""

from __future__ import annotations

import contextlib
import typing

import expression

from ..dispatch import api as dispatch_api
from ..dispatch import reasons
from ..entry import problems
from ..entry import streams as entry_streams
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..membership import api as membership_api

__all__ = [
    'StreamCancel',
    'StreamCancelled',
    'StreamOpened',
    'StreamPart',
    'StreamRead',
    'StreamRelay',
]

CANCEL_TIMEOUT_SECONDS: typing.Final = 2.0

_Opened = expression.Result['abc.AsyncIterator[bytes]', dispatch_api.Refusal]


class StreamRead(wire_api.Message, frozen=True, tag='stream-read'):
    """Asks a stream's owner for the events that follow ``after``."""

    stream_id: str
    caller: str
    after: int


class StreamOpened(wire_api.Message, frozen=True, tag='stream-opened'):
    """Begins the answer.

    ``refusal`` is the reason for a refusal, or empty if the events follow.
    """

    refusal: str


class StreamPart(wire_api.Message, frozen=True, tag='stream-part'):
    """Events of a stream."""

    data: bytes


class StreamCancel(wire_api.Message, frozen=True, tag='stream-cancel'):
    """Asks a stream's owner to cancel it."""

    stream_id: str
    caller: str


class StreamCancelled(wire_api.Message, frozen=True, tag='stream-cancelled'):
    """Answers whether the owner found the stream and cancelled it."""

    found: bool


class StreamRelay:
    """Implements ``entry.streams.RemoteStreams`` over the peer protocol.

    :param max_seconds: the time limit for reading a stream from a peer.
    """

    def __init__(
        self,
        table: entry_streams.StreamTable,
        transport: wire_api.Transport,
        membership: membership_api.Membership,
        clock: clocks.Clock,
        max_seconds: float,
    ) -> None:
        self._table = table
        self._transport = transport
        self._membership = membership
        self._clock = clock
        self._max_seconds = max_seconds
        self._cancel_stream: abc.Callable[[str, str], bool] | None = None
        transport.register(StreamRead, stream=self._on_read)
        transport.register(StreamOpened)
        transport.register(StreamPart)
        transport.register(StreamCancel, self._on_cancel)
        transport.register(StreamCancelled)

    def set_cancel_handler(
        self, cancel_stream: abc.Callable[[str, str], bool]
    ) -> None:
        """Let peers cancel the streams that this instance owns.

        :param cancel_stream: cancels a caller's stream, and returns whether
            it exists.
        """
        self._cancel_stream = cancel_stream

    @contextlib.asynccontextmanager
    async def read(
        self, owner: str, stream_id: str, caller: str, after: int
    ) -> abc.AsyncIterator[_Opened]:
        """Read a stream that another instance owns."""
        peer = self._peer(owner)
        if peer is None:
            yield _refused(reasons.Reason.UNKNOWN_STREAM)
            return
        message = StreamRead(stream_id, caller, after)
        deadline = self._clock.now() + self._max_seconds
        async with self._transport.stream(peer, message, deadline) as items:
            yield await self._open(items, stream_id)

    async def cancel(self, owner: str, stream_id: str, caller: str) -> bool:
        """Cancel a stream that another instance owns."""
        peer = self._peer(owner)
        if peer is None:
            return False
        deadline = self._clock.now() + CANCEL_TIMEOUT_SECONDS
        message = StreamCancel(stream_id, caller)
        result = await self._transport.request(
            peer, message, StreamCancelled, deadline
        )
        return result.is_ok() and result.ok.found

    async def _open(
        self, items: abc.AsyncIterator[wire_api.Message], stream_id: str
    ) -> _Opened:
        try:
            first = await anext(items)
        except (StopAsyncIteration, wire_api.StreamBroken):
            return _refused(reasons.Reason.UNKNOWN_STREAM)
        match first:
            case StreamOpened(refusal=''):
                return expression.Ok(_events(items, stream_id))
            case StreamOpened(refusal=label):
                reason = reasons.from_label(
                    label, reasons.Reason.UNKNOWN_STREAM
                )
                return _refused(reason)
            case _:
                return _refused(reasons.Reason.UNKNOWN_STREAM)

    async def _on_read(
        self, sender: wire_api.Sender, message: StreamRead, deadline: float
    ) -> abc.AsyncIterator[wire_api.Message]:
        result = self._table.read(
            message.stream_id, message.caller, message.after
        )
        if result.is_error():
            yield StreamOpened(result.error.reason.value)
            return
        reader = result.ok
        try:
            yield StreamOpened('')
            async for data in reader:
                yield StreamPart(data)
        finally:
            self._table.release(message.stream_id, reader)

    async def _on_cancel(
        self, sender: wire_api.Sender, message: StreamCancel, deadline: float
    ) -> StreamCancelled:
        if self._cancel_stream is None:
            return StreamCancelled(False)
        return StreamCancelled(
            self._cancel_stream(message.stream_id, message.caller)
        )

    def _peer(self, owner: str) -> wire_api.PeerAddress | None:
        for member in self._membership.members():
            if member.instance_id == owner:
                return wire_api.PeerAddress(member.address, member.port)
        return None


async def _events(
    items: abc.AsyncIterator[wire_api.Message], stream_id: str
) -> abc.AsyncIterator[bytes]:
    try:
        async for item in items:
            if isinstance(item, StreamPart):
                yield item.data
    except wire_api.StreamBroken:
        refusal = problems.make_refusal(reasons.Reason.UPSTREAM_BROKEN)
        yield problems.problem_event(refusal, stream_id)


def _refused(reason: reasons.Reason) -> _Opened:
    return expression.Error(problems.make_refusal(reason))
