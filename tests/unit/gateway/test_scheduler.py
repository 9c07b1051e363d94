"""Tests of finding servers for requests."""

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

    async def find(
        self, service: str, model: str, adapter: str, deadline: float
    ) -> str:
        return ''


class _SchedulerCase(unittest.IsolatedAsyncioTestCase):
    """A scheduler before engines, in a time of its own."""

    def setUp(self) -> None:
        """Make a scheduler without servers."""
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


class ComingModelTest(_SchedulerCase):
    """Demand moves to a model whose load takes 4 s; callers stay 1.6 s."""

    async def test_refused_at_once(self) -> None:
        """Who cannot wait for the load does not wait at all."""
        self.registry.update(entries.entry(), 0.0)
        ready_at = self.clock.now() + 4.0
        self.scheduler.note_coming({('models', 'm'): ready_at})
        call = self.call()
        give_up_at = self.clock.now() + 1.6
        server = await self.scheduler.acquire(call, frozenset(), give_up_at)
        self.assertIsNone(server)
        self.assertEqual(
            api.RefusalReason.MODEL_ABSENT, self.scheduler.why_none(call)
        )
        self.assertEqual(4.0, self.scheduler.ready_in(call))

    async def test_held_by_another_server(self) -> None:
        """A further copy on its way keeps nobody from the first one."""
        held = (entries.loaded_model('m'),)
        self.registry.update(entries.entry(models=held), 0.0)
        ready_at = self.clock.now() + 4.0
        self.scheduler.note_coming({('models', 'm'): ready_at})
        give_up_at = self.clock.now() + 1.6
        server = await self.scheduler.acquire(
            self.call(), frozenset(), give_up_at
        )
        self.assertIsNotNone(server)

    async def test_callers_sent_away_still_want_it(self) -> None:
        """They count as waiting until they may come back."""
        call = self.call()
        self.scheduler.arrived(call)
        self.scheduler.sent_away(call, 4.0)
        self.assertEqual(1, self.scheduler.loads()['models', 'm'].waiting)
        self.clock.advance(4.1)
        self.assertEqual(0, self.scheduler.loads()['models', 'm'].waiting)


class UndeclaredModelTest(_SchedulerCase):
    """A model that no configuration knows is told from one to wait for."""

    async def test_undeclared(self) -> None:
        """Names that callers make up leave no trace."""
        self.assertTrue(self.scheduler.declares(self.call('m')))
        self.assertTrue(self.scheduler.declares(self.call('')))
        self.assertFalse(self.scheduler.declares(self.call('made-up')))
        self.assertEqual({}, self.scheduler.loads())


class UnreadPromptTest(_SchedulerCase):
    """An engine gets one prompt of an instance at a time."""

    async def test_next_after_the_start(self) -> None:
        """A second request goes once the first one's answer has begun."""
        held = (entries.loaded_model('m'),)
        self.registry.update(entries.entry(models=held), 0.0)
        now = self.clock.now()
        first = await self.scheduler.acquire(self.call(), frozenset(), now)
        assert first is not None
        again = await self.scheduler.acquire(self.call(), frozenset(), now)
        self.assertIsNone(again)
        self.scheduler.started(first)
        again = await self.scheduler.acquire(self.call(), frozenset(), now)
        self.assertIsNotNone(again)

    async def test_places_stay(self) -> None:
        """How full a server may get says nothing of its prompts."""
        held = (entries.loaded_model('m'),)
        self.registry.update(entries.entry(models=held), 0.0)
        now = self.clock.now()
        server = await self.scheduler.acquire(self.call(), frozenset(), now)
        assert server is not None
        expected = _SPEC.slots + schedulers.ENGINE_AHEAD
        self.assertEqual(expected, self.scheduler.places(server))
