"""The router that scores replicas by expected time to first token."""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from ..platform import api as platform_api
    from ..pools import api as pools_api

__all__ = ['RoutingSettings', 'ScoringRouter']


class RoutingSettings(typing.NamedTuple):
    """Weights and bounds of the choice."""

    sample_size: int = 2


class ScoringRouter:
    """Chooses replicas by expected time to first token; see ``api.Router``.

    :param failure_domain: where this instance runs.
    """

    def __init__(
        self, failure_domain: str, settings: RoutingSettings | None = None
    ) -> None:
        self._failure_domain = failure_domain
        self._settings = settings or RoutingSettings()

    def update_view(self, view: pools_api.PoolView, now: float) -> None:
        """Take in a pool's view unless a newer one is known."""
        raise NotImplementedError

    def update_services(
        self, services: abc.Mapping[str, tuple[api.Replica, ...]], now: float
    ) -> None:
        """Replace the servers of the plain services."""
        raise NotImplementedError

    def mark_leaving(self, server_id: str, now: float) -> None:
        """Give a server nothing new from now on."""
        raise NotImplementedError

    def update_load(
        self, server_id: str, report: platform_api.LoadReport, now: float
    ) -> None:
        """Take in a lagging load report."""
        raise NotImplementedError

    def update_cache(
        self, server_id: str, events: platform_api.CacheEvents, now: float
    ) -> None:
        """Take in cache events, tolerating gaps."""
        raise NotImplementedError

    def choose(
        self, request: api.RouteRequest, now: float, rng: random.Random
    ) -> api.Choice | api.NoReplica:
        """Choose a replica and count the attempt as in flight there."""
        raise NotImplementedError

    def first_token(self, attempt_id: str, now: float) -> None:
        """Note that an attempt's first byte arrived."""
        raise NotImplementedError

    def finished(self, attempt_id: str, ok: bool, now: float) -> None:
        """Note that an attempt ended, whatever its end."""
        raise NotImplementedError

    def replicas(self, artifact: str) -> tuple[api.Replica, ...]:
        """Return the replicas that may get new work."""
        raise NotImplementedError
