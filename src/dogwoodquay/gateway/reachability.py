"""Tells whether the store answers the reads of one watch."""

from __future__ import annotations

import typing

import anyio

from ..external import api as external_api
from ..observe import logs
from . import store_api

if typing.TYPE_CHECKING:
    from .. import clock as clocks
    from . import metrics as gateway_metrics

__all__ = ['StoreReachability', 'reason_of']

_LOG: typing.Final = logs.ComponentLog('store')

FIRST_BACKOFF_SECONDS: typing.Final = 0.1
MAX_BACKOFF_SECONDS: typing.Final = 0.8
# Time for an answer to begin, doubled after each failure up to a limit, so
# that a slow store is not asked again before it can answer.
FIRST_ANSWER_SECONDS: typing.Final = 1.0


class StoreReachability:
    """Records whether the store answers; logs changes and backs off."""

    def __init__(
        self,
        name: str,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
        max_answer_seconds: float,
        max_backoff_seconds: float = MAX_BACKOFF_SECONDS,
    ) -> None:
        self._max_answer_seconds = max_answer_seconds
        self._max_backoff_seconds = max_backoff_seconds
        self._answer_seconds = FIRST_ANSWER_SECONDS
        self._name = name
        self._clock = clock
        self._metrics = metrics
        self._unavailable_since: float | None = None
        self._backoff = FIRST_BACKOFF_SECONDS

    @property
    def unavailable(self) -> bool:
        """Whether the last call failed."""
        return self._unavailable_since is not None

    @property
    def answer_seconds(self) -> float:
        """How long the next answer may take to begin."""
        return self._answer_seconds

    def on_answer(self) -> float:
        """Record an answer; return the seconds of the outage before."""
        unavailable_since, self._unavailable_since = (
            self._unavailable_since,
            None,
        )
        self._backoff = FIRST_BACKOFF_SECONDS
        self._answer_seconds = FIRST_ANSWER_SECONDS
        if unavailable_since is None:
            return 0.0
        seconds = self._clock.now() - unavailable_since
        _LOG.write('regained', watch=self._name, seconds=round(seconds, 3))
        return seconds

    async def on_failure(self, error: store_api.StoreError) -> None:
        """Record a failed call and wait before the next one."""
        reason = reason_of(error)
        self._metrics.store_failed(reason)
        if self._unavailable_since is None:
            self._unavailable_since = self._clock.now()
            _LOG.write('lost', watch=self._name, reason=reason)
        self._answer_seconds = min(
            2 * self._answer_seconds, self._max_answer_seconds
        )
        await anyio.sleep(self._backoff)
        self._backoff = min(2 * self._backoff, self._max_backoff_seconds)


def reason_of(error: store_api.StoreError) -> str:
    """Return the label of an error in logs and metrics."""
    match error:
        case external_api.Trimmed() | store_api.Restored():
            return type(error).__name__
        case _:
            return error.reason
