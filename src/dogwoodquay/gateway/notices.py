"""Applies what servers say of themselves in their answers."""

from __future__ import annotations

import typing

from ..fleet import registry as registries
from ..observe import logs

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from . import api
    from ..fleet import api as fleet_api
    from ..fleet import server as servers
    from . import metrics as gateway_metrics

__all__ = ['ServerNotices']

_LOG: typing.Final = logs.ComponentLog('servers')

# Servers whose unreadable notices are remembered, to log each one once.
MAX_UNREADABLE: typing.Final = 256


class ServerNotices:
    """Records that servers leave, or want no requests for a while.

    A server that leaves gets no new work from any instance. A pause is kept
    by the instance that was asked for it.
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
        self._unreadable: set[tuple[str, str]] = set()
        self._on_change: abc.Callable[[], None] = lambda: None
        metrics.gauge(
            'gateway_paused_servers',
            'Servers that want no requests for a while',
            self._count_paused,
        )

    def on_change(self, notify: abc.Callable[[], None]) -> None:
        """Set what is called when a server leaves or begins a pause."""
        self._on_change = notify

    def on_answer(
        self, server: servers.Server, terms: api.AnswerTerms
    ) -> None:
        """Apply an answer to a request."""
        notice = terms.notice
        if notice is None:
            return
        if notice.unreadable:
            self._record_unreadable(server.entry, notice.unreadable)
        if notice.leaving:
            self._on_leaving(server)
        if notice.pause_seconds:
            self._on_pause(server, notice.pause_seconds)

    def on_engine_answer(
        self, entry: fleet_api.ServerEntry, terms: api.AnswerTerms
    ) -> None:
        """Apply an answer to a report or an order."""
        server = self._registry.get(entry.server_id)
        if server is not None and server.entry.started_ms == entry.started_ms:
            self.on_answer(server, terms)

    def _on_leaving(self, server: servers.Server) -> None:
        change = self._registry.on_announced(server, self._clock.now())
        if change is not registries.Change.LEAVING:
            return
        self._metrics.departed('answer')
        _LOG.write(
            change.value, server=server.entry.server_id, source='answer'
        )
        self._on_change()

    def _on_pause(self, server: servers.Server, seconds: float) -> None:
        now = self._clock.now()
        begins = not server.paused(now)
        self._registry.on_pause(server, now + seconds)
        if begins:
            self._metrics.server_paused()
            _LOG.write(
                'paused',
                server=server.entry.server_id,
                seconds=round(seconds, 3),
            )
            self._on_change()

    def _record_unreadable(
        self, entry: fleet_api.ServerEntry, header: str
    ) -> None:
        key = (entry.server_id, header)
        if key in self._unreadable or len(self._unreadable) >= MAX_UNREADABLE:
            return
        self._unreadable.add(key)
        _LOG.write('notice_unreadable', server=entry.server_id, header=header)

    def _count_paused(self) -> int:
        now = self._clock.now()
        return sum(
            server.paused(now) for server in self._registry.servers.values()
        )
