"""Simple routers, and settings of earlier versions of the scoring router."""

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
        late_margin=math.inf, load=server.LoadSettings(report_seconds=5.0)
    ),
    2: router.RoutingSettings(load=server.LoadSettings(report_seconds=5.0)),
    3: router.RoutingSettings(load=server.LoadSettings(report_seconds=2.0)),
}


class RoundRobinRouter:
    """Takes the ready replicas in turn; see ``api.Router``."""

    def __init__(self) -> None:
        self._views: dict[str, pools_api.PoolView] = {}
        self._services: dict[str, tuple[api.Replica, ...]] = {}
        self._ready: dict[str, tuple[api.Replica, ...]] = {}
        self._leaving: set[str] = set()
        self._turn = 0

    def update_view(self, view: pools_api.PoolView, now: float) -> None:
        """Take in a pool's view unless a newer one is known."""
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
        """Give a server nothing new from now on."""
        self._leaving.add(server_id)

    def mark_live(self, server_id: str, now: float) -> None:
        """Let a server that was leaving have new work again."""
        self._leaving.discard(server_id)

    def update_load(
        self, server_id: str, report: external_api.LoadReport, now: float
    ) -> None:
        """Ignore the load."""

    def update_cache(
        self, server_id: str, events: external_api.CacheEvents, now: float
    ) -> None:
        """Ignore cached prefixes."""

    def choose(
        self, request: api.RouteRequest, now: float, rng: random.Random
    ) -> api.Choice | api.NoReplica:
        """Choose a replica."""
        if request.deadline <= now:
            return api.NoReplica('deadline_passed', now)
        found = self.replicas(request.artifact)
        if not found:
            return api.NoReplica('no_ready_replica', now + 2.0)
        fresh = [
            item
            for item in found
            if item.server_id not in request.avoid_servers
        ]
        return api.Choice(self._pick(fresh or found, rng), now)

    def first_token(self, attempt_id: str, now: float) -> None:
        """Ignore the first byte."""

    def finished(self, attempt_id: str, ok: bool, now: float) -> None:
        """Ignore the end."""

    def replicas(self, artifact: str) -> tuple[api.Replica, ...]:
        """Return the replicas that may get new work."""
        found = self._ready.get(artifact, self._services.get(artifact, ()))
        return tuple(r for r in found if r.server_id not in self._leaving)

    def paces(self, now: float) -> dict[str, float]:
        """Return nothing: it does not watch how fast servers are."""
        return {}

    def _pick(
        self, replicas: abc.Sequence[api.Replica], rng: random.Random
    ) -> api.Replica:
        self._turn += 1
        return replicas[self._turn % len(replicas)]


class LeastReportedRouter(RoundRobinRouter):
    """Takes the replica whose last report shows the least load."""

    def __init__(self) -> None:
        super().__init__()
        self._load: dict[str, int] = {}

    def update_load(
        self, server_id: str, report: external_api.LoadReport, now: float
    ) -> None:
        """Remember the reported load."""
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
    """Return the ready replicas on servers that stay, by artifact."""
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
