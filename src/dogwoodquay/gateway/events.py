"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import typing

from . import api

__all__ = ['BrokenStream', 'EventSplitter', 'Events']

MAX_EVENT_BYTES: typing.Final = 1 << 20
MAX_ID_DIGITS: typing.Final = 18
_SEPARATOR: typing.Final = b'\n\n'
_ID: typing.Final = b'id:'


class BrokenStream(Exception):
    """Events are missing, repeated or malformed."""


class Events(typing.NamedTuple):
    """Complete events that may be passed on.

    ``last_event`` is the id of the last one. ``fault`` is why the event after
    them breaks the stream, empty if it does not.
    """

    data: bytes
    last_event: int
    fault: str = ''


class EventSplitter:
    """Separates complete events, whose ids have to be consecutive.

    :param last_event: the id of the last event that the caller received.
    """

    def __init__(self, last_event: int) -> None:
        self._last_event = last_event
        self._checked_event = last_event
        self._tail = bytearray()

    @property
    def last_event(self) -> int:
        """The id of the last event passed on."""
        return self._last_event

    @property
    def partial(self) -> bool:
        """Whether an incomplete event is left over."""
        return bool(self._tail.strip())

    @property
    def partial_bytes(self) -> int:
        """The size of the incomplete event."""
        return len(self._tail)

    def restart(self) -> None:
        """Expect the event after the last one passed on.

        Events of the connection before that were not passed on are dropped.
        """
        self._tail = bytearray()
        self._checked_event = self._last_event

    def feed(self, chunk: bytes) -> Events:
        """Return the complete events up to the end of a chunk.

        Those before a broken event are returned with the fault, as a stream
        goes on after the last event passed on.
        """
        # Only what is new is searched, as an event may come in many chunks.
        searched = max(0, len(self._tail) - 1)
        self._tail += chunk
        end = self._tail.rfind(_SEPARATOR, searched)
        if end < 0:
            fault = ''
            if len(self._tail) > MAX_EVENT_BYTES:
                fault = 'event_too_large'
            return Events(b'', self._checked_event, fault)
        end += len(_SEPARATOR)
        data = bytes(self._tail[:end])
        del self._tail[:end]
        sound_bytes = 0
        try:
            for event in data.split(_SEPARATOR)[:-1]:
                self._check(event)
                sound_bytes += len(event) + len(_SEPARATOR)
        except BrokenStream as error:
            return Events(data[:sound_bytes], self._checked_event, str(error))
        return Events(data, self._checked_event)

    def mark_passed_on(self, events: Events) -> None:
        """Record that events are passed on to the caller."""
        self._last_event = events.last_event

    def _check(self, event: bytes) -> None:
        number = _event_id(event)
        if number is None:
            return
        last = self._checked_event
        if last != api.NO_EVENT and number != last + 1:
            raise BrokenStream('event_out_of_order')
        self._checked_event = number


def _event_id(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            if not text.isdigit() or len(text) > MAX_ID_DIGITS:
                raise BrokenStream('event_id')
            return int(text)
    return None
