"""Writes log lines to standard output without ever waiting for a reader."""

from __future__ import annotations

import collections
import os
import time
import typing

import eliot
import orjson

__all__ = ['BoundedOutput', 'log_to_standard_output']

STANDARD_OUTPUT: typing.Final = 1
# Lines a second; the rest of a second's lines are only counted.
MAX_LINES_PER_SECOND: typing.Final = 600
MAX_BUFFERED_BYTES: typing.Final = 1 << 20

_KIND: typing.Final = 'message_type'


class BoundedOutput:
    """Takes eliot's messages; what is too much is counted by its kind.

    A reader that stops reading fills the buffer, and then lines are dropped.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_second: int = MAX_LINES_PER_SECOND,
    ) -> None:
        self._descriptor = descriptor
        self._lines_per_second = lines_per_second
        self._second = 0
        self._lines = 0
        self._dropped: collections.Counter[str] = collections.Counter()
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Write one message, or count it."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
            self._tell_dropped()
        full = len(self._buffer) > MAX_BUFFERED_BYTES
        if full or self._lines >= self._lines_per_second:
            self._dropped[str(message.get(_KIND, ''))] += 1
            return
        self._lines += 1
        self._write(message)

    def _tell_dropped(self) -> None:
        if self._dropped and len(self._buffer) <= MAX_BUFFERED_BYTES:
            dropped = dict(self._dropped)
            self._dropped.clear()
            self._write(
                {
                    'timestamp': time.time(),
                    _KIND: 'logs:dropped',
                    'lines': dropped,
                }
            )

    def _write(self, message: dict[str, typing.Any]) -> None:
        self._buffer += orjson.dumps(message, default=str) + b'\n'
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, and there is nowhere to say so.
            self._buffer.clear()
            return
        del self._buffer[:written]


def log_to_standard_output(instance_id: str) -> None:
    """Send all log lines to standard output, with the instance's name."""
    eliot.add_global_fields(instance=instance_id)
    eliot.add_destinations(BoundedOutput(STANDARD_OUTPUT))
