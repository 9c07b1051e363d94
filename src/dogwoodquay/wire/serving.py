"""Runs the handlers of requests and streams that a peer sends."""

from __future__ import annotations

import typing

import anyio
import eliot

from . import api
from . import codec
from . import streams

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from . import queue
    from . import router
    from . import settings
    from . import traffic

__all__ = ['HandlerRunner']


class HandlerRunner:
    """Runs the handlers of one peer's messages, each in its own task."""

    def __init__(
        self,
        peer: api.Sender,
        message_router: router.Router,
        outgoing: queue.SendQueue,
        limits: settings.WireSettings,
        clock: clocks.Clock,
        counters: traffic.Traffic,
    ) -> None:
        self._peer = peer
        self._router = message_router
        self._outgoing = outgoing
        self._limits = limits
        self._clock = clock
        self._counters = counters
        self._credits: dict[int, streams.Credit] = {}
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._running = 0

    @property
    def running_count(self) -> int:
        """The number of running handlers."""
        return self._running

    def on_frame(self, frame: codec.Frame, tasks: anyio.abc.TaskGroup) -> None:
        """Handle a frame of a call that the peer started."""
        match frame.kind:
            case codec.FrameKind.CREDIT:
                self._credit(frame)
            case codec.FrameKind.CANCEL:
                self._cancel(frame.call_id)
            case _:
                self._start(frame, tasks)

    def _start(self, frame: codec.Frame, tasks: anyio.abc.TaskGroup) -> None:
        reason = self._rejection_reason(frame)
        if reason is not None:
            self._counters.dropped[reason] += 1
            self._decline(frame, reason)
            return
        try:
            message = self._router.codec.message(frame.body)
        except codec.CodecError:
            self._counters.dropped['unknown_message'] += 1
            self._decline(frame, 'unknown_message')
            return
        self._running += 1
        tasks.start_soon(self._handle, frame, message)

    def _rejection_reason(self, frame: codec.Frame) -> str | None:
        if self._running >= self._limits.max_calls:
            return 'overloaded'
        if frame.deadline and frame.deadline <= self._clock.now():
            return 'expired'
        return None

    async def _handle(self, frame: codec.Frame, message: api.Message) -> None:
        try:
            with self._deadline_scope(frame.deadline) as scope:
                self._scopes[frame.call_id] = scope
                if frame.kind is codec.FrameKind.STREAM:
                    await self._run_stream_handler(frame, message)
                else:
                    await self._run_handler(frame, message)
            if scope.cancelled_caught:
                self._decline(frame, 'deadline')
        finally:
            self._running -= 1
            self._scopes.pop(frame.call_id, None)
            self._credits.pop(frame.call_id, None)

    def _deadline_scope(self, deadline: float) -> anyio.CancelScope:
        if not deadline:
            return anyio.CancelScope()
        return anyio.move_on_after(deadline - self._clock.now())

    async def _run_handler(
        self, frame: codec.Frame, message: api.Message
    ) -> None:
        handler = self._router.handlers(message).handler
        answer = None
        reason = 'no_handler' if handler is None else 'declined'
        if handler is not None:
            try:
                answer = await handler(self._peer, message, frame.deadline)
            except Exception:
                reason = self._record_failure(message)
        if frame.kind is codec.FrameKind.ONE_WAY:
            return
        if answer is None:
            self._decline(frame, reason)
            return
        body = self._router.codec.body(answer)
        reply = codec.Frame(codec.FrameKind.ANSWER, frame.call_id, body)
        await self._outgoing.put_wait(codec.encode(reply))

    async def _run_stream_handler(
        self, frame: codec.Frame, message: api.Message
    ) -> None:
        handler = self._router.handlers(message).stream
        if handler is None:
            self._decline(frame, 'no_handler')
            return
        credit = streams.Credit(self._limits.stream_window)
        self._credits[frame.call_id] = credit
        failure_reason: str | None = None
        try:
            items = handler(self._peer, message, frame.deadline)
            await self._send_items(frame.call_id, items, credit)
        except api.StreamBroken as error:
            failure_reason = error.reason
        except Exception:
            failure_reason = self._record_failure(message)
        end = codec.Frame(codec.FrameKind.END, frame.call_id, failure_reason)
        await self._outgoing.put_wait(codec.encode(end))

    async def _send_items(
        self,
        call_id: int,
        items: abc.AsyncIterator[api.Message],
        credit: streams.Credit,
    ) -> None:
        async for item in items:
            await credit.take()
            body = self._router.codec.body(item)
            frame = codec.Frame(codec.FrameKind.ITEM, call_id, body)
            await self._outgoing.put_wait(codec.encode(frame))

    def _record_failure(self, message: api.Message) -> str:
        self._counters.dropped['handler_failed'] += 1
        name = type(message).__name__
        eliot.log_message('wire: a handler failed', message=name)
        eliot.write_traceback()
        return 'handler_failed'

    def _decline(self, frame: codec.Frame, reason: str) -> None:
        match frame.kind:
            case codec.FrameKind.REQUEST:
                kind = codec.FrameKind.DECLINE
            case codec.FrameKind.STREAM:
                kind = codec.FrameKind.END
            case _:
                return
        reply = codec.Frame(kind, frame.call_id, reason)
        if not self._outgoing.put(codec.encode(reply)):
            self._counters.dropped['queue_full'] += 1

    def _credit(self, frame: codec.Frame) -> None:
        credit = self._credits.get(frame.call_id)
        if credit is not None and isinstance(frame.body, int):
            credit.add(frame.body)

    def _cancel(self, call_id: int) -> None:
        scope = self._scopes.get(call_id)
        if scope is not None:
            scope.cancel()
