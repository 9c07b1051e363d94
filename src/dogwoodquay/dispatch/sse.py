"""Checks the events of one streamed answer.

An engine numbers its events from zero, stamps each with the attempt it answers
and closes with a numbered terminator. The bytes are relayed as they came. A
resume goes on under the same attempt id, and a restart happens only before the
first event is let through, so the caller sees one id in the whole answer.
"""

from __future__ import annotations

import typing

from . import reasons

__all__ = ['BrokenAnswer', 'EventChecker', 'MAX_EVENT_BYTES']

MAX_EVENT_BYTES: typing.Final = 1 << 20

_SEPARATOR: typing.Final = b'\n\n'
_TERMINATOR: typing.Final = b'\ndata: [DONE]'


class BrokenAnswer(Exception):
    """An upstream's answer is not the whole answer to its own request."""

    def __init__(self, reason: reasons.Reason) -> None:
        super().__init__(reason.value)
        self._reason = reason

    @property
    def reason(self) -> reasons.Reason:
        """What is wrong with it."""
        return self._reason


class EventChecker:
    """Lets only the whole, next events of one attempt through."""

    def __init__(self) -> None:
        self._attempt_id = b''
        self._next_event = 0
        self._done = False
        self._tail = b''

    @property
    def last_event(self) -> int:
        """The number of the last event let through, -1 before the first."""
        return self._next_event - 1

    @property
    def done(self) -> bool:
        """Whether the terminator came."""
        return self._done

    def begin(self, attempt_id: str) -> None:
        """Expect the next events from a new connection.

        :param attempt_id: the same as before once an event was let through.
        """
        self._attempt_id = attempt_id.encode()
        self._tail = b''

    def feed(self, chunk: bytes) -> bytes:
        """Check the next bytes and return the whole events so far.

        :raises BrokenAnswer: when an event is not the one to come.
        """
        data = self._tail + chunk if self._tail else chunk
        end = data.rfind(_SEPARATOR) + 2
        if end == 1:
            end = 0
        frames = data[:end]
        self._tail = data[end:]
        if len(self._tail) > MAX_EVENT_BYTES:
            raise BrokenAnswer(reasons.Reason.ANSWER_TOO_LARGE)
        if frames:
            self._check(frames)
        return frames

    def _check(self, frames: bytes) -> None:
        expected = self._next_event
        done = self._done
        events = frames.split(_SEPARATOR)
        events.pop()
        for event in events:
            if done:
                raise BrokenAnswer(reasons.Reason.EVENT_OUT_OF_ORDER)
            if not event.startswith(b'id: %d\n' % expected):
                raise BrokenAnswer(self._fault(event))
            expected += 1
            if self._attempt_id in event:
                continue
            if not event.endswith(_TERMINATOR):
                raise BrokenAnswer(reasons.Reason.EVENT_CROSSED)
            done = True
        self._next_event = expected
        self._done = done

    def _fault(self, event: bytes) -> reasons.Reason:
        if self._attempt_id in event:
            return reasons.Reason.EVENT_OUT_OF_ORDER
        return reasons.Reason.EVENT_CROSSED
