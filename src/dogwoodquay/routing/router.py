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

_SERVICES_POOL: typing.Final = ''


class RoutingSettings(typing.NamedTuple):
    """Weights and limits of the choice.

    A server in another failure domain than this instance's counts as slower
    by ``cross_domain_seconds``. A replica that just became ready counts as
    slower for ``slow_start_seconds``. An attempt is refused if the expected
    time to its first token exceeds ``deadline_overrun_factor`` times the
    time until its deadline.
    """

    sample_size: int = 2
    cache_candidates: int = 1
    cross_domain_seconds: float = 0.002
    slow_start_seconds: float = 10.0
    slow_start_factor: float = 2.0
    no_replica_retry_seconds: float = 2.0
    deadline_overrun_factor: float = 1.5
    load: server.LoadSettings = server.LoadSettings()
    health: health.HealthSettings = health.HealthSettings()
    prefix: prefix.PrefixSettings = prefix.PrefixSettings()


class _Score(typing.NamedTuple):
    """The expected time to first token, and the work, at one server.

    ``work`` includes the requests queued there; ``uncached_tokens`` is the
    attempt's own part.
    """

    seconds: float
    uncached_tokens: float
    work: float


class ScoringRouter:
    """Chooses replicas by expected time to first token; see ``api.Router``.

    It samples a few of the usable replicas, adds those that may have cached
    the prompt's prefix, and chooses the one with the lowest expected time to
    first token. The sample keeps instances with the same stale reports from
    all choosing the same server. ``finished`` with ``ok`` false counts
    towards the ejection of the server, so ``ok`` has to be true when a
    caller disconnected.

    :param failure_domain: the failure domain of this instance.
    """

    def __init__(
        self, failure_domain: str, settings: RoutingSettings | None = None
    ) -> None:
        self._failure_domain = failure_domain
        self._settings = settings or RoutingSettings()
        self._averages: dict[str, server.PoolAverages] = {}
        self._prefixes = prefix.PrefixIndex(self._settings.prefix)
        self._servers: dict[str, server.ServerState] = {}
        self._versions: dict[str, tuple[int, int]] = {}
        self._pool_artifacts: dict[str, set[str]] = {}
        self._pool_servers: dict[str, set[str]] = {}
        self._by_artifact: dict[str, list[server.ServerState]] = {}
        self._leaving: set[str] = set()
        self._ejected_until = float('-inf')
        self._attempts: dict[str, server.Attempt] = {}
        self._first_token_seen: set[str] = set()

    def update_view(self, view: pools_api.PoolView, now: float) -> None:
        """Replace a pool's view if the given one is newer."""
        version = (view.epoch, view.version)
        known = self._versions.get(view.pool)
        if known is not None and version <= known:
            return
        self._versions[view.pool] = version
        lists: dict[str, list[server.ServerState]] = {}
        for item in view.servers:
            state = self._state_of(server.replica_of(item), view.pool)
            state.leaving = item.leaving
            state.update_ready(item, known is not None, now)
            if item.load is not None:
                state.update_report(item.load)
            self._add_to_lists(state, lists)
        present = {item.server_id for item in view.servers}
        self._replace_lists(view.pool, present, lists)

    def update_services(
        self, services: abc.Mapping[str, tuple[api.Replica, ...]], now: float
    ) -> None:
        """Replace the servers of the plain services."""
        lists: dict[str, list[server.ServerState]] = {}
        present = set()
        for name, replicas in services.items():
            for replica in replicas:
                present.add(replica.server_id)
                state = self._state_of(replica, _SERVICES_POOL)
                state.ready_at.setdefault(name, float('-inf'))
                if replica.server_id not in self._leaving:
                    lists.setdefault(name, []).append(state)
        self._replace_lists(_SERVICES_POOL, present, lists)

    def mark_leaving(self, server_id: str, now: float) -> None:
        """Stop choosing a server for new attempts."""
        self._leaving.add(server_id)
        state = self._servers.get(server_id)
        for artifact in state.ready_at if state else ():
            states = self._by_artifact.get(artifact, [])
            if state in states:
                states.remove(state)

    def mark_live(self, server_id: str, now: float) -> None:
        """Choose a server again that was marked as leaving.

        A server that its pool's view marks as leaving is still not chosen.
        """
        state = self._servers.get(server_id)
        if server_id in self._leaving:
            self._leaving.discard(server_id)
            if state is not None:
                self._add_to_lists(state, self._by_artifact)

    def update_load(
        self, server_id: str, report: external_api.LoadReport, now: float
    ) -> None:
        """Update a server's load from its report, which may be delayed."""
        state = self._servers.get(server_id)
        if state is not None:
            state.update_report(report)

    def update_cache(
        self, server_id: str, events: external_api.CacheEvents, now: float
    ) -> None:
        """Update the cached prefixes from events, which may have gaps."""
        if server_id in self._servers:
            self._prefixes.update(server_id, events, now)

    def choose(
        self, request: api.RouteRequest, now: float, rng: random.Random
    ) -> api.Choice | api.NoReplica:
        """Choose a replica and count the attempt as in flight there."""
        retry_at = now + self._settings.no_replica_retry_seconds
        if request.deadline <= now:
            return api.NoReplica('deadline_passed', retry_at)
        usable = self._usable_servers(request, now)
        if not usable:
            return api.NoReplica('no_ready_replica', retry_at)
        chosen, score = self._best(request, usable, now, rng)
        if self._misses_deadline(chosen, request, score, now):
            retry_at = now + score.seconds - (request.deadline - now)
            return api.NoReplica('deadline_unmeetable', retry_at)
        self._attempts[request.attempt_id] = chosen.add_attempt(
            request.priority, score.uncached_tokens, score.work, now
        )
        chosen.update_mean_prompt(request.prompt_tokens)
        if request.prefix_hashes:
            self._prefixes.add_expected(
                chosen.replica.server_id, request.prefix_hashes, now
            )
        return api.Choice(chosen.replica, now + score.seconds)

    def first_token(self, attempt_id: str, now: float) -> None:
        """Record that the first byte of an attempt's answer arrived."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt_id in self._first_token_seen:
            return
        self._first_token_seen.add(attempt_id)
        attempt.server.on_first_token(attempt, now)

    def finished(self, attempt_id: str, ok: bool, now: float) -> None:
        """Record that an attempt ended; see the class for ``ok``."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return
        started = attempt_id in self._first_token_seen
        self._first_token_seen.discard(attempt_id)
        attempt.server.end_attempt(attempt, started, now)
        attempt.server.health.record(ok, now)
        if not ok:
            self._ejected_until = max(
                self._ejected_until, attempt.server.health.ejected_until
            )

    def replicas(self, artifact: str) -> tuple[api.Replica, ...]:
        """Return the replicas that can get new attempts."""
        return tuple(state.replica for state in self._available(artifact))

    def relative_latencies(self, now: float) -> dict[str, float]:
        """Return the latency of each pool server, relative to the mean.

        From the values of all instances, the pool's owner derives the
        throughput of each server for ``placement.api.Contents``.
        """
        return {
            server_id: state.relative_latency(now)
            for server_id, state in self._servers.items()
            if state.pool != _SERVICES_POOL
        }

    def _available(self, artifact: str) -> list[server.ServerState]:
        """Return the servers with a ready replica that are not leaving."""
        return self._by_artifact.get(artifact, [])

    def _add_to_lists(
        self,
        state: server.ServerState,
        lists: dict[str, list[server.ServerState]],
    ) -> None:
        """Add a server to its artifacts' lists unless it is leaving."""
        if state.leaving or state.replica.server_id in self._leaving:
            return
        for artifact in state.ready_at:
            lists.setdefault(artifact, []).append(state)

    def _usable_servers(
        self, request: api.RouteRequest, now: float
    ) -> abc.Sequence[server.ServerState]:
        """Return usable servers: in unused domains, else unused, else any."""
        states = self._available(request.artifact)
        if not states:
            return states
        usable: abc.Sequence[server.ServerState] = states
        if now < self._ejected_until:
            usable = health.usable_servers(
                states, self._settings.health.min_usable_share, now
            )
        if not request.avoid_servers and not request.avoid_domains:
            return usable
        other_servers = [
            state
            for state in usable
            if state.replica.server_id not in request.avoid_servers
        ]
        in_other_domains = [
            state
            for state in other_servers
            if state.replica.failure_domain not in request.avoid_domains
        ]
        return in_other_domains or other_servers or usable

    def _best(
        self,
        request: api.RouteRequest,
        usable: abc.Sequence[server.ServerState],
        now: float,
        rng: random.Random,
    ) -> tuple[server.ServerState, _Score]:
        """Return the best server of a sample; of equals, the first drawn."""
        sample = self._sample(usable, rng)
        if len(sample) < len(usable):
            sample.extend(self._prefix_candidates(request, usable))
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
        """Return a random sample of the servers in random order."""
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

    def _prefix_candidates(
        self,
        request: api.RouteRequest,
        usable: abc.Sequence[server.ServerState],
    ) -> list[server.ServerState]:
        """Return the usable servers that may have cached the prefix."""
        names = self._prefixes.servers_with_prefix(
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
        work = state.queued_work(request.priority, now) + uncached
        seconds = work * state.seconds_per_token(now)
        seconds *= self._slow_start(state, request.artifact, now)
        if state.replica.failure_domain != self._failure_domain:
            seconds += settings.cross_domain_seconds
        return _Score(seconds, uncached, work)

    def _slow_start(
        self, state: server.ServerState, artifact: str, now: float
    ) -> float:
        """Return the latency factor of a replica that just became ready."""
        settings = self._settings
        age = now - state.ready_at.get(artifact, float('-inf'))
        if age >= settings.slow_start_seconds:
            return 1.0
        remaining = 1.0 - age / settings.slow_start_seconds
        return 1.0 + settings.slow_start_factor * remaining

    def _misses_deadline(
        self,
        state: server.ServerState,
        request: api.RouteRequest,
        score: _Score,
        now: float,
    ) -> bool:
        """Return whether the first token is expected far past the deadline.

        A server at which no attempt of this instance waits is never ruled
        out, so that a wrong estimate is corrected by a measurement. Neither
        are plain services: they process many calls at a time, which the
        estimate does not account for.
        """
        if state.idle or state.pool == _SERVICES_POOL:
            return False
        left = request.deadline - now
        return score.seconds > left * self._settings.deadline_overrun_factor

    def _state_of(self, replica: api.Replica, pool: str) -> server.ServerState:
        """Return a server's state, new if its address or pool changed."""
        state = self._servers.get(replica.server_id)
        known = (state.replica, state.pool) if state is not None else None
        if state is None or known != (replica, pool):
            if state is not None:
                self._remove_server(replica.server_id)
            load = self._settings.load
            state = server.ServerState(
                replica,
                pool,
                load,
                self._settings.health,
                self._averages.setdefault(pool, server.PoolAverages(load)),
            )
            self._servers[replica.server_id] = state
        return state

    def _replace_lists(
        self,
        pool: str,
        present: set[str],
        lists: dict[str, list[server.ServerState]],
    ) -> None:
        """Replace a pool's lists, and remove the servers that left it."""
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
                self._remove_server(server_id)
        self._pool_servers[pool] = present
        self._pool_artifacts[pool] = {
            artifact
            for server_id in present
            for artifact in self._servers[server_id].ready_at
        }

    def _remove_server(self, server_id: str) -> None:
        """Remove a server; its in-flight attempts may still end later."""
        self._servers.pop(server_id).leave_pool()
        self._prefixes.remove_server(server_id)
        self._leaving.discard(server_id)
