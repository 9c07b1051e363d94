"""Log lines with a fixed prefix for each component, written by eliot."""

from __future__ import annotations

import typing

import eliot

__all__ = ['ComponentLog']


class ComponentLog:
    """Writes the log lines of one component."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix

    @property
    def prefix(self) -> str:
        """The prefix of the event names."""
        return self._prefix

    def write(self, event: str, **fields: typing.Any) -> None:
        """Write a line.

        :param event: the event's name, without the prefix.
        """
        eliot.log_message(message_type=f'{self._prefix}:{event}', **fields)

    def failure(self, event: str, error: BaseException) -> None:
        """Write a line about an unexpected exception."""
        kind = type(error).__name__
        self.write(event, error=kind, detail=str(error))
