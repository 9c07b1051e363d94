"""Streams of other instances: a caller may come back at any of them."""

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

CANCEL_SECONDS: typing.Final = 2.0

_Opened = expression.Result['abc.AsyncIterator[bytes]', dispatch_api.Refusal]


class StreamRead(wire_api.Message, frozen=True, tag='stream-read'):
    """Asks the holder for a caller's stream behind an event."""

    stream_id: str
    caller: str
    after: int


class StreamOpened(wire_api.Message, frozen=True, tag='stream-opened'):
    """Begins the answer; ``refusal`` is empty when the events follow."""

    refusal: str


class StreamPart(wire_api.Message, frozen=True, tag='stream-part'):
    """Events of a stream."""

    data: bytes


class StreamCancel(wire_api.Message, frozen=True, tag='stream-cancel'):
    """Asks the holder to end a caller's stream."""

    stream_id: str
    caller: str


class StreamCancelled(wire_api.Message, frozen=True, tag='stream-cancelled'):
    """Whether the stream was there to be ended."""

    found: bool


class StreamRelay:
    """Implements ``entry.streams.RemoteStreams`` over the inner protocol.

    :param end: ends a stream that is held here, false when there is none.
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
        self._end: abc.Callable[[str, str], bool] | None = None
        transport.register(StreamRead, stream=self._serve)
        transport.register(StreamOpened)
        transport.register(StreamPart)
        transport.register(StreamCancel, self._answer_cancel)
        transport.register(StreamCancelled)

    def serve_cancels(self, end: abc.Callable[[str, str], bool]) -> None:
        """Let peers end streams that are held here."""
        self._end = end

    @contextlib.asynccontextmanager
    async def read(
        self, holder: str, stream_id: str, caller: str, after: int
    ) -> abc.AsyncIterator[_Opened]:
        """Read a stream from another instance."""
        peer = self._peer(holder)
        if peer is None:
            yield _refused(reasons.Reason.UNKNOWN_STREAM)
            return
        message = StreamRead(stream_id, caller, after)
        deadline = self._clock.now() + self._max_seconds
        async with self._transport.stream(peer, message, deadline) as items:
            yield await self._open(items, stream_id)

    async def cancel(self, holder: str, stream_id: str, caller: str) -> bool:
        """End a stream that another instance holds."""
        peer = self._peer(holder)
        if peer is None:
            return False
        deadline = self._clock.now() + CANCEL_SECONDS
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

    async def _serve(
        self, sender: wire_api.Sender, message: StreamRead, deadline: float
    ) -> abc.AsyncIterator[wire_api.Message]:
        opened = self._table.read(
            message.stream_id, message.caller, message.after
        )
        if opened.is_error():
            yield StreamOpened(opened.error.reason.value)
            return
        reader = opened.ok
        try:
            yield StreamOpened('')
            async for data in reader:
                yield StreamPart(data)
        finally:
            self._table.release(message.stream_id, reader)

    async def _answer_cancel(
        self, sender: wire_api.Sender, message: StreamCancel, deadline: float
    ) -> StreamCancelled:
        if self._end is None:
            return StreamCancelled(False)
        return StreamCancelled(self._end(message.stream_id, message.caller))

    def _peer(self, holder: str) -> wire_api.PeerAddress | None:
        for member in self._membership.members():
            if member.instance_id == holder:
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
        refused = problems.make_refusal(reasons.Reason.UPSTREAM_BROKEN)
        yield problems.problem_event(refused, stream_id)


def _refused(reason: reasons.Reason) -> _Opened:
    return expression.Error(problems.make_refusal(reason))
