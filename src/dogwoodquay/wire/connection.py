"""An authenticated connection, used for calls in both directions."""

from __future__ import annotations

import contextlib
import typing

import anyio
import eliot
import expression
import msgspec
import websockets

from . import api
from . import calls
from . import codec
from . import serving

if typing.TYPE_CHECKING:
    from collections import abc

    from websockets.asyncio import connection as ws_connection

    from .. import clock as clocks
    from . import queue
    from . import router
    from . import settings
    from . import traffic

__all__ = ['Connection']

# Within this time after a request without an answer, the other side has to
# send something, at least the answer to a ping.
SILENT_SECONDS: typing.Final = 1.0


class Connection:
    """Reads and writes frames until the connection is closed."""

    def __init__(
        self,
        socket: ws_connection.Connection,
        peer: api.Sender,
        outgoing: queue.SendQueue,
        message_router: router.Router,
        limits: settings.WireSettings,
        clock: clocks.Clock,
        counters: traffic.Traffic,
    ) -> None:
        self._socket = socket
        self._peer = peer
        self._outgoing = outgoing
        self._codec = message_router.codec
        self._clock_offset = float('inf')
        self._limits = limits
        self._clock = clock
        self._counters = counters
        self._calls = calls.PendingCalls(self._enqueue, limits.stream_window)
        self._handlers = serving.HandlerRunner(
            peer, message_router, outgoing, limits, clock, counters
        )
        self._scope = anyio.CancelScope()
        self._closed = False
        self._silent = False
        self._received_at = clock.now()
        self._unanswered = anyio.Event()
        self.last_used_at = clock.now()

    @property
    def peer(self) -> api.Sender:
        """The other side."""
        return self._peer

    @property
    def closed(self) -> bool:
        """Whether the connection is closed for sending."""
        return self._closed

    @property
    def busy(self) -> bool:
        """Whether a request or stream of either side is open."""
        return self._calls.open_count > 0 or self._handlers.running_count > 0

    async def run(self) -> None:
        """Read and write frames until the connection is closed or lost."""
        reasons = ['closed']
        with self._scope:
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write)
                    tasks.start_soon(self._check_silence)
                    await self._read(tasks)
                    tasks.cancel_scope.cancel()
            except* TimeoutError:
                reasons.insert(0, 'send_timeout')
            except* codec.CodecError:
                reasons.insert(0, 'malformed')
            except* (websockets.ConnectionClosed, OSError):
                reasons.insert(-1, 'connection_lost')
            except* Exception:
                reasons.insert(0, 'internal')
                eliot.write_traceback()
        reason = 'silent' if self._silent else reasons[0]
        self._closed = True
        self._counters.closed[reason] += 1
        self._calls.fail_all(reason)
        with anyio.CancelScope(shield=True):
            await self._close_socket()

    def close(self) -> None:
        """Close the connection immediately; open calls get no answer."""
        self._closed = True
        self._scope.cancel()

    def send(self, message: api.Message, coalesce: str = '') -> bool:
        """Queue a one-way message; return false if the queue is full."""
        body = self._codec.body(message)
        frame = codec.Frame(codec.FrameKind.ONE_WAY, 0, body)
        return self._enqueue(frame, coalesce)

    async def request(
        self,
        message: api.Message,
        answer_type: type[api.Answer],
        deadline: float,
    ) -> expression.Result[api.Answer, api.WireError]:
        """Send a message and wait for its answer until the deadline."""
        body = self._codec.body(message)
        remaining = deadline - self._clock.now()
        if remaining <= 0:
            return expression.Error(api.Unreachable('deadline'))
        call = self._calls.start_request(body, deadline)
        if call is None:
            return expression.Error(api.Unreachable('queue_full'))
        try:
            with anyio.move_on_after(remaining):
                await call.finished.wait()
        finally:
            self._calls.remove(call.call_id)
        if not call.finished.is_set():
            self._unanswered.set()
        return call.result(answer_type)

    @contextlib.asynccontextmanager
    async def stream(
        self, message: api.Message, deadline: float
    ) -> abc.AsyncIterator[abc.AsyncIterator[api.Message]]:
        """Open a stream of answers; leaving the context cancels it."""
        body = self._codec.body(message)
        call_id, inbox = self._calls.open_stream(body, deadline)
        try:
            yield inbox
        finally:
            self._calls.close_stream(call_id)

    def _enqueue(self, frame: codec.Frame, coalesce: str = '') -> bool:
        if self._closed:
            return False
        self.last_used_at = self._clock.now()
        if frame.deadline:
            frame = msgspec.structs.replace(frame, sent_at=self.last_used_at)
        accepted = self._outgoing.put(codec.encode(frame), coalesce)
        if not accepted:
            self._counters.dropped['queue_full'] += 1
        return accepted

    async def _write(self) -> None:
        while True:
            data = await self._outgoing.get()
            with anyio.fail_after(self._limits.send_seconds):
                await self._socket.send(data)
            self._counters.sent(len(data))

    async def _check_silence(self) -> None:
        """Close the connection if the other side has fallen silent.

        It may do so without an error, and no later request would be answered.
        """
        while True:
            await self._unanswered.wait()
            self._unanswered = anyio.Event()
            asked_at = self._clock.now()
            with anyio.move_on_after(SILENT_SECONDS):
                await (await self._socket.ping())
                continue
            if self._received_at < asked_at:
                self._silent = True
                self.close()

    async def _read(self, tasks: anyio.abc.TaskGroup) -> None:
        async for data in self._socket:
            if isinstance(data, str):
                raise codec.CodecError('text frame')
            self._counters.received(len(data))
            self._received_at = self.last_used_at = self._clock.now()
            frame = codec.decode(data, codec.Frame)
            self._dispatch(self._to_local_clock(frame), tasks)

    def _to_local_clock(self, frame: codec.Frame) -> codec.Frame:
        """Return a frame with its deadline converted to the local clock.

        The difference of the clocks is estimated as the smallest difference
        between receiving and sending times, that of the frame with the
        shortest transmission time.
        """
        if not frame.deadline:
            return frame
        if frame.sent_at:
            difference = self.last_used_at - frame.sent_at
            self._clock_offset = min(self._clock_offset, difference)
        offset = self._clock_offset
        if offset == float('inf'):
            offset = 0.0
        return msgspec.structs.replace(frame, deadline=frame.deadline + offset)

    def _dispatch(
        self, frame: codec.Frame, tasks: anyio.abc.TaskGroup
    ) -> None:
        match frame.kind:
            case (
                codec.FrameKind.ANSWER
                | codec.FrameKind.DECLINE
                | codec.FrameKind.ITEM
                | codec.FrameKind.END
            ):
                self._calls.on_frame(frame, self._codec)
            case _:
                self._handlers.on_frame(frame, tasks)

    async def _close_socket(self) -> None:
        with anyio.move_on_after(self._limits.handshake_seconds):
            await self._socket.close()
        transport = self._socket.transport
        if transport is not None:
            transport.abort()
