"""Keeps the parts of an instance running when one of them fails."""

from __future__ import annotations

import traceback
import typing

import anyio

from . import logs

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['keep_running']

_LOG: typing.Final = logs.PartLog('supervisor')

RESTART_SECONDS: typing.Final = 0.2
TRACE_CHARACTERS: typing.Final = 4000


async def keep_running(
    name: str, part: abc.Callable[[], abc.Awaitable[None]]
) -> None:
    """Run a part for ever; a failure is logged and the part starts again."""
    while True:
        try:
            await part()
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
