"""Shares the progress of requests and applies which servers are stalled."""

from __future__ import annotations

import math
import typing

from ..gateway import messages
from ..observe import logs
from ..stalls import api as stall_api
from ..stalls import detector
from ..stalls import local

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..fleet import api as fleet_api
    from ..fleet import registry as registries
    from ..gateway import metrics as gateway_metrics

    _StalledHandler = abc.Callable[[abc.Container[str]], None]

__all__ = ['StallWatch']

_LOG: typing.Final = logs.ComponentLog('stalls')

# Servers that fit one message; an instance has requests at fewer.
MAX_ROWS: typing.Final = 256
# What the owner has found is kept for so long: it answers many loads a second.
DETECT_SECONDS: typing.Final = 0.05


class StallWatch:
    """Ejects servers that accept requests and answer no instance.

    :param enabled: whether the servers of a service are watched.
    """

    def __init__(
        self,
        registry: registries.Registry,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
        enabled: abc.Callable[[str], bool],
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._metrics = metrics
        self._enabled = enabled
        self._progress = local.LocalProgress()
        self._detector = detector.Detector()
        self._stalls: list[stall_api.Stall] = []
        self._detect_at = -math.inf
        self._on_stalled: _StalledHandler = _ignore

    def on_stalled(self, notify: _StalledHandler) -> None:
        """Set what is called with the servers that are found stalled."""
        self._on_stalled = notify

    def sent(self, entry: fleet_api.ServerEntry) -> WatchedRequest | None:
        """Count a request that is sent to a server until it has ended.

        :return: ``None`` if the servers of its service are not watched.
        """
        if not self._enabled(entry.service):
            return None
        return WatchedRequest(_key(entry), self._clock, self._progress)

    def load_rows(self) -> tuple[messages.ProgressRow, ...]:
        """Return the progress at this instance, for the owner."""
        now = self._clock.now()
        rows = self._progress.rows(now)
        return tuple(
            messages.ProgressRow(
                *row.server,
                row.pending,
                None if row.heard_at == -math.inf else now - row.heard_at,
            )
            for row in rows[:MAX_ROWS]
        )

    def on_load(self, load: messages.InstanceLoad) -> None:
        """Apply the progress at an instance, at the owner."""
        now = self._clock.now()
        rows = (
            stall_api.Progress(
                stall_api.ServerKey(row.server_id, row.started_ms),
                row.pending,
                -math.inf if row.seconds is None else now - row.seconds,
            )
            for row in load.progress[:MAX_ROWS]
        )
        self._detector.apply(load.instance_id, rows, now)

    def view_rows(self) -> tuple[messages.StallRow, ...]:
        """Return the stalled servers, at the owner."""
        now = self._clock.now()
        if now >= self._detect_at:
            self._detect_at = now + DETECT_SECONDS
            self._detector.keep_only(
                {_key(item.entry) for item in self._registry.servers.values()}
            )
            self._stalls = self._detector.stalls(now)
        return tuple(
            messages.StallRow(*item.server, item.until - now)
            for item in self._stalls
        )

    def on_view(self, view: messages.FleetView, asked_at: float) -> None:
        """Apply the owner's view.

        :param asked_at: when the owner was asked for it.
        """
        begun, ended = self._progress.update_stalls(
            stall_api.Stall(
                stall_api.ServerKey(row.server_id, row.started_ms),
                asked_at + min(row.seconds, detector.MAX_SECONDS),
            )
            for row in view.stalls[:MAX_ROWS]
            if row.seconds > 0.0
        )
        found = set()
        for stall in begun:
            if self._apply(stall):
                found.add(stall.server.server_id)
                self._metrics.server_stalled()
                _LOG.write('stalled', server=stall.server.server_id)
        for key in ended:
            if self._apply(stall_api.Stall(key, -math.inf)):
                _LOG.write('answering', server=key.server_id)
        if found:
            self._on_stalled(found)

    def _apply(self, stall: stall_api.Stall) -> bool:
        """Set until when a server is not used; whether it is listed."""
        server = self._registry.get(stall.server.server_id)
        if server is None or _key(server.entry) != stall.server:
            return False
        server.stall(stall.until)
        return True


class WatchedRequest:
    """One request at a server, from its sending to its end."""

    def __init__(
        self,
        server: stall_api.ServerKey,
        clock: clocks.Clock,
        progress: local.LocalProgress,
    ) -> None:
        self._server = server
        self._clock = clock
        self._progress = progress
        self._sent_at = clock.now()
        self._waiting = True
        progress.sent(server, self._sent_at)

    def heard(self) -> None:
        """Record that bytes of the answer have arrived."""
        if self._waiting:
            self._waiting = False
            self._progress.answering(self._server, self._sent_at)
        self._progress.heard(self._server, self._clock.now())

    def ended(self) -> None:
        """Count the end of the request."""
        self._progress.ended(self._server, self._sent_at, self._waiting)


def _ignore(server_ids: abc.Container[str]) -> None:
    """Do nothing with servers that are found stalled."""


def _key(entry: fleet_api.ServerEntry) -> stall_api.ServerKey:
    return stall_api.ServerKey(entry.server_id, entry.started_ms)
