"""End-to-end tests of prompts under which engines crash."""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing
from unittest import mock

from . import crashes
from . import processes

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 90.0

_INSTANCES: typing.Final = 3
_ENGINES: typing.Final = 5
_CRASHES: typing.Final = 5
# The users' bounds: the time in which instances learn of something, and the
# requests that may reach engines after that.
_CONTACT_SECONDS: typing.Final = 3.0
_MAX_ARRIVALS: typing.Final = 3
# Sound requests in the time that counts.
_MIN_SOUND: typing.Final = 20
_FIRST: typing.Final = 'f1'
_GUILTY: typing.Final = 'bad'


class _CrashCase(crashes.CrashCase):
    """A site whose engines crash on one part of a prompt."""

    engine_count = _ENGINES
    # Whether sound requests are answered before anything else.
    warm = True

    def configuration(self) -> dict[str, typing.Any] | None:
        """Return the first manifest, ``None`` for the usual one."""
        return None

    @contextlib.asynccontextmanager
    async def running(self) -> abc.AsyncIterator[processes.Site]:
        """Run a site in which sound requests have been served."""
        engines: list[crashes.CrashingServer] = []

        def add_engines(site: processes.Site) -> None:
            site.servers.remove(site.engine)
            for number in range(self.engine_count):
                engines.append(
                    crashes.CrashingServer(
                        site.store, f'e{number}', self.record
                    )
                )
            site.servers.extend(engines)

        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(
                _INSTANCES, self.configuration(), add_engines
            ) as site:
                self.engines = engines
                try:
                    for instance in site.instances if self.warm else ():
                        for _ in range(5):
                            await self.send_sound(instance, 'caller-0')
                    yield site
                finally:
                    for engine in engines:
                        await engine.stopped()

    async def send(
        self, instance: processes.Instance, *parts: str
    ) -> processes.Answer | None:
        """Send a request with these parts and one of its own."""
        number = next(self.numbers)
        more = crashes.prompt_header(*parts, f'own-{number}')
        with contextlib.suppress(OSError, EOFError):
            return await instance.call(
                '/stream/x', f'request-{number}', 'POST', 'loaded', more
            )
        return None

    async def send_sound(
        self, instance: processes.Instance, caller: str
    ) -> None:
        """Send a request without the guilty part."""
        sent_at = time.monotonic()
        answer = await self.send(instance, _FIRST, caller)
        served = answer is not None and (answer.status, answer.complete)
        self.sound.append((sent_at, served == (200, True)))

    async def keep_sending_sound(
        self, instance: processes.Instance, caller: str
    ) -> None:
        """Send sound requests one after the other until cancelled."""
        while True:
            await self.send_sound(instance, caller)
            await asyncio.sleep(0.02)

    async def keep_sending_guilty(
        self, instance: processes.Instance, number: int
    ) -> None:
        """Send guilty requests of several callers until cancelled."""
        while True:
            caller = f'caller-{next(self.numbers) % 3}'
            rest = [f'document-{number}', _GUILTY][:: 1 - 2 * (number % 2)]
            answer = await self.send(instance, _FIRST, caller, *rest)
            self.statuses.append(0 if answer is None else answer.status)
            await asyncio.sleep(0.1)


class GuiltyPartTest(_CrashCase):
    """Requests with the part come at all instances, no two alike."""

    async def _assert_contained(
        self, point: crashes.CrashPoint, unframed: bool = False
    ) -> None:
        self.record.part, self.record.point = '', point
        async with self.running() as site:
            self.record.part = _GUILTY
            for engine in self.engines:
                engine.unframed = unframed
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(sender)
                    for number, instance in enumerate(site.instances)
                    for sender in (
                        self.keep_sending_sound(instance, f'caller-{number}'),
                        self.keep_sending_guilty(instance, number),
                    )
                ]
                while len(self.record.crashes) < _CRASHES and not (
                    self.convictions(site)
                ):
                    await asyncio.sleep(0.05)
                # Fewer crashes count from the last one.
                await asyncio.sleep(_CONTACT_SECONDS)
                known_at = time.monotonic()
                await asyncio.sleep(_CONTACT_SECONDS)
                recovered_at = time.monotonic()
                while len(self.served_since(recovered_at)) < _MIN_SOUND * 3:
                    await asyncio.sleep(0.05)
                for task in tasks:
                    task.cancel()
        late = [item for item in self.record.arrivals if item > known_at]
        self.assertLessEqual(len(late), _MAX_ARRIVALS, self.record)
        served = self.served_since(recovered_at)
        self.assertGreaterEqual(sum(served), len(served) / 2)
        self.assertEqual(503, self.statuses[-1])

    async def test_crash_before_the_head(self) -> None:
        """Engines end without any answer."""
        await self._assert_contained(crashes.CrashPoint.BEFORE_HEAD)

    async def test_crash_before_the_first_event(self) -> None:
        """Engines end after the head of their answer."""
        await self._assert_contained(crashes.CrashPoint.BEFORE_FIRST_EVENT)

    async def test_crash_within_the_first_event(self) -> None:
        """Engines end in the middle of an event."""
        await self._assert_contained(crashes.CrashPoint.WITHIN_FIRST_EVENT)

    async def test_crash_after_the_first_event(self) -> None:
        """Engines end in the middle of their answer."""
        await self._assert_contained(crashes.CrashPoint.AFTER_FIRST_EVENT)

    async def test_crash_in_an_answer_without_framing(self) -> None:
        """Answers end with their connection, sound ones as well."""
        await self._assert_contained(
            crashes.CrashPoint.AFTER_FIRST_EVENT, unframed=True
        )


class NewPromptTest(_CrashCase):
    """Nothing has been answered yet on the first part of all prompts (LOST).

    Streams last longer than it takes to crash all servers, so that sound ones
    break off with the others.
    """

    engine_count = 3
    warm = False

    def setUp(self) -> None:
        """Have servers come back after all others have ended."""
        super().setUp()
        patch = mock.patch.object(crashes, 'RESTART_SECONDS', 2.0)
        patch.start()
        self.addCleanup(patch.stop)

    def configuration(self) -> dict[str, typing.Any]:
        """Return a manifest by which a request is sent to two servers."""
        content = typing.cast('dict[str, typing.Any]', processes.manifest(1))
        content['Services'][1]['Engine'] |= {
            'Slots': 16,
            'KvCapacity': 100_000,
        }
        content['Routes'][1] |= {'MaxAttempts': 2, 'TimeoutMs': 12_000}
        return content

    async def _assert_sound_served(
        self, guilty: str, event_seconds: float
    ) -> None:
        self.record.part = ''
        async with self.running() as site:
            for engine in self.engines:
                engine.events, engine.event_seconds = 20, event_seconds
            async with asyncio.TaskGroup() as group:

                async def begin_sound(number: int) -> None:
                    while True:
                        instance = site.instances[number % _INSTANCES]
                        task = group.create_task(
                            self.send_sound(instance, 'caller')
                        )
                        tasks.append(task)
                        number += 1
                        await asyncio.sleep(0.12)

                async def begin_guilty(number: int) -> None:
                    await asyncio.sleep(0.5)
                    self.record.part = guilty
                    while True:
                        instance = site.instances[number % _INSTANCES]
                        tasks.append(
                            group.create_task(
                                self.send(instance, _FIRST, guilty)
                            )
                        )
                        number += 1
                        await asyncio.sleep(1.0)

                tasks: list[asyncio.Task[typing.Any]] = []
                tasks.append(group.create_task(begin_sound(0)))
                tasks.append(group.create_task(begin_guilty(0)))
                while not self.convictions(site):
                    await asyncio.sleep(0.05)
                await asyncio.sleep(2 * _CONTACT_SECONDS)
                since, crashed = time.monotonic(), len(self.record.crashes)
                await asyncio.sleep(_CONTACT_SECONDS)
                until, again = time.monotonic(), len(self.record.crashes)
                self.record.part = ''
                for task in tasks[:2]:
                    task.cancel()
        begun = [on for at, on in self.sound if since <= at < until]
        self.assertGreaterEqual(len(begun), _MIN_SOUND)
        self.assertGreaterEqual(sum(begun), len(begun) / 2)
        self.assertLessEqual(again - crashed, 1)

    async def test_refused_with_the_guilty_part(self) -> None:
        """The guilty part's name sorts after that of the first part."""
        await self._assert_sound_served('zz', 0.15)

    async def test_refused_with_another_guilty_part(self) -> None:
        """The guilty part's name sorts before that of the first part."""
        await self._assert_sound_served('aa', 0.15)

    async def test_refused_while_streams_last_long(self) -> None:
        """No sound stream is complete before all servers have ended."""
        await self._assert_sound_served('zz', 0.2)


class NoGuiltyPartTest(_CrashCase):
    """Engines end by themselves while sound requests run."""

    async def test_crashes_convict_nobody(self) -> None:
        """Requests that run beside a crash are served afterwards."""
        async with self.running() as site:
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(
                        self.keep_sending_sound(instance, f'caller-{caller}')
                    )
                    for instance in site.instances
                    for caller in range(3)
                ]
                for _ in range(2):
                    for engine in self.engines:
                        engine.crash()
                        await asyncio.sleep(0.3)
                await asyncio.sleep(_CONTACT_SECONDS)
                recovered_at = time.monotonic()
                while len(self.served_since(recovered_at)) < _MIN_SOUND * 3:
                    await asyncio.sleep(0.05)
                for task in tasks:
                    task.cancel()
            self.assertEqual([], self.convictions(site))
        served = self.served_since(recovered_at)
        self.assertGreaterEqual(sum(served), len(served) / 2)
