"""Tests of assigning servers to requests."""

from __future__ import annotations

import typing
import unittest

import anyio

from . import fakes
from ..fleet import entries
from . import loopback
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import api
from dogwoodquay.gateway import messages
from dogwoodquay.gateway import scheduler as schedulers
from dogwoodquay.platform import headers
from dogwoodquay.ratelimit import waits
from dogwoodquay.routes import api as routes_api

if typing.TYPE_CHECKING:
    from collections import abc

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
        self,
        service: str,
        model: str,
        adapter: str,
        deadline: float,
        version: str | None = None,
    ) -> str:
        return ''


class _SchedulerCase(unittest.IsolatedAsyncioTestCase):
    """A scheduler with engines and a manual clock."""

    def setUp(self) -> None:
        """Create a scheduler without servers."""
        self.clock = clocks.ManualClock()
        self.registry = registries.Registry()
        self.limits = fakes.make_limits(self.registry, self.clock)
        self.capacity = fakes.make_capacity(self.registry, self.clock)
        self.scheduler = schedulers.Scheduler(
            self.registry,
            'd1',
            self.clock,
            fakes.rng(),
            _NoFinder(),
            self.limits,
            self.capacity,
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


class PacedServiceTest(_SchedulerCase):
    """Servers of one plain service state their pace."""

    async def _acquire(self) -> str:
        call = self.call(model='')._replace(service='p')
        deadline = self.clock.now() + 1.0
        server = await self.scheduler.acquire(call, frozenset(), deadline)
        return server.entry.server_id if server else ''

    def _answer(self, server_id: str, load: bytes) -> None:
        terms = headers.answer_terms(200, ((b'Server-Load', load),))
        server = self.registry.servers[server_id]
        self.capacity.on_answer(server, terms)

    async def test_requests_are_reported(self) -> None:
        """Requests in flight at plain servers count if these are paced."""
        self.registry.update(entries.entry('a', service='p'), 0.0)
        await self._acquire()
        self._answer('a', b'1,0,4')
        self.assertEqual({}, self.scheduler.running())
        self._answer('a', b'1,0,4,100')
        self.assertEqual({('a', ''): 1}, self.scheduler.running())

    async def test_slow_server_is_avoided(self) -> None:
        """A server that works at 2.5 times the usual time gets nothing."""
        for server_id in ('a', 'b'):
            self.registry.update(entries.entry(server_id, service='p'), 0.0)
            self._answer(server_id, b'0,0,4,100')
        self.clock.advance(0.01)
        self._answer('a', b'0,0,4,250')
        chosen = [await self._acquire() for _ in range(3)]
        self.assertEqual(['b', 'b', 'b'], chosen)


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


class SoftwareVersionTest(_SchedulerCase):
    """Some requests may run at servers of one software version only."""

    def setUp(self) -> None:
        """Create a server of one version with the model."""
        super().setUp()
        self.update('s1', 'v1')

    def update(self, server_id: str, version: str, **changes: object) -> None:
        """Apply an entry of a server."""
        models = (entries.loaded_model('m'),)
        fields = {'version': version, 'models': models, **changes}
        entry = entries.entry(server_id, **fields)
        self.registry.update(entry, self.clock.now())

    async def acquire(self, version: str | None) -> str:
        """Return a request's server; the request waits for long."""
        deadline = self.clock.now() + 60.0
        with anyio.fail_after(10.0):
            server = await self.scheduler.acquire(
                self.call(), frozenset(), deadline, version
            )
        return server.entry.server_id if server else ''

    async def wait_with(
        self,
        versions: abc.Iterable[str | None],
        change: abc.Callable[[], None],
    ) -> list[tuple[str | None, str]]:
        """Return the servers of requests that wait until a change."""
        ended: list[tuple[str | None, str]] = []

        async def wait(version: str | None) -> None:
            ended.append((version, await self.acquire(version)))

        async with anyio.create_task_group() as group:
            for version in versions:
                group.start_soon(wait, version)
            await anyio.wait_all_tasks_blocked()
            change()
            self.scheduler.assign_waiting()
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()
        return ended

    async def test_servers_of_the_version(self) -> None:
        """A busy server of the version is preferred to idle others."""
        for number in range(2, 80):
            self.update(f's{number}', 'v2')
        self.assertEqual('s1', await self.acquire('v1'))
        self.assertNotEqual('s1', await self.acquire('v2'))
        self.assertNotEqual('s1', await self.acquire(None))

    async def test_version_gone(self) -> None:
        """A request for a version without servers does not wait."""
        self.assertEqual('', await self.acquire('v2'))
        self.assertEqual('', await self.acquire(''))
        successor = await self.scheduler.acquire_successor(
            self.call(), frozenset(), self.clock.now() + 9.0, 'v2'
        )
        self.assertIsNone(successor)
        self.update('s2', 'v2', state=fleet_api.ServerState.LEAVING)
        self.assertEqual('', await self.acquire('v2'))
        self.assertEqual(0, self.scheduler.waiting)

    async def test_first_version(self) -> None:
        """A new stream waits for its version while that has a server."""
        self.update('s2', 'v2')
        call = self.call()._replace(first_version='v1')
        deadline = self.clock.now() + 60.0
        taken = []
        for _ in range(2):
            server = await self.scheduler.acquire(call, frozenset(), deadline)
            assert server is not None
            taken.append(server.entry.server_id)
            self.scheduler.on_answer_started(server)
        self.assertEqual(['s1', 's1'], taken)

    async def test_first_version_ends_meanwhile(self) -> None:
        """What waits for its servers goes to others as they fail."""
        self.update('s2', 'v2')
        call = self.call()._replace(first_version='v1')
        deadline = self.clock.now() + 60.0
        await self.scheduler.acquire(call, frozenset(), deadline)
        got: list[str] = []

        async def wait() -> None:
            server = await self.scheduler.acquire(call, frozenset(), deadline)
            got.append(server.entry.server_id if server else '')

        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual([], got)
            self.registry.servers['s1'].failed(
                self.clock.now(), unreachable=True
            )
            self.scheduler.assign_waiting()
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()
        self.assertEqual(['s2'], got)

    async def test_last_server_leaves_meanwhile(self) -> None:
        """Requests that wait for the version end then, and no others."""
        # A server has one request of this instance without a first byte.
        self.assertEqual('s1', await self.acquire('v1'))
        self.update('s2', 'v2')
        self.assertEqual('s2', await self.acquire('v2'))
        ended = await self.wait_with(
            ('v1', None, 'v1', 'v2'),
            lambda: self.update('s1', 'v3', started_ms=2000),
        )
        self.assertEqual(
            [('v1', ''), ('v1', ''), (None, 's1')],
            sorted(ended, key=lambda item: item[1]),
        )

    async def test_last_server_removed_meanwhile(self) -> None:
        """A request for a successor ends as well."""
        self.assertEqual('s1', await self.acquire('v1'))
        ended = []

        async def wait() -> None:
            ended.append(
                await self.scheduler.acquire_successor(
                    self.call(),
                    frozenset({'s1'}),
                    self.clock.now() + 9.0,
                    'v1',
                )
            )

        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.wait_all_tasks_blocked()
            self.update('s2', 'v2')
            self.scheduler.assign_waiting()
            await anyio.wait_all_tasks_blocked()
            self.assertEqual([], ended)
            self.registry.remove('s1', self.clock.now())
            self.scheduler.assign_waiting()
        self.assertEqual([None], ended)

    async def test_successor(self) -> None:
        """A successor has the version of the request."""
        self.update('s2', 'v2')
        self.update('s3', 'v1')
        server = await self.scheduler.acquire_successor(
            self.call(), frozenset({'s1'}), self.clock.now() + 9.0, 'v1'
        )
        assert server is not None
        self.assertEqual('s3', server.entry.server_id)

    async def test_model_at_another_version(self) -> None:
        """A request waits for its model at the version, and is demand."""
        self.update('s2', 'v2', models=())
        self.scheduler.record_arrival(self.call())
        waiting: list[object] = []

        def load() -> None:
            waiting.append(self.scheduler.demand()['models', 'm'].waiting)
            waiting.append(self.scheduler.version_demand())
            self.update('s2', 'v2', report_number=2)

        ended = await self.wait_with(['v2'], load)
        self.assertEqual([('v2', 's2')], ended)
        self.assertEqual([1, {('models', 'm', 'v2'): 1}], waiting)
        self.assertEqual({}, self.scheduler.version_demand())

    def test_refusal_reasons(self) -> None:
        """A refusal tells a missing version from a missing model."""
        self.update('s2', 'v2', models=())
        reasons = [
            self.scheduler.refusal_reason(self.call(), version)
            for version in (None, 'v1', 'v2', 'v3', '')
        ]
        expected = [
            api.RefusalReason.OVERLOADED,
            api.RefusalReason.OVERLOADED,
            api.RefusalReason.MODEL_ABSENT,
            api.RefusalReason.VERSION_GONE,
            api.RefusalReason.VERSION_GONE,
        ]
        self.assertEqual(expected, reasons)
        self.registry.replace((), self.clock.now())
        self.assertIs(
            api.RefusalReason.NO_SERVER,
            self.scheduler.refusal_reason(self.call()),
        )
        self.assertIs(
            api.RefusalReason.VERSION_GONE,
            self.scheduler.refusal_reason(self.call(), 'v1'),
        )
        self.scheduler.close()
        self.assertIs(
            api.RefusalReason.STOPPING,
            self.scheduler.refusal_reason(self.call(), 'v1'),
        )


class LimitedServersTest(_SchedulerCase):
    """Servers limit the requests per second that they take."""

    def setUp(self) -> None:
        """Create two servers of a plain service, the first one limited."""
        super().setUp()
        self.name_limit('s1', 4.0)
        self.registry.update(entries.entry('s2'), self.clock.now())
        self.scheduler.configure({})

    def name_limit(self, server_id: str, rate: float) -> None:
        """List a server and apply an answer with its limit."""
        entry = entries.entry(server_id)
        self.registry.update(entry, self.clock.now())
        terms = headers.answer_terms(
            200, ((b'server-limit', f'{rate}'.encode()),)
        )
        self.limits.on_answer(entry, terms, self.clock.now())

    def permit(self, count: int, waiting: int = 0) -> None:
        """Apply an owner's view with permits for the first server."""
        view = messages.FleetView(
            'other', (), (), 2, 1,
            grants=(messages.GrantRow('s1', 1000, count, ((1, waiting),)),),
        )  # fmt: skip
        self.limits.on_view(view, self.clock.now(), False)

    async def acquire(self, seconds: float = 0.0) -> str:
        """Return the server of a request that waits for some time."""
        call = self.call('')
        server = await self.scheduler.acquire(
            call, frozenset(), self.clock.now() + seconds
        )
        return server.entry.server_id if server else ''

    async def test_others_take_the_requests(self) -> None:
        """The limited server is used when the others are full."""
        self.permit(2)
        got = [await self.acquire() for _ in range(10)]
        self.assertEqual(['s2'] * 6 + ['s1'] * 2 + [''] * 2, got)

    async def test_ejected_server_needs_a_permit(self) -> None:
        """A limited server is not the last resort."""
        self.registry.withdraw('s2', self.clock.now())
        server = self.registry.get('s1')
        assert server is not None
        for _ in range(3):
            server.failed(self.clock.now())
        self.assertEqual('', await self.acquire())
        self.permit(1)
        self.assertEqual('s1', await self.acquire())

    async def test_waiting_requests_share_permits(self) -> None:
        """One permit serves one of several waiting requests."""
        self.registry.withdraw('s2', self.clock.now())
        wanting: list[int] = []
        self.scheduler.on_wanting(lambda: wanting.append(1))
        got: list[str] = []

        async def wait() -> None:
            got.append(await self.acquire(0.9))

        async with anyio.create_task_group() as group:
            for _ in range(2):
                group.start_soon(wait)
            await anyio.wait_all_tasks_blocked()
            wants = self.scheduler.permits_wanted()
            self.assertEqual([2], [want.permits for want in wants])
            self.permit(1)
            self.scheduler.assign_waiting()
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(['s1'], got)
            self.clock.advance(1.0)
            self.scheduler.assign_waiting()
        self.assertEqual(['s1', ''], got)
        self.assertEqual([1, 1], wanting)

    async def test_refused_at_once(self) -> None:
        """A request that no permit can reach in time does not wait."""
        self.registry.withdraw('s2', self.clock.now())
        self.permit(0, waiting=400)
        with anyio.fail_after(10.0):
            self.assertEqual('', await self.acquire(60.0))
        call = self.call('')
        self.assertIs(
            api.RefusalReason.RATE_LIMITED, self.scheduler.refusal_reason(call)
        )
        seconds = self.scheduler.seconds_until_permit(call, None)
        self.assertEqual(10.0, seconds)

    async def test_without_an_owner(self) -> None:
        """Nobody gives permits: a request is refused, to come back soon."""
        self.registry.withdraw('s2', self.clock.now())
        self.permit(0)
        self.clock.advance(1.1)
        with anyio.fail_after(10.0):
            self.assertEqual('', await self.acquire(60.0))
        seconds = self.scheduler.seconds_until_permit(self.call(''), None)
        self.assertEqual(waits.ALONE_RETRY_SECONDS, seconds)

    async def test_adapter_on_the_limited_server_alone(self) -> None:
        """A request waits for its adapter on a server without a limit."""
        loaded = (
            entries.loaded_model('m', 'a1'),
            entries.loaded_model('m'),
        )
        for name, model in zip(('s1', 's2'), loaded, strict=True):
            entry = entries.entry(name, models=(model,), report_number=2)
            self.registry.update(entry, self.clock.now())
        self.permit(0, waiting=400)
        call = self.call('m')
        call = call._replace(terms=call.terms._replace(adapter='a1'))
        got: list[str] = []

        async def wait() -> None:
            server = await self.scheduler.acquire(
                call, frozenset(), self.clock.now() + 9.0
            )
            got.append(server.entry.server_id if server else '')

        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual([], got)
            second = self.registry.get('s2')
            assert second is not None
            second.update_loaded({'m': frozenset({'a1'})}, self.clock.now())
            self.scheduler.assign_waiting()
        self.assertEqual(['s2'], got)

    async def test_trial(self) -> None:
        """A limit that was heard long ago is asked once by a permit."""
        self.assertEqual([], self.scheduler.permits_wanted())
        self.clock.advance(2.1)
        self.assertEqual([], self.scheduler.permits_wanted())
        self.scheduler.record_arrival(self.call(''))
        wants = self.scheduler.permits_wanted()
        self.assertEqual([1], [want.permits for want in wants])
        self.permit(1)
        got = {await self.acquire() for _ in range(3)}
        self.assertEqual({'s1', 's2'}, got)

    async def test_unlimited_again(self) -> None:
        """After the end of the limit, load decides."""
        self.clock.advance(1.0)
        entry = entries.entry('s1')
        terms = headers.answer_terms(200, ((b'response-stamp', b'x'),))
        self.limits.on_answer(entry, terms, self.clock.now())
        got = [await self.acquire() for _ in range(4)]
        self.assertEqual(['s1', 's1', 's2', 's2'], sorted(got))
