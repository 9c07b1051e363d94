"""End-to-end tests of crashing servers while all instances are killed."""

from __future__ import annotations

import asyncio
import contextlib
import typing

from . import crashes
from . import processes

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 120.0

_INSTANCES: typing.Final = 3
_SERVERS: typing.Final = 8
# The users' bounds: the time in which instances learn of something, the
# crashes before that, and the requests that may reach servers after both.
_CONTACT_SECONDS: typing.Final = 3.0
_PART_CRASHES: typing.Final = 5
_REQUEST_CRASHES: typing.Final = 3
_MAX_ARRIVALS: typing.Final = 3
_PAUSE_SECONDS: typing.Final = 1.0
_GUILTY_PART: typing.Final = 'bad'
_GUILTY_BODY: typing.Final = b'{"claim": "guilty"}'


class AllKilledTest(crashes.CrashCase):
    """What crashes servers is known after all instances end (BUDGET)."""

    @contextlib.asynccontextmanager
    async def _running(
        self, service: str, *models: str
    ) -> abc.AsyncIterator[processes.Site]:
        """Run a site whose servers of a service crash."""
        self.servers: list[crashes.CrashingServer] = []

        def add_servers(site: processes.Site) -> None:
            for number in range(_SERVERS):
                self.servers.append(
                    crashes.CrashingServer(
                        site.store, f'c{number}', self.record, service, models
                    )
                )
            site.servers[:] = self.servers

        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(
                _INSTANCES, add_servers=add_servers, linked=False
            ) as site:
                try:
                    yield site
                finally:
                    for server in self.servers:
                        await server.stopped()

    async def _restart_all(self, site: processes.Site) -> None:
        """Kill all instances, start them again and wait for contact."""
        for instance in site.instances:
            instance.process.kill()
        for instance in site.instances:
            await instance.wait_stopped()
            site.start_again(instance)
        for instance in site.instances:
            await instance.wait_ready()
        await asyncio.sleep(_CONTACT_SECONDS)

    async def _call(
        self, site: processes.Site, target: str, *args: typing.Any
    ) -> int:
        """Send a request to the next instance; return the status."""
        number = next(self.numbers)
        instance = site.instances[number % _INSTANCES]
        with contextlib.suppress(OSError, EOFError):
            answer = await instance.call(target, f'r-{number}', 'POST', *args)
            return answer.status if answer.complete else 0
        return 0

    async def _send_prompt(self, site: processes.Site, part: str) -> int:
        """Send a prompt with a part; others share its first part."""
        own = f'own-{next(self.numbers)}'
        prompt = crashes.prompt_header('f1', part, own)
        return await self._call(site, '/stream/x', 'loaded', prompt)

    async def _send_body(self, site: processes.Site, body: bytes) -> int:
        return await self._call(site, '/plain/x', '', '', body)

    def _late(self, crash: int) -> int:
        """Return how many requests came long after the nth crash."""
        if len(self.record.crashes) < crash:
            return 0
        known_at = self.record.crashes[crash - 1] + _CONTACT_SECONDS
        return sum(at > known_at for at in self.record.arrivals)

    async def test_part_of_prompts(self) -> None:
        """Requests with the part come after each start; no two are alike."""
        async with self._running('engines', 'loaded') as site:
            for number in range(9):
                await self._send_prompt(site, f'sound-{number % 3}')
            self.record.part = _GUILTY_PART
            for kill in range(4):
                if kill:
                    await self._restart_all(site)
                for _ in range(4):
                    status = await self._send_prompt(site, _GUILTY_PART)
                    await asyncio.sleep(_PAUSE_SECONDS)
                self.assertEqual(503, status)
                self.assertEqual(200, await self._send_prompt(site, 'other'))
        self.assertLessEqual(
            self._late(_PART_CRASHES), _MAX_ARRIVALS, self.record
        )

    async def test_whole_request(self) -> None:
        """One request comes again after each start."""
        async with self._running('desk') as site:
            self.record.body = _GUILTY_BODY
            self.record.point = crashes.CrashPoint.BEFORE_HEAD
            for kill in range(3):
                if kill:
                    await self._restart_all(site)
                for _ in range(3):
                    status = await self._send_body(site, _GUILTY_BODY)
                    await asyncio.sleep(_PAUSE_SECONDS)
                self.assertEqual(503, status)
                self.assertEqual(200, await self._send_body(site, b'sound'))
        self.assertLessEqual(
            self._late(_REQUEST_CRASHES), _MAX_ARRIVALS, self.record
        )

    async def test_killed_before_a_verdict(self) -> None:
        """Two crashes before each kill are no verdict, but evidence."""
        async with self._running('desk') as site:
            self.record.body = _GUILTY_BODY
            self.record.point = crashes.CrashPoint.BEFORE_HEAD
            for kill in range(4):
                if kill:
                    await self._restart_all(site)
                await self._send_body(site, _GUILTY_BODY)
                await asyncio.sleep(_PAUSE_SECONDS)
            self.assertEqual(200, await self._send_body(site, b'sound'))
        self.assertLessEqual(
            self._late(_REQUEST_CRASHES), _MAX_ARRIVALS, self.record
        )

    async def test_store_away_at_the_start(self) -> None:
        """The records are read as soon as the store is back."""
        async with self._running('desk') as site:
            self.record.body = _GUILTY_BODY
            self.record.point = crashes.CrashPoint.BEFORE_HEAD
            for _ in range(3):
                await self._send_body(site, _GUILTY_BODY)
                await asyncio.sleep(_PAUSE_SECONDS)
            site.store.unavailable = True
            for instance in site.instances:
                instance.process.kill()
            for instance in site.instances:
                await instance.wait_stopped()
                site.start_again(instance)
            await asyncio.sleep(2.0)
            site.store.unavailable = False
            for instance in site.instances:
                await instance.wait_ready()
            arrivals = len(self.record.arrivals)
            for _ in range(_INSTANCES):
                self.assertEqual(
                    503, await self._send_body(site, _GUILTY_BODY)
                )
            self.assertEqual(arrivals, len(self.record.arrivals))
