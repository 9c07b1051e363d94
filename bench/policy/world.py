"""One run: entry instances, engines, the owner, and a heap of events."""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import typing

import msgspec

from bench.policy import engine
from bench.policy import workloads
from dogwoodquay.admission import api as admission_api
from dogwoodquay.admission import controller
from dogwoodquay.admission import shares
from dogwoodquay.placement import api as placement_api
from dogwoodquay.placement import demand
from dogwoodquay.platform import api as platform_api
from dogwoodquay.pools import api as pools_api
from dogwoodquay.records import api as records
from dogwoodquay.retry import api as retry_api
from dogwoodquay.retry import budget
from dogwoodquay.routing import api as routing_api

if typing.TYPE_CHECKING:
    from bench.policy import policies

INSTANCES = 6
HOP_SECONDS = 0.001
VIEW_LAG = 0.2
PLAN_SECONDS = 2.0
STORE_BYTES_PER_SECOND = 2.0 * workloads.GIGABYTE
UNLOAD_SECONDS = 1.0
PROMPT_WEIGHT = 0.25
ADMITTED_FIRST_TOKEN = 0.06


class Entry:
    """One entry instance with its own decisions and views."""

    def __init__(
        self, index: int, policy: policies.Policy, rng: random.Random
    ) -> None:
        self.rng = rng
        self.router = policy.router(f'd{index % 3}')
        self.admission = controller.FairAdmission()
        self.retries = budget.BudgetedRetries(rng)
        self.demand = demand.DemandEstimator(f'i{index}', workloads.START)
        self.shares = shares.ShareEstimator(f'i{index}', 1)
        self.waiting: dict[str, engine.Request] = {}
        self.due = float('inf')


class World:
    """Runs one workload under one policy; the events share one heap."""

    def __init__(
        self,
        user: workloads.User,
        workload: workloads.Workload,
        policy: policies.Policy,
        seed: int,
    ) -> None:
        self.workload = workload
        self.catalog = workloads.catalog(user, workload, seed)
        self.source = workloads.Source(self.catalog, workload, seed)
        self.rng = random.Random(f'world {seed}')
        self.requests: list[engine.Request] = []
        self.moves: collections.Counter[str] = collections.Counter()
        self.violations = 0
        self.unreachable = 0.0
        self.sends = 0
        self.starts = 0
        self._heap: list[typing.Any] = []
        self._tie = itertools.count()
        self._version = 0
        self._loading: dict[tuple[str, str], bool] = {}
        self._store_free_at = workloads.START
        self.engines = {
            item.server_id: engine.Engine(
                item.server_id,
                item.failure_domain,
                item.capacity_bytes,
                self.at,
                self,
            )
            for item in self.catalog.pools['pool'].servers
        }
        self.entries = [
            Entry(index, policy, random.Random(f'{seed} {index}'))
            for index in range(INSTANCES)
        ]
        self._planner = policy.planner()
        self._merged: tuple[placement_api.Demand, ...] = ()
        self._speeds: dict[str, float] = {}

    def at(self, time: float, call: typing.Any, *args: typing.Any) -> None:
        """Schedule a call; it gets the time first."""
        heapq.heappush(self._heap, (time, next(self._tie), call, args))

    def run(self) -> None:
        """Place everything, then run to the end."""
        start = workloads.START
        self._place_first(start)
        for entry in self.entries:
            entry.admission.update_catalog(self.catalog, start)
            for name in self.catalog.callers:
                entry.admission.set_share(name, 1.0 / INSTANCES)
        self._receive(start, self._view(), ())
        self._report(start)
        self._plan_tick(start)
        self._arrive(start, *self.source.next(start))
        self._faults(start + workloads.CHANGE_AT)
        end = start + workloads.SECONDS + workloads.OVERNIGHT_SECONDS
        while self._heap and self._heap[0][0] < end:
            time, _, call, args = heapq.heappop(self._heap)
            call(time, *args)

    def first_token(self, request: engine.Request, now: float) -> None:
        """Hear from an engine that an answer started."""
        request.first_token = now
        router = self.entries[request.instance].router
        router.first_token(_attempt(request), now)

    def finished(self, request: engine.Request, now: float) -> None:
        """Hear from an engine that an answer is whole."""
        entry = self.entries[request.instance]
        entry.router.finished(_attempt(request), True, now)
        entry.retries.succeeded(now)
        self._release(entry, request, now)

    def expired(self, request: engine.Request, now: float) -> None:
        """End a request whose deadline passed at an engine."""
        entry = self.entries[request.instance]
        entry.router.finished(_attempt(request), True, now)
        request.reason = 'expired_at_engine'
        self._release(entry, request, now)

    def broken(
        self, request: engine.Request, server: engine.Engine, now: float
    ) -> None:
        """End or retry a request whose engine died."""
        state = retry_api.RunState.MAY_HAVE_RUN
        self._failed(request, server, 'broken', state, now)

    def _arrive(self, now: float, name: str, request: engine.Request) -> None:
        if request.arrival < workloads.START + workloads.SECONDS:
            following = self.source.next(request.arrival)
            self.at(following[1].arrival, self._arrive, *following)
        if now < request.arrival:
            self.at(request.arrival, self._offer, name, request)
        else:
            self._offer(now, name, request)

    def _offer(self, now: float, name: str, request: engine.Request) -> None:
        self.requests.append(request)
        request.instance = self.rng.randrange(INSTANCES)
        entry = self.entries[request.instance]
        request.artifact = self._artifact(entry, name)
        tokens = int(request.prompt * PROMPT_WEIGHT) + request.output
        entry.demand.note_arrival(request.artifact, now)
        entry.demand.note_tokens(request.artifact, tokens, now)
        entry.shares.note(request.caller, now)
        answer = entry.admission.offer(
            admission_api.Ticket(
                request.request_id,
                request.caller,
                request.artifact,
                request.priority,
                request.deadline,
                request.prompt,
            ),
            now,
        )
        entry.waiting[request.request_id] = request
        self._settle(entry, (answer,), now)
        self._arm(entry, now)

    def _artifact(self, entry: Entry, name: str) -> str:
        """Choose the version by the rollout's share, if it is ready."""
        model = self.catalog.models.get(name) or self.catalog.adapters[name]
        old = records.artifact_id(name, model.version)
        rollout = self.catalog.rollouts.get(name)
        if rollout is None or self.rng.random() >= rollout.share:
            return old
        new = records.artifact_id(name, rollout.version)
        return new if entry.router.replicas(new) else old

    def _settle(
        self,
        entry: Entry,
        answers: typing.Iterable[typing.Any],
        now: float,
    ) -> None:
        for answer in answers:
            match answer:
                case admission_api.Admitted(request_id):
                    request = entry.waiting.pop(request_id)
                    self._send(now, entry, request)
                case admission_api.Rejected(request_id, reason):
                    entry.waiting.pop(request_id).reason = reason

    def _arm(self, entry: Entry, now: float) -> None:
        due = max(now, entry.admission.next_due())
        if due < entry.due:
            entry.due = due
            self.at(due + 1e-6, self._admission_tick, entry)

    def _admission_tick(self, now: float, entry: Entry) -> None:
        entry.due = float('inf')
        self._settle(entry, entry.admission.tick(now), now)
        self._arm(entry, now)

    def _release(
        self, entry: Entry, request: engine.Request, now: float
    ) -> None:
        answers = entry.admission.release(request.request_id, now)
        self._settle(entry, answers, now)

    def _send(self, now: float, entry: Entry, request: engine.Request) -> None:
        request.attempts += 1
        choice = entry.router.choose(
            routing_api.RouteRequest(
                _attempt(request),
                request.artifact,
                request.prompt,
                request.priority,
                request.deadline,
                request.hashes,
                request.avoid_servers,
                request.avoid_domains,
            ),
            now,
            entry.rng,
        )
        if isinstance(choice, routing_api.NoReplica):
            request.reason = choice.reason
            self._release(entry, request, now)
            return
        self.sends += 1
        if request.attempts == 1:
            self.starts += 1
            entry.retries.started(now)
        server = self.engines[choice.replica.server_id]
        self.at(now + HOP_SECONDS, self._deliver, request, server)

    def _deliver(
        self, now: float, request: engine.Request, server: engine.Engine
    ) -> None:
        if not server.submit(request, now):
            state = retry_api.RunState.NOT_RUN
            self._failed(request, server, 'refused', state, now)

    def _failed(
        self,
        request: engine.Request,
        server: engine.Engine,
        reason: str,
        state: retry_api.RunState,
        now: float,
    ) -> None:
        entry = self.entries[request.instance]
        entry.router.finished(_attempt(request), False, now)
        failure = retry_api.Failure(
            reason,
            state,
            request.attempts,
            True,
            request.first_token > 0.0,
            False,
            request.deadline,
        )
        decision = entry.retries.decide(failure, now)
        if isinstance(decision, retry_api.GiveUp):
            request.reason = f'{reason}:{decision.reason}'
            request.first_token = 0.0
            self._release(entry, request, now)
            return
        request.avoid_servers |= {server.server_id}
        request.avoid_domains |= {server.domain}
        self.at(decision.at, self._send, entry, request)

    def _report(self, now: float) -> None:
        """Publish views, loads, cache events and usage each second."""
        if now > workloads.START + workloads.SECONDS + 60.0:
            return
        self.at(now + 1.0, self._report)
        self._version += 1
        view = self._view()
        usage = [entry.shares.report(now) for entry in self.entries]
        self.at(now + VIEW_LAG, self._receive, view, usage)
        for server in self.engines.values():
            if server.alive:
                self._publish(server, now)
        reports = [
            entry.demand.report(now, entry.router.paces(now))
            for entry in self.entries
        ]
        self._merged = demand.merge(reports)
        self._speeds = demand.speeds(reports)

    def _publish(self, server: engine.Engine, now: float) -> None:
        report = platform_api.LoadReport(
            now, server.batch, server.queued, 0.0, 0.0
        )
        lag = self.workload.load_lag
        self.at(now + lag, self._receive_load, server.server_id, report)
        events, server.events = server.events, []
        first = server.sequence
        server.sequence += len(events)
        lost = self.rng.random() < 0.1
        if lost or not self.workload.cache_events:
            return
        page = platform_api.CacheEvents(
            str(server.incarnation),
            server.sequence,
            tuple(
                platform_api.CacheEvent(first + n, block, stored)
                for n, (block, stored) in enumerate(events)
            ),
        )
        self.at(now + 2.0, self._receive_cache, server.server_id, page)

    def _receive(
        self, now: float, view: typing.Any, usage: typing.Any
    ) -> None:
        for entry in self.entries:
            entry.router.update_view(view, now)
            for report in usage:
                entry.shares.receive(report, now)
            for name in self.catalog.callers:
                entry.admission.set_share(name, entry.shares.share(name, now))
            self._set_capacity(entry)
            self._admission_tick(now, entry)

    def _set_capacity(self, entry: Entry) -> None:
        for artifact in self._artifacts():
            ready = len(entry.router.replicas(artifact))
            slots = max(1, ready * engine.BATCH_LIMIT // INSTANCES)
            entry.admission.set_capacity(artifact, slots, ADMITTED_FIRST_TOKEN)

    def _receive_load(
        self, now: float, server: str, report: typing.Any
    ) -> None:
        for entry in self.entries:
            entry.router.update_load(server, report, now)

    def _receive_cache(
        self, now: float, server: str, page: typing.Any
    ) -> None:
        for entry in self.entries:
            entry.router.update_cache(server, page, now)

    def _artifacts(self) -> list[str]:
        """Return all declared artifacts."""
        found = [
            records.artifact_id(item.name, item.version)
            for group in (self.catalog.models, self.catalog.adapters)
            for item in group.values()
        ]
        for item in self.catalog.rollouts.values():
            found.append(records.artifact_id(item.target, item.version))
        return found

    def _view(self) -> pools_api.PoolView:
        return pools_api.PoolView(
            'pool',
            'i0',
            1,
            self._version,
            tuple(
                pools_api.ServerView(
                    server.server_id,
                    '127.0.0.1',
                    1,
                    server.domain,
                    False,
                    tuple(
                        pools_api.ArtifactView(artifact, True)
                        for artifact in sorted(server.ready)
                    ),
                )
                for server in self.engines.values()
                if server.alive
            ),
        )

    def _plan(self, now: float) -> placement_api.Plan:
        contents = tuple(
            placement_api.Contents(
                server.server_id,
                server.domain,
                server.capacity,
                False,
                frozenset(server.ready),
                dict(server.possible),
                self._speeds.get(server.server_id, 1.0),
            )
            for server in self.engines.values()
            if server.alive
        )
        planner_input = placement_api.PlannerInput(
            'pool', self.catalog, contents, self._merged, len(self._loading)
        )
        plan = None
        for plan in self._planner.plan(planner_input, now):
            pass
        assert plan is not None
        return plan

    def _place_first(self, now: float) -> None:
        """Place for the first rates at once; these moves do not count."""
        rates = self.source.rates(now)
        self._merged = tuple(
            placement_api.Demand(f'{name}@1', rate, rate * 160.0, 0)
            for name, rate in rates.items()
        )
        for step in range(200):
            plan = self._plan(now - 2000.0 + step * 10.0)
            for move in plan.moves:
                server = self.engines[move.server_id]
                if move.kind is placement_api.MoveKind.LOAD:
                    server.possible[move.artifact] = move.memory_bytes
                    server.ready.add(move.artifact)
                    self._check(server)
                else:
                    server.ready.discard(move.artifact)
                    server.possible.pop(move.artifact, None)
            if not plan.moves:
                return

    def _plan_tick(self, now: float) -> None:
        if now > workloads.START + workloads.SECONDS:
            return
        self.at(now + PLAN_SECONDS, self._plan_tick)
        if now > workloads.START + PLAN_SECONDS:
            for move in self._plan(now).moves:
                self._start(move, now)
        ready = set().union(*(e.ready for e in self.engines.values()))
        old = [name for name in self._artifacts() if name.endswith('@1')]
        rolled = [item.target for item in self.catalog.rollouts.values()]
        for artifact in old:
            name = artifact.rpartition('@')[0]
            served = artifact in ready
            if name in rolled:
                served = served or f'{name}@2' in ready
            self.unreachable += 0.0 if served else PLAN_SECONDS

    def _start(self, move: placement_api.Move, now: float) -> None:
        """Give a move to an engine; loads go through the weight store."""
        server = self.engines[move.server_id]
        self.moves[move.kind.value] += 1
        incarnation = server.incarnation
        if move.kind is placement_api.MoveKind.UNLOAD:
            server.ready.discard(move.artifact)
            args = (server, move.artifact, incarnation)
            self.at(now + UNLOAD_SECONDS, self._unloaded, *args)
            return
        server.possible[move.artifact] = move.memory_bytes
        self._check(server)
        begin = max(now, self._store_free_at)
        policy = self.catalog.policy
        self._store_free_at = begin + 1.0 / policy.loads_per_second
        self._loading[(server.server_id, move.artifact)] = True
        crowd = max(1.0, len(self._loading) / policy.parallel_loads)
        seconds = move.memory_bytes * crowd / STORE_BYTES_PER_SECOND
        args = (server, move.artifact, incarnation)
        self.at(begin + seconds + 0.5, self._loaded, *args)

    def _loaded(
        self, now: float, server: engine.Engine, artifact: str, inc: int
    ) -> None:
        self._loading.pop((server.server_id, artifact), None)
        if server.incarnation == inc and server.alive:
            server.ready.add(artifact)

    def _unloaded(
        self, now: float, server: engine.Engine, artifact: str, inc: int
    ) -> None:
        if server.incarnation == inc:
            server.possible.pop(artifact, None)

    def _check(self, server: engine.Engine) -> None:
        if sum(server.possible.values()) > server.capacity:
            self.violations += 1

    def _faults(self, at: float) -> None:
        servers = list(self.engines.values())
        if self.workload.slow_engine:
            self.at(at, lambda now: setattr(servers[0], 'speed', 0.25))
        if self.workload.domain_lost:
            self.at(at, lambda now: [s.kill(now) for s in servers[::3]])
            self.at(
                at + 60.0,
                lambda now: [setattr(s, 'alive', True) for s in servers],
            )
        if self.workload.rollout:
            for step, share in enumerate((0.25, 0.5, 1.0)):
                self.at(at + 30.0 * step, self._roll, share)

    def _roll(self, now: float, share: float) -> None:
        """Publish the next share of a new version of the busiest model."""
        rates = self.source.rates(now)
        name = max(rates, key=lambda key: rates[key])
        memory = self.catalog.models[name].memory_bytes
        rollout = records.Rollout(name, '2', memory, share)
        self.catalog = msgspec.structs.replace(
            self.catalog, rollouts={name: rollout}
        )


def _attempt(request: engine.Request) -> str:
    return f'{request.request_id}.{request.attempts}'
