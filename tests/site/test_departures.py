"""End-to-end tests of servers that leave while the store behaves badly."""

from __future__ import annotations

import asyncio
import contextlib
import typing
import unittest

from . import processes
from . import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 30.0

_SERVERS: typing.Final = 'keyed.servers'
# Requests after which each of two idle servers has had some.
_REQUESTS: typing.Final = 24


class _DepartureCase(unittest.IsolatedAsyncioTestCase):
    """A site whose plain service has two servers, d1 and d2."""

    @contextlib.asynccontextmanager
    async def running(
        self, instances: int
    ) -> abc.AsyncIterator[processes.Site]:
        """Run a site until its instances have used both servers."""

        def add_server(site: processes.Site) -> None:
            self.other = servers.Server(site.store, 'd2', 'desk')
            site.servers.append(self.other)

        self.markers = 0
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(
                instances, add_servers=add_server
            ) as site:
                for instance in site.instances:
                    while not site.desk.executed_attempts:
                        await self.use(instance)
                    site.desk.executed_attempts.clear()
                yield site

    async def use(self, instance: processes.Instance) -> None:
        """Send some requests for the plain service, which all succeed."""
        for number in range(_REQUESTS):
            answer = await instance.call(f'/plain/{number}', f'use-{number}')
            self.assertEqual(200, answer.status)

    async def wait_for(
        self, instance: processes.Instance, server_id: str, *kinds: str
    ) -> None:
        """Wait until an instance logs one of these changes of a server."""
        wanted = {f'servers:{kind}' for kind in kinds}
        while not any(
            line['message_type'] in wanted and line['server'] == server_id
            for line in instance.log_lines()
        ):
            await asyncio.sleep(0.02)

    async def wait_for_list(self, site: processes.Site) -> None:
        """Wait until all instances have read the records written so far."""
        self.markers += 1
        marker = servers.Server(
            site.store, f'marker-{self.markers}', 'engines', 'other'
        )
        marker.register()
        for instance in site.instances:
            await self.wait_for(instance, marker.server_id, 'added')

    async def assert_unused(self, site: processes.Site) -> None:
        """Check that no instance sends a request to d1."""
        for instance in site.instances:
            await self.use(instance)
        self.assertEqual([], site.desk.executed_attempts)


class TurnedAwayTest(_DepartureCase):
    """The store turns one instance away and serves the others."""

    async def _assert_learned(self, state: str | None) -> None:
        async with self.running(2) as site:
            instance, link = site.instances[0], site.links[0]
            while not site.store.owner():
                await asyncio.sleep(0.02)
            link.cut = True
            await asyncio.sleep(1.5)
            if state is None:
                site.store.put(_SERVERS, 'd1', None)
            else:
                site.desk.register(state)
            await self.wait_for(instance, 'd1', 'leaving', 'removed')
            await self.assert_unused(site)
            link.cut = False
            await self.wait_for_list(site)
            await self.assert_unused(site)

    async def test_server_reports_that_it_leaves(self) -> None:
        """The instance learns from its peer that a server leaves."""
        await self._assert_learned('draining')

    async def test_entry_removed(self) -> None:
        """The instance learns from its peer that an entry is removed."""
        await self._assert_learned(None)


class ListedAgainTest(_DepartureCase):
    """Entries that are written after a server has left."""

    async def test_listed_as_ready_after_its_entry_was_removed(self) -> None:
        """A renewed or late entry does not bring the server back."""
        async with self.running(1) as site:
            site.desk.register('draining')
            await self.wait_for(site.instances[0], 'd1', 'leaving')
            site.store.put(_SERVERS, 'd1', None)
            await self.wait_for(site.instances[0], 'd1', 'removed')
            site.desk.register('ready')
            await self.wait_for_list(site)
            await self.assert_unused(site)
            site.store.drop_history(_SERVERS)
            await self.wait_for_list(site)
            await self.assert_unused(site)

    async def test_entry_of_another_writer(self) -> None:
        """An entry that names no server to use withdraws the server."""
        async with self.running(1) as site:
            site.store.put(_SERVERS, 'd1', {'State': 'ready'})
            await self.wait_for_list(site)
            await self.assert_unused(site)

    async def test_report_after_an_entry_with_a_high_number(self) -> None:
        """A server's own report counts whatever another writer has put."""
        async with self.running(1) as site:
            site.desk.register(reports=1000, born=2**50)
            await self.wait_for_list(site)
            site.desk.register('draining')
            await self.wait_for_list(site)
            await self.assert_unused(site)


class StartedAgainTest(_DepartureCase):
    """Servers leave as planned and start again under their ids."""

    async def test_all_servers_of_a_service(self) -> None:
        """Requests were refused for ever."""
        async with self.running(2) as site:
            desks = [site.desk, self.other]
            for desk in desks:
                desk.register(born=1_000)
            for desk in desks:
                desk.register('draining', born=1_000)
                for instance in site.instances:
                    await self.wait_for(instance, desk.server_id, 'leaving')
            for desk in desks:
                desk.http.stop()
                site.store.put(_SERVERS, desk.server_id, None)
            for desk in desks:
                await desk.http.start()
                desk.register(born=2_000, reports=1)
                # The last report of the process before comes late.
                desk.register('draining', born=1_000, reports=9)
                desk.register(born=2_000, reports=2)
            await self.wait_for_list(site)
            for instance in site.instances:
                await self.use(instance)


def _entry(address: bytes, slots: bytes) -> bytes:
    return (
        b'{"Service":"desk","Address":%s,"Zone":"zone-1","Version":"v1",'
        b'"Slots":%s,"State":"ready","Sequence":1}' % (address, slots)
    )


class OddEntryTest(_DepartureCase):
    """An entry of another writer that the decoder cannot hold (DRAIN).

    It ended the watch of the list at this entry again and again.
    """

    async def _assert_followed(self, body: bytes) -> None:
        """The list is followed behind the entry, also from a start on."""
        async with self.running(1) as site:
            site.store.put_bytes(_SERVERS, 'other', body)
            await self.wait_for(site.instances[0], 'other', 'unreadable')
            site.desk.register('draining')
            await self.wait_for(site.instances[0], 'd1', 'leaving')
            await self.assert_unused(site)
            started = site.start_instance('front-9')
            await started.wait_ready()
            for instance in site.instances:
                parts = [
                    line['message_type']
                    for line in instance.log_lines()
                    if line['message_type'] == 'supervisor:part_failed'
                ]
                self.assertEqual([], parts)
            await self.assert_unused(site)

    async def test_nested_in_a_field_that_is_not_read(self) -> None:
        """Arrays within arrays, without an end."""
        await self._assert_followed(b'{"Labels":' + b'[' * 3000)

    async def test_nested_in_a_whole_entry(self) -> None:
        """The same in an entry that is complete."""
        nested = b'[' * 3000 + b']' * 3000
        entry = (
            b'{"Service":"desk","Address":"127.0.0.1:1","Zone":"zone-1",'
            b'"Version":"v1","Slots":4,"State":"ready","Sequence":1,'
            b'"Labels":' + nested + b'}'
        )
        await self._assert_followed(entry)

    async def test_port_out_of_range(self) -> None:
        """The entry was taken for a server that no request reaches."""
        await self._assert_followed(_entry(b'"127.0.0.1:70000"', b'4'))

    async def test_number_of_many_digits(self) -> None:
        """A number that is too large to compute with."""
        await self._assert_followed(_entry(b'"127.0.0.1:1"', b'9' * 400))


class SilentReadsTest(_DepartureCase):
    """Reads of the list get no answer."""

    async def test_reads_without_an_answer(self) -> None:
        """Reads that wait for a lost answer do not hold up the next one."""
        async with self.running(1) as site:
            link = site.links[0]
            link.lost_answers[_SERVERS] = 2
            site.desk.register('draining')
            await self.wait_for(site.instances[0], 'd1', 'leaving')
            lost = [
                line
                for line in site.instances[0].log_lines()
                if line['message_type'] == 'store:lost'
            ]
            self.assertEqual([], lost)
            await self.assert_unused(site)
