"""Logs errors of the event loop that reach no task."""

from __future__ import annotations

import asyncio
import typing

from . import logs

__all__ = ['log_loop_errors']

_LOG: typing.Final = logs.ComponentLog('loop')


def log_loop_errors() -> None:
    """Log the unhandled errors of the running event loop.

    Cancellations are ignored: asyncio's streams report them as errors for
    the open connections of a server that closes.
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
