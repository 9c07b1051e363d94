"""Writes log lines to standard output without blocking."""

from __future__ import annotations

import collections
import os
import time
import typing

import eliot
import orjson

__all__ = ['BoundedOutput', 'log_to_standard_output']

STANDARD_OUTPUT: typing.Final = 1
# Further lines of a second are dropped and counted.
MAX_LINES_PER_SECOND: typing.Final = 600
MAX_BUFFERED_BYTES: typing.Final = 1 << 20

_MESSAGE_TYPE: typing.Final = 'message_type'


class BoundedOutput:
    """An eliot destination with limits on its rate and its buffer.

    Messages above the limits are dropped and counted by message type. The
    buffer fills up while the reader of the descriptor does not read.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_second: int = MAX_LINES_PER_SECOND,
    ) -> None:
        self._descriptor = descriptor
        self._lines_per_second = lines_per_second
        self._current_second = 0
        self._lines_this_second = 0
        self._dropped_counts: collections.Counter[str] = collections.Counter()
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Write a message, or drop and count it."""
        current_second = int(time.monotonic())
        if current_second != self._current_second:
            self._current_second = current_second
            self._lines_this_second = 0
            self._write_dropped_counts()
        full = len(self._buffer) > MAX_BUFFERED_BYTES
        if full or self._lines_this_second >= self._lines_per_second:
            self._dropped_counts[str(message.get(_MESSAGE_TYPE, ''))] += 1
            return
        self._lines_this_second += 1
        self._write(message)

    def _write_dropped_counts(self) -> None:
        if self._dropped_counts and len(self._buffer) <= MAX_BUFFERED_BYTES:
            dropped = dict(self._dropped_counts)
            self._dropped_counts.clear()
            self._write(
                {
                    'timestamp': time.time(),
                    _MESSAGE_TYPE: 'logs:dropped',
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
            # The reader closed the descriptor; the error cannot be logged.
            self._buffer.clear()
            return
        del self._buffer[:written]


def log_to_standard_output(instance_id: str) -> None:
    """Write all log lines to standard output, with the instance's id."""
    eliot.add_global_fields(instance=instance_id)
    eliot.add_destinations(BoundedOutput(STANDARD_OUTPUT))
