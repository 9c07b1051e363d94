"""End-to-end tests of versions of which an instance is not told."""

from __future__ import annotations

import asyncio
import time
import typing
import unittest

from . import processes

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 40.0

_CONFIGURATION: typing.Final = 'keyed.op'
# A version has to be active within this time of its acknowledgement.
_APPLY_SECONDS: typing.Final = 2.0
_ROUTES: typing.Final = 1700
# A version with so many routes takes more than a second.
_SLOW_BYTES_PER_SECOND: typing.Final = 300_000.0
# Instances, of which the owner and eight others read the store.
_INSTANCES: typing.Final = 11
# Looks at the polls, over more than the time for which one is held.
_SAMPLES: typing.Final = 50


class AddedRouteTest(unittest.IsolatedAsyncioTestCase):
    """Requests on a route that a version has just added."""

    async def _assert_served(
        self, site: processes.Site, instance: processes.Instance, version: int
    ) -> None:
        """Ask for the route until it is served; it is never missing.

        A request that is sent later than the version may take to be active
        is not refused for good, however slow the machine is.
        """
        target = f'/added-{version}/x'
        number = 0
        while True:
            number += 1
            sent_at = time.monotonic()
            answer = await instance.call(target, f'{version}-{number}')
            if answer.status == 200:
                return
            if sent_at - self.put_at > _APPLY_SECONDS:
                self.assertEqual(503, answer.status, instance.log_lines()[-9:])
            await asyncio.sleep(0.02)

    def _put(self, site: processes.Site, *versions: int) -> None:
        """Put versions that each add a route to those before."""
        for version in versions:
            self.routes.append(processes.plain_route(f'/added-{version}/'))
            content = processes.manifest(version, *self.routes)
            site.store.put(_CONFIGURATION, 'config', content)
        self.put_at = time.monotonic()

    def setUp(self) -> None:
        """Begin without added routes."""
        self.routes: list[dict[str, object]] = []
        self.put_at = 0.0

    async def test_answer_lost(self) -> None:
        """The answer to the poll is lost at a lone instance."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(1) as site:
                for version in (2, 3):
                    site.links[0].lost_answers[_CONFIGURATION] = 1
                    self._put(site, version)
                    await self._assert_served(site, site.instances[0], version)

    async def test_answers_lost_at_all_instances(self) -> None:
        """No instance is told of the version by the store or by a peer."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(3) as site:
                for link in site.links:
                    link.lost_answers[_CONFIGURATION] = 2
                self._put(site, 2, 3)
                async with asyncio.TaskGroup() as group:
                    for instance in site.instances:
                        group.create_task(
                            self._assert_served(site, instance, 3)
                        )

    async def test_readers_without_an_answer(self) -> None:
        """Those who read the store for the others hear nothing from it."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(_INSTANCES) as site:
                followers = await self._followers(site)
                for number, link in enumerate(site.links):
                    link.cut = number not in followers
                self._put(site, 2)
                for number in followers:
                    await self._assert_served(site, site.instances[number], 2)

    async def test_versions_follow_each_other_on_slow_links(self) -> None:
        """Large versions come faster than busy instances can read them."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(4) as site:
                self.routes = processes.plain_routes(_ROUTES)
                for link in site.links:
                    link.bytes_per_second = _SLOW_BYTES_PER_SECOND
                async with asyncio.TaskGroup() as group:
                    busy = [
                        group.create_task(self._keep_busy(instance))
                        for instance in site.instances
                    ]
                    for version in (2, 3, 4):
                        self._put(site, version)
                        await asyncio.sleep(0.3)
                    checks = [
                        group.create_task(
                            self._assert_served(site, instance, 4)
                        )
                        for instance in site.instances
                    ]
                    await asyncio.gather(*checks)
                    for task in busy:
                        task.cancel()

    async def _keep_busy(self, instance: processes.Instance) -> None:
        """Send requests one after the other until cancelled."""
        number = 0
        while True:
            number += 1
            await instance.call(f'/plain/{number}', f'busy-{number}')

    async def _followers(self, site: processes.Site) -> list[int]:
        """Return the instances whose polls the store does not hold."""
        followers: list[int] = []
        while not followers:
            held = [0] * len(site.links)
            for _ in range(_SAMPLES):
                await asyncio.sleep(0.02)
                for number, link in enumerate(site.links):
                    held[number] += link.is_polling(_CONFIGURATION)
            followers = [
                number for number, count in enumerate(held) if not count
            ]
        return followers
