"""Streams before servers of several versions, and what is checked of them.

What two versions write does not fit together, and servers do not check who
began a stream that they continue.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing
import unittest

from . import processes
from . import server as servers
from . import streams

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'AT_ONCE_SECONDS',
    'HEARTBEAT_SECONDS',
    'LIMIT_SECONDS',
    'NEW',
    'OLD',
    'Requesters',
    'TRIES',
    'TWO_OF_EACH',
    'UNAVAILABLE',
    'VersionsTest',
    'stories',
]

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 60.0

_SEED: typing.Final = 22
_TARGET: typing.Final = '/stream/x'
# The time limit of a request.
LIMIT_SECONDS: typing.Final = 10.0
# What cannot go on ends within this time, well before the limit.
AT_ONCE_SECONDS: typing.Final = LIMIT_SECONDS / 4
# The interval at which servers write their entries, the instances' default.
HEARTBEAT_SECONDS: typing.Final = 1.2
# The time for a new manifest to be in force.
_APPLY_SECONDS: typing.Final = 2.5
_SLOTS: typing.Final = 64
_EVENTS: typing.Final = 8
_ZONES: typing.Final = ('zone-1', 'zone-2')
UNAVAILABLE: typing.Final = 503
OLD: typing.Final = 'v1'
NEW: typing.Final = 'v2'
# A stream's requester tries so many instances.
TRIES: typing.Final = 3
# Of the share of new streams that begin, at least this part of the streams
# that are taken up has to go on.
_FLOOR: typing.Final = 0.5

# Id, version and failure domain of each server.
_Fleet = tuple[tuple[str, str, str], ...]
# The keys of each tenant.
_Tenants = dict[str, list[str]]

TWO_OF_EACH: typing.Final[_Fleet] = (
    ('a1', OLD, 'zone-1'),
    ('a2', OLD, 'zone-2'),
    ('b1', NEW, 'zone-1'),
    ('b2', NEW, 'zone-2'),
)


def _configuration(version: int = 1) -> dict[str, typing.Any]:
    content = typing.cast('dict[str, typing.Any]', processes.manifest(version))
    _, engines = content['Services']
    engines['Engine'] |= {'Slots': _SLOTS, 'KvCapacity': 100_000}
    content['Routes'][1] |= {
        'MaxAttempts': 2,
        'TimeoutMs': int(LIMIT_SECONDS * 1000),
        'GapAimMs': 1000,
    }
    return content


def _with_tenants(
    content: dict[str, typing.Any], tenants: _Tenants | None
) -> dict[str, typing.Any]:
    """Return a manifest that declares tenants, if any are given."""
    if tenants is None:
        return content
    rows = [{'Name': name, 'ApiKeys': keys} for name, keys in tenants.items()]
    return content | {'Tenants': rows}


async def _wait_until(condition: abc.Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.02)


class Requesters:
    """The requesters of a site, and what happens to it."""

    def __init__(self, site: processes.Site) -> None:
        self.site = site
        self.rng = random.Random(_SEED)
        self.headers = ''
        self._streams = 0

    @classmethod
    @contextlib.asynccontextmanager
    async def running(
        cls, instances: int, fleet: _Fleet, tenants: _Tenants | None = None
    ) -> abc.AsyncIterator[Requesters]:
        """Run a site with these servers and keys of tenants."""

        def add_servers(site: processes.Site) -> None:
            engines = [_engine(site, *item) for item in fleet]
            site.servers = [site.desk, *engines]

        async with (
            asyncio.timeout(_TEST_TIMEOUT_SECONDS),
            processes.Site.running(
                instances,
                _with_tenants(_configuration(), tenants),
                add_servers,
                _ZONES,
            ) as site,
        ):
            yield cls(site)

    @property
    def engines(self) -> list[servers.Server]:
        """The servers of streams."""
        return [item for item in self.site.servers if item.version]

    @property
    def live(self) -> list[processes.Instance]:
        """The instances whose processes run."""
        return [
            instance
            for instance in self.site.instances
            if instance.process.poll() is None
        ]

    def engine(self, server_id: str) -> servers.Server:
        """Return a server."""
        return next(
            item for item in self.engines if item.server_id == server_id
        )

    def server_of(self, attempt: str) -> servers.Server:
        """Return the server that runs an attempt."""
        return next(
            item for item in self.engines if attempt in item.executed_attempts
        )

    def ran(self, attempt: str) -> bool:
        """Whether any server ran an attempt."""
        return any(attempt in item.executed_attempts for item in self.engines)

    @contextlib.asynccontextmanager
    async def beating(self) -> abc.AsyncIterator[None]:
        """Have all servers write their entries at intervals."""

        async def beat() -> None:
            while True:
                await asyncio.sleep(HEARTBEAT_SECONDS)
                for server in self.site.servers:
                    if server.listed:
                        server.register()

        task = asyncio.create_task(beat())
        try:
            yield
        finally:
            task.cancel()

    def hold(self) -> None:
        """Hold all streams after the first event of each server."""
        for engine in self.engines:
            engine.hold()

    def let_go(self) -> None:
        """Let all streams go on."""
        for engine in self.engines:
            engine.let_go()

    def new_stream(self, id_characters: int = 0) -> streams.Stream:
        """Return a stream that has not been requested yet.

        :param id_characters: the least length of its attempts' identifiers.
        """
        self._streams += 1
        name = f's{self._streams}'.ljust(id_characters, 'x')
        return streams.Stream(name, _TARGET, LIMIT_SECONDS, self.headers)

    async def declare(self, version: int, tenants: _Tenants | None) -> None:
        """Have a version with other keys of tenants in force."""
        content = _with_tenants(_configuration(version), tenants)
        self.site.store.put('keyed.op', 'config', content)
        await asyncio.sleep(_APPLY_SECONDS)

    async def begin(
        self,
        count: int,
        instance: processes.Instance,
        at_once: int = 0,
        id_characters: int = 0,
    ) -> list[streams.Stream]:
        """Begin streams and return them once each has an event or ended.

        :param at_once: how many are sent together, one a server if not given.
        """
        found: list[streams.Stream] = []
        while len(found) < count:
            size = min(at_once or len(self.engines), count - len(found))
            wave = [self.new_stream(id_characters) for _ in range(size)]
            for stream in wave:
                stream.start(instance)
            await asyncio.gather(*(stream.wait_event() for stream in wave))
            found += wave
        return found

    async def kill(
        self, instance: processes.Instance, found: list[streams.Stream]
    ) -> None:
        """Kill an instance and return when its streams have ended."""
        instance.process.kill()
        await asyncio.gather(*(stream.ended() for stream in found))
        await instance.wait_stopped()

    async def kill_all(self, found: list[streams.Stream]) -> None:
        """Kill all instances and return when the streams have ended."""
        for instance in self.site.instances:
            instance.process.kill()
        await asyncio.gather(*(stream.ended() for stream in found))
        for instance in self.site.instances:
            await instance.wait_stopped()

    async def start_all(self) -> None:
        """Start all instances again and return when they are ready."""
        for instance in self.site.instances:
            self.site.start_again(instance)
        for instance in self.site.instances:
            await instance.wait_ready()

    async def take_up(
        self, found: list[streams.Stream], tries: int = TRIES
    ) -> None:
        """Take streams up at other instances in a random order."""
        await asyncio.gather(
            *(stream.take_up(self._order(tries)) for stream in found)
        )

    async def add_server(
        self, server_id: str, version: str, zone: str
    ) -> servers.Server:
        """Start a server."""
        engine = _engine(self.site, server_id, version, zone)
        self.site.servers.append(engine)
        await engine.start()
        return engine

    def leave(self, server_id: str) -> None:
        """Stop a server, which is no longer listed."""
        self.engine(server_id).end()

    async def wait_logged(
        self, kind: str, server_id: str, *instances: processes.Instance
    ) -> None:
        """Wait until instances have logged a change of a server."""
        for instance in instances:
            await _wait_until(
                lambda each=instance: any(
                    line['message_type'] == f'servers:{kind}'
                    and line['server'] == server_id
                    for line in each.log_lines()
                )
            )

    def _order(self, tries: int) -> list[processes.Instance]:
        live = self.live
        return [self.rng.choice(live) for _ in range(tries)]


def _engine(
    site: processes.Site, server_id: str, version: str, zone: str
) -> servers.Server:
    engine = servers.Server(
        site.store,
        server_id,
        'engines',
        'loaded',
        slots=_SLOTS,
        version=version,
        zone=zone,
    )
    engine.events = _EVENTS
    return engine


def stories(found: abc.Iterable[streams.Stream]) -> str:
    return '\n'.join(['', *(stream.story for stream in found)])


class VersionsTest(unittest.IsolatedAsyncioTestCase):
    """Checks streams as their requesters read them."""

    async def asyncSetUp(self) -> None:
        """Leave debug mode, which slows down the stand-ins."""
        asyncio.get_running_loop().set_debug(False)

    def assert_one_version(self, found: list[streams.Stream]) -> None:
        """Fail if a stream holds events of two versions, or a wrong one."""
        mixed = [stream for stream in found if len(stream.versions) > 1]
        self.assertEqual(
            0, len(mixed), f'mixed of {len(found)}: {stories(mixed)}'
        )
        torn = [stream for stream in found if not stream.in_order]
        self.assertEqual(0, len(torn), stories(torn))

    def assert_began(self, found: list[streams.Stream]) -> None:
        """Fail if a new stream has no event."""
        missing = [stream for stream in found if not stream.events]
        self.assertEqual(0, len(missing), stories(missing))

    def assert_both_versions(self, found: list[streams.Stream]) -> None:
        """Fail if not both versions have begun streams."""
        began = {stream.events[0][1] for stream in found}
        self.assertEqual({OLD, NEW}, began)

    async def assert_floor(
        self, requesters: Requesters, taken_up: list[streams.Stream]
    ) -> None:
        """Fail if too few of the streams that were taken up go on.

        New streams are sent for the comparison.
        """
        new = await requesters.begin(
            len(taken_up), requesters.live[0], len(taken_up)
        )
        await asyncio.gather(*(stream.ended() for stream in new))
        self.assert_began(new)
        on = [stream for stream in taken_up if stream.answered]
        stopped = [stream for stream in taken_up if not stream.answered]
        self.assertGreaterEqual(
            len(on), _FLOOR * len(taken_up), stories(stopped)
        )

    def assert_goes_on_or_not_run(
        self, requesters: Requesters, found: list[streams.Stream]
    ) -> None:
        """Fail if a stream neither goes on nor is refused as not run."""
        wrong = [
            stream
            for stream in found
            if not stream.answered
            and (
                stream.status != UNAVAILABLE
                or requesters.ran(stream.attempts[-1])
            )
        ]
        self.assertEqual(0, len(wrong), stories(wrong))
