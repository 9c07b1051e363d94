"""Logs unexpected exceptions without repeating their traces."""

from __future__ import annotations

import traceback
import typing

if typing.TYPE_CHECKING:
    from .. import clock as clocks
    from . import logs

__all__ = ['ExceptionLog']

# A trace of the same type and place is logged again after this time.
REPEAT_SECONDS: typing.Final = 60.0
MAX_TRACE_CHARACTERS: typing.Final = 4000
MAX_PLACES: typing.Final = 256


class ExceptionLog:
    """Logs each type of exception once a minute for each place."""

    def __init__(self, log: logs.ComponentLog, clock: clocks.Clock) -> None:
        self._log = log
        self._clock = clock
        self._logged_at: dict[tuple[str, int, type[Exception]], float] = {}

    def record(self, error: Exception, **fields: typing.Any) -> None:
        """Log an exception unless one like it was logged lately."""
        now = self._clock.now()
        key = _place(error)
        if now < self._logged_at.get(key, -REPEAT_SECONDS) + REPEAT_SECONDS:
            return
        if len(self._logged_at) >= MAX_PLACES:
            del self._logged_at[next(iter(self._logged_at))]
        self._logged_at.pop(key, None)
        self._logged_at[key] = now
        trace = ''.join(traceback.format_exception(error))
        self._log.write(
            'exception',
            error=type(error).__name__,
            trace=trace[-MAX_TRACE_CHARACTERS:],
            **fields,
        )


def _place(error: Exception) -> tuple[str, int, type[Exception]]:
    """Return where an exception was raised, and its type."""
    trace = error.__traceback__
    name, line = '', 0
    while trace is not None:
        name = trace.tb_frame.f_code.co_filename
        line = trace.tb_lineno
        trace = trace.tb_next
    return name, line, type(error)
