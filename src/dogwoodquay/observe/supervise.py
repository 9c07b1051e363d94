"""Restarts the components of an instance when they fail."""

from __future__ import annotations

import traceback
import typing

import anyio

from . import logs

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['keep_running']

_LOG: typing.Final = logs.ComponentLog('supervisor')

RESTART_SECONDS: typing.Final = 0.2
TRACE_CHARACTERS: typing.Final = 4000


async def keep_running(
    name: str, component: abc.Callable[[], abc.Awaitable[None]]
) -> None:
    """Run a component until it returns; log failures and restart it."""
    while True:
        try:
            await component()
            return
        except Exception as error:
            trace = ''.join(traceback.format_exception(error))
            _LOG.write(
                'part_failed',
                part=name,
                error=type(error).__name__,
                trace=trace[-TRACE_CHARACTERS:],
            )
        await anyio.sleep(RESTART_SECONDS)
