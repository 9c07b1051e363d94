"""Verifies the events of a streamed answer.

An engine numbers its events from zero, puts the attempt id into each and ends
with a numbered terminator. The bytes are relayed unchanged. A resume keeps the
attempt id, and a restart happens only before the first event is relayed, so
all events that the caller receives have the same id.
"""

from __future__ import annotations

import typing

from . import reasons

__all__ = ['BrokenAnswer', 'EventChecker', 'MAX_EVENT_BYTES']

MAX_EVENT_BYTES: typing.Final = 1 << 20

_SEPARATOR: typing.Final = b'\n\n'
_TERMINATOR: typing.Final = b'\ndata: [DONE]'


class BrokenAnswer(Exception):
    """The answer is not a valid answer to its attempt.

    It is incomplete, too large, out of order or that of another attempt.
    """

    def __init__(self, reason: reasons.Reason) -> None:
        super().__init__(reason.value)
        self._reason = reason

    @property
    def reason(self) -> reasons.Reason:
        """The reason for which the answer is invalid."""
        return self._reason


class EventChecker:
    """Checks the order, completeness and attempt id of events."""

    def __init__(self) -> None:
        self._attempt_id = b''
        self._next_event = 0
        self._done = False
        self._tail = b''

    @property
    def last_event(self) -> int:
        """The number of the last valid event, -1 before the first."""
        return self._next_event - 1

    @property
    def done(self) -> bool:
        """Whether the terminator has been received."""
        return self._done

    def begin(self, attempt_id: str) -> None:
        """Expect the next events from a new connection.

        :param attempt_id: unchanged if an event has been relayed before.
        """
        self._attempt_id = attempt_id.encode()
        self._tail = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the complete events of the next bytes.

        :raises BrokenAnswer: when an event is too large or not the expected
            one.
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
                raise BrokenAnswer(self._mismatch_reason(event))
            expected += 1
            if self._attempt_id in event:
                continue
            if not event.endswith(_TERMINATOR):
                raise BrokenAnswer(reasons.Reason.EVENT_CROSSED)
            done = True
        self._next_event = expected
        self._done = done

    def _mismatch_reason(self, event: bytes) -> reasons.Reason:
        if self._attempt_id in event:
            return reasons.Reason.EVENT_OUT_OF_ORDER
        return reasons.Reason.EVENT_CROSSED
