"""End-to-end tests of servers that limit their requests per second."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import statistics
import time
import typing
import unittest

from . import limited
from . import processes
from . import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 120.0

_INSTANCES: typing.Final = 3
_LIMIT: typing.Final = 2.5
# The users' bound on the time in which instances learn of something.
_CONTACT_SECONDS: typing.Final = 3.0
# What an instance sends for so long after its first such answer is excused.
_EXCUSED_SECONDS: typing.Final = 0.5
# The shares of the limits that have to be used.
_EVEN_USE: typing.Final = 0.7
_ONE_INSTANCE_USE: typing.Final = 0.6
# A caller that is told not to wait gets its answer within this time.
_AT_ONCE_SECONDS: typing.Final = 0.5


class _LimitCase(unittest.IsolatedAsyncioTestCase):
    """Three plain servers behind a few instances."""

    def setUp(self) -> None:
        """Begin without requests."""
        self.callers = limited.Callers()
        self.desks: list[servers.Server] = []

    @contextlib.asynccontextmanager
    async def running(
        self, instances: int = _INSTANCES
    ) -> abc.AsyncIterator[processes.Site]:
        """Run a site with three servers of one service."""

        def add_desks(site: processes.Site) -> None:
            self.desks = [
                site.desk,
                *(
                    servers.Server(site.store, f'd{number}', 'desk')
                    for number in (2, 3)
                ),
            ]
            site.servers.extend(self.desks[1:])

        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(
                instances, add_servers=add_desks
            ) as site:
                yield site

    async def name_limits(
        self, desks: abc.Iterable[servers.Server], text: str = f'{_LIMIT}'
    ) -> float:
        """Have servers name a limit; return since when requests count.

        That is ``_EXCUSED_SECONDS`` after each server has named it.
        """
        named = list(desks)
        for desk in named:
            desk.limit = text
        began = time.monotonic()
        await limited.wait_until(
            lambda: all(limited.arrivals_since(d, began) for d in named)
        )
        await asyncio.sleep(_EXCUSED_SECONDS)
        return time.monotonic()

    def assert_kept(
        self,
        desk: servers.Server,
        since: float,
        rate: float = _LIMIT,
    ) -> None:
        """Assert that a server got no more than its limit allows."""
        most = limited.most_in_window(desk.arrivals, since)
        self.assertLessEqual(most, limited.allowed(rate), desk.server_id)

    def assert_used(self, since: float, share: float, rate: float) -> None:
        """Assert that a share of what all servers take together is used."""
        served = sum(call.served for call in self.callers.since(since))
        seconds = time.monotonic() - since
        self.assertGreaterEqual(served, share * rate * seconds)

    def assert_refused_at_once(self, since: float) -> None:
        """Assert that the refused callers neither waited nor may press."""
        refused = [
            call for call in self.callers.since(since) if not call.served
        ]
        self.assertTrue(refused)
        self.assertEqual({503}, {call.status for call in refused})
        seconds = statistics.median(call.seconds for call in refused)
        self.assertLess(seconds, _AT_ONCE_SECONDS)
        self.assertGreater(min(call.retry_after for call in refused), 0.0)

    async def wait(self, seconds: float) -> float:
        """Wait for some seconds; return when that began."""
        began = time.monotonic()
        await asyncio.sleep(seconds)
        return began


class OneLimitedServerTest(_LimitCase):
    """One of three servers names a limit."""

    async def test_callers_at_all_instances(self) -> None:
        """The others take what the limited server does not."""
        async with self.running() as site:
            async with self.callers.at(site.instances, 20.0):
                since = await self.name_limits(self.desks[:1])
                await asyncio.sleep(_CONTACT_SECONDS)
                settled = await self.wait(6.0)
            self.assert_kept(self.desks[0], since)
            calls = self.callers.since(settled)
            served = sum(call.served for call in calls)
            self.assertGreaterEqual(served, 0.95 * len(calls))

    async def test_end_of_the_limit(self) -> None:
        """The server gets its share again after it names no limit."""
        async with self.running() as site:
            async with self.callers.at(site.instances, 20.0):
                await self.name_limits(self.desks[:1])
                await asyncio.sleep(_CONTACT_SECONDS)
                self.desks[0].limit = None
                await asyncio.sleep(2 * _CONTACT_SECONDS)
                ended = await self.wait(3.0)
            got = limited.arrivals_since(self.desks[0], ended)
            total = sum(limited.arrivals_since(d, ended) for d in self.desks)
            self.assertGreater(got, total / 6)

    async def test_limit_of_zero(self) -> None:
        """A server that takes nothing gets hardly a request; it ends."""
        async with self.running() as site:
            async with self.callers.at(site.instances, 20.0):
                since = await self.name_limits(self.desks[:1], '0')
                await asyncio.sleep(8.0)
                taking_nothing = list(self.desks[0].arrivals)
                self.desks[0].limit = None
                await asyncio.sleep(8.0)
                ended = await self.wait(3.0)
            most = limited.most_in_window(taking_nothing, since)
            self.assertLessEqual(most, limited.allowed(0.0))
            got = limited.arrivals_since(self.desks[0], ended)
            total = sum(limited.arrivals_since(d, ended) for d in self.desks)
            self.assertGreater(got, total / 6)

    async def test_unreadable_limits(self) -> None:
        """Texts that are no number limit nothing and harm nothing."""
        async with self.running() as site:
            async with self.callers.at(site.instances, 20.0):
                for text in (
                    'nan', 'inf', '-1', '', 'x', '1e999', '9' * 5000, '2, 3',
                ):  # fmt: skip
                    self.desks[0].limit = text
                    await asyncio.sleep(0.3)
                settled = await self.wait(3.0)
            got = limited.arrivals_since(self.desks[0], settled)
            total = sum(limited.arrivals_since(d, settled) for d in self.desks)
            self.assertGreater(got, total / 6)
            self.assertTrue(all(c.served for c in self.callers.calls))


class AllLimitedServersTest(_LimitCase):
    """All servers of a service name limits; there are too many requests."""

    _RATE = _LIMIT * 3

    async def test_callers_at_all_instances(self) -> None:
        """The limits are kept, and used; the others are refused at once."""
        async with self.running() as site:
            async with self.callers.at(site.instances, 10.0):
                since = await self.name_limits(self.desks)
                await asyncio.sleep(_CONTACT_SECONDS)
                settled = await self.wait(12.0)
            for desk in self.desks:
                self.assert_kept(desk, since)
            self.assert_used(settled, _EVEN_USE, self._RATE)
            self.assert_refused_at_once(settled)

    async def test_callers_at_one_instance(self) -> None:
        """One instance gets nearly all of what the servers take."""
        async with self.running() as site:
            async with self.callers.at(site.instances, 10.0):
                since = await self.name_limits(self.desks)
            async with self.callers.at(site.instances[1:2], 30.0):
                await asyncio.sleep(_CONTACT_SECONDS)
                settled = await self.wait(12.0)
            for desk in self.desks:
                self.assert_kept(desk, since)
            self.assert_used(settled, _ONE_INSTANCE_USE, self._RATE)
            self.assert_refused_at_once(settled)

    async def test_changed_limits(self) -> None:
        """A lower limit is kept, a higher one is used."""
        async with self.running() as site:
            async with self.callers.at(site.instances, 15.0):
                await self.name_limits(self.desks, '8')
                await asyncio.sleep(_CONTACT_SECONDS)
                for desk in self.desks:
                    desk.limit = '2'
                lowered = await self.wait(_CONTACT_SECONDS)
                await asyncio.sleep(5.0)
                while_low = [list(desk.arrivals) for desk in self.desks]
                for desk in self.desks:
                    desk.limit = '8'
                await asyncio.sleep(_CONTACT_SECONDS)
                raised = await self.wait(6.0)
            for arrivals in while_low:
                most = limited.most_in_window(arrivals, lowered + 1.0)
                self.assertLessEqual(most, limited.allowed(2.0))
            self.assert_used(raised, _EVEN_USE, 24.0)

    async def test_owner_killed(self) -> None:
        """The sum holds while another instance takes over, and after it."""
        async with self.running() as site:
            owner = await site.owner_number()
            async with self.callers.at(site.instances, 10.0):
                since = await self.name_limits(self.desks)
                await asyncio.sleep(_CONTACT_SECONDS)
                site.instances[owner].process.kill()
                await asyncio.sleep(2 * _CONTACT_SECONDS)
                settled = await self.wait(8.0)
            for desk in self.desks:
                self.assert_kept(desk, since)
            # The dead instance's share is kept for it for some time.
            self.assert_used(settled, _EVEN_USE * 2 / 3, self._RATE)

    async def test_frozen_and_woken(self) -> None:
        """Instances that stand still for seconds send nothing too much."""
        async with self.running() as site:
            owner = await site.owner_number()
            async with self.callers.at(site.instances, 10.0):
                since = await self.name_limits(self.desks)
                for number in (owner, (owner + 1) % _INSTANCES):
                    process = site.instances[number].process.pid
                    os.kill(process, signal.SIGSTOP)
                    await asyncio.sleep(4.0)
                    os.kill(process, signal.SIGCONT)
                    await asyncio.sleep(4.0)
            for desk in self.desks:
                self.assert_kept(desk, since)

    async def test_cut_off_from_the_store(self) -> None:
        """The owner, then all instances, do not reach the store."""
        async with self.running() as site:
            owner = await site.owner_number()
            async with self.callers.at(site.instances, 10.0):
                since = await self.name_limits(self.desks)
                site.links[owner].cut = True
                await asyncio.sleep(6.0)
                site.store.unavailable = True
                settled = await self.wait(4.0)
                site.store.unavailable = False
                site.links[owner].cut = False
                await asyncio.sleep(4.0)
            for desk in self.desks:
                self.assert_kept(desk, since)
            self.assert_used(settled, 0.3, self._RATE)

    async def test_started_instance(self) -> None:
        """An instance that starts keeps to the limits with the others."""
        async with self.running() as site:
            async with self.callers.at(site.instances, 10.0):
                since = await self.name_limits(self.desks)
                await asyncio.sleep(_CONTACT_SECONDS)
                new = site.start_instance('front-new')
                await new.wait_ready()
                async with self.callers.at([new], 20.0, _INSTANCES):
                    await asyncio.sleep(8.0)
            for desk in self.desks:
                self.assert_kept(desk, since)
            served = [c for c in self.callers.calls if c.instance == 3]
            self.assertTrue(any(call.served for call in served))

    async def test_urgent_requests_first(self) -> None:
        """Callers of an urgent route get most of what servers take."""
        urgent = processes.route(
            '/urgent/', 'desk', Type='idempotent', Priority=0
        )
        urgent_callers = limited.Callers('/urgent/x')
        async with self.running() as site:
            site.store.put('keyed.op', 'config', processes.manifest(2, urgent))
            await asyncio.sleep(2.0)
            async with (
                self.callers.at(site.instances, 10.0),
                urgent_callers.at(site.instances, 1.5),
            ):
                await self.name_limits(self.desks)
                await asyncio.sleep(_CONTACT_SECONDS)
                settled = await self.wait(8.0)
        calls = urgent_callers.since(settled)
        served = sum(call.served for call in calls)
        self.assertGreaterEqual(served, 0.8 * len(calls))


class LimitedEngineTest(unittest.IsolatedAsyncioTestCase):
    """Engines name limits; callers stream."""

    async def test_only_engine_of_a_model(self) -> None:
        """Its model stays reachable within the limit."""
        callers = limited.Callers('/stream/x', 'POST', 'loaded')
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(_INSTANCES) as site:
                async with callers.at(site.instances, 10.0):
                    site.engine.limit = f'{_LIMIT}'
                    await asyncio.sleep(_CONTACT_SECONDS)
                    began = time.monotonic()
                    await asyncio.sleep(8.0)
                calls = callers.since(began)
                most = limited.most_in_window(site.engine.arrivals, began)
        self.assertLessEqual(most, limited.allowed(_LIMIT))
        served = sum(call.served for call in calls)
        self.assertGreaterEqual(served, _EVEN_USE * _LIMIT * 8.0)

    async def test_model_gets_another_engine(self) -> None:
        """A model on a limited engine alone is loaded on a free one."""
        callers = limited.Callers('/stream/x', 'POST', 'loaded')

        def add_engine(site: processes.Site) -> None:
            site.servers.append(
                servers.Server(site.store, 'e2', 'engines', slots=16)
            )

        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(
                _INSTANCES, add_servers=add_engine
            ) as site:
                site.engine.limit = f'{_LIMIT}'
                async with callers.at(site.instances, 5.0):
                    await asyncio.sleep(3 * _CONTACT_SECONDS)
                    began = time.monotonic()
                    await asyncio.sleep(3.0)
                calls = callers.since(began)
        served = sum(call.served for call in calls)
        self.assertGreaterEqual(served, 0.9 * len(calls))
