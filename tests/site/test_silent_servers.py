"""End-to-end tests of answers whose servers fall silent and go on."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
import typing
import unittest

from . import processes
from . import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 120.0

_SEED: typing.Final = 22
_CONFIGURATION: typing.Final = 'keyed.op'
_ROUTE_TIMEOUT_SECONDS: typing.Final = 5.0
_SLOTS: typing.Final = 64
# A caller abandons these streams after 2 s without an event.
_STREAM: typing.Final = {
    'Type': 'streaming',
    'TargetLatencyMs': 250,
    'GapAimMs': 150,
}
_EVENTS: typing.Final = 4
_EVENT_SECONDS: typing.Final = 0.01
# Refusals that say that the request did not run.
_NOT_RUN: typing.Final = frozenset({408, 421, 429, 503})
_GATEWAY_TIMEOUT: typing.Final = 504
# When the configuration changes, after the requests were sent.
_CHANGE_SECONDS: typing.Final = 0.3
# Many requests of each kind at servers that fall silent together.
_MANY: typing.Final = 24
_MANY_EVENTS: typing.Final = 20
_MANY_EVENT_SECONDS: typing.Final = 0.05
_MANY_SILENT_SECONDS: typing.Final = 1.2
_CHANGES_OF_MANY: typing.Final = ('none', 'shorter idle limit')
# Second requests are sent within this time around the end of the idle limit.
_IDLE_MS: typing.Final = 800
_LONG_IDLE_MS: typing.Final = 60_000
_IDLE_CONNECTIONS: typing.Final = 80
_IDLE_SPREAD: typing.Final = 0.1
_SETTLE_SECONDS: typing.Final = 0.2


class _Case(typing.NamedTuple):
    """A kind of request and the silence that it meets."""

    prefix: str
    max_attempts: int
    repeatable: bool
    model: str
    silence: servers.Silence | None
    deadline_seconds: float = _ROUTE_TIMEOUT_SECONDS
    events: int = _EVENTS


class _Outcome(typing.NamedTuple):
    """What the caller of a request got; ``problem`` is empty if it is fine."""

    change: str
    case: _Case
    answered: bool
    problem: str


# The services for plain requests and for streams, with their numbers of
# servers. A stream without a first event holds up others at its server.
_DESKS: typing.Final = {'': 1, '.pair': 2}
_STREAM_ROUTES: typing.Final = {'resumable-1': 1, 'resumable-2': 2, 'fixed': 2}
_EARLY: typing.Final = {
    f'.{name}.{number}{suffix}': count
    for name in _STREAM_ROUTES
    for number in range(2)
    for suffix, count in _DESKS.items()
}
_ENGINES: typing.Final = _DESKS | _EARLY


def _plain_routes(suffix: str) -> list[dict[str, object]]:
    kinds = {
        'plain-1': ('idempotent', 1),
        'plain-2': ('idempotent', 2),
        'unsafe': ('non_idempotent', 2),
    }
    return [
        processes.route(
            f'/{name}{suffix}/',
            f'desk{suffix}',
            Type=kind,
            MaxAttempts=attempts,
        )
        for name, (kind, attempts) in kinds.items()
    ]


def _stream_routes(suffix: str) -> list[dict[str, object]]:
    return [
        processes.route(
            f'/{name}{suffix}/',
            f'engines{suffix}',
            Resumable=name != 'fixed',
            MaxAttempts=attempts,
            **_STREAM,
        )
        for name, attempts in _STREAM_ROUTES.items()
    ]


def _configuration(version: int) -> dict[str, typing.Any]:
    """Return a configuration for one server and for two of each kind."""
    content = typing.cast('dict[str, typing.Any]', processes.manifest(version))
    desk, engines = content['Services']
    engines['Engine'] |= {'Slots': _SLOTS, 'KvCapacity': 100_000}
    content['Services'] = [
        *(desk | {'Name': f'desk{suffix}'} for suffix in _DESKS),
        *(engines | {'Name': f'engines{suffix}'} for suffix in _ENGINES),
    ]
    routes = [route for suffix in _DESKS for route in _plain_routes(suffix)]
    routes += [
        route for suffix in _ENGINES for route in _stream_routes(suffix)
    ]
    content['Routes'] = [*routes, processes.plain_route('/other/')]
    return content


def _other_service(service: str) -> str:
    """Return another service of the same kind."""
    kind, dot, rest = service.partition('.')
    suffixes = list(_DESKS if kind == 'desk' else _ENGINES)
    return kind + suffixes[suffixes.index(dot + rest) - 1]


def _set_idle_timeout(content: dict[str, typing.Any], ms: int) -> None:
    content['Limits'] = {'IdleTimeoutMs': ms}


def _split(content: dict[str, typing.Any]) -> None:
    for route in content['Routes']:
        route['WeightedBackends'] = [
            {'Service': route['Service'], 'Weight': 0.5},
            {'Service': _other_service(route['Service']), 'Weight': 0.5},
        ]


def _move(content: dict[str, typing.Any]) -> None:
    for route in content['Routes']:
        route['Service'] = _other_service(route['Service'])


def _set_route_timeouts(content: dict[str, typing.Any], ms: int) -> None:
    for route in content['Routes'][:-1]:
        route['TimeoutMs'] = ms


_CHANGES: typing.Final[
    dict[str, abc.Callable[[dict[str, typing.Any]], None] | None]
] = {
    'none': None,
    'nothing but the version': lambda content: None,
    'longer idle limit': lambda content: _set_idle_timeout(content, 60_000),
    'shorter idle limit': lambda content: _set_idle_timeout(content, 500),
    'timeout of another route': lambda content: content['Routes'][-1].update(
        TimeoutMs=1000
    ),
    'timeouts of these routes': lambda content: _set_route_timeouts(
        content, 4000
    ),
    'route added': lambda content: content['Routes'].append(
        processes.plain_route('/added/')
    ),
    'these routes removed': lambda content: content['Routes'].__delitem__(
        slice(0, -1)
    ),
    'split': _split,
    'routes moved': _move,
}


def _add_servers(site: processes.Site) -> None:
    store = site.store
    names = [
        (f'd{suffix}.{number}', f'desk{suffix}')
        for suffix, count in _DESKS.items()
        for number in range(count)
    ]
    names += [
        (f'e{suffix}.{number}', f'engines{suffix}', 'loaded')
        for suffix, count in _ENGINES.items()
        for number in range(count)
    ]
    site.servers = [
        servers.Server(store, *name, slots=_SLOTS) for name in names
    ]
    for server in site.servers:
        server.events = _EVENTS
        server.event_seconds = _EVENT_SECONDS


class _Callers:
    """Callers of a site with one instance."""

    def __init__(self, site: processes.Site) -> None:
        self.site = site
        self.silences: dict[str, servers.Silence] = {}
        self._version = 1
        self._attempts = 0
        for server in site.servers:
            server.silences = self.silences

    @classmethod
    @contextlib.asynccontextmanager
    async def running(cls) -> abc.AsyncIterator[_Callers]:
        """Run a site with a single server and a pair of each kind."""
        async with (
            asyncio.timeout(_TEST_TIMEOUT_SECONDS),
            processes.Site.running(1, _configuration(1), _add_servers) as site,
        ):
            yield cls(site)

    @property
    def instance(self) -> processes.Instance:
        """The instance."""
        return self.site.instances[0]

    def put(
        self, change: abc.Callable[[dict[str, typing.Any]], None] | None
    ) -> None:
        """Send a configuration that differs from the first one."""
        self._version += 1
        content = _configuration(self._version)
        if change is not None:
            change(content)
        self.site.store.put(_CONFIGURATION, 'config', content)

    async def wait_in_force(self) -> None:
        """Wait until the newest configuration is in force."""
        while not any(
            line['message_type'] == 'configuration:in_force'
            and line['version'] >= self._version
            for line in self.instance.log_lines()
        ):
            await asyncio.sleep(0.02)

    def servers_of(self, attempt: str) -> list[str]:
        """Return the ids of the servers that ran an attempt, one a run."""
        return [
            server.server_id
            for server in self.site.servers
            for executed in server.executed_attempts
            if executed == attempt
        ]

    def executed(self) -> list[str]:
        """Return the attempts that ran, once for each run."""
        return [
            attempt
            for server in self.site.servers
            for attempt in server.executed_attempts
        ]

    def next_attempt(self) -> str:
        """Return a new attempt id."""
        self._attempts += 1
        return f'attempt-{self._attempts}'

    async def call(self, change: str, case: _Case) -> _Outcome:
        """Send a request on a connection that was used before."""
        attempt = self.next_attempt()
        async with processes.Connection.opened(self.instance) as connection:
            first = await connection.call('/other/x', self.next_attempt())
            assert first.status == 200, first
            if case.silence is not None:
                self.silences[attempt] = case.silence
            sent_at = time.monotonic()
            answer: processes.Answer | None = None
            with contextlib.suppress(EOFError, OSError):
                answer = await connection.call(
                    f'{case.prefix}x',
                    attempt,
                    'POST' if case.model else 'GET',
                    case.model,
                    int(case.deadline_seconds * 1000),
                )
            seconds = time.monotonic() - sent_at
        ran_at = self.servers_of(attempt)
        problem = _problem(case, answer, ran_at, seconds)
        if problem:
            problem = f'{change}: {case.prefix} {attempt}: {problem}'
            if case.silence is not None:
                place, silent_seconds, _ = case.silence
                problem += f', silent {place.value} for {silent_seconds:.2f} s'
        answered = answer is not None and answer.status == 200
        return _Outcome(change, case, answered, problem)


def _whole_stream(events: int) -> bytes:
    return b''.join(
        b'id: %d\ndata: x%d\n\n' % (number, number) for number in range(events)
    )


def _problem(
    case: _Case,
    answer: processes.Answer | None,
    ran_at: list[str],
    seconds: float,
) -> str:
    """Return what is wrong with an answer, or an empty string."""
    if len(ran_at) > (case.max_attempts if case.repeatable else 1):
        return f'ran at {ran_at}'
    if answer is None:
        return f'closed without an answer after {seconds:.2f} s'
    if not answer.complete:
        return f'cut after {seconds:.2f} s and {answer.body!r}'
    if answer.status in _NOT_RUN:
        return f'{answer.status}, ran at {ran_at}' if ran_at else ''
    if answer.status == _GATEWAY_TIMEOUT and seconds >= case.deadline_seconds:
        return ''
    if answer.status != 200:
        return f'{answer.status} after {seconds:.2f} s'
    if case.model:
        bodies = [_whole_stream(case.events)]
    else:
        bodies = [f'{name} GET {case.prefix}x '.encode() for name in ran_at]
    return '' if answer.body in bodies else f'wrong body {answer.body!r}'


def _plain_cases() -> list[_Case]:
    rng = random.Random(_SEED)
    cases: list[_Case] = []
    for suffix in _DESKS:
        for name, attempts in (('plain-1', 1), ('plain-2', 2), ('unsafe', 2)):
            for place in (servers.Place.HEAD, servers.Place.BODY):
                silence = servers.Silence(place, rng.uniform(0.8, 1.6))
                prefix = f'/{name}{suffix}/'
                safe = name != 'unsafe'
                cases.append(_Case(prefix, attempts, safe, '', silence))
        silence = servers.Silence(servers.Place.HEAD, 1.5)
        cases.append(_Case(f'/plain-2{suffix}/', 2, True, '', silence, 2.4))
    return cases


def _stream_case(name: str, suffix: str, silence: servers.Silence) -> _Case:
    attempts = _STREAM_ROUTES[name]
    prefix = f'/{name}{suffix}/'
    return _Case(prefix, attempts, name != 'fixed', 'loaded', silence)


def _stream_cases() -> list[_Case]:
    """Return streams with silences before and after their first event."""
    rng = random.Random(_SEED)
    cases: list[_Case] = []
    for name in _STREAM_ROUTES:
        for suffix in _DESKS:
            early = (
                servers.Silence(servers.Place.HEAD, 1.6),
                servers.Silence(
                    servers.Place.BETWEEN_EVENTS, rng.uniform(0.8, 1.6), 0
                ),
            )
            cases += [
                _stream_case(name, f'.{name}.{number}{suffix}', silence)
                for number, silence in enumerate(early)
            ]
            for place in (
                servers.Place.BETWEEN_EVENTS,
                servers.Place.WITHIN_EVENT,
            ):
                silence = servers.Silence(place, rng.uniform(0.8, 1.6))
                cases.append(_stream_case(name, suffix, silence))
    return cases


async def _call_with_changes() -> list[_Outcome]:
    """Send all cases together, once beside each change."""
    found: list[_Outcome] = []
    async with _Callers.running() as callers:
        for name, change in _CHANGES.items():
            callers.put(None)
            await callers.wait_in_force()
            calls = [
                asyncio.ensure_future(callers.call(name, case))
                for case in _plain_cases() + _stream_cases()
            ]
            await asyncio.sleep(_CHANGE_SECONDS)
            if name != 'none':
                callers.put(change)
            found += await asyncio.gather(*calls)
    return found


class SilentServerTest(unittest.TestCase):
    """Servers that fall silent for one request beside each change."""

    outcomes: typing.ClassVar[list[_Outcome]]

    @classmethod
    def setUpClass(cls) -> None:
        """Run the requests; the tests look at their outcomes."""
        cls.outcomes = asyncio.run(_call_with_changes())

    def _assert_fine(
        self, name: str, *places: servers.Place, deadline: float = 5.0
    ) -> None:
        """Check the outcomes of a kind of route at these places."""
        found = [
            outcome
            for outcome in self.outcomes
            if outcome.case.prefix.strip('/').partition('.')[0] == name
            and outcome.case.silence is not None
            and outcome.case.silence.place in places
            and outcome.case.deadline_seconds == deadline
        ]
        self.assertEqual(set(_CHANGES), {outcome.change for outcome in found})
        problems = [outcome.problem for outcome in found if outcome.problem]
        if problems:
            self.fail('\n'.join(problems))
        answered = {outcome.change for outcome in found if outcome.answered}
        self.assertEqual(set(_CHANGES), answered)

    def test_plain_with_one_attempt(self) -> None:
        """A server is silent before or within a plain answer."""
        self._assert_fine('plain-1', servers.Place.HEAD, servers.Place.BODY)

    def test_plain_with_two_attempts(self) -> None:
        """The same where a second attempt is allowed."""
        self._assert_fine('plain-2', servers.Place.HEAD, servers.Place.BODY)

    def test_plain_with_little_time(self) -> None:
        """The answer comes after more than half of the caller's time."""
        self._assert_fine('plain-2', servers.Place.HEAD, deadline=2.4)

    def test_not_idempotent(self) -> None:
        """The same for requests that may run once."""
        self._assert_fine('unsafe', servers.Place.HEAD, servers.Place.BODY)

    def test_stream_that_is_not_resumable(self) -> None:
        """A server is silent at any place of a stream that may run once."""
        self._assert_fine('fixed', *servers.Place)

    def test_head_of_stream_with_one_attempt(self) -> None:
        """A server is silent before the head of a resumable stream."""
        self._assert_fine('resumable-1', servers.Place.HEAD)

    def test_head_of_stream_with_two_attempts(self) -> None:
        """The same where a second attempt is allowed."""
        self._assert_fine('resumable-2', servers.Place.HEAD)

    def test_events_with_one_attempt(self) -> None:
        """A server is silent between or within events."""
        self._assert_fine(
            'resumable-1',
            servers.Place.BETWEEN_EVENTS,
            servers.Place.WITHIN_EVENT,
        )

    def test_events_with_two_attempts(self) -> None:
        """The same where a second attempt is allowed."""
        self._assert_fine(
            'resumable-2',
            servers.Place.BETWEEN_EVENTS,
            servers.Place.WITHIN_EVENT,
        )


_MANY_CASES: typing.Final = [
    *(
        _Case(
            f'/{name}.pair/',
            attempts,
            name != 'fixed',
            'loaded',
            None,
            events=_MANY_EVENTS,
        )
        for name, attempts in _STREAM_ROUTES.items()
    ),
    _Case('/unsafe.pair/', 2, False, '', None),
]


async def _call_many(server_ids: set[str]) -> list[_Outcome]:
    """Let all servers with these ids fall silent under many requests."""
    found: list[_Outcome] = []
    async with _Callers.running() as callers:
        chosen = [
            server
            for server in callers.site.servers
            if server.server_id in server_ids
        ]
        for server in callers.site.servers:
            server.events = _MANY_EVENTS
            server.event_seconds = _MANY_EVENT_SECONDS
        for name in _CHANGES_OF_MANY:
            sent = _MANY * len(_MANY_CASES)
            executed = len(callers.executed()) + 2 * sent
            calls = []
            for _ in range(_MANY):
                calls += [
                    asyncio.ensure_future(callers.call(name, case))
                    for case in _MANY_CASES
                ]
                await asyncio.sleep(0.005)
            while len(callers.executed()) < executed:
                await asyncio.sleep(0.01)
            await asyncio.sleep(_MANY_EVENT_SECONDS * 2)
            for server in chosen:
                server.fall_silent(_MANY_SILENT_SECONDS)
            await asyncio.sleep(_CHANGE_SECONDS)
            if name != 'none':
                callers.put(_CHANGES[name])
            found += await asyncio.gather(*calls)
    return found


class ManyStreamsTest(unittest.TestCase):
    """Servers that fall silent on all connections under many streams."""

    def _assert_fine(self, outcomes: list[_Outcome]) -> None:
        for name in _CHANGES_OF_MANY:
            answered = [
                outcome
                for outcome in outcomes
                if outcome.change == name and outcome.answered
            ]
            self.assertGreaterEqual(len(answered), _MANY)
        problems = [outcome.problem for outcome in outcomes if outcome.problem]
        if problems:
            self.fail('\n'.join(problems))

    def test_one_server_of_two(self) -> None:
        """One server of each pair falls silent."""
        silent = {'d.pair.0', 'e.pair.0'}
        self._assert_fine(asyncio.run(_call_many(silent)))

    def test_both_servers(self) -> None:
        """Both servers of each pair fall silent together."""
        silent = {'d.pair.0', 'e.pair.0', 'd.pair.1', 'e.pair.1'}
        self._assert_fine(asyncio.run(_call_many(silent)))


async def _send_around_close(
    limits_ms: tuple[int, int], silent_seconds: float
) -> list[_Outcome]:
    """Send second requests around the time at which connections close.

    :param limits_ms: the idle limits before and after the first requests.
    :param silent_seconds: how long the first requests take. The limit changes
        before they are answered, or after them if it is zero.
    """
    async with _Callers.running() as callers:
        before, after = limits_ms
        callers.put(lambda content: _set_idle_timeout(content, before))
        await callers.wait_in_force()

        async def call_twice(
            number: int,
        ) -> tuple[str, processes.Answer | None, float]:
            first, second = callers.next_attempt(), callers.next_attempt()
            if silent_seconds:
                callers.silences[first] = servers.Silence(
                    servers.Place.HEAD, silent_seconds
                )
            async with processes.Connection.opened(
                callers.instance
            ) as connection:
                answer = await connection.call('/unsafe/x', first)
                assert answer.status == 200, answer
                offset = (number / _IDLE_CONNECTIONS - 0.5) * _IDLE_SPREAD
                await asyncio.sleep(min(limits_ms) / 1000 + offset)
                late: processes.Answer | None = None
                sent_at = time.monotonic()
                with contextlib.suppress(EOFError, OSError):
                    late = await connection.call('/unsafe/x', second)
            return second, late, time.monotonic() - sent_at

        calls = [
            asyncio.ensure_future(call_twice(number))
            for number in range(_IDLE_CONNECTIONS)
        ]
        await asyncio.sleep(_CHANGE_SECONDS)
        callers.put(lambda content: _set_idle_timeout(content, after))
        found = await asyncio.gather(*calls)
        # A request may reach its server after its caller's connection closed.
        await asyncio.sleep(_SETTLE_SECONDS)
        return [
            _outcome_at_close(callers, attempt, answer, seconds)
            for attempt, answer, seconds in found
        ]


def _outcome_at_close(
    callers: _Callers,
    attempt: str,
    answer: processes.Answer | None,
    seconds: float,
) -> _Outcome:
    """Return an outcome; one that was not passed on needs no answer."""
    case = _Case('/unsafe/', 2, False, '', None)
    ran_at = callers.servers_of(attempt)
    problem = ''
    if ran_at or answer is not None:
        problem = _problem(case, answer, ran_at, seconds)
    if problem:
        problem = f'{attempt}: {problem}'
    return _Outcome('', case, answer is not None, problem)


class IdleLimitTest(unittest.TestCase):
    """Requests on connections that are about to be closed."""

    outcomes: typing.ClassVar[list[list[_Outcome]]]

    @classmethod
    def setUpClass(cls) -> None:
        """Run the requests of all tests at the same time."""
        cls.outcomes = asyncio.run(cls._send_all())

    @staticmethod
    async def _send_all() -> list[list[_Outcome]]:
        return await asyncio.gather(
            _send_around_close((_IDLE_MS, _IDLE_MS), 0.0),
            _send_around_close((_IDLE_MS, _LONG_IDLE_MS), 0.0),
            _send_around_close((_LONG_IDLE_MS, _IDLE_MS), 0.0),
            _send_around_close((_LONG_IDLE_MS, _IDLE_MS), 1.2),
        )

    def _assert_fine(self, outcomes: list[_Outcome]) -> None:
        problems = [outcome.problem for outcome in outcomes if outcome.problem]
        self.assertEqual([], problems)
        self.assertTrue(any(outcome.answered for outcome in outcomes))

    def test_same_limit(self) -> None:
        """The limit stays as it is."""
        self._assert_fine(self.outcomes[0])

    def test_raised_while_idle(self) -> None:
        """The limit is raised while connections are idle."""
        self._assert_fine(self.outcomes[1])

    def test_lowered_while_idle(self) -> None:
        """The limit is lowered while connections are idle."""
        self._assert_fine(self.outcomes[2])

    def test_lowered_under_requests(self) -> None:
        """The limit is lowered while a server is silent."""
        self._assert_fine(self.outcomes[3])


async def _call_together(cases: list[_Case]) -> list[_Outcome]:
    async with _Callers.running() as callers:
        return await asyncio.gather(
            *(callers.call('none', case) for case in cases)
        )


class LittleTimeTest(unittest.TestCase):
    """Plain answers that come after more than half of the callers' time."""

    def _assert_answered(self, cases: list[_Case], prefix: str) -> None:
        outcomes = asyncio.run(_call_together(cases))
        problems = [outcome.problem for outcome in outcomes if outcome.problem]
        if problems:
            self.fail('\n'.join(problems))
        self.assertTrue(
            all(
                outcome.answered
                for outcome in outcomes
                if outcome.case.prefix == prefix
            )
        )

    def test_while_another_request_waits(self) -> None:
        """A request of another service waits for a place meanwhile."""
        silence = servers.Silence(servers.Place.HEAD, 1.6)
        streams = [_stream_case('fixed', '.fixed.0', silence)] * 3
        silence = servers.Silence(servers.Place.HEAD, 1.5)
        plain = _Case('/plain-2.pair/', 2, True, '', silence, 2.4)
        self._assert_answered([*streams, plain], plain.prefix)

    def test_many_requests(self) -> None:
        """More requests are late than the retry budget allows to repeat."""
        silence = servers.Silence(servers.Place.HEAD, 1.5)
        plain = _Case('/plain-2.pair/', 2, True, '', silence, 2.4)
        self._assert_answered([plain] * _MANY, plain.prefix)


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Planned stops of an instance whose servers are silent."""

    async def test_plain_request_at_a_planned_stop(self) -> None:
        """A plain answer that takes over half a second is not cut off."""
        async with _Callers.running() as callers:
            instance = callers.instance
            async with processes.Connection.opened(instance) as connection:
                await connection.call('/other/x', callers.next_attempt())
                instance.process.send_signal(signal.SIGTERM)
                attempt = callers.next_attempt()
                callers.silences[attempt] = servers.Silence(
                    servers.Place.HEAD, 1.6
                )
                call = asyncio.ensure_future(
                    connection.call('/unsafe/x', attempt)
                )
                while not callers.servers_of(attempt):
                    await asyncio.sleep(0.02)
                # The balancer removes the instance after two refusals.
                while await instance.readiness_status() == 200:
                    await asyncio.sleep(0.02)
                self.assertEqual(503, await instance.readiness_status())
                answer = await call
                self.assertEqual((200, True), (answer.status, answer.complete))
                self.assertEqual('close', answer.headers['connection'])
            self.assertEqual(0, await instance.wait_stopped())
