"""The router that scores replicas by expected time to first token."""

from __future__ import annotations

import typing

from . import api
from . import health
from . import prefix
from . import server

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from ..external import api as external_api
    from ..pools import api as pools_api

__all__ = ['RoutingSettings', 'ScoringRouter']

_SERVICES: typing.Final = ''


class RoutingSettings(typing.NamedTuple):
    """Weights and bounds of the choice.

    An attempt is refused when the expected time to the first token exceeds
    what is left until its deadline by the factor ``late_margin``.
    """

    sample_size: int = 2
    cache_candidates: int = 1
    domain_seconds: float = 0.002
    slow_start_seconds: float = 10.0
    slow_start_factor: float = 2.0
    no_replica_retry_seconds: float = 2.0
    late_margin: float = 1.5
    load: server.LoadSettings = server.LoadSettings()
    health: health.HealthSettings = health.HealthSettings()
    prefix: prefix.PrefixSettings = prefix.PrefixSettings()


class _Score(typing.NamedTuple):
    """What the choice of one server would mean."""

    seconds: float
    uncached_tokens: float
    work: float


class ScoringRouter:
    """Chooses replicas by expected time to first token; see ``api.Router``.

    Of the usable replicas it samples a few, adds those that may have the
    prompt's prefix cached, and takes the one with the earliest expected
    first token. ``finished`` with ``ok`` false counts against a server, so
    it is for failures of the server and not for callers that went away.

    :param failure_domain: where this instance runs.
    """

    def __init__(
        self, failure_domain: str, settings: RoutingSettings | None = None
    ) -> None:
        self._failure_domain = failure_domain
        self._settings = settings or RoutingSettings()
        self._peers: dict[str, server.Peers] = {}
        self._prefixes = prefix.PrefixIndex(self._settings.prefix)
        self._servers: dict[str, server.ServerState] = {}
        self._versions: dict[str, tuple[int, int]] = {}
        self._pool_artifacts: dict[str, set[str]] = {}
        self._pool_servers: dict[str, set[str]] = {}
        self._by_artifact: dict[str, list[server.ServerState]] = {}
        self._leaving: set[str] = set()
        self._ejected_until = float('-inf')
        self._attempts: dict[str, server.Attempt] = {}
        self._started: set[str] = set()

    def update_view(self, view: pools_api.PoolView, now: float) -> None:
        """Take in a pool's view unless a newer one is known."""
        version = (view.epoch, view.version)
        known = self._versions.get(view.pool)
        if known is not None and version <= known:
            return
        self._versions[view.pool] = version
        lists: dict[str, list[server.ServerState]] = {}
        for item in view.servers:
            state = self._state(server.replica_of(item), view.pool)
            state.leaving = item.leaving
            state.note_ready(item, known is not None, now)
            if item.load is not None:
                state.take_report(item.load)
            self._list(state, lists)
        present = {item.server_id for item in view.servers}
        self._replace(view.pool, present, lists)

    def update_services(
        self, services: abc.Mapping[str, tuple[api.Replica, ...]], now: float
    ) -> None:
        """Replace the servers of the plain services."""
        lists: dict[str, list[server.ServerState]] = {}
        present = set()
        for name, replicas in services.items():
            for replica in replicas:
                present.add(replica.server_id)
                state = self._state(replica, _SERVICES)
                state.ready_at.setdefault(name, float('-inf'))
                if replica.server_id not in self._leaving:
                    lists.setdefault(name, []).append(state)
        self._replace(_SERVICES, present, lists)

    def mark_leaving(self, server_id: str, now: float) -> None:
        """Give a server nothing new from now on."""
        self._leaving.add(server_id)
        state = self._servers.get(server_id)
        for artifact in state.ready_at if state else ():
            states = self._by_artifact.get(artifact, [])
            if state in states:
                states.remove(state)

    def mark_live(self, server_id: str, now: float) -> None:
        """Let a server that was leaving have new work again."""
        state = self._servers.get(server_id)
        if server_id in self._leaving:
            self._leaving.discard(server_id)
            if state is not None:
                self._list(state, self._by_artifact)

    def update_load(
        self, server_id: str, report: external_api.LoadReport, now: float
    ) -> None:
        """Take in a lagging load report."""
        state = self._servers.get(server_id)
        if state is not None:
            state.take_report(report)

    def update_cache(
        self, server_id: str, events: external_api.CacheEvents, now: float
    ) -> None:
        """Take in cache events, tolerating gaps."""
        if server_id in self._servers:
            self._prefixes.update(server_id, events, now)

    def choose(
        self, request: api.RouteRequest, now: float, rng: random.Random
    ) -> api.Choice | api.NoReplica:
        """Choose a replica and count the attempt as in flight there."""
        retry_at = now + self._settings.no_replica_retry_seconds
        if request.deadline <= now:
            return api.NoReplica('deadline_passed', retry_at)
        usable = self._usable(request, now)
        if not usable:
            return api.NoReplica('no_ready_replica', retry_at)
        chosen, score = self._best(request, usable, now, rng)
        if self._too_late(chosen, request, score, now):
            retry_at = now + score.seconds - (request.deadline - now)
            return api.NoReplica('deadline_unmeetable', retry_at)
        self._attempts[request.attempt_id] = chosen.send(
            request.priority, score.uncached_tokens, score.work, now
        )
        chosen.learn_prompt(request.prompt_tokens)
        if request.prefix_hashes:
            self._prefixes.presume(
                chosen.replica.server_id, request.prefix_hashes, now
            )
        return api.Choice(chosen.replica, now + score.seconds)

    def first_token(self, attempt_id: str, now: float) -> None:
        """Note that an attempt's first byte arrived."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt_id in self._started:
            return
        self._started.add(attempt_id)
        attempt.server.first_token(attempt, now)

    def finished(self, attempt_id: str, ok: bool, now: float) -> None:
        """Note that an attempt ended, whatever its end."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return
        started = attempt_id in self._started
        self._started.discard(attempt_id)
        attempt.server.end(attempt, started, now)
        attempt.server.health.record(ok, now)
        if not ok:
            self._ejected_until = max(
                self._ejected_until, attempt.server.health.ejected_until
            )

    def replicas(self, artifact: str) -> tuple[api.Replica, ...]:
        """Return the replicas that may get new work."""
        return tuple(state.replica for state in self._open(artifact))

    def paces(self, now: float) -> dict[str, float]:
        """Return how slow each server seems; one is the mean of all.

        The owner of a pool derives ``placement.api.Contents.speed`` from
        the paces that instances report.
        """
        return {
            server_id: state.pace(now)
            for server_id, state in self._servers.items()
            if state.pool != _SERVICES
        }

    def _open(self, artifact: str) -> list[server.ServerState]:
        """Return the ready servers that are not leaving."""
        return self._by_artifact.get(artifact, [])

    def _list(
        self,
        state: server.ServerState,
        lists: dict[str, list[server.ServerState]],
    ) -> None:
        """Add a server to the lists of its artifacts unless it leaves."""
        if state.leaving or state.replica.server_id in self._leaving:
            return
        for artifact in state.ready_at:
            lists.setdefault(artifact, []).append(state)

    def _usable(
        self, request: api.RouteRequest, now: float
    ) -> abc.Sequence[server.ServerState]:
        """Return servers to choose from, new domains before new servers."""
        states = self._open(request.artifact)
        if not states:
            return states
        usable: abc.Sequence[server.ServerState] = states
        if now < self._ejected_until:
            usable = health.usable(
                states, self._settings.health.kept_share, now
            )
        if not request.avoid_servers and not request.avoid_domains:
            return usable
        fresh = [
            state
            for state in usable
            if state.replica.server_id not in request.avoid_servers
        ]
        elsewhere = [
            state
            for state in fresh
            if state.replica.failure_domain not in request.avoid_domains
        ]
        return elsewhere or fresh or usable

    def _best(
        self,
        request: api.RouteRequest,
        usable: abc.Sequence[server.ServerState],
        now: float,
        rng: random.Random,
    ) -> tuple[server.ServerState, _Score]:
        """Return the best of a sample; ties fall to the first drawn."""
        sample = self._sample(usable, rng)
        if len(sample) < len(usable):
            sample.extend(self._cached(request, usable))
        best = sample[0]
        best_score = self._score(best, request, now)
        for state in sample[1:]:
            score = self._score(state, request, now)
            if score.seconds < best_score.seconds:
                best, best_score = state, score
        return best, best_score

    def _sample(
        self, usable: abc.Sequence[server.ServerState], rng: random.Random
    ) -> list[server.ServerState]:
        """Return a few servers in random order."""
        size = self._settings.sample_size
        count = len(usable)
        if count <= size:
            return rng.sample(usable, count)
        picks: list[int] = []
        while len(picks) < size:
            pick = int(rng.random() * count)
            if pick not in picks:
                picks.append(pick)
        return [usable[pick] for pick in picks]

    def _cached(
        self,
        request: api.RouteRequest,
        usable: abc.Sequence[server.ServerState],
    ) -> list[server.ServerState]:
        """Return usable servers that may hold the longest known prefix."""
        names = self._prefixes.owners(
            request.prefix_hashes, self._settings.cache_candidates
        )
        states = [self._servers.get(name) for name in names]
        return [state for state in states if state and state in usable]

    def _score(
        self, state: server.ServerState, request: api.RouteRequest, now: float
    ) -> _Score:
        settings = self._settings
        cached = self._prefixes.match(
            state.replica.server_id, request.prefix_hashes, now
        )
        uncached = request.prompt_tokens * (1.0 - cached)
        uncached += settings.load.request_tokens
        work = state.work_ahead(request.priority, now) + uncached
        seconds = work * state.seconds_per_token(now)
        seconds *= self._slow_start(state, request.artifact, now)
        if state.replica.failure_domain != self._failure_domain:
            seconds += settings.domain_seconds
        return _Score(seconds, uncached, work)

    def _slow_start(
        self, state: server.ServerState, artifact: str, now: float
    ) -> float:
        """Return a factor above one for a replica that just got ready."""
        settings = self._settings
        age = now - state.ready_at.get(artifact, float('-inf'))
        if age >= settings.slow_start_seconds:
            return 1.0
        left = 1.0 - age / settings.slow_start_seconds
        return 1.0 + settings.slow_start_factor * left

    def _too_late(
        self,
        state: server.ServerState,
        request: api.RouteRequest,
        score: _Score,
        now: float,
    ) -> bool:
        """Return whether the first token would come far too late.

        A server for which nothing of this instance waits is always tried,
        so that a wrong expectation is corrected. Plain services work on
        many calls at a time, which the expectation knows nothing of.
        """
        if state.idle or state.pool == _SERVICES:
            return False
        left = request.deadline - now
        return score.seconds > left * self._settings.late_margin

    def _state(self, replica: api.Replica, pool: str) -> server.ServerState:
        """Return a server's state; a new address starts afresh."""
        state = self._servers.get(replica.server_id)
        known = (state.replica, state.pool) if state is not None else None
        if state is None or known != (replica, pool):
            if state is not None:
                self._drop(replica.server_id)
            load = self._settings.load
            state = server.ServerState(
                replica,
                pool,
                load,
                self._settings.health,
                self._peers.setdefault(pool, server.Peers(load)),
            )
            self._servers[replica.server_id] = state
        return state

    def _replace(
        self,
        pool: str,
        present: set[str],
        lists: dict[str, list[server.ServerState]],
    ) -> None:
        """Put a pool's new lists in place of its old ones."""
        for artifact in self._pool_artifacts.get(pool, ()):
            states = self._by_artifact.pop(artifact, [])
            kept = [state for state in states if state.pool != pool]
            if kept:
                self._by_artifact[artifact] = kept
        for artifact, states in lists.items():
            self._by_artifact.setdefault(artifact, []).extend(states)
        for server_id in self._pool_servers.get(pool, set()) - present:
            state = self._servers.get(server_id)
            if state is not None and state.pool == pool:
                self._drop(server_id)
        self._pool_servers[pool] = present
        self._pool_artifacts[pool] = {
            artifact
            for server_id in present
            for artifact in self._servers[server_id].ready_at
        }

    def _drop(self, server_id: str) -> None:
        """Forget a server; its attempts in flight end by themselves."""
        self._servers.pop(server_id).retire()
        self._prefixes.forget(server_id)
        self._leaving.discard(server_id)
