"""End-to-end tests of one request that crashes servers and comes again."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
import typing

from . import crashes
from . import processes

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 120.0

_INSTANCES: typing.Final = 3
_SERVERS: typing.Final = 4
# The users' bounds: the servers that may end, the time in which instances
# learn of that, and the requests that may reach servers afterwards.
_CRASHES: typing.Final = 3
_CONTACT_SECONDS: typing.Final = 3.0
_MAX_ARRIVALS: typing.Final = 3
# How long the request comes again after that, and how often.
_WATCHED_SECONDS: typing.Final = 5.0
_REPEAT_SECONDS: typing.Final = 0.25
# The users' bound: a sound request is served again so soon after servers have
# ended under it by themselves.
_SERVED_AGAIN_SECONDS: typing.Final = 5.0
_MIN_SOUND: typing.Final = 20
_GUILTY_BODY: typing.Final = b'{"claim": "guilty"}'


class _Kind(typing.NamedTuple):
    """How the guilty request and the sound ones are sent.

    Sound ones have the same path and headers, and another body; their prompts
    end with a part of their own if they have parts.
    """

    target: str
    model: str = ''
    parts: tuple[str, ...] = ()


_PLAIN: typing.Final = _Kind('/plain/x')
_ONCE: typing.Final = _Kind('/once/x')


class _CrashCase(crashes.CrashCase):
    """A site whose servers crash on one request."""

    server_count = _SERVERS
    keep_ids = False

    def setUp(self) -> None:
        """Begin without a crash."""
        super().setUp()
        self.kind = _PLAIN

    @contextlib.asynccontextmanager
    async def running(self, kind: _Kind) -> abc.AsyncIterator[processes.Site]:
        """Run a site in which sound requests have been served."""
        self.kind = kind
        servers: list[crashes.CrashingServer] = []

        def add_servers(site: processes.Site) -> None:
            site.servers.clear()
            for number in range(self.server_count):
                servers.extend(
                    (
                        crashes.CrashingServer(
                            site.store,
                            f'e{number}',
                            self.record,
                            keeps_id=self.keep_ids,
                        ),
                        crashes.CrashingServer(
                            site.store,
                            f'd{number}',
                            self.record,
                            'desk',
                            (),
                            self.keep_ids,
                        ),
                    )
                )
            site.servers.extend(servers)

        once = processes.route('/once/', 'desk', Type='non_idempotent')
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(
                _INSTANCES, processes.manifest(1, once), add_servers
            ) as site:
                self.servers = [
                    server
                    for server in servers
                    if bool(server.models) == bool(kind.model)
                ]
                try:
                    for instance in site.instances:
                        for _ in range(5):
                            await self.send_sound(instance)
                    yield site
                finally:
                    for server in servers:
                        await server.stopped()

    async def send(
        self,
        instance: processes.Instance,
        body: bytes,
        parts: tuple[str, ...] = (),
    ) -> processes.Answer | None:
        """Send a request with a body and these parts of a prompt."""
        more = crashes.prompt_header(*parts) if parts else ''
        attempt = f'request-{next(self.numbers)}'
        with contextlib.suppress(OSError, EOFError):
            return await instance.call(
                self.kind.target, attempt, 'POST', self.kind.model, more, body
            )
        return None

    async def send_sound(self, instance: processes.Instance) -> None:
        """Send a request with a body of its own."""
        sent_at = time.monotonic()
        number = next(self.numbers)
        parts = self.kind.parts
        if parts:
            parts = (*parts[:-1], f'own-{number}')
        body = b'{"claim": %d}' % number
        answer = await self.send(instance, body, parts)
        served = answer is not None and (answer.status, answer.complete)
        self.sound.append((sent_at, served == (200, True)))

    async def keep_sending_sound(self, instance: processes.Instance) -> None:
        """Send sound requests one after the other while the process runs."""
        while instance.process.poll() is None:
            await self.send_sound(instance)
            await asyncio.sleep(0.02)

    async def keep_sending_guilty(
        self, instances: list[processes.Instance], first: int
    ) -> None:
        """Send the request to one instance after the other."""
        for number in itertools.count(first):
            instance = instances[number % len(instances)]
            answer = await self.send(instance, _GUILTY_BODY, self.kind.parts)
            self.statuses.append(0 if answer is None else answer.status)
            await asyncio.sleep(_REPEAT_SECONDS)


class _ContainedCase(_CrashCase):
    """One request comes again and again, at all instances."""

    async def on_crash(self, site: processes.Site, number: int) -> None:
        """Do nothing at the end of a server, the first one is number 1."""

    def last_status(self) -> int:
        """Return the status of the last answer to the request."""
        return self.statuses[-1]

    async def assert_contained(
        self, kind: _Kind, point: crashes.CrashPoint
    ) -> None:
        """Assert that the request reaches hardly a server after the bound."""
        self.record.point = point
        async with self.running(kind) as site:
            self.record.body = _GUILTY_BODY
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(sender)
                    for sender in (
                        *map(self.keep_sending_sound, site.instances),
                        self.keep_sending_guilty(site.instances, 0),
                        self.keep_sending_guilty(site.instances, 1),
                    )
                ]
                for number in range(1, _CRASHES + 1):
                    while len(self.record.crashes) < number:
                        await asyncio.sleep(0.02)
                    await self.on_crash(site, number)
                third = self.record.crashes[_CRASHES - 1]
                known_at = third + _CONTACT_SECONDS
                await asyncio.sleep(known_at - time.monotonic())
                await asyncio.sleep(_CONTACT_SECONDS)
                recovered_at = time.monotonic()
                await asyncio.sleep(_WATCHED_SECONDS)
                while len(self.served_since(recovered_at)) < _MIN_SOUND:
                    await asyncio.sleep(0.05)
                for task in tasks:
                    task.cancel()
        late = [item for item in self.record.arrivals if item > known_at]
        self.assertLessEqual(len(late), _MAX_ARRIVALS, self.record)
        served = self.served_since(recovered_at)
        self.assertGreaterEqual(sum(served), 0.9 * len(served))
        self.assertEqual(503, self.last_status())


class RepeatedRequestTest(_ContainedCase):
    """The request is plain or streamed, and crashes servers anywhere."""

    async def test_plain_before_the_head(self) -> None:
        """Servers end without any answer."""
        await self.assert_contained(_PLAIN, crashes.CrashPoint.BEFORE_HEAD)

    async def test_plain_before_the_body(self) -> None:
        """Servers end after the head of their answer."""
        await self.assert_contained(
            _PLAIN, crashes.CrashPoint.BEFORE_FIRST_EVENT
        )

    async def test_plain_within_the_body(self) -> None:
        """Servers end in the middle of their answer."""
        await self.assert_contained(
            _PLAIN, crashes.CrashPoint.WITHIN_FIRST_EVENT
        )

    async def test_not_idempotent(self) -> None:
        """The request may run once in each attempt of its caller."""
        await self.assert_contained(_ONCE, crashes.CrashPoint.BEFORE_HEAD)

    async def test_stream_with_the_same_parts(self) -> None:
        """The first parts come with sound requests, the last one does not."""
        kind = _Kind('/stream/x', 'loaded', ('f1', 'caller-1', 'own-x'))
        await self.assert_contained(
            kind, crashes.CrashPoint.BEFORE_FIRST_EVENT
        )

    async def test_stream_with_one_part(self) -> None:
        """The prompt has no part that others share."""
        kind = _Kind('/stream/x', 'loaded', ('own-x',))
        await self.assert_contained(kind, crashes.CrashPoint.AFTER_FIRST_EVENT)

    async def test_stream_without_parts(self) -> None:
        """Nothing is known of the prompt."""
        kind = _Kind('/stream/x', 'loaded')
        await self.assert_contained(kind, crashes.CrashPoint.BEFORE_HEAD)


class KeptIdTest(_ContainedCase):
    """Servers start again under their ids (BUDGET)."""

    server_count = 2
    keep_ids = True

    async def test_two_servers(self) -> None:
        """Fewer servers than the crashes that convict."""
        await self.assert_contained(_PLAIN, crashes.CrashPoint.BEFORE_HEAD)

    async def test_stream(self) -> None:
        """The same with a stream."""
        kind = _Kind('/stream/x', 'loaded', ('f1', 'caller-1', 'own-x'))
        await self.assert_contained(
            kind, crashes.CrashPoint.BEFORE_FIRST_EVENT
        )


class OneServerTest(KeptIdTest):
    """All crashes are of one server."""

    server_count = 1


class BadServersTest(_CrashCase):
    """Servers end by themselves while one request runs and comes again."""

    async def _assert_served_again(self, count: int) -> None:
        """Crash servers three times; the slow request is sound.

        :param count: how many servers crash.
        """
        self.keep_ids = True
        async with self.running(_PLAIN) as site:
            for server in self.servers:
                server.slow_body = _GUILTY_BODY
                server.slow_seconds = 1.2
            statuses: list[tuple[float, int]] = []

            async def keep_sending() -> None:
                for number in itertools.count():
                    instance = site.instances[number % _INSTANCES]
                    answer = await self.send(instance, _GUILTY_BODY)
                    status = 0 if answer is None else answer.status
                    statuses.append((time.monotonic(), status))
                    await asyncio.sleep(_REPEAT_SECONDS)

            task = asyncio.ensure_future(keep_sending())
            try:
                for _ in range(3):
                    await asyncio.sleep(0.6)
                    for server in self.servers[:count]:
                        server.crash()
                    await asyncio.sleep(crashes.RESTART_SECONDS + 0.4)
                ended_at = time.monotonic()
                while not any(
                    status == 200 for at, status in statuses if at > ended_at
                ):
                    await asyncio.sleep(0.05)
                seconds = time.monotonic() - ended_at
            finally:
                task.cancel()
        self.assertLess(seconds, _SERVED_AGAIN_SECONDS)

    async def test_one_bad_server(self) -> None:
        """All its requests have run there."""
        self.server_count = 1
        await self._assert_served_again(1)

    async def test_three_bad_servers(self) -> None:
        """No other server is left."""
        self.server_count = 3
        await self._assert_served_again(3)


class LostOwnerTest(_ContainedCase):
    """The owner, which joins the evidence, is lost meanwhile."""

    crash_number = 0
    started = False

    def last_status(self) -> int:
        """Return the last status of an instance that lives."""
        return [status for status in self.statuses if status][-1]

    async def on_crash(self, site: processes.Site, number: int) -> None:
        """Kill the owner at one of the crashes, and start an instance."""
        if number != self.crash_number:
            return
        members = [instance.member for instance in site.instances]
        owner = members.index(site.store.owner())
        site.instances[owner].process.kill()
        if self.started:
            await site.start_instance('front-new').wait_ready()

    async def test_killed_at_the_first_crash(self) -> None:
        """What it has heard is told to the next one."""
        self.crash_number = 1
        await self.assert_contained(_PLAIN, crashes.CrashPoint.BEFORE_HEAD)

    async def test_killed_at_the_third_crash(self) -> None:
        """An instance that starts then learns of it as well."""
        self.crash_number, self.started = _CRASHES, True
        await self.assert_contained(_PLAIN, crashes.CrashPoint.BEFORE_HEAD)


class NoGuiltyRequestTest(_CrashCase):
    """Servers end by themselves while one sound request is repeated."""

    async def test_crashes_convict_nobody(self) -> None:
        """The request, and others of its path, are served afterwards."""
        async with self.running(_PLAIN) as site:
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(sender)
                    for sender in (
                        *map(self.keep_sending_sound, site.instances),
                        self.keep_sending_guilty(site.instances, 0),
                        self.keep_sending_guilty(site.instances, 1),
                        self.keep_sending_guilty(site.instances, 2),
                    )
                ]
                for _ in range(3):
                    for server in self.servers:
                        server.crash()
                        await asyncio.sleep(0.3)
                await asyncio.sleep(_CONTACT_SECONDS)
                recovered_at = time.monotonic()
                before = len(self.statuses)
                while len(self.served_since(recovered_at)) < _MIN_SOUND * 3:
                    await asyncio.sleep(0.05)
                for task in tasks:
                    task.cancel()
            self.assertEqual([], self.convictions(site))
        served = self.served_since(recovered_at)
        self.assertGreaterEqual(sum(served), 0.9 * len(served))
        self.assertEqual({200}, set(self.statuses[before + 3 :]))
