"""Decides which models move to which engines as demand changes."""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

    from . import contents as engine_contents

__all__ = ['Demand', 'ModelPlanner', 'PlannerSettings']


class Demand(typing.NamedTuple):
    """What callers ask of a model, over all instances.

    ``rate`` is in requests a second and remembers a few seconds.
    """

    rate: float
    in_flight: int
    waiting: int
    oldest_wait_seconds: float


class PlannerSettings(typing.NamedTuple):
    """Weights of the planner, in seconds unless named otherwise.

    ``hold_seconds`` is how long a model that has demand stays after it was
    loaded. ``replica_gain`` is by what factor the demand for each copy must
    exceed that of the model that makes room for another copy.
    """

    hold_seconds: float = 2.0
    replica_gain: float = 2.5
    replica_rate: float = 4.0
    replica_interval_seconds: float = 0.8
    goal_seconds: float = 8.0


class _Goal(typing.NamedTuple):
    """A load that waits until models have left its server."""

    model: str
    victims: tuple[str, ...]
    until: float


class _Room(typing.NamedTuple):
    """A server for a load, the models that have to go, and what it costs."""

    contents: engine_contents.EngineContents
    victims: tuple[str, ...]
    cost: float


NONE: typing.Final = Demand(0.0, 0, 0, 0.0)
# The cost of removing the only copy of a model, in requests a second.
_LAST_COPY: typing.Final = 1.0
# What a second of load time costs, in requests a second.
_LOAD_SECOND: typing.Final = 0.15


class ModelPlanner:
    """Plans one order at a time for each engine of a service; pure.

    Answers demand that moves to models which no engine holds, and bursts on
    a model with few copies. Models without demand make room first, then
    copies that others replace, and never one that was just loaded.
    """

    def __init__(self, settings: PlannerSettings | None = None) -> None:
        self._settings = settings or PlannerSettings()
        self._goals: dict[str, _Goal] = {}
        self._loaded_at: dict[tuple[str, str], float] = {}
        self._next_replica_at = float('-inf')

    def plan(
        self,
        engines: abc.Sequence[engine_contents.EngineContents],
        demand: abc.Mapping[str, Demand],
        now: float,
    ) -> list[tuple[engine_contents.EngineContents, api.Order]]:
        """Return the next order of each engine that should get one."""
        orders = self._pursue(engines, now)
        taken = {item.server.server_id for item, _ in orders}
        free = [
            engine
            for engine in engines
            if engine.known
            and not engine.busy
            and not engine.sending
            and engine.server.server_id not in taken
            and engine.server.server_id not in self._goals
        ]
        for model in self._missing(engines, demand):
            self._place(model, engines, free, demand, now, orders)
        if now >= self._next_replica_at and free:
            model = self._crowded(engines, demand)
            if model and self._place(
                model, engines, free, demand, now, orders, replica=True
            ):
                self._next_replica_at = (
                    now + self._settings.replica_interval_seconds
                )
        return orders

    def _pursue(
        self,
        engines: abc.Sequence[engine_contents.EngineContents],
        now: float,
    ) -> list[tuple[engine_contents.EngineContents, api.Order]]:
        """Return the loads for which room was made."""
        orders: list[tuple[engine_contents.EngineContents, api.Order]] = []
        for engine in engines:
            server_id = engine.server.server_id
            goal = self._goals.get(server_id)
            if goal is None:
                continue
            if now >= goal.until or engine.occupies(goal.model):
                del self._goals[server_id]
                continue
            order = self._step(engine, goal, now)
            if order is not None:
                orders.append((engine, order))
        return orders

    def _step(
        self,
        engine: engine_contents.EngineContents,
        goal: _Goal,
        now: float,
    ) -> api.Order | None:
        """Return the load of a goal, or the unload that still has to go."""
        server_id = engine.server.server_id
        load = api.LoadModel(goal.model)
        if engine.permits(load):
            self._loaded_at[server_id, goal.model] = now
            del self._goals[server_id]
            return load
        for victim in goal.victims:
            unload = api.UnloadModel(victim)
            if engine.permits(unload):
                return unload
        return None

    def _missing(
        self,
        engines: abc.Sequence[engine_contents.EngineContents],
        demand: abc.Mapping[str, Demand],
    ) -> list[str]:
        """Return wanted models that no engine holds, longest wait first."""
        coming = {goal.model for goal in self._goals.values()}
        absent = [
            model
            for model, item in demand.items()
            if (item.waiting or item.rate > 0.2)
            and model not in coming
            and _copies(engines, model) == 0
        ]
        return sorted(
            absent,
            key=lambda model: (
                -demand[model].oldest_wait_seconds,
                -demand[model].rate,
            ),
        )

    def _crowded(
        self,
        engines: abc.Sequence[engine_contents.EngineContents],
        demand: abc.Mapping[str, Demand],
    ) -> str:
        """Return the model with the most demand for each copy, if high."""
        best, best_rate = '', self._settings.replica_rate
        coming = {goal.model for goal in self._goals.values()}
        for model, item in demand.items():
            copies = _copies(engines, model)
            if not copies or model in coming:
                continue
            if copies >= len(engines) or _loading(engines, model):
                continue
            rate = _weight(item) / copies
            if rate > best_rate:
                best, best_rate = model, rate
        return best

    def _place(
        self,
        model: str,
        engines: abc.Sequence[engine_contents.EngineContents],
        free: list[engine_contents.EngineContents],
        demand: abc.Mapping[str, Demand],
        now: float,
        orders: list[tuple[engine_contents.EngineContents, api.Order]],
        replica: bool = False,
    ) -> bool:
        """Add the first order that brings a model to an engine."""
        rooms = [
            room
            for engine in free
            if (room := self._room(model, engine, engines, demand, now))
        ]
        if not rooms:
            return False
        room = min(rooms, key=lambda item: item.cost)
        gain = _weight(demand[model])
        if replica:
            gain /= _copies(engines, model) * self._settings.replica_gain
        elif demand[model].waiting:
            gain += _LAST_COPY
        if room.victims and room.cost > gain:
            return False
        engine = room.contents
        free.remove(engine)
        if not room.victims:
            self._loaded_at[engine.server.server_id, model] = now
            orders.append((engine, api.LoadModel(model)))
            return True
        until = now + self._settings.goal_seconds
        goal = _Goal(model, room.victims, until)
        self._goals[engine.server.server_id] = goal
        orders.append((engine, api.UnloadModel(room.victims[0])))
        return True

    def _room(
        self,
        model: str,
        engine: engine_contents.EngineContents,
        engines: abc.Sequence[engine_contents.EngineContents],
        demand: abc.Mapping[str, Demand],
        now: float,
    ) -> _Room | None:
        """Return what an engine would have to give up for a model."""
        spec = engine.spec.models.get(model)
        if spec is None or engine.occupies(model):
            return None
        load_cost = _load_seconds(engine, model) * _LOAD_SECOND
        missing = spec.megabytes - engine.free_megabytes()
        if missing <= 0:
            return _Room(engine, (), load_cost)
        losses = sorted(
            (self._loss(held, engine, engines, demand, now), held)
            for held in engine.models()
        )
        victims: list[str] = []
        cost = load_cost
        for loss, held in losses:
            if missing <= 0:
                break
            victims.append(held)
            cost += loss
            missing -= _megabytes(engine, held)
        if missing > 0 or cost == float('inf'):
            return None
        return _Room(engine, tuple(victims), cost) if victims else None

    def _loss(
        self,
        model: str,
        engine: engine_contents.EngineContents,
        engines: abc.Sequence[engine_contents.EngineContents],
        demand: abc.Mapping[str, Demand],
        now: float,
    ) -> float:
        """Return what removing a copy costs, in requests a second."""
        item = demand.get(model, NONE)
        loaded_at = self._loaded_at.get(
            (engine.server.server_id, model), float('-inf')
        )
        weight = _weight(item)
        copies = _copies(engines, model)
        if copies > 1:
            return weight / (copies * (copies - 1))
        if not weight:
            return 0.01
        if now - loaded_at < self._settings.hold_seconds:
            return float('inf')
        return weight + _LAST_COPY


def _weight(item: Demand) -> float:
    return item.rate + item.waiting


def _copies(
    engines: abc.Sequence[engine_contents.EngineContents], model: str
) -> int:
    """Return how many engines hold a model or load it."""
    return sum(
        engine.loading == model or model in engine.models()
        for engine in engines
    )


def _loading(
    engines: abc.Sequence[engine_contents.EngineContents], model: str
) -> bool:
    return any(engine.loading == model for engine in engines)


def _megabytes(engine: engine_contents.EngineContents, model: str) -> float:
    spec = engine.spec.models.get(model)
    return 0.0 if spec is None else spec.megabytes


def _load_seconds(engine: engine_contents.EngineContents, model: str) -> float:
    """Return how long a load takes from where the weights lie."""
    spec = engine.spec.models[model]
    if engine.report is not None:
        if model in engine.report.in_memory:
            return spec.memory_load_seconds
        if model in engine.report.on_disk:
            return spec.disk_load_seconds
    return spec.load_seconds
