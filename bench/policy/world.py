"""A discrete-event simulation of instances, engines and the owner."""

from __future__ import annotations

import heapq
import itertools
import random
import typing

import msgspec

from bench.policy import engine
from bench.policy import owner
from bench.policy import workloads
from dogwoodquay.admission import api as admission_api
from dogwoodquay.admission import controller
from dogwoodquay.admission import shares
from dogwoodquay.external import api as external_api
from dogwoodquay.placement import demand
from dogwoodquay.records import api as records
from dogwoodquay.retry import api as retry_api
from dogwoodquay.retry import budget
from dogwoodquay.routing import api as routing_api

if typing.TYPE_CHECKING:
    from bench.policy import policies

INSTANCES = 6
HOP_SECONDS = 0.001
VIEW_DELAY_SECONDS = 0.2
PROMPT_WEIGHT = 0.25
ADMITTED_FIRST_TOKEN_SECONDS = 0.06


class Entry:
    """A simulated entry instance with its real decision components."""

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
        self.next_tick = float('inf')


class World:
    """Simulates one workload under one policy with a heap of events."""

    def __init__(
        self,
        user: workloads.User,
        workload: workloads.Workload,
        policy: policies.Policy,
        seed: int,
    ) -> None:
        self.workload = workload
        self.catalog = workloads.catalog(user, workload, seed)
        self.source = workloads.RequestSource(self.catalog, workload, seed)
        self.rng = random.Random(f'world {seed}')
        self.requests: list[engine.Request] = []
        self.attempts_sent = 0
        self.requests_started = 0
        self._heap: list[typing.Any] = []
        self._event_numbers = itertools.count()
        self.engines = {
            item.server_id: engine.Engine(
                item.server_id,
                item.failure_domain,
                item.capacity_bytes,
                self.schedule,
                self,
            )
            for item in self.catalog.pools['pool'].servers
        }
        self.entries = [
            Entry(index, policy, random.Random(f'{seed} {index}'))
            for index in range(INSTANCES)
        ]
        self.owner = owner.Owner(self, policy.planner())

    def schedule(
        self, time: float, call: typing.Any, *args: typing.Any
    ) -> None:
        """Schedule a call, which gets the time as its first argument."""
        heapq.heappush(
            self._heap, (time, next(self._event_numbers), call, args)
        )

    def run(self) -> None:
        """Place the artifacts, then run all events to the end."""
        start = workloads.START
        self.owner.place_initially(start)
        for entry in self.entries:
            entry.admission.update_catalog(self.catalog, start)
            for name in self.catalog.callers:
                entry.admission.set_share(name, 1.0 / INSTANCES)
        self._receive_view(start, self.owner.view(), ())
        self._report(start)
        self.owner.plan_tick(start)
        self._arrive(start, *self.source.next(start))
        self._schedule_faults(start + workloads.CHANGE_AT)
        end = start + workloads.SECONDS + workloads.OVERNIGHT_SECONDS
        while self._heap and self._heap[0][0] < end:
            time, _, call, args = heapq.heappop(self._heap)
            call(time, *args)

    def on_first_token(self, request: engine.Request, now: float) -> None:
        """Record the first token of a request."""
        request.first_token = now
        router = self.entries[request.instance].router
        router.first_token(_attempt(request), now)

    def on_finished(self, request: engine.Request, now: float) -> None:
        """Complete a request."""
        entry = self.entries[request.instance]
        entry.router.finished(_attempt(request), True, now)
        entry.retries.succeeded(now)
        self._release(entry, request, now)

    def on_expired(self, request: engine.Request, now: float) -> None:
        """End a request whose deadline passed in an engine's queue."""
        entry = self.entries[request.instance]
        entry.router.finished(_attempt(request), True, now)
        request.reason = 'expired_at_engine'
        self._release(entry, request, now)

    def on_broken(
        self, request: engine.Request, server: engine.Engine, now: float
    ) -> None:
        """End or retry a request whose engine failed."""
        state = retry_api.RunState.MAY_HAVE_RUN
        self._on_failure(request, server, 'broken', state, now)

    def _arrive(self, now: float, name: str, request: engine.Request) -> None:
        if request.arrival < workloads.START + workloads.SECONDS:
            following = self.source.next(request.arrival)
            self.schedule(following[1].arrival, self._arrive, *following)
        if now < request.arrival:
            self.schedule(request.arrival, self._offer, name, request)
        else:
            self._offer(now, name, request)

    def _offer(self, now: float, name: str, request: engine.Request) -> None:
        self.requests.append(request)
        request.instance = self.rng.randrange(INSTANCES)
        entry = self.entries[request.instance]
        request.artifact = self._artifact(entry, name)
        tokens = int(request.prompt * PROMPT_WEIGHT) + request.output
        entry.demand.record_arrival(request.artifact, now)
        entry.demand.record_tokens(request.artifact, tokens, now)
        entry.shares.record_request(request.caller, now)
        decision = entry.admission.offer(
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
        self._apply_decisions(entry, (decision,), now)
        self._schedule_tick(entry, now)

    def _artifact(self, entry: Entry, name: str) -> str:
        """Return the new version for the rollout's share, if it is ready."""
        model = self.catalog.models.get(name) or self.catalog.adapters[name]
        old = records.artifact_id(name, model.version)
        rollout = self.catalog.rollouts.get(name)
        if rollout is None or self.rng.random() >= rollout.share:
            return old
        new = records.artifact_id(name, rollout.version)
        return new if entry.router.replicas(new) else old

    def _apply_decisions(
        self,
        entry: Entry,
        decisions: typing.Iterable[typing.Any],
        now: float,
    ) -> None:
        for decision in decisions:
            match decision:
                case admission_api.Admitted(request_id):
                    request = entry.waiting.pop(request_id)
                    self._send(now, entry, request)
                case admission_api.Rejected(request_id, reason):
                    entry.waiting.pop(request_id).reason = reason

    def _schedule_tick(self, entry: Entry, now: float) -> None:
        next_tick = max(now, entry.admission.next_due())
        if next_tick < entry.next_tick:
            entry.next_tick = next_tick
            self.schedule(next_tick + 1e-6, self._admission_tick, entry)

    def _admission_tick(self, now: float, entry: Entry) -> None:
        entry.next_tick = float('inf')
        self._apply_decisions(entry, entry.admission.tick(now), now)
        self._schedule_tick(entry, now)

    def _release(
        self, entry: Entry, request: engine.Request, now: float
    ) -> None:
        decisions = entry.admission.release(request.request_id, now)
        self._apply_decisions(entry, decisions, now)

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
                request.avoid_failure_domains,
            ),
            now,
            entry.rng,
        )
        if isinstance(choice, routing_api.NoReplica):
            request.reason = choice.reason
            self._release(entry, request, now)
            return
        self.attempts_sent += 1
        if request.attempts == 1:
            self.requests_started += 1
            entry.retries.started(now)
        server = self.engines[choice.replica.server_id]
        self.schedule(now + HOP_SECONDS, self._deliver, request, server)

    def _deliver(
        self, now: float, request: engine.Request, server: engine.Engine
    ) -> None:
        if not server.submit(request, now):
            state = retry_api.RunState.NOT_RUN
            self._on_failure(request, server, 'refused', state, now)

    def _on_failure(
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
        request.avoid_failure_domains |= {server.failure_domain}
        self.schedule(decision.at, self._send, entry, request)

    def _report(self, now: float) -> None:
        """Publish pool state, loads, cache events and usage each second."""
        if now > workloads.START + workloads.SECONDS + 60.0:
            return
        self.schedule(now + 1.0, self._report)
        view = self.owner.view()
        usage = [entry.shares.report(now) for entry in self.entries]
        self.schedule(
            now + VIEW_DELAY_SECONDS, self._receive_view, view, usage
        )
        for server in self.engines.values():
            if server.alive:
                self._publish(server, now)
        reports = [
            entry.demand.report(now, entry.router.relative_latencies(now))
            for entry in self.entries
        ]
        self.owner.demand = demand.merge(reports)
        self.owner.throughputs = demand.relative_throughputs(reports)

    def _publish(self, server: engine.Engine, now: float) -> None:
        report = external_api.LoadReport(
            now, server.batch, server.queued, 0.0, 0.0
        )
        lag = self.workload.load_lag
        self.schedule(now + lag, self._receive_load, server.server_id, report)
        events, server.events = server.events, []
        first = server.sequence
        server.sequence += len(events)
        lost = self.rng.random() < 0.1
        if lost or not self.workload.cache_events:
            return
        page = external_api.CacheEvents(
            str(server.incarnation),
            server.sequence,
            tuple(
                external_api.CacheEvent(first + n, block, stored)
                for n, (block, stored) in enumerate(events)
            ),
        )
        self.schedule(now + 2.0, self._receive_cache, server.server_id, page)

    def _receive_view(
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
        for artifact in self.owner.artifacts():
            ready = len(entry.router.replicas(artifact))
            slots = max(1, ready * engine.BATCH_LIMIT // INSTANCES)
            entry.admission.set_capacity(
                artifact, slots, ADMITTED_FIRST_TOKEN_SECONDS
            )

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

    def _schedule_faults(self, at: float) -> None:
        servers = list(self.engines.values())
        if self.workload.slow_engine:
            self.schedule(at, lambda now: setattr(servers[0], 'speed', 0.25))
        if self.workload.domain_lost:
            self.schedule(at, lambda now: [s.kill(now) for s in servers[::3]])
            self.schedule(
                at + 60.0,
                lambda now: [setattr(s, 'alive', True) for s in servers],
            )
        if self.workload.rollout:
            for step, share in enumerate((0.25, 0.5, 1.0)):
                self.schedule(at + 30.0 * step, self._set_rollout_share, share)

    def _set_rollout_share(self, now: float, share: float) -> None:
        """Set the rollout share of a new version of the busiest model."""
        rates = self.source.rates(now)
        name = max(rates, key=lambda key: rates[key])
        memory = self.catalog.models[name].memory_bytes
        rollout = records.Rollout(name, '2', memory, share)
        self.catalog = msgspec.structs.replace(
            self.catalog, rollouts={name: rollout}
        )


def _attempt(request: engine.Request) -> str:
    return f'{request.request_id}.{request.attempts}'
