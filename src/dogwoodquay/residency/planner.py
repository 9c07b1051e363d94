"""Decides which models move to which engines as demand changes."""

from __future__ import annotations

import typing

from . import api
from . import layout as layouts

if typing.TYPE_CHECKING:
    from collections import abc

    from . import contents as engine_contents

__all__ = ['ModelPlanner', 'PlannerSettings']

_Engine: typing.TypeAlias = 'engine_contents.EngineContents'
_Engines: typing.TypeAlias = 'abc.Sequence[engine_contents.EngineContents]'
_Orders: typing.TypeAlias = (
    'list[tuple[engine_contents.EngineContents, api.Order]]'
)
_Demands: typing.TypeAlias = 'abc.Mapping[str, layouts.Demand]'
_Running: typing.TypeAlias = 'abc.Callable[[str, str], int]'


class PlannerSettings(typing.NamedTuple):
    """Weights of the planner; gains and losses are in requests.

    ``move_cost`` is what a load has to gain at least, ``running_cost`` what
    it costs to wait for running requests of a model that makes room, and
    ``victim_cost`` what removing any model costs, wanted or not.
    ``hold_seconds`` is how long a model that has demand stays once loaded.
    """

    layout: layouts.LayoutSettings = layouts.LayoutSettings()
    move_cost: float = 0.5
    running_cost: float = 1.0
    victim_cost: float = 0.2
    hold_seconds: float = 1.5
    goal_seconds: float = 8.0
    drain_seconds: float = 1.5
    candidates: int = 12


class _Goal(typing.NamedTuple):
    """A load that waits until models have left its engine."""

    model: str
    victims: tuple[str, ...]
    began: float


class _Option(typing.NamedTuple):
    """A load on an engine, the models that have to go, and its worth."""

    engine: _Engine
    model: str
    victims: tuple[str, ...]
    score: float


_NEVER: typing.Final = float('inf')
# Requests a second from which on a model counts as asked for.
_WANTED_RATE: typing.Final = 0.2


class ModelPlanner:
    """Plans one order at a time for each engine of a service; pure.

    Answers demand that moves to models which no engine holds, bursts on a
    model with few copies, and more models in demand than fit at a time: the
    load goes first that serves most callers soon, less those whom it takes a
    model from.
    """

    def __init__(self, settings: PlannerSettings | None = None) -> None:
        self._settings = settings or PlannerSettings()
        self._goals: dict[str, _Goal] = {}
        self._ordered: set[tuple[str, str]] = set()
        self._ready_at: dict[tuple[str, str], float] = {}

    def withdrawn(self, server_id: str) -> tuple[str, ...]:
        """Return the models that are about to leave an engine."""
        goal = self._goals.get(server_id)
        return goal.victims if goal is not None else ()

    def plan(
        self,
        engines: _Engines,
        demand: _Demands,
        running: _Running,
        now: float,
    ) -> _Orders:
        """Return the next order of each engine that should get one.

        :param running: how many requests of a model run on a server.
        """
        if not engines:
            return []
        self._note_ready(engines, now)
        self._reconsider(engines, demand)
        orders = self._pursue(engines, running, now)
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
        view = _View(engines, self._goals, demand, self._settings.layout)
        while free:
            option = self._best(free, view, demand, running, now)
            if option is None:
                break
            free.remove(option.engine)
            view.begin(option)
            order = self._begin(option, running, now)
            if order is not None:
                orders.append((option.engine, order))
        return orders

    def _note_ready(self, engines: _Engines, now: float) -> None:
        """Note which of the ordered loads have ended."""
        for engine in engines:
            for model in engine.models():
                key = (engine.server.server_id, model)
                if key in self._ordered:
                    self._ordered.discard(key)
                    self._ready_at[key] = now

    def _reconsider(self, engines: _Engines, demand: _Demands) -> None:
        """Drop goals that no longer pay, as engines or demand changed."""
        view = _View(engines, self._goals, demand, self._settings.layout)
        for engine in engines:
            server_id = engine.server.server_id
            goal = self._goals.get(server_id)
            if goal is None:
                continue
            there = [name for name in goal.victims if name in engine.models()]
            gain = -view.layout.remove(goal.model, server_id)
            loss = sum(view.layout.add(name, server_id) for name in there)
            loss += sum(
                demand.get(name, layouts.NONE).waiting
                for name in there
                if view.ready(name) == 0
            )
            if loss > gain:
                del self._goals[server_id]
                continue
            for name in there:
                view.layout.remove(name, server_id)
            view.layout.add(goal.model, server_id)

    def _pursue(
        self, engines: _Engines, running: _Running, now: float
    ) -> _Orders:
        """Return the next orders of loads that room is being made for."""
        orders: _Orders = []
        for engine in engines:
            server_id = engine.server.server_id
            goal = self._goals.get(server_id)
            if goal is None:
                continue
            late = now >= goal.began + self._settings.goal_seconds
            made_room = engine.permits(api.LoadModel(goal.model))
            if late or made_room or engine.occupies(goal.model):
                # What is worth most now gets the room.
                del self._goals[server_id]
                continue
            order = self._step(engine, goal, running, now)
            if order is not None:
                orders.append((engine, order))
        return orders

    def _step(
        self, engine: _Engine, goal: _Goal, running: _Running, now: float
    ) -> api.Order | None:
        """Return the load of a goal, or the unload that still has to go.

        An engine does nothing else while an unload waits for requests, so
        they are let run out before.
        """
        server_id = engine.server.server_id
        load = api.LoadModel(goal.model)
        if engine.permits(load):
            self._ordered.add((server_id, goal.model))
            del self._goals[server_id]
            return load
        waited = now >= goal.began + self._settings.drain_seconds
        for victim in goal.victims:
            unload = api.UnloadModel(victim)
            idle = waited or not running(server_id, victim)
            if idle and engine.permits(unload):
                return unload
        return None

    def _begin(
        self, option: _Option, running: _Running, now: float
    ) -> api.Order | None:
        """Note what an option begins; return its first order, if any yet."""
        goal = _Goal(option.model, option.victims, now)
        self._goals[option.engine.server.server_id] = goal
        return self._step(option.engine, goal, running, now)

    def _best(
        self,
        free: _Engines,
        view: _View,
        demand: _Demands,
        running: _Running,
        now: float,
    ) -> _Option | None:
        """Return the load that gains most, if any gains enough."""
        best: _Option | None = None
        for model in view.candidates(self._settings.candidates):
            for engine in free:
                option = self._option(
                    engine, model, view, demand, running, now
                )
                if option is not None and (
                    best is None or option.score > best.score
                ):
                    best = option
        return best

    def _option(
        self,
        engine: _Engine,
        model: str,
        view: _View,
        demand: _Demands,
        running: _Running,
        now: float,
    ) -> _Option | None:
        """Return what a load on an engine is worth, if it pays."""
        spec = engine.spec.models.get(model)
        if spec is None or engine.occupies(model):
            return None
        server_id = engine.server.server_id
        missing = spec.megabytes - engine.free_megabytes()
        victims: list[str] = []
        loss = 0.0
        if missing > 0:
            losses = sorted(
                (self._loss(held, engine, view, demand, running, now), held)
                for held in engine.models()
            )
            for lost, held in losses:
                victims.append(held)
                loss += lost + self._settings.victim_cost
                missing -= _megabytes(engine, held)
                if missing <= 0:
                    break
        if missing > 0 or loss == _NEVER:
            return None
        gain = view.gain(model, server_id, victims)
        # While it loads it serves none of those who come; who waits, stays.
        seconds = _load_seconds(engine, model)
        waiting = demand[model].waiting if not view.copies(model) else 0
        later = max(0.0, gain - waiting)
        horizon = self._settings.layout.horizon_seconds
        score = gain - later * seconds / (horizon + seconds)
        score -= loss + self._settings.move_cost
        if score <= 0:
            return None
        return _Option(engine, model, tuple(victims), score)

    def _loss(
        self,
        model: str,
        engine: _Engine,
        view: _View,
        demand: _Demands,
        running: _Running,
        now: float,
    ) -> float:
        """Return how many requests removing a copy costs."""
        item = demand.get(model, layouts.NONE)
        server_id = engine.server.server_id
        ready_at = self._ready_at.get((server_id, model), -_NEVER)
        wanted = item.rate > _WANTED_RATE or item.waiting
        if wanted and now < ready_at + self._settings.hold_seconds:
            return _NEVER
        loss = view.loss(model, server_id)
        if view.ready(model) <= 1 < view.copies(model):
            # The others are only coming.
            loss += item.rate * _load_seconds(engine, model) + item.waiting
        if running(server_id, model):
            loss += self._settings.running_cost
        return loss


class _View:
    """The copies that engines hold and those that they will."""

    def __init__(
        self,
        engines: _Engines,
        goals: abc.Mapping[str, _Goal],
        demand: _Demands,
        settings: layouts.LayoutSettings,
    ) -> None:
        self._demand = demand
        self._ready: dict[str, int] = {}
        slots = engines[0].spec.slots
        self.layout = layouts.Layout(demand, slots, settings)
        for engine in engines:
            server_id = engine.server.server_id
            goal = goals.get(server_id)
            held = set(engine.models())
            if goal is not None:
                held -= set(goal.victims)
                self.layout.add(goal.model, server_id)
            if engine.loading:
                self.layout.add(engine.loading, server_id)
            for model in held:
                self.layout.add(model, server_id)
                self._ready[model] = self._ready.get(model, 0) + 1

    def ready(self, model: str) -> int:
        """Return how many engines can serve a model now."""
        return self._ready.get(model, 0)

    def copies(self, model: str) -> int:
        """Return how many engines hold a model or will."""
        return self.layout.copies(model)

    def candidates(self, most: int) -> list[str]:
        """Return the models that a load may help, missing ones first."""
        wanted = [
            model
            for model, item in self._demand.items()
            if item.rate > _WANTED_RATE or item.waiting
        ]
        wanted.sort(
            key=lambda model: (
                self.copies(model) > 0,
                -self._demand[model].waiting - self._demand[model].rate,
            )
        )
        return wanted[:most]

    def gain(
        self, model: str, server_id: str, victims: abc.Sequence[str]
    ) -> float:
        """Return what a copy gains in the place of others."""
        for victim in victims:
            self.layout.remove(victim, server_id)
        gain = self.layout.add(model, server_id)
        self.layout.remove(model, server_id)
        for victim in victims:
            self.layout.add(victim, server_id)
        return gain

    def loss(self, model: str, server_id: str) -> float:
        """Return what removing a copy loses."""
        gain = self.layout.remove(model, server_id)
        self.layout.add(model, server_id)
        return -gain

    def begin(self, option: _Option) -> None:
        """Take in that an option was chosen."""
        server_id = option.engine.server.server_id
        for victim in option.victims:
            self.layout.remove(victim, server_id)
            self._ready[victim] -= 1
        self.layout.add(option.model, server_id)


def _megabytes(engine: _Engine, model: str) -> float:
    spec = engine.spec.models.get(model)
    return 0.0 if spec is None else spec.megabytes


def _load_seconds(engine: _Engine, model: str) -> float:
    """Return how long a load takes from where the weights lie."""
    spec = engine.spec.models.get(model)
    if spec is None:
        return 0.0
    if engine.report is not None:
        if model in engine.report.in_memory:
            return spec.memory_load_seconds
        if model in engine.report.on_disk:
            return spec.disk_load_seconds
    return spec.load_seconds
