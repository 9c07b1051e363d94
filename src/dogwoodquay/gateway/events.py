"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import typing

from . import api

__all__ = ['BrokenStream', 'EventSplitter']

MAX_EVENT_BYTES: typing.Final = 1 << 20
_SEPARATOR: typing.Final = b'\n\n'
_ID: typing.Final = b'id:'


class BrokenStream(Exception):
    """Events are missing, repeated or malformed."""


class EventSplitter:
    """Passes on complete events, whose ids have to be consecutive.

    :param last_event: the id of the last event that the caller received.
    """

    def __init__(self, last_event: int) -> None:
        self._last_event = last_event
        self._strict = last_event != api.NO_EVENT
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
        """Drop an incomplete event before the next connection's events."""
        self._tail = bytearray()

    def feed(self, chunk: bytes) -> bytes:
        """Return the complete events up to the end of a chunk.

        :raises BrokenStream: if an event is out of order or malformed.
        """
        # Only what is new is searched, as an event may come in many chunks.
        searched = max(0, len(self._tail) - 1)
        self._tail += chunk
        end = self._tail.rfind(_SEPARATOR, searched)
        if end < 0:
            if len(self._tail) > MAX_EVENT_BYTES:
                raise BrokenStream('event_too_large')
            return b''
        end += len(_SEPARATOR)
        events = bytes(self._tail[:end])
        del self._tail[:end]
        for event in events.split(_SEPARATOR)[:-1]:
            self._check(event)
        return events

    def _check(self, event: bytes) -> None:
        number = _event_id(event)
        if number is None:
            return
        if self._strict and number != self._last_event + 1:
            raise BrokenStream('event_out_of_order')
        self._strict = True
        self._last_event = number


def _event_id(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            if not text.isdigit():
                raise BrokenStream('event_id')
            return int(text)
    return None
