"""The calling side of a connection: open requests and streams."""

from __future__ import annotations

import typing

import anyio
import expression

from . import api
from . import codec
from . import streams

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Call', 'Calls']


class Call:
    """An open request."""

    def __init__(self, call_id: int) -> None:
        self.call_id = call_id
        self.done = anyio.Event()
        self._outcome: api.Message | api.WireError | None = None

    def finish(self, outcome: api.Message | api.WireError) -> None:
        """Store the outcome; only the first counts."""
        if self._outcome is None:
            self._outcome = outcome
            self.done.set()

    def result(
        self, answer_type: type[api.Answer]
    ) -> expression.Result[api.Answer, api.WireError]:
        """Return the outcome as the type that was asked for."""
        match self._outcome:
            case None:
                return expression.Error(api.NoAnswer('deadline'))
            case api.Unreachable() | api.NoAnswer() | api.Declined() as error:
                return expression.Error(error)
            case answer if isinstance(answer, answer_type):
                return expression.Ok(answer)
            case _:
                return expression.Error(api.Declined('wrong_answer_type'))


class Calls:
    """Numbers the calls of one side and matches what comes back.

    :param put: queues a frame; false when there is no room.
    :param window: how many messages of a stream may be on their way.
    """

    def __init__(
        self, put: abc.Callable[[codec.Frame], bool], window: int
    ) -> None:
        self._put = put
        self._window = window
        self._next_id = 0
        self._calls: dict[int, Call] = {}
        self._inboxes: dict[int, streams.Inbox] = {}

    @property
    def open(self) -> int:
        """The number of open requests and streams."""
        return len(self._calls) + len(self._inboxes)

    def start(self, body: typing.Any, deadline: float) -> Call | None:
        """Send a request; ``None`` when the queue is full."""
        call = Call(self._new_id())
        frame = codec.Frame(
            codec.FrameKind.REQUEST, call.call_id, body, deadline
        )
        if not self._put(frame):
            return None
        self._calls[call.call_id] = call
        return call

    def drop(self, call_id: int) -> None:
        """Forget a request; a late answer is ignored."""
        self._calls.pop(call_id, None)

    def open_stream(
        self, body: typing.Any, deadline: float
    ) -> tuple[int, streams.Inbox]:
        """Ask for a stream."""
        call_id = self._new_id()

        def grant(count: int) -> None:
            credit = codec.Frame(codec.FrameKind.CREDIT, call_id, count)
            if not self._put(credit):
                inbox.end('queue_full')

        inbox = streams.Inbox(self._window, grant)
        self._inboxes[call_id] = inbox
        frame = codec.Frame(codec.FrameKind.STREAM, call_id, body, deadline)
        if not self._put(frame):
            inbox.end('queue_full')
        return call_id, inbox

    def close_stream(self, call_id: int) -> None:
        """Forget a stream and tell its producer to stop."""
        inbox = self._inboxes.pop(call_id)
        if not inbox.ended:
            self._put(codec.Frame(codec.FrameKind.CANCEL, call_id))

    def take(self, frame: codec.Frame, messages: codec.Codec) -> None:
        """Take in a frame that belongs to an own call."""
        match frame.kind:
            case codec.FrameKind.ANSWER:
                self._finish(frame.call_id, messages.message(frame.body))
            case codec.FrameKind.DECLINE:
                self._finish(frame.call_id, api.Declined(str(frame.body)))
            case codec.FrameKind.ITEM:
                self._item(frame.call_id, messages.message(frame.body))
            case _:
                self._end(frame)

    def fail(self, reason: str) -> None:
        """End everything that is open: the connection is gone."""
        for call in self._calls.values():
            call.finish(api.NoAnswer(reason))
        for inbox in self._inboxes.values():
            inbox.end(reason)

    def _finish(
        self, call_id: int, outcome: api.Message | api.WireError
    ) -> None:
        call = self._calls.pop(call_id, None)
        if call is not None:
            call.finish(outcome)

    def _item(self, call_id: int, item: api.Message) -> None:
        inbox = self._inboxes.get(call_id)
        if inbox is not None and not inbox.put(item):
            raise codec.CodecError('stream overran its credit')

    def _end(self, frame: codec.Frame) -> None:
        inbox = self._inboxes.get(frame.call_id)
        if inbox is not None:
            inbox.end(None if frame.body is None else str(frame.body))

    def _new_id(self) -> int:
        self._next_id += 1
        return self._next_id
