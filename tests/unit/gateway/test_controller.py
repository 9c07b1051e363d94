"""Tests of planning and sending orders to engines."""

from __future__ import annotations

import contextlib
import typing
import unittest

import anyio
import expression

from . import fakes
from ..residency import engines as engine_fakes
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import controller
from dogwoodquay.gateway import messages
from dogwoodquay.gateway import ownership as order_ownership
from dogwoodquay.residency import api
from dogwoodquay.routes import api as routes_api

if typing.TYPE_CHECKING:
    from collections import abc

Answer = api.OrderAnswer


class _FakeEngines:
    """Engines that check order numbers and fencing tokens."""

    def __init__(self) -> None:
        self.models: dict[str, dict[str, set[str]]] = {}
        self.numbers: dict[str, int] = {}
        self.unreachable: set[str] = set()
        self.fence = 0
        self.orders: list[tuple[str, api.Order]] = []

    async def report(
        self, server: fleet_api.ServerEntry, deadline: float
    ) -> expression.Result[api.EngineReport, str]:
        """Return an engine's contents."""
        name = server.server_id
        if name in self.unreachable:
            return expression.Error('connect')
        loaded = (
            (model, tuple(adapters))
            for model, adapters in self.models.get(name, {}).items()
        )
        number = self.numbers.get(name, 0)
        return expression.Ok(engine_fakes.report(*loaded, order_number=number))

    async def order(
        self,
        server: fleet_api.ServerEntry,
        order: api.Order,
        order_number: int,
        fence: int,
        deadline: float,
    ) -> api.OrderAnswer:
        """Execute an order at once."""
        name = server.server_id
        if fence < self.fence:
            return Answer.STALE_FENCE
        if order_number != self.numbers.get(name, 0):
            return Answer.CONFLICT
        self.orders.append((name, order))
        self.numbers[name] = order_number + 1
        loaded = self.models.setdefault(name, {})
        match order:
            case api.LoadModel(model):
                loaded[model] = set()
            case api.UnloadModel(model):
                loaded.pop(model, None)
            case api.LoadAdapter(model, adapter):
                loaded[model].add(adapter)
            case api.UnloadAdapter(model, adapter):
                loaded[model].discard(adapter)
        return Answer.ACCEPTED


class ControllerTest(unittest.IsolatedAsyncioTestCase):
    """The owner loads models and adapters by demand."""

    async def asyncSetUp(self) -> None:
        """Create two engines and the instance that gives them orders."""
        self.clock = clocks.SteadyClock()
        self.store = fakes.FakeStore(clocks.ManualClock())
        self.engines = _FakeEngines()
        self.registry = registries.Registry()
        settings = fakes.instance_settings()
        metrics = fakes.make_metrics()
        self.ownership = order_ownership.OrderOwnership(
            self.store, settings, self.clock, fakes.rng(), metrics
        )
        self.limits = fakes.make_limits(self.registry, self.clock)
        self.controller = controller.Controller(
            self.ownership,
            self.registry,
            self.engines,
            settings,
            self.clock,
            metrics,
            fakes.rng(),
            self.limits,
        )
        service = routes_api.Service('models', '/', 9, engine_fakes.SPEC)
        self.controller.configure({'models': service})
        for name, loaded in (('e1', 'hot'), ('e2', 'warm')):
            self.engines.models[name] = {loaded: set()}
            self.registry.update(engine_fakes.entry(name), 0.0)
        await self.ownership.step()

    @contextlib.asynccontextmanager
    async def _running(self) -> abc.AsyncIterator[None]:
        async with anyio.create_task_group() as group:
            group.start_soon(self.controller.run)
            yield
            group.cancel_scope.cancel()

    async def _until(self, condition: abc.Callable[[], bool]) -> None:
        with anyio.fail_after(10.0):
            while not condition():
                await anyio.sleep(0.01)

    async def _find(
        self, adapter: str, version: str | None = None, seconds: float = 5.0
    ) -> str:
        deadline = self.clock.now() + seconds
        return await self.controller.find_adapter(
            'models', 'hot', adapter, deadline, version
        )

    def _both_known(self) -> bool:
        return len(self.controller.view('a').engines) == 2

    async def test_adapter_loaded_once(self) -> None:
        """An adapter is loaded once, on the engine that has its model."""
        async with self._running():
            await self._until(self._both_known)
            found = {await self._find('a1') for _ in range(3)}
        self.assertEqual({'e1'}, found)
        expected = [('e1', api.LoadAdapter('hot', 'a1'))]
        self.assertEqual(expected, self.engines.orders)

    async def test_adapter_at_a_software_version(self) -> None:
        """An adapter is found or loaded on engines of the version only."""
        for name, version in (('e1', 'v1'), ('e2', 'v2'), ('e3', 'v2')):
            self.engines.models[name] = {'hot': set()}
            entry = engine_fakes.entry(name, 2000, version)
            self.registry.update(entry, 1.0)
        self.engines.models['e1']['hot'].add('a1')
        self.engines.models['e3']['hot'].add('a2')
        async with self._running():
            await self._until(
                lambda: len(self.controller.view('a').engines) == 3
            )
            self.assertEqual('e1', await self._find('a1'))
            self.assertEqual('e1', await self._find('a1', 'v1'))
            self.assertEqual('e3', await self._find('a2', 'v2'))
            self.assertEqual([], self.engines.orders)
            self.assertIn(await self._find('a1', 'v2'), ('e2', 'e3'))
            self.assertEqual('e1', await self._find('a2', 'v1'))
            self.assertEqual('', await self._find('a1', 'v3', 0.1))
        (first, _), (second, _) = self.engines.orders
        self.assertIn(first, ('e2', 'e3'))
        self.assertEqual('e1', second)

    async def test_missing_model(self) -> None:
        """Demand in an instance's load leads to the load of a model."""
        row = messages.ModelDemand('models', 'rare1', 1.6, 0, 4, 1.0)
        load = messages.InstanceLoad('front-2', 1, (row,), (), ())
        async with self._running():
            await self._until(self._both_known)
            self.assertIsNotNone(self.controller.on_load(load))
            await self._until(lambda: bool(self.engines.orders))
        _, order = self.engines.orders[0]
        self.assertEqual(api.LoadModel('rare1'), order)

    async def test_model_at_a_software_version(self) -> None:
        """A model is loaded at the version that waiting requests need."""
        self.registry.update(engine_fakes.entry('e2', 2000, 'v1'), 1.0)
        row = messages.ModelDemand('models', 'hot', 0.4, 0, 1, 0.1)
        at_version = messages.VersionDemand('models', 'hot', 'v1', 1)
        load = messages.InstanceLoad(
            'front-2', 1, (row,), (), (), at_version=(at_version,)
        )
        async with self._running():
            await self._until(self._both_known)
            self.assertIsNotNone(self.controller.on_load(load))
            await self._until(lambda: bool(self.engines.orders))
        self.assertEqual(('e2', api.LoadModel('hot')), self.engines.orders[0])

    async def test_unreachable_engine(self) -> None:
        """An engine that does not answer gets no orders."""
        self.engines.unreachable.add('e1')
        async with self._running():
            await self._until(
                lambda: len(self.controller.view('a').engines) == 1
            )
            deadline = self.clock.now() + 0.2
            found = await self.controller.find_adapter(
                'models', 'hot', 'a1', deadline
            )
        self.assertEqual('', found)
        self.assertEqual([], self.engines.orders)

    async def test_higher_fencing_token(self) -> None:
        """An owner gives no more orders once an engine refuses its token."""
        async with self._running():
            await self._until(self._both_known)
            self.engines.fence = 99
            self.assertEqual('', await self._find('a1'))
        self.assertFalse(self.ownership.is_owner(self.clock.now()))

    async def test_not_the_owner(self) -> None:
        """An instance that is not the owner sends no view and no orders."""
        async with self._running():
            await self._until(self._both_known)
            await self.ownership.leave()
            load = messages.InstanceLoad('front-2', 1, (), (), ())
            self.assertIsNone(self.controller.on_load(load))
            self.assertEqual('', await self._find('a1'))
        self.assertEqual([], self.engines.orders)
