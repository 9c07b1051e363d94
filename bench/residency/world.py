"""A simulation of engines whose places hold models."""

from __future__ import annotations

import bisect
import collections
import random
import typing

from dogwoodquay.residency import ceiling

if typing.TYPE_CHECKING:
    from bench.residency import policies
    from bench.residency import workloads

__all__ = ['Engine', 'Figures', 'World']

STEP_SECONDS: typing.Final = 0.05
CEILING_SECONDS: typing.Final = 5.0


class Engine:
    """An engine with its loaded models, and those on its disk."""

    def __init__(self, name: str, places: int) -> None:
        self.name = name
        self.places = places
        self.models: set[str] = set()
        self.on_disk: set[str] = set()
        self.loading = ''
        self.ready_at = 0.0
        # The number of orders carried out, as engines report it.
        self.orders = 0

    @property
    def free(self) -> int:
        """The number of places that hold nothing."""
        return self.places - len(self.models) - bool(self.loading)


class Figures(typing.NamedTuple):
    """The results of a run; shares are of all requests.

    ``undone`` counts loads of a model that was unloaded, at any engine,
    within the time of a load before.
    """

    in_aim: float
    late: float
    lost: float
    store_loads: int
    disk_loads: int
    undone: int


class World:
    """Plays the requests of a shape under a policy."""

    def __init__(
        self,
        shape: workloads.Shape,
        requests: list[workloads.Request],
        policy: policies.Policy,
        seed: int,
    ) -> None:
        self.shape = shape
        self.requests = requests
        self.now = 0.0
        self.waiting: dict[str, list[float]] = collections.defaultdict(list)
        self.engines = [
            Engine(f'e{number}', shape.places)
            for number in range(shape.engines)
        ]
        self._rng = random.Random(f'world {seed}')
        self._policy = policy
        self._running: list[tuple[float, str, str]] = []
        self._ceiling = ceiling.LoadCeiling(
            int(shape.loads_per_second * CEILING_SECONDS),
            0,
            CEILING_SECONDS,
            0.0,
        )
        self._unloaded_at: dict[str, float] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._place_first()

    def running(self, engine: str, model: str) -> int:
        """Return how many requests of a model run at an engine."""
        return self._running_counts[engine, model]

    def holders(self, model: str) -> list[Engine]:
        """Return the engines that can serve a model."""
        return [item for item in self.engines if model in item.models]

    def is_coming(self, model: str) -> bool:
        """Whether an engine loads a model."""
        return any(item.loading == model for item in self.engines)

    def unload(self, engine: Engine, model: str) -> None:
        """Drop a model."""
        engine.models.discard(model)
        engine.orders += 1
        self._unloaded_at[model] = self.now

    def may_load(self, engine: Engine, model: str) -> bool:
        """Whether a load may begin; one from the store then counts."""
        return model in engine.on_disk or self._ceiling.take(self.now)

    def load(self, engine: Engine, model: str) -> None:
        """Begin a load into a free place."""
        assert engine.free > 0 and not engine.loading
        from_disk = model in engine.on_disk
        self._counts['disk' if from_disk else 'store'] += 1
        seconds = self.shape.load_seconds
        since = self.now - self._unloaded_at.get(model, float('-inf'))
        self._counts['undone'] += since < seconds
        if from_disk:
            seconds = self.shape.disk_seconds
        engine.loading, engine.ready_at = model, self.now + seconds
        engine.orders += 1
        engine.on_disk.add(model)

    def run(self) -> Figures:
        """Play all requests."""
        index = 0
        end = self.shape.seconds + self.shape.patience_seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self._finish()
            while (
                index < len(self.requests)
                and self.requests[index].at <= self.now
            ):
                self._arrive(self.requests[index])
                index += 1
            self._policy.step(self)
        total = len(self.requests)
        return Figures(
            self._counts['in_aim'] / total,
            self._counts['late'] / total,
            self._counts['lost'] / total,
            self._counts['store'],
            self._counts['disk'],
            self._counts['undone'],
        )

    def _place_first(self) -> None:
        """Load the models in order, the first ones at several engines."""
        models = [f'm{number}' for number in range(self.shape.models)]
        places = self.shape.engines * self.shape.places
        for number, model in enumerate(models[:places]):
            engine = self.engines[number % len(self.engines)]
            engine.models.add(model)
            engine.on_disk.add(model)
        self._running_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def _finish(self) -> None:
        """End loads, requests and the patience of those that wait."""
        for engine in self.engines:
            if engine.loading and self.now >= engine.ready_at:
                model, engine.loading = engine.loading, ''
                engine.models.add(model)
                for at in self.waiting.pop(model, ()):
                    self._serve(engine, model, at)
        while self._running and self._running[0][0] <= self.now:
            _, name, model = self._running.pop(0)
            self._running_counts[name, model] -= 1
        oldest = self.now - self.shape.patience_seconds
        for model, times in tuple(self.waiting.items()):
            kept = [at for at in times if at > oldest]
            self._counts['lost'] += len(times) - len(kept)
            self.waiting[model] = kept
            if not kept:
                del self.waiting[model]

    def _arrive(self, request: workloads.Request) -> None:
        self._policy.on_request(self, request)
        holders = self.holders(request.model)
        if holders:
            engine = self._rng.choice(holders)
            self._serve(engine, request.model, request.at)
        else:
            self.waiting[request.model].append(request.at)

    def _serve(self, engine: Engine, model: str, at: float) -> None:
        in_aim = self.now - at <= self.shape.aim_seconds
        self._counts['in_aim' if in_aim else 'late'] += 1
        ends_at = self.now + self.shape.request_seconds
        bisect.insort(self._running, (ends_at, engine.name, model))
        self._running_counts[engine.name, model] += 1
