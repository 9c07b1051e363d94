"""Cuts a stream of server-sent events into whole events."""

from __future__ import annotations

import typing

from . import api

__all__ = ['BrokenStream', 'EventCutter']

MAX_EVENT_BYTES: typing.Final = 1 << 20
_SEPARATOR: typing.Final = b'\n\n'
_ID: typing.Final = b'id:'


class BrokenStream(Exception):
    """Events are missing, repeated or unreadable."""


class EventCutter:
    """Lets whole events through whose ids go on from the last one.

    :param last_event: the last event that the caller has had.
    """

    def __init__(self, last_event: int) -> None:
        self._last_event = last_event
        self._strict = last_event != api.NO_EVENT
        self._tail = b''

    @property
    def last_event(self) -> int:
        """The id of the last event let through."""
        return self._last_event

    @property
    def partial(self) -> bool:
        """Whether the part of an event is left over."""
        return bool(self._tail.strip())

    def restart(self) -> None:
        """Expect the following events from another connection."""
        self._tail = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events up to the end of a chunk.

        :raises BrokenStream: when an event is not the one to come.
        """
        data = self._tail + chunk if self._tail else chunk
        end = data.rfind(_SEPARATOR)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise BrokenStream('event_too_large')
            self._tail = data
            return b''
        end += len(_SEPARATOR)
        events, self._tail = data[:end], data[end:]
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
