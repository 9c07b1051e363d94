"""End-to-end tests of a store that comes back from an older copy."""

from __future__ import annotations

import asyncio
import typing
import unittest

from . import processes
from . import server as servers
from . import store as stores

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 30.0


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    """Two instances give no orders with one fencing token (ONE)."""

    async def _load_adapter(
        self, instance: processes.Instance, adapter: str
    ) -> None:
        """Request an adapter until it is loaded on the engine."""
        for number in range(100):
            answer = await instance.call(
                '/stream/x',
                f'{adapter}-{number}',
                'POST',
                f'loaded/{adapter}',
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        self.fail(f'no answer of {adapter}')

    async def test_owner_killed_as_the_store_is_restored(self) -> None:
        """The copy is from before the owner joined its group."""
        copies: list[stores.StoreCopy] = []

        def keep_copy(site: processes.Site) -> None:
            copies.append(site.store.copy())

        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(
                2, add_servers=keep_copy
            ) as site:
                store, engine = site.store, site.engine
                while not store.owner():
                    await asyncio.sleep(0.02)
                owner, other = site.instances
                if store.owner() != owner.member:
                    owner, other = other, owner
                await self._load_adapter(other, 'a1')
                store.unavailable = True
                owner.process.kill()
                store.restore(copies[0])
                store.put('keyed.op', 'config', processes.manifest(1))
                for server in site.servers:
                    server.register()
                store.unavailable = False
                await self._load_adapter(other, 'a2')
                holders: dict[int, set[str]] = {}
                for holder, fence in engine.order_sources:
                    holders.setdefault(fence, set()).add(holder)
                self.assertEqual(2, len(set.union(*holders.values())))
                self.assertEqual({1}, {len(item) for item in holders.values()})


class ConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """No version is missed after a restore (CONFIG)."""

    async def _wait_applied(self, site: processes.Site, version: int) -> None:
        """Wait until all instances serve the route that a version adds."""
        for number, instance in enumerate(site.instances):
            for attempt in range(150):
                answer = await instance.call(
                    f'/added-{version}/x', f'{version}-{number}-{attempt}'
                )
                if answer.status == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                self.fail(f'instance {number} lacks version {version}')

    def _write(self, site: processes.Site, version: int) -> None:
        """Write a version, which adds a route for each one after the first."""
        routes = [
            processes.plain_route(f'/added-{number}/')
            for number in range(2, version + 1)
        ]
        site.store.put(
            'keyed.op', 'config', processes.manifest(version, *routes)
        )

    async def _restore(
        self,
        site: processes.Site,
        kept: stores.StoreCopy,
        *versions: int,
    ) -> None:
        """Come back from a copy; the writers write again what was lost."""
        site.store.restore(kept)
        for version in versions:
            self._write(site, version)
        for server in site.servers:
            server.register()
        site.store.unavailable = False

    async def _play(self, strict: bool, *, restores: int = 1) -> None:
        """Lose versions, write the newest of them again and a later one.

        The topic then ends at the offset up to which it was read before.
        """
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(2) as site:
                site.store.strict = strict
                kept = site.store.copy()
                for version in (2, 3):
                    self._write(site, version)
                    await self._wait_applied(site, version)
                site.store.unavailable = True
                await asyncio.sleep(1.2)
                for _ in range(restores):
                    site.store.unavailable = True
                    await self._restore(site, kept, 3)
                self._write(site, 4)
                await self._wait_applied(site, 4)

    async def test_end_at_the_offset(self) -> None:
        """What follows the offset was written before the last read of it."""
        await self._play(strict=False)

    async def test_end_at_the_offset_after_two_restores(self) -> None:
        """The era rises twice between two reads."""
        await self._play(strict=True, restores=2)

    async def test_instance_started_after_the_restore(self) -> None:
        """A copy of a peer from before the restore names an old offset."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(2) as site:
                kept = site.store.copy()
                for version in (2, 3):
                    self._write(site, version)
                    await self._wait_applied(site, version)
                site.store.unavailable = True
                await self._restore(site, kept, 3)
                await site.start_instance('front-2').wait_ready()
                self._write(site, 4)
                await self._wait_applied(site, 4)


class ServerListTest(unittest.IsolatedAsyncioTestCase):
    """No entry of a server is missed after a restore (DRAIN)."""

    async def test_departure_at_the_offset(self) -> None:
        """A server says that it leaves where another entry was read before."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(2) as site:
                store = site.store
                other = servers.Server(store, 'd2', 'desk')
                try:
                    await other.start()
                    kept = store.copy()
                    for _ in range(3):
                        other.register()
                    await asyncio.sleep(1.5)
                    store.unavailable = True
                    await asyncio.sleep(1.2)
                    store.restore(kept)
                    site.engine.register()
                    other.register()
                    site.desk.register('draining')
                    store.unavailable = False
                    await asyncio.sleep(2.5)
                    before = len(site.desk.executed_attempts)
                    for number in range(20):
                        instance = site.instances[number % 2]
                        await instance.call('/plain/x', f'after-{number}')
                    self.assertEqual(before, len(site.desk.executed_attempts))
                finally:
                    other.http.stop()
