"""End-to-end tests of instances with slow links to the store."""

from __future__ import annotations

import asyncio
import json
import typing
import unittest

from . import links
from . import processes
from . import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 60.0

_CONFIGURATION: typing.Final = 'keyed.op'
_SERVERS: typing.Final = 'keyed.servers'
_ROUTES: typing.Final = 1700
_LAST_ROUTE: typing.Final = f'/added-{_ROUTES - 1}/x'
_SERVER_ENTRIES: typing.Final = 900
# Reads of a topic's records that an instance begins until it has them.
_MAX_READS: typing.Final = 6


def _put_configuration(
    site: processes.Site, version: int, *more: dict[str, typing.Any]
) -> int:
    """Put a large configuration and return its size in bytes."""
    routes = processes.plain_routes(_ROUTES)
    content = processes.manifest(version, *routes, *more)
    site.store.put(_CONFIGURATION, 'config', content)
    return len(json.dumps(content))


def _slow_down(link: links.Link, size: int, seconds: float) -> None:
    """Let a body of this size take so long on the link."""
    link.bytes_per_second = size / seconds


def _configuration_size() -> int:
    routes = processes.plain_routes(_ROUTES)
    return len(json.dumps(processes.manifest(2, *routes)))


def _messages(instance: processes.Instance, kind: str) -> list[dict[str, int]]:
    return [
        line
        for line in instance.log_lines()
        if line['message_type'] == f'configuration:{kind}'
    ]


def _in_force(instance: processes.Instance, version: int) -> bool:
    lines = _messages(instance, 'in_force')
    return any(line['version'] >= version for line in lines)


async def _wait_until(condition: abc.Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.02)


class _SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Counts the reads that instances begin."""

    def assert_few_reads(
        self, instance: processes.Instance, link: links.Link, topic: str
    ) -> None:
        """Fail if an instance has begun too many reads of records."""
        begun = link.transfers(topic)
        ended = sum(item.complete for item in begun)
        news = len(_messages(instance, 'behind'))
        self.assertLessEqual(
            len(begun),
            _MAX_READS,
            f'reads of {topic}, {ended} complete, {news} after news of peers',
        )

    async def wait_for_version(
        self, site: processes.Site, version: int
    ) -> None:
        """Wait until all instances have a version in force."""
        waiting = list(zip(site.instances, site.links, strict=True))
        while waiting:
            waiting = [
                pair for pair in waiting if not _in_force(pair[0], version)
            ]
            for instance, link in waiting:
                self.assert_few_reads(instance, link, _CONFIGURATION)
            await asyncio.sleep(0.02)

    async def assert_served(
        self, instance: processes.Instance, target: str
    ) -> None:
        """Check that a request with this target succeeds."""
        answer = await instance.call(target, f'check-{target}')
        self.assertEqual(200, answer.status)


class ConfigurationOverSlowLinkTest(_SlowLinkTest):
    """Configurations whose transfer takes longer than peers take to talk."""

    async def _start_slow_change(
        self, site: processes.Site, seconds: float
    ) -> None:
        """Put a large configuration; only the first link stays fast."""
        await _wait_until(lambda: bool(site.store.owner()))
        for number, instance in enumerate(site.instances):
            # An adapter needs the owner, which tells of versions.
            answer = await instance.call(
                '/stream/x', f'first-{number}', 'POST', 'loaded/a1'
            )
            self.assertEqual(200, answer.status)
        size = _configuration_size()
        for link in site.links:
            link.forget_transfers()
        for link in site.links[1:]:
            _slow_down(link, size, seconds)
        _put_configuration(site, 2)

    async def test_large_configuration_applied_at_all_instances(self) -> None:
        """News of the version from peers does not restart its transfer."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(3) as site:
                await self._start_slow_change(site, 1.5)
                await self.wait_for_version(site, 2)
                for instance in site.instances:
                    await self.assert_served(instance, _LAST_ROUTE)

    async def test_second_change_while_the_first_is_read(self) -> None:
        """Each version's transfer is thrown away at most once."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(3) as site:
                await self._start_slow_change(site, 1.5)
                for link in site.links:
                    await _wait_until(
                        lambda each=link: bool(each.transfers(_CONFIGURATION))
                    )
                added = processes.plain_route('/second/')
                _put_configuration(site, 3, added)
                await self.wait_for_version(site, 3)
                for instance in site.instances:
                    await self.assert_served(instance, '/second/x')
                for link in site.links:
                    aborted = [
                        item.end
                        for item in link.transfers(_CONFIGURATION)
                        if not item.complete
                    ]
                    self.assertEqual(sorted(set(aborted)), sorted(aborted))

    async def test_route_unknown_while_behind_is_refused_as_retryable(
        self,
    ) -> None:
        """An instance that knows of a newer version gives no final 404."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(3) as site:
                await self._start_slow_change(site, 3.0)
                behind = site.instances[1:]
                for instance in behind:
                    await _wait_until(
                        lambda each=instance: (
                            bool(_messages(each, 'behind'))
                            or _in_force(each, 2)
                        )
                    )
                    self.assertFalse(_in_force(instance, 2))
                    answer = await instance.call(_LAST_ROUTE, 'behind')
                    self.assertEqual(503, answer.status)
                    self.assertIn('retry-after', answer.headers)
                await self.wait_for_version(site, 2)
                for instance in site.instances:
                    await self.assert_served(instance, _LAST_ROUTE)
                    answer = await instance.call('/none/x', 'none')
                    self.assertEqual(404, answer.status)

    async def test_configuration_read_longer_than_a_second(self) -> None:
        """The newest record is read to its end, however long that takes."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(1) as site:
                (link,) = site.links
                _slow_down(link, _configuration_size(), 2.5)
                link.forget_transfers()
                _put_configuration(site, 2)
                site.store.drop_history(_CONFIGURATION)
                await self.wait_for_version(site, 2)
                await self.assert_served(site.instances[0], _LAST_ROUTE)

    async def test_polled_configuration_longer_than_a_second(self) -> None:
        """The answer to a poll is read to its end."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(1) as site:
                (link,) = site.links
                _slow_down(link, _configuration_size(), 2.5)
                link.forget_transfers()
                _put_configuration(site, 2)
                await self.wait_for_version(site, 2)
                await self.assert_served(site.instances[0], _LAST_ROUTE)


class ServerListOverSlowLinkTest(_SlowLinkTest):
    """Lists of servers whose transfer takes longer than a second."""

    async def _assert_new_server_used(
        self, site: processes.Site, keep_history: bool
    ) -> None:
        """List many servers and a new one of the desk, which is then used."""
        (link,) = site.links
        (instance,) = site.instances
        added = servers.Server(site.store, 'd2', 'desk')
        await added.http.start()
        entry = {
            'Service': 'unused',
            'Address': '127.0.0.1:9',
            'Zone': 'zone-1',
            'Version': 'v1',
            'Slots': 4,
            'State': 'ready',
            'Sequence': 1,
            'Models': [],
        }
        size = _SERVER_ENTRIES * len(json.dumps(entry))
        _slow_down(link, size, 2.0)
        link.forget_transfers()
        for number in range(_SERVER_ENTRIES):
            site.store.put(_SERVERS, f'unused-{number}', entry)
        added.register()
        if not keep_history:
            site.store.drop_history(_SERVERS)
        try:
            number = 0
            while not added.executed_attempts:
                number += 1
                await self.assert_served(instance, f'/plain/{number}')
                self.assert_few_reads(instance, link, _SERVERS)
                await asyncio.sleep(0.02)
        finally:
            added.http.stop()

    async def test_server_list_read_longer_than_a_second(self) -> None:
        """The whole list is read to its end, however long that takes."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(1) as site:
                await self._assert_new_server_used(site, keep_history=False)

    async def test_server_changes_read_longer_than_a_second(self) -> None:
        """Many changes of the list are read to their end."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(1) as site:
                await self._assert_new_server_used(site, keep_history=True)
