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
    """A server with a ready artifact, or a server of a plain service."""

    server_id: str
    address: str
    port: int
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """The properties of an attempt that routing depends on.

    ``artifact`` is ``name@version`` or the name of a plain service.
    ``prefix_hashes`` are the hashes of the prompt's leading blocks, the
    shortest prefix first. ``avoid_servers`` and ``avoid_domains`` are the
    servers and failure domains that earlier attempts of the request used.
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
    """No replica can take the attempt.

    ``reason`` is the label that the metrics count it under.
    """

    reason: str
    retry_at: float


class Router(typing.Protocol):
    """Chooses replicas by this instance's local state, without any I/O."""

    def update_view(self, view: pools_api.PoolView, now: float) -> None:
        """Replace a pool's view if the given one is newer."""

    def update_services(
        self, services: abc.Mapping[str, tuple[Replica, ...]], now: float
    ) -> None:
        """Replace the servers of the plain services."""

    def mark_leaving(self, server_id: str, now: float) -> None:
        """Stop choosing a server for new attempts."""

    def mark_live(self, server_id: str, now: float) -> None:
        """Choose a server again that was marked as leaving."""

    def update_load(
        self, server_id: str, report: external_api.LoadReport, now: float
    ) -> None:
        """Update a server's load from its report, which may be delayed."""

    def update_cache(
        self, server_id: str, events: external_api.CacheEvents, now: float
    ) -> None:
        """Update the cached prefixes from events, which may have gaps."""

    def choose(
        self, request: RouteRequest, now: float, rng: random.Random
    ) -> Choice | NoReplica:
        """Choose a replica and count the attempt as in flight there."""

    def first_token(self, attempt_id: str, now: float) -> None:
        """Record that the first byte of an attempt's answer arrived."""

    def finished(self, attempt_id: str, ok: bool, now: float) -> None:
        """Record that an attempt ended.

        :param ok: false if the server failed.
        """

    def relative_latencies(self, now: float) -> dict[str, float]:
        """Return the latency of each pool server, relative to the mean."""

    def replicas(self, artifact: str) -> tuple[Replica, ...]:
        """Return the replicas that can get new attempts."""
