"""Decides which models move to which engines as demand changes."""

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
    """What callers ask of a model, over all instances.

    ``rate`` is in requests a second and remembers a few seconds.
    """

    rate: float
    in_flight: int
    waiting: int
    oldest_wait_seconds: float


class PlannerSettings(typing.NamedTuple):
    """Weights of the planner; gains and losses are in requests.

    ``horizon_seconds`` is for how long a move is expected to pay.
    ``used_share`` is how full the places of an engine may get before another
    copy helps, ``spread_share`` what a further copy gains beside that.
    ``move_cost`` is what a load has to gain at least, ``running_cost`` what
    it costs to wait for running requests of a model that makes room, and
    ``victim_cost`` what removing any model costs, wanted or not.
    ``hold_seconds`` is how long a model that has demand stays once loaded.
    """

    horizon_seconds: float = 4.0
    used_share: float = 0.4
    spread_share: float = 0.15
    move_cost: float = 1.0
    running_cost: float = 1.0
    victim_cost: float = 0.2
    hold_seconds: float = 1.5
    goal_seconds: float = 8.0
    drain_seconds: float = 1.5
    default_request_seconds: float = 1.5
    candidates: int = 12


class _Goal(typing.NamedTuple):
    """A load that waits until models have left its engine."""

    model: str
    victims: tuple[str, ...]
    began: float


class _Copies(typing.NamedTuple):
    """How many engines can serve each model, and how many will soon."""

    ready: collections.Counter[str]
    coming: collections.Counter[str]


class _Option(typing.NamedTuple):
    """A load on an engine, the models that have to go, and its worth."""

    engine: engine_contents.EngineContents
    model: str
    victims: tuple[str, ...]
    score: float


NONE: typing.Final = Demand(0.0, 0, 0, 0.0)
_NEVER: typing.Final = float('inf')
# Bounds of the mean time of a request that is worked out from its demand.
_MIN_REQUEST_SECONDS: typing.Final = 0.3
_MAX_REQUEST_SECONDS: typing.Final = 4.0


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
        demand: abc.Mapping[str, Demand],
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> _Orders:
        """Return the next order of each engine that should get one.

        :param running: how many requests of a model run on a server.
        """
        self._note_ready(engines, now)
        copies = self._copies(engines)
        self._reconsider(engines, copies, demand)
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
        copies = self._copies(engines)
        while free:
            option = self._best(free, copies, demand, running, now)
            if option is None:
                break
            free.remove(option.engine)
            copies.coming[option.model] += 1
            for victim in option.victims:
                copies.ready[victim] -= 1
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

    def _reconsider(
        self,
        engines: _Engines,
        copies: _Copies,
        demand: abc.Mapping[str, Demand],
    ) -> None:
        """Drop goals that no longer pay, as engines or demand changed.

        A goal pays while the load serves more requests than the models
        that are still to go would.
        """
        for engine in engines:
            goal = self._goals.get(engine.server.server_id)
            if goal is None:
                continue
            item = demand.get(goal.model, NONE)
            others = copies.ready[goal.model] + copies.coming[goal.model] - 1
            slots = engine.spec.slots
            gain = self._value(item, others + 1, slots)
            gain -= self._value(item, others, slots)
            loss = 0.0
            for victim in goal.victims:
                if victim in engine.models():
                    kept = copies.ready[victim]
                    lost = demand.get(victim, NONE)
                    loss += self._value(lost, kept + 1, slots)
                    loss -= self._value(lost, kept, slots)
            if loss > gain:
                del self._goals[engine.server.server_id]

    def _pursue(
        self,
        engines: _Engines,
        running: abc.Callable[[str, str], int],
        now: float,
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
        self,
        engine: engine_contents.EngineContents,
        goal: _Goal,
        running: abc.Callable[[str, str], int],
        now: float,
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
        self,
        option: _Option,
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> api.Order | None:
        """Note what an option begins; return its first order, if any yet."""
        goal = _Goal(option.model, option.victims, now)
        self._goals[option.engine.server.server_id] = goal
        return self._step(option.engine, goal, running, now)

    def _copies(self, engines: _Engines) -> _Copies:
        """Count the copies that engines hold and those that they will."""
        copies = _Copies(collections.Counter(), collections.Counter())
        for engine in engines:
            goal = self._goals.get(engine.server.server_id)
            held = set(engine.models())
            if engine.loading:
                copies.coming[engine.loading] += 1
            if goal is not None:
                held -= set(goal.victims)
                copies.coming[goal.model] += 1
            copies.ready.update(held)
        return copies

    def _best(
        self,
        free: _Engines,
        copies: _Copies,
        demand: abc.Mapping[str, Demand],
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> _Option | None:
        """Return the load that gains most, if any gains enough."""
        slots = free[0].spec.slots
        gains: dict[str, float] = {}
        for model, item in demand.items():
            count = copies.ready[model] + copies.coming[model]
            gains[model] = self._value(item, count + 1, slots)
            gains[model] -= self._value(item, count, slots)
        ranked = sorted(gains, key=lambda model: -gains[model])
        best: _Option | None = None
        for model in ranked[: self._settings.candidates]:
            if gains[model] <= self._settings.move_cost:
                break
            for engine in free:
                option = self._option(
                    engine, model, gains[model], copies, demand, running, now
                )
                if option is not None and (
                    best is None or option.score > best.score
                ):
                    best = option
        return best

    def _value(self, item: Demand, copies: int, slots: int) -> float:
        """Return how many requests soon get an answer from some copies.

        The mean time of a request follows from
        how many are under way, unless some are kept waiting.
        """
        if copies <= 0:
            return 0.0
        settings = self._settings
        seconds = settings.default_request_seconds
        if item.rate > 1.0 and item.in_flight and not item.waiting:
            seconds = item.in_flight / item.rate
            seconds = max(seconds, _MIN_REQUEST_SECONDS)
            seconds = min(seconds, _MAX_REQUEST_SECONDS)
        rate_of_copy = settings.used_share * slots / seconds
        served = min(item.rate, copies * rate_of_copy)
        spread = settings.spread_share * item.rate * (1.0 - 0.5**copies)
        return settings.horizon_seconds * (served + spread) + item.waiting

    def _option(
        self,
        engine: engine_contents.EngineContents,
        model: str,
        gain: float,
        copies: _Copies,
        demand: abc.Mapping[str, Demand],
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> _Option | None:
        """Return what a load on an engine is worth, if it pays."""
        spec = engine.spec.models.get(model)
        if spec is None or engine.occupies(model):
            return None
        # While it loads it serves none of those who come; who waits, stays.
        horizon = self._settings.horizon_seconds
        seconds = load_seconds(engine, model)
        later = max(0.0, gain - demand[model].waiting)
        score = gain - later * seconds / (horizon + seconds)
        score -= self._settings.move_cost
        missing = spec.megabytes - engine.free_megabytes()
        victims: list[str] = []
        if missing > 0:
            losses = sorted(
                (self._loss(held, engine, copies, demand, running, now), held)
                for held in engine.models()
            )
            for loss, held in losses:
                victims.append(held)
                score -= loss + self._settings.victim_cost
                missing -= _megabytes(engine, held)
                if missing <= 0:
                    break
        if missing > 0 or score <= 0:
            return None
        return _Option(engine, model, tuple(victims), score)

    def _loss(
        self,
        model: str,
        engine: engine_contents.EngineContents,
        copies: _Copies,
        demand: abc.Mapping[str, Demand],
        running: abc.Callable[[str, str], int],
        now: float,
    ) -> float:
        """Return how many requests removing a copy costs."""
        item = demand.get(model, NONE)
        server_id = engine.server.server_id
        ready_at = self._ready_at.get((server_id, model), -_NEVER)
        wanted = item.rate > 0.2 or item.waiting
        if wanted and now < ready_at + self._settings.hold_seconds:
            return _NEVER
        # A copy that is only coming replaces none yet.
        count = max(1, copies.ready[model])
        slots = engine.spec.slots
        loss = self._value(item, count, slots)
        loss -= self._value(item, count - 1, slots)
        if running(server_id, model):
            loss += self._settings.running_cost
        return loss


def _megabytes(engine: engine_contents.EngineContents, model: str) -> float:
    spec = engine.spec.models.get(model)
    return 0.0 if spec is None else spec.megabytes


def load_seconds(engine: engine_contents.EngineContents, model: str) -> float:
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
