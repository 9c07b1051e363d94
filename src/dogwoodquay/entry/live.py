"""One streamed answer under way and the reader that it has at the time.

Events are kept until the reader has had them and for a while behind it, as
what was sent last may be lost with a connection. A stream whose reader lags
waits for it, which slows only its own engine.
"""

from __future__ import annotations

import collections
import typing

import anyio
import expression

from ..dispatch import reasons
from . import eager
from . import problems

if typing.TYPE_CHECKING:
    from .. import clock as clock_module
    from . import limits as limits_module

__all__ = ['LiveStream', 'Reader']

_EVENT_END: typing.Final = b'\n\n'


class _Frames(typing.NamedTuple):
    """Consecutive whole events."""

    last_event: int
    data: bytes


class LiveStream:
    """The events of one answer that are kept, and who reads them."""

    def __init__(
        self,
        stream_id: str,
        caller: str,
        request_id: str,
        limits: limits_module.Limits,
    ) -> None:
        self._stream_id = stream_id
        self._caller = caller
        self._request_id = request_id
        self._limits = limits
        self._frames: collections.deque[_Frames] = collections.deque()
        self._held = 0
        self._last_event = -1
        self._first_kept = 0
        self._read_up_to = -1
        self._unread = 0
        self._closing = b''
        self._finished = False
        self._reader: Reader | None = None
        self._changed = anyio.Event()
        self._waited_for = False
        self._room = anyio.Event()
        self._expires_at: float | None = None

    @property
    def stream_id(self) -> str:
        """The id by which a caller comes back."""
        return self._stream_id

    @property
    def caller(self) -> str:
        """The only caller that may read the stream."""
        return self._caller

    @property
    def request_id(self) -> str:
        """The request that the stream answers."""
        return self._request_id

    @property
    def last_event(self) -> int:
        """The number of the last event taken, -1 before the first."""
        return self._last_event

    @property
    def held_bytes(self) -> int:
        """The size of what is kept."""
        return self._held

    @property
    def unread(self) -> bool:
        """Whether there are events that no reader has had."""
        return self._unread > 0

    @property
    def finished(self) -> bool:
        """Whether nothing more comes."""
        return self._finished

    @property
    def expires_at(self) -> float | None:
        """Until when a reader is waited for; ``None`` while one reads."""
        return self._expires_at

    @property
    def closing(self) -> bytes:
        """The error event of a stream that is not whole."""
        return self._closing

    @property
    def reader(self) -> Reader | None:
        """The present reader."""
        return self._reader

    def append(self, frames: bytes, last_event: int) -> None:
        """Keep whole events and wake the reader."""
        self._frames.append(_Frames(last_event, frames))
        self._last_event = last_event
        self._held += len(frames)
        self._unread += len(frames)
        if self._held > self._limits.stream_kept_bytes:
            self._trim()
        if self._waited_for:
            self._changed.set()

    async def wait_for_room(self) -> None:
        """Wait while the reader lags by more than the window."""
        while self._unread > self._limits.stream_window_bytes:
            self._room = anyio.Event()
            await self._room.wait()

    def finish(self, closing: bytes, now: float) -> None:
        """Note that nothing more comes.

        :param closing: the error event of a stream that is not whole.
        """
        self._closing = closing
        self._finished = True
        if self._reader is None:
            self._expires_at = now + self._limits.resume_seconds
        self.wake()

    def attach_first(self) -> Reader:
        """Make the reader for the connection that asked for the stream."""
        self._reader = Reader(self)
        return self._reader

    def attach(self, after: int) -> expression.Result[Reader, reasons.Reason]:
        """Make a reader of the events after one; the last reader ends."""
        if after > self._last_event or after < self._first_kept - 1:
            return expression.Error(reasons.Reason.STREAM_GAP)
        if self._reader is not None:
            self._reader.end(reasons.Reason.STREAM_TAKEN_OVER)
        reader = Reader(self)
        self._reader = reader
        self._expires_at = None
        self._go_back_to(after)
        return expression.Ok(reader)

    def detach(self, reader: Reader, now: float) -> None:
        """Note that a reader is gone and wait for it to come back."""
        if self._reader is reader:
            self._reader = None
            self._expires_at = now + self._limits.resume_seconds

    def mark_read(self) -> None:
        """Note that the reader has had all events so far."""
        self._read_up_to = self._last_event
        self._unread = 0

    def take(self) -> bytes:
        """Return the events that the reader has not had."""
        if not self._unread:
            return b''
        parts = []
        for frames in reversed(self._frames):
            if frames.last_event <= self._read_up_to:
                break
            parts.append(frames.data)
        parts.reverse()
        self.mark_read()
        self._room.set()
        return parts[0] if len(parts) == 1 else b''.join(parts)

    async def wait_for_change(self) -> None:
        """Wait for events or the end."""
        self._changed = anyio.Event()
        self._waited_for = True
        await self._changed.wait()
        self._waited_for = False

    def wake(self) -> None:
        """Wake whoever waits for a change."""
        self._changed.set()

    def _trim(self) -> None:
        while self._held > self._limits.stream_kept_bytes:
            oldest = self._frames[0]
            if oldest.last_event > self._read_up_to:
                return
            self._frames.popleft()
            self._held -= len(oldest.data)
            self._first_kept = oldest.last_event + 1

    def _go_back_to(self, after: int) -> None:
        """Let the next reading begin behind an event."""
        self._split_behind(after)
        self._read_up_to = after
        self._unread = sum(
            len(frames.data)
            for frames in self._frames
            if frames.last_event > after
        )

    def _split_behind(self, after: int) -> None:
        previous = self._first_kept - 1
        for index, frames in enumerate(self._frames):
            if previous < after < frames.last_event:
                marker = b'id: %d\n' % (after + 1)
                at = frames.data.find(_EVENT_END + marker) + len(_EVENT_END)
                self._frames[index] = _Frames(after, frames.data[:at])
                rest = _Frames(frames.last_event, frames.data[at:])
                self._frames.insert(index + 1, rest)
                return
            previous = frames.last_event


class Reader:
    """One connection's reading of a stream; iterate over it."""

    def __init__(self, stream: LiveStream) -> None:
        self._stream = stream
        self._ended: reasons.Reason | None = None
        self._scope: anyio.CancelScope | None = None
        self._sending_since: float | None = None
        self._closed = False

    @property
    def ended(self) -> reasons.Reason | None:
        """Why the reading ended before the stream did."""
        return self._ended

    @property
    def sending_since(self) -> float | None:
        """Since when the connection has taken nothing."""
        return self._sending_since

    def end(self, reason: reasons.Reason) -> None:
        """End the reading, also when its connection is stuck."""
        self._ended = reason
        self._stream.wake()
        if self._scope is not None:
            self._scope.cancel()

    async def send(
        self, writing: eager.Coroutine, clock: clock_module.Clock
    ) -> bool:
        """Write to the connection; false when the reading has ended."""
        if self._ended is not None:
            writing.close()
            return False
        waiting = eager.start(writing)
        if waiting is None:
            return True
        self._sending_since = clock.now()
        with anyio.CancelScope() as scope:
            self._scope = scope
            await waiting.finish()
        self._scope = None
        self._sending_since = None
        return not scope.cancelled_caught

    def __aiter__(self) -> Reader:
        return self

    async def __anext__(self) -> bytes:
        stream = self._stream
        while self._ended is None:
            data = stream.take()
            if data:
                return data
            if stream.finished:
                return self._close(stream.closing)
            await stream.wait_for_change()
        return self._close(
            problems.problem_event(
                problems.refusal(self._ended), stream.request_id
            )
        )

    def _close(self, closing: bytes) -> bytes:
        if self._closed or not closing:
            raise StopAsyncIteration
        self._closed = True
        return closing
