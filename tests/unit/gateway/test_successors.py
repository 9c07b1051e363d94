"""Tests of searches for other servers than silent ones, at their limits."""

from __future__ import annotations

import asyncio
import typing
import unittest
from unittest import mock

import anyio

from . import fakes
from . import loopback
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.fleet import choice
from dogwoodquay.fleet import registry as registries
from dogwoodquay.fleet import server as servers
from dogwoodquay.gateway import api
from dogwoodquay.gateway import attempt as attempts
from dogwoodquay.gateway import forwarder as forwarders
from dogwoodquay.gateway import outcomes
from dogwoodquay.gateway import resumption
from dogwoodquay.gateway import scheduler as schedulers
from dogwoodquay.gateway import silence
from dogwoodquay.gateway import trace
from dogwoodquay.retry import window
from dogwoodquay.retry import windowed
from dogwoodquay.routes import api as routes_api

_SPEC = routes_api.EngineSpec(
    slots=64,
    cache_tokens=1000,
    megabytes=100.0,
    max_adapters=2,
    loads_per_second=1.0,
    models={'m': routes_api.ModelSpec('m', 50.0, 4.0, 0.5, 0.8, 2, 1.0)},
)


def _entry(name: str, *adapters: str) -> fleet_api.ServerEntry:
    return fleet_api.ServerEntry(
        server_id=name,
        service='s',
        address='127.0.0.1',
        port=1,
        failure_domain='d1',
        state=fleet_api.ServerState.LIVE,
        slots=64,
        started_ms=1,
        report_number=1,
        models=(fleet_api.LoadedModel('m', 1, frozenset(adapters)),),
    )


class _Finder:
    """Answers with one server and counts the searches."""

    def __init__(self, server_id: str) -> None:
        self.server_id = server_id
        self.searches = 0

    async def find_adapter(
        self,
        service: str,
        model: str,
        adapter: str,
        deadline: float,
        version: str | None = None,
    ) -> str:
        self.searches += 1
        await asyncio.sleep(0)
        return self.server_id


def _call(seconds: float, adapter: str = '', service: str = 's') -> api.Call:
    now = clocks.SteadyClock().now()
    terms = api.CallerTerms(
        'c0ffee', seconds, 'm', adapter, 500, 200, (), api.NO_EVENT
    )
    return api.Call(
        request_id='c0ffee',
        method='POST',
        target='/r/x',
        headers=(),
        body=b'',
        terms=terms,
        route=loopback.route(
            kind=routes_api.RouteKind.STREAMING, resumable=True
        ),
        service=service,
        arrived_at=now,
        deadline=now + seconds,
    )


def _scheduler(
    finder: schedulers.AdapterFinder, *entries: fleet_api.ServerEntry
) -> tuple[schedulers.Scheduler, registries.Registry]:
    registry = registries.Registry()
    for entry in entries:
        registry.update(entry, 0.0)
    scheduler = schedulers.Scheduler(
        registry,
        'd1',
        clocks.SteadyClock(),
        fakes.rng(),
        finder,
        fakes.make_limits(registry, clocks.SteadyClock()),
        fakes.make_capacity(registry, clocks.SteadyClock()),
    )
    service = routes_api.Service('s', '/healthz', 100, _SPEC)
    scheduler.configure({'s': service, 't': service})
    return scheduler, registry


async def _ignore() -> None:
    pass


def _attempt(
    call: api.Call,
    server: typing.Any,
    budget: window.RetryWindow | None = None,
) -> attempts.Attempt:
    retries = windowed.WindowedRetries(
        's', 2, budget or window.RetryWindow(0.2, 50, 10.0), fakes.rng()
    )
    return attempts.Attempt(
        call,
        server,
        retries,
        frozenset(),
        1,
        None,
        0.0,
        0.7,
        clocks.SteadyClock().now(),
        _ignore,
    )


class SecuredServerTest(unittest.IsolatedAsyncioTestCase):
    """A server that was secured may have changed when it is needed."""

    async def test_secured_server_leaves(self) -> None:
        """A server that has left meanwhile gets no request."""
        _, registry = _scheduler(_Finder(''), _entry('a'), _entry('b'))
        secured = registry.get('b')
        assert secured is not None
        attempt = _attempt(_call(5.0), registry.get('a'))
        attempt.hand_over(secured)
        self.assertTrue(attempt.successor_fits)
        registry.remove('b', 1.0)
        self.assertFalse(attempt.successor_fits)


class AdapterTest(unittest.IsolatedAsyncioTestCase):
    """A stream of an adapter that only its silent server has loaded."""

    async def test_searches_of_one_silence(self) -> None:
        """The owner is asked at intervals, not without a pause."""
        finder = _Finder('u1')
        scheduler, _ = _scheduler(finder, _entry('u1', 'a1'), _entry('u2'))
        async with anyio.create_task_group() as group:
            group.start_soon(scheduler.run)
            await asyncio.sleep(0.05)
            with anyio.move_on_after(1.0):
                await scheduler.acquire_successor(
                    _call(5.0, 'a1'),
                    frozenset({'u1'}),
                    clocks.SteadyClock().now() + 5.0,
                )
            group.cancel_scope.cancel()
        # One for each SEARCH_RETRY_SECONDS of 0.05.
        self.assertLessEqual(finder.searches, 25)


class LateSuccessorTest(unittest.IsolatedAsyncioTestCase):
    """Capacity that becomes free shortly before the deadline."""

    async def test_plain_request(self) -> None:
        """An answer that is due before the deadline is not given up."""

        def script(seconds: float) -> loopback.Script:
            async def run(
                request: loopback.Received, writer: asyncio.StreamWriter
            ) -> bool:
                await asyncio.sleep(seconds)
                writer.write(
                    b'HTTP/1.1 200 OK\r\nAttempt-Id: c0ffee\r\n'
                    b'Response-Stamp: 1\r\nContent-Length: 2\r\n\r\nab'
                )
                return True

            return run

        upstreams = [
            loopback.Upstream('silent', script(1.8)),
            loopback.Upstream('full', script(0.4)),
        ]
        async with loopback.Site(*upstreams).running() as site:
            site.configure(loopback.route())
            other = site.registry.get('full')
            assert other is not None
            for _ in range(6):
                other.begin()

            async def free() -> None:
                await asyncio.sleep(1.7)
                other.end(started=False)
                site.scheduler.assign_waiting()

            task = asyncio.ensure_future(free())
            answer = await site.call()
            await task
        self.assertEqual((200, b'ab'), (answer.status, answer.body))


class HealthTest(unittest.IsolatedAsyncioTestCase):
    """Health of a sound server with slow answers."""

    def setUp(self) -> None:
        self.lines = fakes.log_lines(self)

    async def test_slow_answers(self) -> None:
        """A server that answers each request in time is not ejected."""

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            await asyncio.sleep(1.2)
            writer.write(
                b'HTTP/1.1 200 OK\r\nAttempt-Id: c0ffee\r\n'
                b'Response-Stamp: 1\r\nContent-Length: 2\r\n\r\nab'
            )
            return True

        upstream = loopback.Upstream('u1', script)
        answers: list[loopback.Answer] = []
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(max_attempts=1))

            async def call() -> None:
                answers.append(await site.call())

            async with anyio.create_task_group() as group:
                for _ in range(4):
                    group.start_soon(call)
                await asyncio.sleep(1.15)
                (server,) = site.registry.servers.values()
                now = clocks.SteadyClock().now()
                ejected = server.ejected(now)
        self.assertEqual([200] * 4, [item.status for item in answers])
        self.assertFalse(ejected)


class HandOverRaceTest(unittest.IsolatedAsyncioTestCase):
    """Events of a server in the moment of a hand-over."""

    async def test_broken_at_hand_over(self) -> None:
        """The secured server is used if the silent one breaks off then."""
        scheduler, registry = _scheduler(
            _Finder(''), _entry('u1'), _entry('u2')
        )
        runs: list[str] = []

        class _Exchange:
            async def run(
                self,
                call: api.Call,
                server: typing.Any,
                relay: typing.Any,
                progress: attempts.Attempt,
            ) -> outcomes.Outcome:
                runs.append(server.entry.server_id)
                if len(runs) > 1:
                    return outcomes.Streamed()
                future: asyncio.Future[outcomes.Outcome] = (
                    asyncio.get_running_loop().create_future()
                )

                def break_off() -> None:
                    future.set_result(outcomes.Broken('connection'))
                    successor = scheduler._choose(
                        scheduler._need(call, progress.avoid, None)
                    )
                    assert successor is not None
                    successor.begin()
                    scheduler._counts.begin(call, successor)
                    assert progress.retries.take_move(
                        clocks.SteadyClock().now()
                    )
                    progress.hand_over(successor)

                asyncio.get_running_loop().call_later(0.05, break_off)
                return await future

        clock = clocks.SteadyClock()
        site = loopback.Site()
        forwarder = forwarders.Forwarder(
            scheduler,
            typing.cast('typing.Any', _Exchange()),
            window.RetryWindow(0.2, 50, 10.0),
            clock,
            fakes.rng(),
            site.app._context.metrics,
            silence.SilenceWatch(scheduler, clock),
            resumption.StreamVersions(
                fakes.FakeOrigins(),
                registry,
                fakes.FakeServerList(),
                fakes.FakeEarlierList(),
                clock,
            ),
            fakes.make_crashes(clock),
            fakes.make_tenancy(),
            fakes.make_stalls(registry, clock),
        )

        class _Relay:
            started = True
            trace = trace.RequestTrace(1)

            def on_sent(self) -> None:
                """Do nothing."""

        result = await forwarder.run(
            _call(5.0), typing.cast('typing.Any', _Relay())
        )
        self.assertEqual(outcomes.Streamed(), result)
        self.assertEqual(2, len(runs))

    async def test_first_events_at_hand_over(self) -> None:
        """A server of another version is no successor any more."""
        scheduler, registry = _scheduler(
            _Finder(''),
            _entry('u1')._replace(version='v1'),
            _entry('u2')._replace(version='v2'),
            _entry('u3')._replace(version='v1'),
            _entry('u4')._replace(version='v2'),
        )
        versions: list[str] = []

        class _Exchange:
            async def run(
                self,
                call: api.Call,
                server: typing.Any,
                relay: typing.Any,
                progress: attempts.Attempt,
            ) -> outcomes.Outcome:
                versions.append(server.entry.version)
                if len(versions) > 1:
                    return outcomes.Streamed()
                (other,) = {'v1', 'v2'} - set(versions)
                successor = scheduler._choose(
                    scheduler._need(call, progress.avoid, other)
                )
                assert successor is not None
                successor.begin()
                scheduler._counts.begin(call, successor)
                assert progress.retries.take_move(clocks.SteadyClock().now())
                progress.hand_over(successor)
                await progress.on_part()
                return outcomes.Broken('connection')

        clock = clocks.SteadyClock()
        forwarder = forwarders.Forwarder(
            scheduler,
            typing.cast('typing.Any', _Exchange()),
            window.RetryWindow(0.2, 50, 10.0),
            clock,
            fakes.rng(),
            loopback.Site().app._context.metrics,
            silence.SilenceWatch(scheduler, clock),
            resumption.StreamVersions(
                fakes.FakeOrigins(),
                registry,
                fakes.FakeServerList(),
                fakes.FakeEarlierList(),
                clock,
            ),
            fakes.make_crashes(clock),
            fakes.make_tenancy(),
            fakes.make_stalls(registry, clock),
        )

        class _Relay:
            started = False
            trace = trace.RequestTrace(1)

            def on_sent(self) -> None:
                """Do nothing."""

        result = await forwarder.run(
            _call(5.0), typing.cast('typing.Any', _Relay())
        )
        self.assertEqual(outcomes.Streamed(), result)
        self.assertEqual(2, len(versions))
        self.assertEqual(1, len(set(versions)))
        for server in registry.servers.values():
            self.assertEqual(0, server.in_flight)

    async def test_bytes_as_a_server_is_assigned(self) -> None:
        """A search that ends without a move uses up no retry."""
        scheduler, registry = _scheduler(
            _Finder(''), _entry('u1'), _entry('u2')
        )
        other = registry.get('u2')
        server = registry.get('u1')
        assert other is not None and server is not None
        other.begin()
        watch = silence.SilenceWatch(scheduler, clocks.SteadyClock())
        async with anyio.create_task_group() as group:
            group.start_soon(watch.run)
            attempt = _attempt(_call(5.0), server)
            watch.add(attempt)
            while not scheduler.waiting:
                await asyncio.sleep(0.01)
            # The place becomes free and the server goes on.
            other.end(started=False)
            scheduler.assign_waiting()
            attempt.on_received()
            await asyncio.sleep(0.05)
            group.cancel_scope.cancel()
        self.assertIsNone(attempt.take_successor())
        self.assertEqual(0, other.in_flight)
        self.assertTrue(attempt.retry_allowed)


class ScaleTest(unittest.IsolatedAsyncioTestCase):
    """Many searches at the same time."""

    async def test_many_searches(self) -> None:
        """Their number adds nothing to the choices for other requests."""
        choices = [await self._choices(count) for count in (60, 600, 2000)]
        self.assertEqual(1, len(set(choices)))

    async def _choices(self, count: int) -> int:
        """Return how often a server is chosen for one other request."""
        scheduler, registry = _scheduler(
            _Finder(''), *(_entry(f'u{number}') for number in range(20))
        )
        for server in registry.servers.values():
            server.begin()
        free = _entry('free')._replace(service='t')
        registry.update(free, 0.0)
        deadline = clocks.SteadyClock().now() + 60.0
        chosen = 0
        choose = choice.choose

        def count_choice(*arguments: typing.Any) -> servers.Server | None:
            nonlocal chosen
            chosen += 1
            return choose(*arguments)

        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(
                    scheduler.acquire_successor,
                    _call(60.0),
                    frozenset({f'u{number % 20}'}),
                    deadline,
                )
            while scheduler.waiting < count:
                await asyncio.sleep(0.001)
            with mock.patch.object(choice, 'choose', count_choice):
                call = _call(60.0, service='t')
                got = await scheduler.acquire(call, frozenset(), deadline)
                assert got is not None
                scheduler.on_answer_started(got)
                scheduler.release(call, got, True)
            group.cancel_scope.cancel()
        return chosen


def _events(first: int = 1, last: int = 4) -> list[bytes]:
    return [
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(first, last + 1)
    ]


def _head() -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\nAttempt-Id: c0ffee\r\nResponse-Stamp: 3e1b\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )


class SuccessorTest(unittest.IsolatedAsyncioTestCase):
    """Successors that do not take the request."""

    def setUp(self) -> None:
        self.lines = fakes.log_lines(self)

    async def _stream(
        self, refusal: bytes, extra_retries: int
    ) -> tuple[loopback.Answer, int]:
        """Stream from a server that pauses; the other one refuses."""
        runs = 0

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            nonlocal runs
            runs += 1
            if runs == 2:
                writer.write(refusal)
                return True
            first = int(request.headers.get('last-event-id', '0')) + 1
            writer.write(_head())
            for number, event in enumerate(_events(first)):
                if runs == 1 and number == 2:
                    await asyncio.sleep(1.2)
                writer.write(loopback.chunked(event, end=False))
            writer.write(loopback.chunked())
            return True

        upstreams = [loopback.Upstream(name, script) for name in ('a', 'b')]
        site = loopback.Site(*upstreams, extra_retries=extra_retries)
        async with site.running():
            site.configure(
                loopback.route(
                    kind=routes_api.RouteKind.STREAMING, resumable=True
                )
            )
            answer = await site.call('POST', body=b'x')
        return answer, runs

    async def test_full_server_and_spent_budget(self) -> None:
        """A full server refuses the request that was moved to it."""
        answer, _ = await self._stream(
            b'HTTP/1.1 503 Full\r\nAttempt-Id: c0ffee\r\nNot-Executed: 1\r\n'
            b'Content-Length: 0\r\n\r\n',
            extra_retries=1,
        )
        self.assertEqual((200, True), (answer.status, answer.whole))
        self.assertEqual(b''.join(_events()), answer.body)

    async def test_full_server(self) -> None:
        """The same with retries left in the budget."""
        answer, _ = await self._stream(
            b'HTTP/1.1 503 Full\r\nAttempt-Id: c0ffee\r\nNot-Executed: 1\r\n'
            b'Content-Length: 0\r\n\r\n',
            extra_retries=50,
        )
        self.assertEqual((200, True), (answer.status, answer.whole))
        self.assertEqual(b''.join(_events()), answer.body)

    async def test_error_of_the_successor(self) -> None:
        """The successor answers with an error of its own."""
        answer, _ = await self._stream(
            b'HTTP/1.1 400 Bad\r\nAttempt-Id: c0ffee\r\nResponse-Stamp: 1\r\n'
            b'Content-Length: 0\r\n\r\n',
            extra_retries=50,
        )
        failed = [
            line
            for line in self.lines
            if line['message_type'] == 'request:connection_lost'
        ]
        self.assertEqual([], failed)


class SilentTogetherTest(unittest.IsolatedAsyncioTestCase):
    """Two servers that fall silent at the same time."""

    async def test_no_moves_between_silent_servers(self) -> None:
        """A server that is silent itself is no successor."""
        count = 10
        runs: list[str] = []
        begun = anyio.Event()
        going = anyio.Event()

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            runs.append(request.line)
            if len(runs) == count:
                begun.set()
            writer.write(_head())
            first, *rest = _events()
            writer.write(loopback.chunked(first, end=False))
            await going.wait()
            for event in rest:
                writer.write(loopback.chunked(event, end=False))
            writer.write(loopback.chunked())
            return True

        upstreams = [loopback.Upstream(name, script) for name in ('a', 'b')]
        answers: list[loopback.Answer] = []
        async with loopback.Site(*upstreams).running() as site:
            for upstream in upstreams:
                entry = upstream.entry()._replace(slots=100, report_number=2)
                site.registry.update(entry, 0.0)
            site.configure(
                loopback.route(
                    kind=routes_api.RouteKind.STREAMING,
                    resumable=True,
                    timeout_seconds=10.0,
                )
            )

            async def call() -> None:
                answers.append(
                    await site.raw(
                        b'POST /r/x HTTP/1.1\r\nHost: a.example\r\n'
                        b'Attempt-Id: c0ffee\r\nDeadline-Ms: 9000\r\n'
                        b'Content-Length: 1\r\n\r\nx'
                    )
                )

            async with anyio.create_task_group() as group:
                for _ in range(count):
                    group.start_soon(call)
                await begun.wait()
                await anyio.sleep(1.6)
                going.set()
        self.assertEqual([True] * count, [item.whole for item in answers])
        self.assertEqual(count, len(runs))


class RestartTest(unittest.IsolatedAsyncioTestCase):
    """A restart of the watch after a failed search."""

    async def test_searches_begin_again(self) -> None:
        """The failure of one search does not end the others for good."""
        scheduler, registry = _scheduler(_Finder(''), _entry('u1'))
        server = registry.get('u1')
        assert server is not None
        watch = silence.SilenceWatch(scheduler, clocks.SteadyClock())
        searched: list[str] = []
        first = True

        async def search(
            call: api.Call,
            avoid: frozenset[str],
            deadline: float,
            version: str | None,
        ) -> None:
            nonlocal first
            searched.append(call.service)
            if call.service == 'bad' and first:
                first = False
                await asyncio.sleep(0.05)
                raise KeyError(call.service)
            await asyncio.sleep(10.0)

        scheduler.acquire_successor = search  # type: ignore
        for service in ('good', 'bad'):
            watch.add(_attempt(_call(5.0, service=service), server))
        with self.assertRaises(BaseExceptionGroup):
            await watch.run()
        searched.clear()
        with anyio.move_on_after(0.3):
            await watch.run()
        self.assertEqual({'good', 'bad'}, set(searched))


class ExpediteTest(unittest.IsolatedAsyncioTestCase):
    """A server that answers nobody is given up before its time."""

    async def test_without_bytes(self) -> None:
        """A request without an answer looks for a successor at once."""
        attempt = _attempt(_call(5.0), servers.Server(_entry('a')))
        attempt.begin_search(anyio.CancelScope())
        attempt.search_ended()
        self.assertFalse(attempt.is_overdue(1e9))
        attempt.expedite(1e9)
        self.assertTrue(attempt.is_overdue(1e9))

    async def test_with_bytes(self) -> None:
        """An answer that has begun is judged by its own pauses."""
        attempt = _attempt(_call(5.0), servers.Server(_entry('a')))
        attempt.on_received()
        attempt.expedite(1e9)
        self.assertFalse(attempt.is_overdue(1e9))
