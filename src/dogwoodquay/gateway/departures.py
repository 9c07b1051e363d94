"""Tells other instances which servers have left, and applies their news."""

from __future__ import annotations

import typing

from ..fleet import departures as fleet_departures
from ..fleet import registry as registries
from . import messages
from ..observe import logs

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from . import metrics as gateway_metrics

__all__ = ['DepartureNews']

_LOG: typing.Final = logs.ComponentLog('servers')

# How long a departure is passed on.
NEWS_SECONDS: typing.Final = 10.0
# The most recent departures that fit one message.
MAX_ROWS: typing.Final = 256

_APPLIED: typing.Final = frozenset(
    {registries.Change.LEAVING, registries.Change.REMOVED}
)


class DepartureNews:
    """Passes departures on, so that one reader of the list is enough.

    An instance that the store turns away, or whose reads get no answer, learns
    in this way that a server leaves.
    """

    def __init__(
        self,
        registry: registries.Registry,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._metrics = metrics

    def rows(self) -> tuple[messages.DepartureRow, ...]:
        """Return the departures of the last seconds."""
        now = self._clock.now()
        recent = self._registry.departures(now - NEWS_SECONDS)
        return tuple(
            messages.DepartureRow(
                item.server_id,
                now - item.at,
                item.announced,
                item.started_ms,
                item.report_number,
            )
            for item in recent[-MAX_ROWS:]
        )

    def apply(self, rows: abc.Iterable[messages.DepartureRow]) -> None:
        """Apply what another instance knows.

        The time that the message took makes departures appear later than
        they were, by at most the timeout of a call between instances.
        """
        now = self._clock.now()
        for row in rows:
            departure = fleet_departures.Departure(
                row.server_id,
                now - row.seconds,
                row.announced,
                row.started_ms,
                row.report_number,
            )
            change = self._registry.on_departure_reported(departure, now)
            if change in _APPLIED:
                self._metrics.departed('peer')
                _LOG.write(
                    change.value,
                    server=row.server_id,
                    source='peer',
                    seconds=round(row.seconds, 3),
                )
