"""End-to-end tests of a store that comes back from an older copy."""

from __future__ import annotations

import asyncio
import typing
import unittest

from . import processes
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
