"""Tests of giving orders to engines."""

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
from dogwoodquay.gateway import duty as duties
from dogwoodquay.gateway import messages
from dogwoodquay.residency import api
from dogwoodquay.routes import api as routes_api

if typing.TYPE_CHECKING:
    from collections import abc

Answer = api.OrderAnswer


class _Engines:
    """Engines that take orders as the platform says."""

    def __init__(self) -> None:
        self.models: dict[str, dict[str, set[str]]] = {}
        self.numbers: dict[str, int] = {}
        self.silent: set[str] = set()
        self.fence = 0
        self.orders: list[tuple[str, api.Order]] = []

    async def report(
        self, server: fleet_api.ServerEntry, deadline: float
    ) -> expression.Result[api.EngineReport, str]:
        """Return an engine's contents."""
        name = server.server_id
        if name in self.silent:
            return expression.Error('connect')
        held = (
            (model, tuple(adapters))
            for model, adapters in self.models.get(name, {}).items()
        )
        number = self.numbers.get(name, 0)
        return expression.Ok(engine_fakes.report(*held, order_number=number))

    async def order(
        self,
        server: fleet_api.ServerEntry,
        order: api.Order,
        order_number: int,
        fence: int,
        deadline: float,
    ) -> api.OrderAnswer:
        """Carry out an order at once."""
        name = server.server_id
        if fence < self.fence:
            return Answer.STALE_FENCE
        if order_number != self.numbers.get(name, 0):
            return Answer.CONFLICT
        self.orders.append((name, order))
        self.numbers[name] = order_number + 1
        held = self.models.setdefault(name, {})
        match order:
            case api.LoadModel(model):
                held[model] = set()
            case api.UnloadModel(model):
                held.pop(model, None)
            case api.LoadAdapter(model, adapter):
                held[model].add(adapter)
            case api.UnloadAdapter(model, adapter):
                held[model].discard(adapter)
        return Answer.ACCEPTED


class ControllerTest(unittest.IsolatedAsyncioTestCase):
    """The holder of the duty brings models and adapters where needed."""

    async def asyncSetUp(self) -> None:
        """Make two engines and a holder of the duty."""
        self.clock = clocks.SteadyClock()
        self.store = fakes.FakeStore(clocks.ManualClock())
        self.engines = _Engines()
        self.registry = registries.Registry()
        settings = fakes.instance_settings()
        metrics = fakes.made_metrics()
        self.duty = duties.Duty(
            self.store, settings, self.clock, fakes.rng(), metrics
        )
        self.controller = controller.Controller(
            self.duty,
            self.registry,
            self.engines,
            settings,
            self.clock,
            metrics,
        )
        service = routes_api.Service('models', '/', 9, engine_fakes.SPEC)
        self.controller.configure({'models': service})
        for name, held in (('e1', 'hot'), ('e2', 'warm')):
            self.engines.models[name] = {held: set()}
            self.registry.update(engine_fakes.entry(name), 0.0)
        await self.duty.step()

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

    async def _find(self, adapter: str) -> str:
        deadline = self.clock.now() + 5.0
        return await self.controller.find('models', 'hot', adapter, deadline)

    def _known(self) -> bool:
        return len(self.controller.view('a').engines) == 2

    async def test_adapter(self) -> None:
        """An adapter goes to the engine of its model, once."""
        async with self._running():
            await self._until(self._known)
            found = {await self._find('a1') for _ in range(3)}
        self.assertEqual({'e1'}, found)
        expected = [('e1', api.LoadAdapter('hot', 'a1'))]
        self.assertEqual(expected, self.engines.orders)

    async def test_missing_model(self) -> None:
        """Demand that an instance tells brings a model in."""
        row = messages.ModelRow('models', 'rare1', 1.6, 0, 4, 1.0)
        load = messages.InstanceLoad('front-2', 1, (row,), (), ())
        async with self._running():
            await self._until(self._known)
            self.assertIsNotNone(self.controller.take(load))
            await self._until(lambda: bool(self.engines.orders))
        _, order = self.engines.orders[0]
        self.assertEqual(api.LoadModel('rare1'), order)

    async def test_silent_engine(self) -> None:
        """An engine that does not answer gets no orders."""
        self.engines.silent.add('e1')
        async with self._running():
            await self._until(
                lambda: len(self.controller.view('a').engines) == 1
            )
            deadline = self.clock.now() + 0.2
            found = await self.controller.find('models', 'hot', 'a1', deadline)
        self.assertEqual('', found)
        self.assertEqual([], self.engines.orders)

    async def test_higher_fence(self) -> None:
        """A holder that an engine refuses gives no more orders."""
        async with self._running():
            await self._until(self._known)
            self.engines.fence = 99
            self.assertEqual('', await self._find('a1'))
        self.assertFalse(self.duty.holds(self.clock.now()))

    async def test_not_the_holder(self) -> None:
        """Who does not hold the duty tells nothing and orders nothing."""
        async with self._running():
            await self._until(self._known)
            await self.duty.leave()
            load = messages.InstanceLoad('front-2', 1, (), (), ())
            self.assertIsNone(self.controller.take(load))
            self.assertEqual('', await self._find('a1'))
        self.assertEqual([], self.engines.orders)
