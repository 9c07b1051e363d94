"""Sites whose servers fall silent, and callers that check the answers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import typing

from . import processes
from . import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'CHANGES',
    'STREAM_ROUTES',
    'Callers',
    'Case',
    'Outcome',
    'find_problem',
    'plain_cases',
    'set_idle_timeout',
    'stream_case',
    'stream_cases',
]

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


class Case(typing.NamedTuple):
    """A kind of request and the silence that it meets."""

    prefix: str
    max_attempts: int
    repeatable: bool
    model: str
    silence: servers.Silence | None
    deadline_seconds: float = _ROUTE_TIMEOUT_SECONDS
    events: int = _EVENTS


class Outcome(typing.NamedTuple):
    """What the caller of a request got; ``problem`` is empty if it is fine."""

    change: str
    case: Case
    answered: bool
    problem: str


# The services for plain requests and for streams, with their numbers of
# servers. A stream without a first event holds up others at its server.
_DESKS: typing.Final = {'': 1, '.pair': 2}
STREAM_ROUTES: typing.Final = {'resumable-1': 1, 'resumable-2': 2, 'fixed': 2}
_EARLY: typing.Final = {
    f'.{name}.{number}{suffix}': count
    for name in STREAM_ROUTES
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
        for name, attempts in STREAM_ROUTES.items()
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


def set_idle_timeout(content: dict[str, typing.Any], ms: int) -> None:
    """Set the idle limit of callers' connections."""
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


CHANGES: typing.Final[
    dict[str, abc.Callable[[dict[str, typing.Any]], None] | None]
] = {
    'none': None,
    'nothing but the version': lambda content: None,
    'longer idle limit': lambda content: set_idle_timeout(content, 60_000),
    'shorter idle limit': lambda content: set_idle_timeout(content, 500),
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


class Callers:
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
    async def running(cls) -> abc.AsyncIterator[Callers]:
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

    async def call(self, change: str, case: Case) -> Outcome:
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
        problem = find_problem(case, answer, ran_at, seconds)
        if problem:
            problem = f'{change}: {case.prefix} {attempt}: {problem}'
            if case.silence is not None:
                place, silent_seconds, _ = case.silence
                problem += f', silent {place.value} for {silent_seconds:.2f} s'
        answered = answer is not None and answer.status == 200
        return Outcome(change, case, answered, problem)


def _whole_stream(events: int) -> bytes:
    return b''.join(
        b'id: %d\ndata: x%d\n\n' % (number, number) for number in range(events)
    )


def find_problem(
    case: Case,
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


def plain_cases() -> list[Case]:
    """Return plain requests with silences at each place."""
    rng = random.Random(_SEED)
    cases: list[Case] = []
    for suffix in _DESKS:
        for name, attempts in (('plain-1', 1), ('plain-2', 2), ('unsafe', 2)):
            for place in (servers.Place.HEAD, servers.Place.BODY):
                silence = servers.Silence(place, rng.uniform(0.8, 1.6))
                prefix = f'/{name}{suffix}/'
                safe = name != 'unsafe'
                cases.append(Case(prefix, attempts, safe, '', silence))
        silence = servers.Silence(servers.Place.HEAD, 1.5)
        cases.append(Case(f'/plain-2{suffix}/', 2, True, '', silence, 2.4))
    return cases


def stream_case(name: str, suffix: str, silence: servers.Silence) -> Case:
    """Return a stream with a silence."""
    attempts = STREAM_ROUTES[name]
    prefix = f'/{name}{suffix}/'
    return Case(prefix, attempts, name != 'fixed', 'loaded', silence)


def stream_cases() -> list[Case]:
    """Return streams with silences before and after their first event."""
    rng = random.Random(_SEED)
    cases: list[Case] = []
    for name in STREAM_ROUTES:
        for suffix in _DESKS:
            early = (
                servers.Silence(servers.Place.HEAD, 1.6),
                servers.Silence(
                    servers.Place.BETWEEN_EVENTS, rng.uniform(0.8, 1.6), 0
                ),
            )
            cases += [
                stream_case(name, f'.{name}.{number}{suffix}', silence)
                for number, silence in enumerate(early)
            ]
            for place in (
                servers.Place.BETWEEN_EVENTS,
                servers.Place.WITHIN_EVENT,
            ):
                silence = servers.Silence(place, rng.uniform(0.8, 1.6))
                cases.append(stream_case(name, suffix, silence))
    return cases
