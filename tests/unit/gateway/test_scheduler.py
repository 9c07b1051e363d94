"""Tests of assigning servers to requests."""

from __future__ import annotations

import unittest

from . import fakes
from ..fleet import entries
from . import loopback
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import api
from dogwoodquay.gateway import scheduler as schedulers
from dogwoodquay.routes import api as routes_api

_SPEC = routes_api.EngineSpec(
    slots=4,
    cache_tokens=1000,
    megabytes=100.0,
    max_adapters=2,
    loads_per_second=1.0,
    models={'m': routes_api.ModelSpec('m', 50.0, 4.0, 0.5, 0.8, 0, 1.0)},
)


class _NoFinder:
    """Finds no adapters."""

    async def find_adapter(
        self, service: str, model: str, adapter: str, deadline: float
    ) -> str:
        return ''


class _SchedulerCase(unittest.IsolatedAsyncioTestCase):
    """A scheduler with engines and a manual clock."""

    def setUp(self) -> None:
        """Create a scheduler without servers."""
        self.clock = clocks.ManualClock()
        self.registry = registries.Registry()
        self.scheduler = schedulers.Scheduler(
            self.registry, 'd1', self.clock, fakes.rng(), _NoFinder()
        )
        service = routes_api.Service('models', '/healthz', 100, _SPEC)
        self.scheduler.configure({'models': service})

    def call(self, model: str = 'm') -> api.Call:
        """Return a request for a model."""
        terms = api.CallerTerms(
            'c0ffee', 12.0, model, '', 500, 200, (), api.NO_EVENT
        )
        return api.Call(
            request_id='c0ffee',
            method='POST',
            target='/r/x',
            headers=(),
            body=b'',
            terms=terms,
            route=loopback.route(kind=routes_api.RouteKind.STREAMING),
            service='models',
            arrived_at=self.clock.now(),
            deadline=self.clock.now() + 12.0,
        )


class LoadingModelTest(_SchedulerCase):
    """Demand moves to a model that loads in 4 s; callers wait for 1.6 s."""

    async def test_refused_at_once(self) -> None:
        """A request that cannot wait for the load does not wait at all."""
        self.registry.update(entries.entry(), 0.0)
        ready_at = self.clock.now() + 4.0
        self.scheduler.update_loading({('models', 'm'): ready_at})
        call = self.call()
        wait_deadline = self.clock.now() + 1.6
        server = await self.scheduler.acquire(call, frozenset(), wait_deadline)
        self.assertIsNone(server)
        self.assertEqual(
            api.RefusalReason.MODEL_ABSENT, self.scheduler.refusal_reason(call)
        )
        self.assertEqual(4.0, self.scheduler.seconds_until_ready(call))

    async def test_loaded_on_another_server(self) -> None:
        """Requests use a loaded replica while another one is being loaded."""
        loaded = (entries.loaded_model('m'),)
        self.registry.update(entries.entry(models=loaded), 0.0)
        ready_at = self.clock.now() + 4.0
        self.scheduler.update_loading({('models', 'm'): ready_at})
        wait_deadline = self.clock.now() + 1.6
        server = await self.scheduler.acquire(
            self.call(), frozenset(), wait_deadline
        )
        self.assertIsNotNone(server)

    async def test_deferred_callers_count_as_demand(self) -> None:
        """Deferred callers count as waiting until they may retry."""
        call = self.call()
        self.scheduler.record_arrival(call)
        self.scheduler.defer(call, 4.0)
        self.assertEqual(1, self.scheduler.demand()['models', 'm'].waiting)
        self.clock.advance(4.1)
        self.assertEqual(0, self.scheduler.demand()['models', 'm'].waiting)


class UndeclaredModelTest(_SchedulerCase):
    """Requests for models that the configuration does not declare."""

    async def test_undeclared(self) -> None:
        """Undeclared names do not enter the demand."""
        self.assertTrue(self.scheduler.is_declared(self.call('m')))
        self.assertTrue(self.scheduler.is_declared(self.call('')))
        self.assertFalse(self.scheduler.is_declared(self.call('made-up')))
        self.assertEqual({}, self.scheduler.demand())


class PendingPrefillTest(_SchedulerCase):
    """An engine gets one unread prompt of an instance at a time."""

    async def test_next_request_after_first_byte(self) -> None:
        """A second request is sent once the first one's answer has started."""
        loaded = (entries.loaded_model('m'),)
        self.registry.update(entries.entry(models=loaded), 0.0)
        now = self.clock.now()
        first = await self.scheduler.acquire(self.call(), frozenset(), now)
        assert first is not None
        second = await self.scheduler.acquire(self.call(), frozenset(), now)
        self.assertIsNone(second)
        self.scheduler.on_answer_started(first)
        second = await self.scheduler.acquire(self.call(), frozenset(), now)
        self.assertIsNotNone(second)

    async def test_capacity_unchanged(self) -> None:
        """A pending prefill does not change a server's request capacity."""
        loaded = (entries.loaded_model('m'),)
        self.registry.update(entries.entry(models=loaded), 0.0)
        now = self.clock.now()
        server = await self.scheduler.acquire(self.call(), frozenset(), now)
        assert server is not None
        expected = _SPEC.slots + schedulers.ENGINE_QUEUE_DEPTH
        self.assertEqual(expected, self.scheduler.request_capacity(server))
