"""The kept events of one stream, and its current reader.

Events are kept until they are delivered and, within a limit, after that: the
last events that were sent may be lost with a connection. A stream without a
connection or with a slow one delays the engine's response to this request
only.
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


class _EventBlock(typing.NamedTuple):
    """Consecutive complete events; ``last_event`` is the last one's number."""

    last_event: int
    data: bytes


class LiveStream:
    """The kept events of one stream, and its current reader."""

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
        self._blocks: collections.deque[_EventBlock] = collections.deque()
        self._kept_bytes = 0
        self._last_event = -1
        self._first_kept_event = 0
        self._last_delivered = -1
        self._undelivered_bytes = 0
        self._error_event = b''
        self._finished = False
        self._reader: Reader | None = None
        self._changed = anyio.Event()
        self._has_waiter = False
        self._window_opened = anyio.Event()
        self._expires_at: float | None = None

    @property
    def stream_id(self) -> str:
        """The id with which the caller resumes the stream."""
        return self._stream_id

    @property
    def caller(self) -> str:
        """The only caller that may read the stream."""
        return self._caller

    @property
    def request_id(self) -> str:
        """The id of the request that started the stream."""
        return self._request_id

    @property
    def last_event(self) -> int:
        """The number of the last event received, -1 before the first."""
        return self._last_event

    @property
    def kept_bytes(self) -> int:
        """The size of the kept events."""
        return self._kept_bytes

    @property
    def has_undelivered(self) -> bool:
        """Whether there are events that no reader was given."""
        return self._undelivered_bytes > 0

    @property
    def finished(self) -> bool:
        """Whether no more events will follow."""
        return self._finished

    @property
    def expires_at(self) -> float | None:
        """When the stream expires without a reader; ``None`` with one."""
        return self._expires_at

    @property
    def error_event(self) -> bytes:
        """The error event that ends an incomplete stream, else empty."""
        return self._error_event

    @property
    def reader(self) -> Reader | None:
        """The current reader."""
        return self._reader

    def append(self, data: bytes, last_event: int) -> None:
        """Store complete events and wake the reader."""
        self._blocks.append(_EventBlock(last_event, data))
        self._last_event = last_event
        self._kept_bytes += len(data)
        self._undelivered_bytes += len(data)
        if self._kept_bytes > self._limits.stream_kept_bytes:
            self._trim()
        if self._has_waiter:
            self._changed.set()

    async def wait_for_window(self) -> None:
        """Wait while more bytes are undelivered than the window allows."""
        while self._undelivered_bytes > self._limits.stream_window_bytes:
            self._window_opened = anyio.Event()
            await self._window_opened.wait()

    def finish(self, error_event: bytes, now: float) -> None:
        """Mark the stream as finished.

        :param error_event: ends the stream if it is incomplete, else empty.
        """
        self._error_event = error_event
        self._finished = True
        if self._reader is None:
            self._expires_at = now + self._limits.resume_seconds
        self.wake()

    def attach_original(self) -> Reader:
        """Return the reader for the connection that started the stream."""
        self._reader = Reader(self)
        return self._reader

    def attach(self, after: int) -> expression.Result[Reader, reasons.Reason]:
        """Return a reader that replaces the current one.

        :param after: the number of the last event that it leaves out.
        """
        if after > self._last_event or after < self._first_kept_event - 1:
            return expression.Error(reasons.Reason.STREAM_GAP)
        if self._reader is not None:
            self._reader.end(reasons.Reason.STREAM_TAKEN_OVER)
        reader = Reader(self)
        self._reader = reader
        self._expires_at = None
        self._rewind(after)
        return expression.Ok(reader)

    def detach(self, reader: Reader, now: float) -> None:
        """Detach a reader; the stream expires unless it is resumed."""
        if self._reader is reader:
            self._reader = None
            self._expires_at = now + self._limits.resume_seconds

    def mark_delivered(self) -> None:
        """Mark all events so far as delivered."""
        self._last_delivered = self._last_event
        self._undelivered_bytes = 0

    def take_undelivered(self) -> bytes:
        """Return the undelivered events and mark them as delivered."""
        if not self._undelivered_bytes:
            return b''
        parts = []
        for block in reversed(self._blocks):
            if block.last_event <= self._last_delivered:
                break
            parts.append(block.data)
        parts.reverse()
        self.mark_delivered()
        self._window_opened.set()
        return parts[0] if len(parts) == 1 else b''.join(parts)

    async def wait_for_change(self) -> None:
        """Wait for events, the end of the stream or of its reader."""
        self._changed = anyio.Event()
        self._has_waiter = True
        await self._changed.wait()
        self._has_waiter = False

    def wake(self) -> None:
        """Wake the reader in ``wait_for_change``."""
        self._changed.set()

    def _trim(self) -> None:
        while self._kept_bytes > self._limits.stream_kept_bytes:
            oldest = self._blocks[0]
            if oldest.last_event > self._last_delivered:
                return
            self._blocks.popleft()
            self._kept_bytes -= len(oldest.data)
            self._first_kept_event = oldest.last_event + 1

    def _rewind(self, after: int) -> None:
        """Treat the events with numbers above ``after`` as undelivered."""
        self._split_block_after(after)
        self._last_delivered = after
        self._undelivered_bytes = sum(
            len(block.data)
            for block in self._blocks
            if block.last_event > after
        )

    def _split_block_after(self, after: int) -> None:
        previous = self._first_kept_event - 1
        for index, block in enumerate(self._blocks):
            if previous < after < block.last_event:
                next_id = b'id: %d\n' % (after + 1)
                end = block.data.find(_EVENT_END + next_id) + len(_EVENT_END)
                self._blocks[index] = _EventBlock(after, block.data[:end])
                rest = _EventBlock(block.last_event, block.data[end:])
                self._blocks.insert(index + 1, rest)
                return
            previous = block.last_event


class Reader:
    """An iterator over a stream's events, for one connection."""

    def __init__(self, stream: LiveStream) -> None:
        self._stream = stream
        self._end_reason: reasons.Reason | None = None
        self._scope: anyio.CancelScope | None = None
        self._blocked_since: float | None = None
        self._error_event_sent = False

    @property
    def end_reason(self) -> reasons.Reason | None:
        """Why the reader ended before the stream, if it did."""
        return self._end_reason

    @property
    def blocked_since(self) -> float | None:
        """When the blocked write began; ``None`` if none is blocked."""
        return self._blocked_since

    def end(self, reason: reasons.Reason) -> None:
        """End the reader and cancel a blocked write."""
        self._end_reason = reason
        self._stream.wake()
        if self._scope is not None:
            self._scope.cancel()

    async def write(
        self, writing: eager.Coroutine, clock: clock_module.Clock
    ) -> bool:
        """Run a write to the connection; false if the reader has ended."""
        if self._end_reason is not None:
            writing.close()
            return False
        suspended = eager.start(writing)
        if suspended is None:
            return True
        self._blocked_since = clock.now()
        with anyio.CancelScope() as scope:
            self._scope = scope
            await suspended.finish()
        self._scope = None
        self._blocked_since = None
        return not scope.cancelled_caught

    def __aiter__(self) -> Reader:
        return self

    async def __anext__(self) -> bytes:
        stream = self._stream
        while self._end_reason is None:
            data = stream.take_undelivered()
            if data:
                return data
            if stream.finished:
                return self._last_item(stream.error_event)
            await stream.wait_for_change()
        return self._last_item(
            problems.problem_event(
                problems.make_refusal(self._end_reason), stream.request_id
            )
        )

    def _last_item(self, error_event: bytes) -> bytes:
        if self._error_event_sent or not error_event:
            raise StopAsyncIteration
        self._error_event_sent = True
        return error_event
