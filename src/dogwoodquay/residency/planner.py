"""Plans which engine loads or unloads which model as demand changes."""

from __future__ import annotations

import collections
import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

    from . import contents as engine_contents

__all__ = ['Demand', 'ModelPlanner', 'PlannerSettings', 'load_seconds']

_Engines: typing.TypeAlias = 'abc.Sequence[engine_contents.EngineContents]'
_Orders: typing.TypeAlias = (
    'list[tuple[engine_contents.EngineContents, api.Order]]'
)


class Demand(typing.NamedTuple):
    """The demand for a model, summed over all instances.

    ``rate`` is the recent number of requests per second.
    """

    rate: float
    in_flight: int
    waiting: int
    oldest_wait_seconds: float


class PlannerSettings(typing.NamedTuple):
    """Weights of the planner; gains and losses are in requests.

    ``horizon_seconds`` is the time over which gains and losses are counted.
    ``target_utilization`` is the share of an engine's slots above which a
    further replica pays; ``spread_gain_share`` weights the gain of spreading
    requests over more replicas. A load has to gain more than ``move_cost``.
    Unloading a model costs ``victim_cost``, and ``running_cost`` more if
    requests of it are running. A model with demand stays loaded for at least
    ``min_loaded_seconds``. A pending load waits up to ``drain_seconds`` for
    running requests to end, and is dropped after ``timeout_seconds``.
    """

    horizon_seconds: float = 4.0
    target_utilization: float = 0.4
    spread_gain_share: float = 0.15
    move_cost: float = 1.0
    running_cost: float = 1.0
    victim_cost: float = 0.2
    min_loaded_seconds: float = 1.5
    timeout_seconds: float = 8.0
    drain_seconds: float = 1.5
    default_request_seconds: float = 1.5
    max_candidates: int = 12


class _PendingLoad(typing.NamedTuple):
    """A load that waits until its engine has unloaded the victims."""

    model: str
    victims: tuple[str, ...]
    started: float


class _ReplicaCounts(typing.NamedTuple):
    """Replicas of each model: ready, and loading or about to be loaded."""

    ready: collections.Counter[str]
    loading: collections.Counter[str]


class _LoadOption(typing.NamedTuple):
    """A possible load with the models to unload first, and its score."""

    engine: engine_contents.EngineContents
    model: str
    victims: tuple[str, ...]
    score: float


NO_DEMAND: typing.Final = Demand(0.0, 0, 0, 0.0)
_INFINITE: typing.Final = float('inf')
# Bounds of the mean request time that is estimated from the demand.
_MIN_REQUEST_SECONDS: typing.Final = 0.3
_MAX_REQUEST_SECONDS: typing.Final = 4.0


class ModelPlanner:
    """Plans the orders for the engines of a service; does no I/O.

    Each engine gets one order at a time. The load with the highest score
    goes first: the requests that it serves soon, less those that the models
    unloaded for it would have served. This covers demand for models that are
    not loaded, bursts on models with few replicas, and more models in demand
    than fit into memory.
    """

    def __init__(self, settings: PlannerSettings | None = None) -> None:
        self._settings = settings or PlannerSettings()
        self._pending_loads: dict[str, _PendingLoad] = {}
        self._ordered_loads: set[tuple[str, str]] = set()
        self._ready_at: dict[tuple[str, str], float] = {}

    def models_to_unload(self, server_id: str) -> tuple[str, ...]:
        """Return the models to unload from an engine for a pending load."""
        load = self._pending_loads.get(server_id)
        return load.victims if load is not None else ()

    def plan(
        self,
        engines: _Engines,
        demand: abc.Mapping[str, Demand],
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> _Orders:
        """Return the next order of each engine that should get one.

        :param running: returns how many requests of a model run on a server.
        """
        self._update_ready_times(engines, now)
        counts = self._count_replicas(engines)
        self._drop_unprofitable_loads(engines, counts, demand)
        orders = self._continue_pending_loads(engines, running, now)
        ordered = {item.server.server_id for item, _ in orders}
        free = [
            engine
            for engine in engines
            if engine.known
            and not engine.busy
            and not engine.awaiting_answer
            and engine.server.server_id not in ordered
            and engine.server.server_id not in self._pending_loads
        ]
        counts = self._count_replicas(engines)
        while free:
            option = self._best_load(free, counts, demand, running, now)
            if option is None:
                break
            free.remove(option.engine)
            counts.loading[option.model] += 1
            for victim in option.victims:
                counts.ready[victim] -= 1
            order = self._start_load(option, running, now)
            if order is not None:
                orders.append((option.engine, order))
        return orders

    def _update_ready_times(self, engines: _Engines, now: float) -> None:
        """Record when ordered loads became ready to serve."""
        for engine in engines:
            for model in engine.models():
                key = (engine.server.server_id, model)
                if key in self._ordered_loads:
                    self._ordered_loads.discard(key)
                    self._ready_at[key] = now

    def _drop_unprofitable_loads(
        self,
        engines: _Engines,
        counts: _ReplicaCounts,
        demand: abc.Mapping[str, Demand],
    ) -> None:
        """Drop pending loads that gain less than their unloads now lose."""
        for engine in engines:
            load = self._pending_loads.get(engine.server.server_id)
            if load is None:
                continue
            item = demand.get(load.model, NO_DEMAND)
            others = counts.ready[load.model] + counts.loading[load.model] - 1
            slots = engine.spec.slots
            gain = self._count_served(item, others + 1, slots)
            gain -= self._count_served(item, others, slots)
            loss = 0.0
            for victim in load.victims:
                if victim in engine.models():
                    left = counts.ready[victim]
                    victim_demand = demand.get(victim, NO_DEMAND)
                    loss += self._count_served(victim_demand, left + 1, slots)
                    loss -= self._count_served(victim_demand, left, slots)
            if loss > gain:
                del self._pending_loads[engine.server.server_id]

    def _continue_pending_loads(
        self,
        engines: _Engines,
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> _Orders:
        """Return the next orders of the pending loads."""
        orders: _Orders = []
        for engine in engines:
            server_id = engine.server.server_id
            load = self._pending_loads.get(server_id)
            if load is None:
                continue
            timed_out = now >= load.started + self._settings.timeout_seconds
            fits = engine.permits(api.LoadModel(load.model))
            if timed_out or fits or engine.occupies(load.model):
                # If it fits, the load that scores highest now gets the memory.
                del self._pending_loads[server_id]
                continue
            order = self._next_order(engine, load, running, now)
            if order is not None:
                orders.append((engine, order))
        return orders

    def _next_order(
        self,
        engine: engine_contents.EngineContents,
        load: _PendingLoad,
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> api.Order | None:
        """Return the load itself if it fits, or the unload of a victim.

        An engine accepts no other order while an unload waits for running
        requests, so the unload is sent after they have ended or after
        ``drain_seconds``.
        """
        server_id = engine.server.server_id
        load_order = api.LoadModel(load.model)
        if engine.permits(load_order):
            self._ordered_loads.add((server_id, load.model))
            del self._pending_loads[server_id]
            return load_order
        waited = now >= load.started + self._settings.drain_seconds
        for victim in load.victims:
            unload = api.UnloadModel(victim)
            idle = waited or not running(server_id, victim)
            if idle and engine.permits(unload):
                return unload
        return None

    def _start_load(
        self,
        option: _LoadOption,
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> api.Order | None:
        """Record a load as pending; return its first order, if any."""
        load = _PendingLoad(option.model, option.victims, now)
        self._pending_loads[option.engine.server.server_id] = load
        return self._next_order(option.engine, load, running, now)

    def _count_replicas(self, engines: _Engines) -> _ReplicaCounts:
        """Count the replicas that are ready and those being loaded."""
        counts = _ReplicaCounts(collections.Counter(), collections.Counter())
        for engine in engines:
            load = self._pending_loads.get(engine.server.server_id)
            loaded = set(engine.models())
            if engine.loading_model:
                counts.loading[engine.loading_model] += 1
            if load is not None:
                loaded -= set(load.victims)
                counts.loading[load.model] += 1
            counts.ready.update(loaded)
        return counts

    def _best_load(
        self,
        free: _Engines,
        counts: _ReplicaCounts,
        demand: abc.Mapping[str, Demand],
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> _LoadOption | None:
        """Return the load with the highest score, if any pays off."""
        slots = free[0].spec.slots
        gains: dict[str, float] = {}
        for model, item in demand.items():
            count = counts.ready[model] + counts.loading[model]
            gains[model] = self._count_served(item, count + 1, slots)
            gains[model] -= self._count_served(item, count, slots)
        ranked = sorted(gains, key=lambda model: -gains[model])
        best: _LoadOption | None = None
        for model in ranked[: self._settings.max_candidates]:
            if gains[model] <= self._settings.move_cost:
                break
            for engine in free:
                option = self._evaluate_load(
                    engine,
                    model,
                    gains[model],
                    counts,
                    demand,
                    running,
                    now,
                )
                if option is not None and (
                    best is None or option.score > best.score
                ):
                    best = option
        return best

    def _count_served(self, item: Demand, replicas: int, slots: int) -> float:
        """Estimate the requests that a number of replicas serves soon.

        The mean request time is the requests in flight divided by their rate,
        or a default while the rate is low or requests are waiting.
        """
        if replicas <= 0:
            return 0.0
        settings = self._settings
        seconds = settings.default_request_seconds
        if item.rate > 1.0 and item.in_flight and not item.waiting:
            seconds = item.in_flight / item.rate
            seconds = max(seconds, _MIN_REQUEST_SECONDS)
            seconds = min(seconds, _MAX_REQUEST_SECONDS)
        replica_rate = settings.target_utilization * slots / seconds
        served = min(item.rate, replicas * replica_rate)
        spread = settings.spread_gain_share * item.rate * (1.0 - 0.5**replicas)
        return settings.horizon_seconds * (served + spread) + item.waiting

    def _evaluate_load(
        self,
        engine: engine_contents.EngineContents,
        model: str,
        gain: float,
        counts: _ReplicaCounts,
        demand: abc.Mapping[str, Demand],
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> _LoadOption | None:
        """Return a load on an engine with its score if it pays off."""
        spec = engine.spec.models.get(model)
        if spec is None or engine.occupies(model):
            return None
        # While the model loads only the requests that wait now count as gain.
        horizon = self._settings.horizon_seconds
        seconds = load_seconds(engine, model)
        arrival_gain = max(0.0, gain - demand[model].waiting)
        score = gain - arrival_gain * seconds / (horizon + seconds)
        score -= self._settings.move_cost
        missing = spec.megabytes - engine.free_megabytes()
        victims: list[str] = []
        if missing > 0:
            losses = sorted(
                (self._loss(name, engine, counts, demand, running, now), name)
                for name in engine.models()
            )
            for loss, name in losses:
                victims.append(name)
                score -= loss + self._settings.victim_cost
                missing -= _megabytes(engine, name)
                if missing <= 0:
                    break
        if missing > 0 or score <= 0:
            return None
        return _LoadOption(engine, model, tuple(victims), score)

    def _loss(
        self,
        model: str,
        engine: engine_contents.EngineContents,
        counts: _ReplicaCounts,
        demand: abc.Mapping[str, Demand],
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> float:
        """Return the loss, in requests, from unloading a replica."""
        item = demand.get(model, NO_DEMAND)
        server_id = engine.server.server_id
        ready_at = self._ready_at.get((server_id, model), -_INFINITE)
        in_demand = item.rate > 0.2 or item.waiting
        if in_demand and now < ready_at + self._settings.min_loaded_seconds:
            return _INFINITE
        # Replicas that are still loading cannot take over requests yet.
        count = max(1, counts.ready[model])
        slots = engine.spec.slots
        loss = self._count_served(item, count, slots)
        loss -= self._count_served(item, count - 1, slots)
        if running(server_id, model):
            loss += self._settings.running_cost
        return loss


def _megabytes(engine: engine_contents.EngineContents, model: str) -> float:
    spec = engine.spec.models.get(model)
    return 0.0 if spec is None else spec.megabytes


def load_seconds(engine: engine_contents.EngineContents, model: str) -> float:
    """Return the time to load a model from where its weights are now."""
    spec = engine.spec.models.get(model)
    if spec is None:
        return 0.0
    if engine.report is not None:
        if model in engine.report.in_memory:
            return spec.memory_load_seconds
        if model in engine.report.on_disk:
            return spec.disk_load_seconds
    return spec.load_seconds
