"""The abstract part of routing: replicas, requests, choices and refusals."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from ..external import api as external_api
    from ..pools import api as pools_api

__all__ = ['Choice', 'NoReplica', 'Replica', 'RouteRequest', 'Router']


class Replica(typing.NamedTuple):
    """A ready copy of a target on a server, or a server of a service."""

    server_id: str
    address: str
    port: int
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """What routing needs to know of an attempt.

    ``artifact`` is ``name@version`` or the name of a plain service.
    ``prefix_hashes`` are the hashes of the prompt's leading blocks, the
    shortest prefix first. ``avoid_servers`` and ``avoid_domains`` hold what
    earlier attempts of the same request have used.
    """

    attempt_id: str
    artifact: str
    prompt_tokens: int
    priority: int
    deadline: float
    prefix_hashes: tuple[int, ...] = ()
    avoid_servers: frozenset[str] = frozenset()
    avoid_domains: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The chosen replica and the expected time of the first token."""

    replica: Replica
    first_token_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoReplica:
    """No replica can take the attempt; ``reason`` is the counter's label."""

    reason: str
    retry_at: float


class Router(typing.Protocol):
    """Chooses replicas from what this instance knows; does no I/O."""

    def update_view(self, view: pools_api.PoolView, now: float) -> None:
        """Take in a pool's view unless a newer one is known."""

    def update_services(
        self, services: abc.Mapping[str, tuple[Replica, ...]], now: float
    ) -> None:
        """Replace the servers of the plain services."""

    def mark_leaving(self, server_id: str, now: float) -> None:
        """Give a server nothing new from now on."""

    def mark_live(self, server_id: str, now: float) -> None:
        """Let a server that was leaving have new work again."""

    def update_load(
        self, server_id: str, report: external_api.LoadReport, now: float
    ) -> None:
        """Take in a lagging load report."""

    def update_cache(
        self, server_id: str, events: external_api.CacheEvents, now: float
    ) -> None:
        """Take in cache events, tolerating gaps."""

    def choose(
        self, request: RouteRequest, now: float, rng: random.Random
    ) -> Choice | NoReplica:
        """Choose a replica and count the attempt as in flight there."""

    def first_token(self, attempt_id: str, now: float) -> None:
        """Note that an attempt's first byte arrived."""

    def finished(self, attempt_id: str, ok: bool, now: float) -> None:
        """Note that an attempt ended, whatever its end."""

    def paces(self, now: float) -> dict[str, float]:
        """Return how slow each server of a pool seems; one is the mean."""

    def replicas(self, artifact: str) -> tuple[Replica, ...]:
        """Return the replicas that may get new work."""
