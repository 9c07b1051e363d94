"""Short log lines with a fixed prefix for each part, written by eliot."""

from __future__ import annotations

import typing

import eliot

__all__ = ['PartLog']


class PartLog:
    """Writes the log lines of one part of the program."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix

    @property
    def prefix(self) -> str:
        """The fixed first word of each line."""
        return self._prefix

    def write(self, event: str, **fields: typing.Any) -> None:
        """Write one line.

        :param event: a short name; the prefix goes before it.
        """
        eliot.log_message(message_type=f'{self._prefix}:{event}', **fields)

    def failure(self, event: str, error: BaseException) -> None:
        """Write one line about an unexpected exception."""
        kind = type(error).__name__
        self.write(event, error=kind, detail=str(error))
