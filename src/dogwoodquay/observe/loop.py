"""What the event loop reports when no task is there to be told."""

from __future__ import annotations

import asyncio
import typing

from . import logs

__all__ = ['log_loop_errors']

_LOG: typing.Final = logs.PartLog('loop')


def log_loop_errors() -> None:
    """Write the running loop's reports to the log.

    A cancelled connection is none: asyncio's streams report it as an error
    when a server closes.
    """
    asyncio.get_running_loop().set_exception_handler(_handle)


def _handle(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    error = context.get('exception')
    if isinstance(error, asyncio.CancelledError):
        return
    if isinstance(error, Exception):
        _LOG.failure('unhandled', error)
        return
    _LOG.write('unhandled', detail=str(context.get('message', '')))
