"""Tells who closed a caller's connection before the end of an answer.

An application gets the same message for all of them. Hypercorn closes an
unfinished request in the task that saw the reason, and writes to its access
log there.
"""

from __future__ import annotations

import asyncio
import enum
import typing

from hypercorn import logging as hypercorn_logging

from ..entry import tasks

__all__ = ['ClosedBy', 'ClosingLogger', 'closed_by']

_KEY: typing.Final = 'dogwoodquay.closed_by'


class ClosedBy(enum.Enum):
    """Who closed a connection during a request.

    ``READER`` is an end or error of reading, ``WRITER`` one of writing.
    """

    NOBODY = ''
    READER = 'reader'
    WRITER = 'writer'


# The function of the task that runs the application and writes.
_WRITER_TASK: typing.Final = tasks.run_app.__qualname__


class ClosingLogger(hypercorn_logging.Logger):
    """Records in a request's scope that its connection was closed."""

    async def access(
        self, request: typing.Any, response: typing.Any, request_time: float
    ) -> None:
        """Record the end of a request without a whole answer."""
        if response is None:
            request.setdefault('extensions', {})[_KEY] = _closer()
        await super().access(request, response, request_time)


def closed_by(scope: typing.Mapping[str, typing.Any]) -> ClosedBy:
    """Return who closed the connection of a request."""
    found = scope.get('extensions', {}).get(_KEY, ClosedBy.NOBODY)
    return typing.cast('ClosedBy', found)


def _closer() -> ClosedBy:
    task = asyncio.current_task()
    coroutine = None if task is None else task.get_coro()
    name = getattr(coroutine, '__qualname__', '')
    return ClosedBy.WRITER if name == _WRITER_TASK else ClosedBy.READER
