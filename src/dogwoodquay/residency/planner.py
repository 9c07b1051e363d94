"""Plans which engine loads or unloads which model as demand changes."""

from __future__ import annotations

import collections
import typing

from . import api
from . import loads
from . import served

if typing.TYPE_CHECKING:
    from collections import abc

    from . import contents as engine_contents

__all__ = ['ModelPlanner']

_Engines: typing.TypeAlias = 'abc.Sequence[engine_contents.EngineContents]'
_Orders: typing.TypeAlias = (
    'list[tuple[engine_contents.EngineContents, api.Order]]'
)


class _PendingLoad(typing.NamedTuple):
    """A load that waits until its engine has unloaded the victims."""

    model: str
    victims: tuple[str, ...]
    started: float
    # The software version that waiting requests need, if they need one.
    version: str | None


class _ReplicaCounts(typing.NamedTuple):
    """Replicas of each model: ready, and loading or about to be loaded.

    One on an engine that limits its requests counts for less.
    """

    ready: collections.defaultdict[str, float]
    loading: collections.defaultdict[str, float]


class _LoadOption(typing.NamedTuple):
    """A possible load with the models to unload first, and its score."""

    engine: engine_contents.EngineContents
    model: str
    victims: tuple[str, ...]
    score: float
    version: str | None = None


_INFINITE: typing.Final = float('inf')
_NO_VERSIONS: typing.Final[abc.Mapping[served.ModelAtVersion, int]] = {}
_NO_LIMITS: typing.Final[abc.Mapping[str, float]] = {}


class ModelPlanner:
    """Plans the orders for the engines of a service; does no I/O.

    Each engine gets one order at a time. The load with the highest score
    goes first: the requests that it serves soon, less those that the models
    unloaded for it would have served. This covers demand for models that are
    not loaded, bursts on models with few replicas, and more models in demand
    than fit into memory.
    """

    def __init__(self, settings: served.PlannerSettings | None = None) -> None:
        self._settings = settings or served.PlannerSettings()
        self._pending_loads: dict[str, _PendingLoad] = {}
        self._ordered_loads: set[tuple[str, str]] = set()
        self._ready_at: dict[tuple[str, str], float] = {}
        self._rate_limits: abc.Mapping[str, float] = {}
        self._demand: abc.Mapping[str, served.Demand] = {}

    def configure(self, settings: served.PlannerSettings) -> None:
        """Use other weights from now on."""
        self._settings = settings

    def models_to_unload(self, server_id: str) -> tuple[str, ...]:
        """Return the models to unload from an engine for a pending load."""
        load = self._pending_loads.get(server_id)
        return load.victims if load is not None else ()

    def plan(
        self,
        engines: _Engines,
        demand: abc.Mapping[str, served.Demand],
        running: abc.Callable[[str, str], int],
        now: float,
        at_version: abc.Mapping[served.ModelAtVersion, int] = _NO_VERSIONS,
        rate_limits: abc.Mapping[str, float] = _NO_LIMITS,
    ) -> _Orders:
        """Return the next order of each engine that should get one.

        :param running: returns how many requests of a model run on a server.
        :param at_version: how many requests wait for a model at engines of
            one software version.
        :param rate_limits: the requests per second of engines that limit
            them, by server.
        """
        self._rate_limits = rate_limits
        self._demand = demand
        self._update_ready_times(engines, now)
        counts = self._count_replicas(engines)
        self._drop_unprofitable_loads(engines, counts, demand, at_version)
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
        free = [
            engine
            for engine in free
            if engine.server.server_id not in rate_limits
        ] or free
        counts = self._count_replicas(engines)
        unmet = self._unmet(engines, at_version)
        while free:
            option = self._best_load(free, counts, demand, unmet, running, now)
            if option is None:
                break
            free.remove(option.engine)
            version = option.engine.server.version
            unmet.pop(served.ModelAtVersion(option.model, version), None)
            engine = option.engine
            counts.loading[option.model] += self._share(engine, option.model)
            for victim in option.victims:
                counts.ready[victim] -= self._share(engine, victim)
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
        demand: abc.Mapping[str, served.Demand],
        at_version: abc.Mapping[served.ModelAtVersion, int],
    ) -> None:
        """Drop pending loads that gain less than their unloads now lose."""
        for engine in engines:
            load = self._pending_loads.get(engine.server.server_id)
            if load is None:
                continue
            item = demand.get(load.model, served.NO_DEMAND)
            share = self._share(engine, load.model)
            others = counts.ready[load.model] + counts.loading[load.model]
            others -= share
            slots = engine.spec.slots
            gain = self._settings.count_served(item, others + share, slots)
            gain -= self._settings.count_served(item, others, slots)
            if load.version is not None:
                key = served.ModelAtVersion(load.model, load.version)
                waiting = served.waiting_only(at_version.get(key, 0))
                gain = self._settings.count_served(waiting, 1, slots)
            loss = 0.0
            for victim in load.victims:
                if victim in engine.models():
                    left = counts.ready[victim]
                    share = self._share(engine, victim)
                    victim_demand = demand.get(victim, served.NO_DEMAND)
                    loss += self._settings.count_served(
                        victim_demand, left + share, slots
                    )
                    loss -= self._settings.count_served(
                        victim_demand, left, slots
                    )
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
        load = _PendingLoad(option.model, option.victims, now, option.version)
        self._pending_loads[option.engine.server.server_id] = load
        return self._next_order(option.engine, load, running, now)

    def _count_replicas(self, engines: _Engines) -> _ReplicaCounts:
        """Count the replicas that are ready and those being loaded."""
        counts = _ReplicaCounts(
            collections.defaultdict(float), collections.defaultdict(float)
        )
        for engine in engines:
            load = self._pending_loads.get(engine.server.server_id)
            loaded = set(engine.models())
            if engine.loading_model:
                model = engine.loading_model
                counts.loading[model] += self._share(engine, model)
            if load is not None:
                loaded -= set(load.victims)
                counts.loading[load.model] += self._share(engine, load.model)
            for model in loaded:
                counts.ready[model] += self._share(engine, model)
        return counts

    def _share(
        self, engine: engine_contents.EngineContents, model: str
    ) -> float:
        """Return for how many replicas one on an engine counts."""
        return self._settings.replica_share(
            self._demand.get(model, served.NO_DEMAND),
            self._rate_limits.get(engine.server.server_id),
            len(engine.models()),
            engine.spec.slots,
        )

    def _unmet(
        self,
        engines: _Engines,
        at_version: abc.Mapping[served.ModelAtVersion, int],
    ) -> dict[served.ModelAtVersion, int]:
        """Return the demand at versions whose engines lack the model."""
        if not at_version:
            return {}
        met: set[served.ModelAtVersion] = set()
        for engine in engines:
            counts = self._count_replicas([engine])
            met.update(
                served.ModelAtVersion(model, engine.server.version)
                for model in (*counts.ready, *counts.loading)
            )
        return {key: at_version[key] for key in at_version if key not in met}

    def _best_load(
        self,
        free: _Engines,
        counts: _ReplicaCounts,
        demand: abc.Mapping[str, served.Demand],
        unmet: abc.Mapping[served.ModelAtVersion, int],
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> _LoadOption | None:
        """Return the load with the highest score, if any pays off."""
        slots = free[0].spec.slots
        gains: dict[str, float] = {}
        for model, item in demand.items():
            count = counts.ready[model] + counts.loading[model]
            gains[model] = self._settings.count_served(item, count + 1, slots)
            gains[model] -= self._settings.count_served(item, count, slots)
        ranked: list[tuple[float, str, str | None]] = [
            (gain, model, None) for model, gain in gains.items()
        ]
        for (model, needed), count in unmet.items():
            waiting = served.waiting_only(count)
            gain = self._settings.count_served(waiting, 1, slots)
            gain = max(gain, gains.get(model, 0.0))
            ranked.append((gain, model, needed))
        # A load for one version goes before others with the same gain.
        ranked.sort(key=lambda item: (-item[0], item[2] is None))
        best: _LoadOption | None = None
        for gain, model, version in ranked[: self._settings.max_candidates]:
            if gain <= self._settings.move_cost:
                break
            for engine in free:
                if version not in (None, engine.server.version):
                    continue
                option = self._evaluate_load(
                    engine, model, gain, counts, demand, running, now
                )
                if option is not None and (
                    best is None or option.score > best.score
                ):
                    best = option._replace(version=version)
        return best

    def _evaluate_load(
        self,
        engine: engine_contents.EngineContents,
        model: str,
        gain: float,
        counts: _ReplicaCounts,
        demand: abc.Mapping[str, served.Demand],
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> _LoadOption | None:
        """Return a load on an engine with its score if it pays off."""
        spec = engine.spec.models.get(model)
        if spec is None or engine.occupies(model):
            return None
        # While the model loads only the requests that wait now count as gain.
        horizon = self._settings.horizon_seconds
        seconds = loads.load_seconds(engine, model)
        arrival_gain = max(
            0.0, gain - demand.get(model, served.NO_DEMAND).waiting
        )
        score = gain - arrival_gain * seconds / (horizon + seconds)
        score -= self._settings.move_cost
        cost = self._source_cost(engine, model, seconds)
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
                missing -= loads.megabytes(engine, name)
                if missing <= 0:
                    break
        # A model that nobody serves is loaded from wherever it is.
        absent = not counts.ready[model] and not counts.loading[model]
        if missing > 0 or score <= (0.0 if absent else cost):
            return None
        return _LoadOption(engine, model, tuple(victims), score - cost)

    def _source_cost(
        self,
        engine: engine_contents.EngineContents,
        model: str,
        seconds: float,
    ) -> float:
        """Return the cost, in requests, of where an engine loads from.

        :param seconds: the time of the load.
        """
        settings = self._settings
        waiting = self._demand.get(model, served.NO_DEMAND).waiting
        cost = settings.delay_cost * waiting * seconds
        if not loads.has_copy(engine, model):
            cost += settings.store_load_cost
        return cost

    def _loss(
        self,
        model: str,
        engine: engine_contents.EngineContents,
        counts: _ReplicaCounts,
        demand: abc.Mapping[str, served.Demand],
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> float:
        """Return the loss, in requests, from unloading a replica."""
        item = demand.get(model, served.NO_DEMAND)
        server_id = engine.server.server_id
        ready_at = self._ready_at.get((server_id, model), -_INFINITE)
        in_demand = item.rate > 0.2 or item.waiting
        if in_demand and now < ready_at + self._settings.min_loaded_seconds:
            return _INFINITE
        # Replicas that are still loading cannot take over requests yet.
        share = self._share(engine, model)
        count = max(share, counts.ready[model])
        slots = engine.spec.slots
        loss = self._settings.count_served(item, count, slots)
        loss -= self._settings.count_served(item, count - share, slots)
        if running(server_id, model):
            loss += self._settings.running_cost
        return loss
