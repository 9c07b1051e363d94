"""Ways to choose which model gets a place, and which one loses it."""

from __future__ import annotations

import bisect
import collections
import typing

from bench.residency import world as worlds
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.fleet import rate
from dogwoodquay.residency import api as residency_api
from dogwoodquay.residency import contents
from dogwoodquay.residency import planner
from dogwoodquay.residency import served
from dogwoodquay.routes import api as routes_api

if typing.TYPE_CHECKING:
    from bench.residency import workloads

__all__ = ['POLICIES', 'Policy']

PLAN_SECONDS: typing.Final = 0.1
_SLOTS: typing.Final = 32
_MEGABYTES: typing.Final = 72_000.0


class Policy(typing.Protocol):
    """Decides about loads, once a step."""

    def on_request(
        self, world: worlds.World, request: workloads.Request
    ) -> None:
        """Record a request."""

    def step(self, world: worlds.World) -> None:
        """Begin loads and unloads."""


class Planner:
    """The planner of the gateway, with engines that report at once."""

    def __init__(self, requests: list[workloads.Request]) -> None:
        self._planner = planner.ModelPlanner()
        self._rates: dict[str, rate.DecayingRate] = {}
        self._contents: dict[str, contents.EngineContents] = {}
        self._plan_at = 0.0

    def on_request(
        self, world: worlds.World, request: workloads.Request
    ) -> None:
        """Count the request in the rate of its model."""
        known = self._rates.setdefault(request.model, rate.DecayingRate())
        known.add(request.at)

    def step(self, world: worlds.World) -> None:
        """Plan and carry out the orders."""
        if world.now < self._plan_at:
            return
        self._plan_at = world.now + PLAN_SECONDS
        if not self._contents:
            self._add_engines(world)
        for engine in world.engines:
            self._contents[engine.name].observe(_report(engine))
        orders = self._planner.plan(
            list(self._contents.values()),
            self._demand(world),
            world.running,
            world.now,
        )
        engines = {engine.name: engine for engine in world.engines}
        for item, order in orders:
            item.begin_order(order)
            accepted = self._carry_out(
                world, engines[item.server.server_id], order
            )
            item.on_answer(
                residency_api.OrderAnswer.ACCEPTED
                if accepted
                else residency_api.OrderAnswer.UNSENT
            )

    def _carry_out(
        self,
        world: worlds.World,
        engine: worlds.Engine,
        order: residency_api.Order,
    ) -> bool:
        """Carry out an order unless the weight store allows no load."""
        match order:
            case residency_api.UnloadModel(model):
                world.unload(engine, model)
            case residency_api.LoadModel(model):
                if not world.may_load(engine, model):
                    return False
                world.load(engine, model)
        return True

    def _add_engines(self, world: worlds.World) -> None:
        shape = world.shape
        models = {
            name: routes_api.ModelSpec(
                name,
                _MEGABYTES,
                shape.load_seconds,
                shape.disk_seconds / 2,
                shape.disk_seconds,
                0,
                0.0,
            )
            for name in (f'm{number}' for number in range(shape.models))
        }
        spec = routes_api.EngineSpec(
            _SLOTS,
            100_000,
            _MEGABYTES * shape.places,
            0,
            shape.loads_per_second,
            models,
        )
        for engine in world.engines:
            entry = fleet_api.ServerEntry(
                engine.name,
                's',
                '127.0.0.1',
                1,
                'd1',
                fleet_api.ServerState.LIVE,
                _SLOTS,
                1,
                1,
                (),
            )
            self._contents[engine.name] = contents.EngineContents(entry, spec)

    def _demand(self, world: worlds.World) -> dict[str, served.Demand]:
        running: collections.Counter[str] = collections.Counter()
        for engine in world.engines:
            for model in engine.models:
                running[model] += world.running(engine.name, model)
        return {
            model: served.Demand(
                known.at(world.now),
                running[model],
                len(world.waiting.get(model, ())),
                world.now - min(world.waiting.get(model, [world.now])),
            )
            for model, known in self._rates.items()
        }


class ContendedPlanner(Planner):
    """The planner with its weights for contended load."""

    def __init__(self, requests: list[workloads.Request]) -> None:
        super().__init__(requests)
        self._planner.configure(served.CONTENDED)


def _report(engine: worlds.Engine) -> residency_api.EngineReport:
    """Return an engine's report."""
    names = (
        [*engine.models, engine.loading] if engine.loading else (engine.models)
    )
    return residency_api.EngineReport(
        tuple(
            fleet_api.LoadedModel(name, 1, frozenset())
            for name in sorted(names)
        ),
        bool(engine.loading),
        engine.orders,
        0,
        0,
        0,
        100_000,
        frozenset(),
        frozenset(),
        frozenset(engine.on_disk),
    )


class _Swap(typing.NamedTuple):
    """A model that would lose its place at an engine to another one."""

    engine: worlds.Engine
    victim: str
    model: str


class _OnDemand:
    """Loads what requests wait for, the longest waiting first."""

    def __init__(self, requests: list[workloads.Request]) -> None:
        self._requests = requests

    def on_request(
        self, world: worlds.World, request: workloads.Request
    ) -> None:
        """Record a request."""

    def step(self, world: worlds.World) -> None:
        """Begin a load at the engine that loses least by it."""
        absent = [
            (times[0], model)
            for model, times in world.waiting.items()
            if not world.is_coming(model)
        ]
        for _, model in sorted(absent):
            idle = [item for item in world.engines if not item.loading]
            options = [
                option
                for engine in idle
                if (option := self._option(world, engine, model)) is not None
            ]
            if not options:
                continue
            _, number, victim = min(options)
            engine = world.engines[number]
            if not world.may_load(engine, model):
                continue
            if victim:
                self.on_unload(engine, victim)
                world.unload(engine, victim)
            world.load(engine, model)

    def _option(
        self, world: worlds.World, engine: worlds.Engine, model: str
    ) -> tuple[float, int, str] | None:
        """Return the loss, the engine and the victim, empty for none."""
        number = world.engines.index(engine)
        if engine.free > 0:
            return float('-inf'), number, ''
        losses = [
            (self.loss(world, _Swap(engine, name, model)), number, name)
            for name in sorted(engine.models)
        ]
        least = min(losses)
        return least if least[0] < float('inf') else None

    def loss(self, world: worlds.World, swap: _Swap) -> float:
        """Return the loss of a swap, infinite if it must not be."""
        raise NotImplementedError

    def on_unload(self, engine: worlds.Engine, victim: str) -> None:
        """Record that a model loses its place."""


class LeastRecentlyUsed(_OnDemand):
    """Drops the model whose last request is the longest ago."""

    def __init__(self, requests: list[workloads.Request]) -> None:
        super().__init__(requests)
        self._used_at: dict[str, float] = {}

    def on_request(
        self, world: worlds.World, request: workloads.Request
    ) -> None:
        """Record the time of a model's last request."""
        self._used_at[request.model] = request.at

    def loss(self, world: worlds.World, swap: _Swap) -> float:
        """Return when the victim was used last; one of several goes first."""
        if len(world.holders(swap.victim)) > 1:
            return -1.0
        return self._used_at.get(swap.victim, 0.0)


class GreedyDual(LeastRecentlyUsed):
    """GreedyDual-Size-Frequency: cost and frequency, with ageing."""

    def __init__(self, requests: list[workloads.Request]) -> None:
        super().__init__(requests)
        self._age = 0.0
        self._counts: collections.Counter[str] = collections.Counter()
        self._values: dict[str, float] = {}

    def on_request(
        self, world: worlds.World, request: workloads.Request
    ) -> None:
        """Raise the value of the requested model."""
        self._counts[request.model] += 1
        cost = world.shape.disk_seconds
        value = self._age + self._counts[request.model] * cost
        self._values[request.model] = value

    def loss(self, world: worlds.World, swap: _Swap) -> float:
        """Return the value of the victim; one of several goes first."""
        if len(world.holders(swap.victim)) > 1:
            return -1.0
        return self._values.get(swap.victim, 0.0)

    def on_unload(self, engine: worlds.Engine, victim: str) -> None:
        """Age all models by the value of the one that goes."""
        self._age = max(self._age, self._values.get(victim, 0.0))
        self._counts[victim] = 0


class Offline(_OnDemand):
    """Knows the requests to come; drops what is asked for least soon.

    A load has to serve more requests within ``HORIZON_LOADS`` loads than the
    victim would. It decides about one load at a time: no optimum.
    """

    HORIZON_LOADS: typing.Final = 2.0

    def __init__(self, requests: list[workloads.Request]) -> None:
        super().__init__(requests)
        self._times: dict[str, list[float]] = collections.defaultdict(list)
        for request in requests:
            self._times[request.model].append(request.at)

    def loss(self, world: worlds.World, swap: _Swap) -> float:
        """Return the requests lost less those gained."""
        shape = world.shape
        seconds = shape.load_seconds
        if swap.model in swap.engine.on_disk:
            seconds = shape.disk_seconds
        ready_at = world.now + seconds
        until = ready_at + self.HORIZON_LOADS * shape.load_seconds
        lost = 0
        if len(world.holders(swap.victim)) == 1:
            lost = self._count(swap.victim, world.now, until)
        oldest = ready_at - shape.patience_seconds
        gained = self._count(swap.model, oldest, until)
        return lost - gained if lost < gained else float('inf')

    def _count(self, model: str, since: float, until: float) -> int:
        times = self._times[model]
        return bisect.bisect(times, until) - bisect.bisect(times, since)


POLICIES: typing.Final[
    dict[str, typing.Callable[[list[workloads.Request]], Policy]]
] = {
    'planner': Planner,
    'contended': ContendedPlanner,
    'lru': LeastRecentlyUsed,
    'greedy_dual': GreedyDual,
    'offline': Offline,
}
