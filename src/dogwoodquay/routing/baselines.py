"""Simple routers and earlier settings, as baselines for benchmarks."""

from __future__ import annotations

import math
import typing

from . import api
from . import router
from . import server

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from ..external import api as external_api
    from ..pools import api as pools_api

__all__ = ['VERSIONS', 'LeastReportedRouter', 'RoundRobinRouter']

VERSIONS: typing.Final = {
    1: router.RoutingSettings(
        deadline_overrun_factor=math.inf,
        load=server.LoadSettings(report_seconds=5.0),
    ),
    2: router.RoutingSettings(load=server.LoadSettings(report_seconds=5.0)),
    3: router.RoutingSettings(load=server.LoadSettings(report_seconds=2.0)),
}


class RoundRobinRouter:
    """Chooses the ready replicas in turn; see ``api.Router``."""

    def __init__(self) -> None:
        self._views: dict[str, pools_api.PoolView] = {}
        self._services: dict[str, tuple[api.Replica, ...]] = {}
        self._ready: dict[str, tuple[api.Replica, ...]] = {}
        self._leaving: set[str] = set()
        self._choice_count = 0

    def update_view(self, view: pools_api.PoolView, now: float) -> None:
        """Replace a pool's view if the given one is newer."""
        known = self._views.get(view.pool)
        if known is not None and view.version <= known.version:
            return
        self._views[view.pool] = view
        self._ready = _ready(self._views.values())

    def update_services(
        self, services: abc.Mapping[str, tuple[api.Replica, ...]], now: float
    ) -> None:
        """Replace the servers of the plain services."""
        self._services = dict(services)

    def mark_leaving(self, server_id: str, now: float) -> None:
        """Stop choosing a server for new attempts."""
        self._leaving.add(server_id)

    def mark_live(self, server_id: str, now: float) -> None:
        """Choose a server again that was marked as leaving."""
        self._leaving.discard(server_id)

    def update_load(
        self, server_id: str, report: external_api.LoadReport, now: float
    ) -> None:
        """Ignore load reports."""

    def update_cache(
        self, server_id: str, events: external_api.CacheEvents, now: float
    ) -> None:
        """Ignore cached prefixes."""

    def choose(
        self, request: api.RouteRequest, now: float, rng: random.Random
    ) -> api.Choice | api.NoReplica:
        """Choose the next replica, a server not used before if possible."""
        if request.deadline <= now:
            return api.NoReplica('deadline_passed', now)
        found = self.replicas(request.artifact)
        if not found:
            return api.NoReplica('no_ready_replica', now + 2.0)
        other_servers = [
            item
            for item in found
            if item.server_id not in request.avoid_servers
        ]
        return api.Choice(self._pick(other_servers or found, rng), now)

    def first_token(self, attempt_id: str, now: float) -> None:
        """Ignore the first byte."""

    def finished(self, attempt_id: str, ok: bool, now: float) -> None:
        """Ignore the end of an attempt."""

    def replicas(self, artifact: str) -> tuple[api.Replica, ...]:
        """Return the replicas that can get new attempts."""
        found = self._ready.get(artifact, self._services.get(artifact, ()))
        return tuple(r for r in found if r.server_id not in self._leaving)

    def relative_latencies(self, now: float) -> dict[str, float]:
        """Return an empty mapping; latencies are not measured."""
        return {}

    def _pick(
        self, replicas: abc.Sequence[api.Replica], rng: random.Random
    ) -> api.Replica:
        self._choice_count += 1
        return replicas[self._choice_count % len(replicas)]


class LeastReportedRouter(RoundRobinRouter):
    """Chooses the replica with the least load in its last report."""

    def __init__(self) -> None:
        super().__init__()
        self._load: dict[str, int] = {}

    def update_load(
        self, server_id: str, report: external_api.LoadReport, now: float
    ) -> None:
        """Store the reported number of running and queued requests."""
        self._load[server_id] = report.running + report.queued

    def _pick(
        self, replicas: abc.Sequence[api.Replica], rng: random.Random
    ) -> api.Replica:
        least = min(self._load.get(r.server_id, 0) for r in replicas)
        ties = [r for r in replicas if self._load.get(r.server_id, 0) == least]
        return rng.choice(ties)


def _ready(
    views: abc.Iterable[pools_api.PoolView],
) -> dict[str, tuple[api.Replica, ...]]:
    """Return the ready replicas by artifact, without leaving servers."""
    found: dict[str, list[api.Replica]] = {}
    for view in views:
        for item in view.servers:
            if item.leaving:
                continue
            replica = api.Replica(
                item.server_id, item.address, item.port, item.failure_domain
            )
            for artifact in item.artifacts:
                if artifact.ready and not artifact.withdrawing:
                    found.setdefault(artifact.artifact, []).append(replica)
    return {artifact: tuple(items) for artifact, items in found.items()}
