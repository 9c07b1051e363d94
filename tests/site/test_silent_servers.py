"""End-to-end tests of answers whose servers fall silent and go on."""

from __future__ import annotations

import asyncio
import contextlib
import random
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
_WHOLE_STREAM: typing.Final = b''.join(
    b'id: %d\ndata: x%d\n\n' % (number, number) for number in range(_EVENTS)
)
# Refusals that say that the request did not run.
_NOT_RUN: typing.Final = frozenset({408, 421, 429, 503})
_GATEWAY_TIMEOUT: typing.Final = 504
# When the configuration changes, after the requests were sent.
_CHANGE_SECONDS: typing.Final = 0.3
_MANY: typing.Final = 24


class _Case(typing.NamedTuple):
    """A kind of request and the silence that it meets."""

    prefix: str
    max_attempts: int
    repeatable: bool
    model: str
    silence: servers.Silence | None
    deadline_seconds: float = _ROUTE_TIMEOUT_SECONDS


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
        bodies = [_WHOLE_STREAM]
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
