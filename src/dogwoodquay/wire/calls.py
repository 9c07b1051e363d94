"""The open requests and streams of the calling side of a connection."""

from __future__ import annotations

import typing

import anyio
import expression

from . import api
from . import codec
from . import streams

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Call', 'PendingCalls']


class Call:
    """An open request."""

    def __init__(self, call_id: int) -> None:
        self.call_id = call_id
        self.finished = anyio.Event()
        self._outcome: api.Message | api.WireError | None = None

    def finish(self, outcome: api.Message | api.WireError) -> None:
        """Set the outcome, unless there is one already."""
        if self._outcome is None:
            self._outcome = outcome
            self.finished.set()

    def result(
        self, answer_type: type[api.Answer]
    ) -> expression.Result[api.Answer, api.WireError]:
        """Return the outcome, checked against the expected type."""
        match self._outcome:
            case None:
                return expression.Error(api.NoAnswer('deadline'))
            case api.Unreachable() | api.NoAnswer() | api.Declined() as error:
                return expression.Error(error)
            case answer if isinstance(answer, answer_type):
                return expression.Ok(answer)
            case _:
                return expression.Error(api.Declined('wrong_answer_type'))


class PendingCalls:
    """Numbers the calls of this side and matches answers to them.

    :param enqueue: queues a frame; returns false if the queue is full.
    :param window: the maximum number of unconsumed messages of a stream.
    """

    def __init__(
        self, enqueue: abc.Callable[[codec.Frame], bool], window: int
    ) -> None:
        self._enqueue = enqueue
        self._window = window
        self._next_id = 0
        self._calls: dict[int, Call] = {}
        self._inboxes: dict[int, streams.Inbox] = {}

    @property
    def open_count(self) -> int:
        """The number of open requests and streams."""
        return len(self._calls) + len(self._inboxes)

    def start_request(self, body: typing.Any, deadline: float) -> Call | None:
        """Send a request; return ``None`` if the queue is full."""
        call = Call(self._new_id())
        frame = codec.Frame(
            codec.FrameKind.REQUEST, call.call_id, body, deadline
        )
        if not self._enqueue(frame):
            return None
        self._calls[call.call_id] = call
        return call

    def remove(self, call_id: int) -> None:
        """Remove a request; an answer after that is ignored."""
        self._calls.pop(call_id, None)

    def open_stream(
        self, body: typing.Any, deadline: float
    ) -> tuple[int, streams.Inbox]:
        """Request a stream; return its call id and inbox."""
        call_id = self._new_id()

        def grant(count: int) -> None:
            credit = codec.Frame(codec.FrameKind.CREDIT, call_id, count)
            if not self._enqueue(credit):
                inbox.end('queue_full')

        inbox = streams.Inbox(self._window, grant)
        self._inboxes[call_id] = inbox
        frame = codec.Frame(codec.FrameKind.STREAM, call_id, body, deadline)
        if not self._enqueue(frame):
            inbox.end('queue_full')
        return call_id, inbox

    def close_stream(self, call_id: int) -> None:
        """Remove a stream and cancel it at its producer."""
        inbox = self._inboxes.pop(call_id)
        if not inbox.ended:
            self._enqueue(codec.Frame(codec.FrameKind.CANCEL, call_id))

    def on_frame(self, frame: codec.Frame, messages: codec.Codec) -> None:
        """Handle a frame that belongs to a call of this side."""
        match frame.kind:
            case codec.FrameKind.ANSWER:
                self._finish_request(
                    frame.call_id, messages.message(frame.body)
                )
            case codec.FrameKind.DECLINE:
                self._finish_request(
                    frame.call_id, api.Declined(str(frame.body))
                )
            case codec.FrameKind.ITEM:
                self._on_item(frame.call_id, messages.message(frame.body))
            case _:
                self._on_end(frame)

    def fail_all(self, reason: str) -> None:
        """End all requests and streams after the connection was closed."""
        for call in self._calls.values():
            call.finish(api.NoAnswer(reason))
        for inbox in self._inboxes.values():
            inbox.end(reason)

    def _finish_request(
        self, call_id: int, outcome: api.Message | api.WireError
    ) -> None:
        call = self._calls.pop(call_id, None)
        if call is not None:
            call.finish(outcome)

    def _on_item(self, call_id: int, item: api.Message) -> None:
        inbox = self._inboxes.get(call_id)
        if inbox is not None and not inbox.put(item):
            raise codec.CodecError('stream exceeded its credit')

    def _on_end(self, frame: codec.Frame) -> None:
        inbox = self._inboxes.get(frame.call_id)
        if inbox is not None:
            inbox.end(None if frame.body is None else str(frame.body))

    def _new_id(self) -> int:
        self._next_id += 1
        return self._next_id
