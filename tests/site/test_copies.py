"""End-to-end tests of configurations that instances pass on."""

from __future__ import annotations

import asyncio
import contextlib
import json
import typing
import unittest

from . import links
from . import processes
from dogwoodquay.gateway import readers

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 120.0

_CONFIGURATION: typing.Final = 'keyed.op'
_ROUTES: typing.Final = 1700
_LAST_ROUTE: typing.Final = f'/added-{_ROUTES - 1}/x'
# All but the owner and the readers follow.
_INSTANCES: typing.Final = readers.READERS + 4
# The site starts with version 1; version 2 ends the reads of its start.
_SMALL_VERSION: typing.Final = 2
_LARGE_VERSION: typing.Final = 3
# Readers with fast links, besides the owner.
_FAST_READERS: typing.Final = 2
_SLOW_BODY_SECONDS: typing.Final = 1.5
# Reads of the configuration that an instance begins until it has it.
_MAX_READS: typing.Final = 6


def _large_configuration() -> dict[str, object]:
    routes = processes.plain_routes(_ROUTES)
    return processes.manifest(_LARGE_VERSION, *routes)


def _in_force(instance: processes.Instance, version: int) -> bool:
    return any(
        line['message_type'] == 'configuration:in_force'
        and line['version'] >= version
        for line in instance.log_lines()
    )


def _has_fetched(instance: processes.Instance, version: int) -> bool:
    return any(
        line['message_type'] == 'copies:fetched' and line['version'] == version
        for line in instance.log_lines()
    )


def _owner_number(site: processes.Site) -> int | None:
    """Return the owner's position in the site, or ``None`` without one."""
    members = [instance.member for instance in site.instances]
    owner = site.store.owner()
    return members.index(owner) if owner in members else None


def _followers(site: processes.Site) -> list[links.Link]:
    """Return the links of followers, none before all readers are known.

    Readers, with the owner, have a poll waiting at the store.
    """
    owner = _owner_number(site)
    if owner is None or not site.links[owner].is_polling(_CONFIGURATION):
        return []
    idle = [link for link in site.links if not link.is_polling(_CONFIGURATION)]
    if len(site.links) - len(idle) < readers.READERS:
        return []
    return idle


async def _wait_until(condition: abc.Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.02)


async def _wait_for_version(
    instances: abc.Sequence[processes.Instance], version: int
) -> None:
    """Wait until all these instances have a version in force."""
    for instance in instances:
        await _wait_until(lambda each=instance: _in_force(each, version))


class ConfigurationCopiesTest(unittest.IsolatedAsyncioTestCase):
    """Configurations in a site with more instances than readers."""

    @contextlib.asynccontextmanager
    async def _site_with_followers(self) -> abc.AsyncIterator[processes.Site]:
        """Run a site until the owner's views have appointed the readers."""
        async with (
            asyncio.timeout(_TEST_TIMEOUT_SECONDS),
            processes.Site.running(_INSTANCES) as site,
        ):
            await _wait_until(lambda: _owner_number(site) is not None)
            site.store.put(
                _CONFIGURATION, 'config', processes.manifest(_SMALL_VERSION)
            )
            await _wait_for_version(site.instances, _SMALL_VERSION)
            await _wait_until(lambda: len(_followers(site)) >= 2)
            for link in site.links:
                link.forget_transfers()
            yield site

    async def _assert_served(
        self, instances: abc.Iterable[processes.Instance]
    ) -> None:
        """Check that each instance serves the last route of the change."""
        for instance in instances:
            answer = await instance.call(_LAST_ROUTE, f'at-{instance.member}')
            self.assertEqual(200, answer.status, (instance.member, answer))

    async def test_followers_get_copies(self) -> None:
        """Followers get a version without a transfer from the store each."""
        async with self._site_with_followers() as site:
            site.store.put(_CONFIGURATION, 'config', _large_configuration())
            await _wait_for_version(site.instances, _LARGE_VERSION)
            transfers = sum(
                len(link.transfers(_CONFIGURATION)) for link in site.links
            )
            fetched = [
                instance
                for instance in site.instances
                if _has_fetched(instance, _LARGE_VERSION)
            ]
            self.assertGreaterEqual(len(fetched), 1)
            self.assertLess(transfers, len(site.instances))
            await self._assert_served(site.instances)

    async def test_version_without_the_owner(self) -> None:
        """A version reaches the others if the owner dies before telling."""
        async with self._site_with_followers() as site:
            number = _owner_number(site)
            assert number is not None
            # The store answers no call between these two lines.
            site.store.put(_CONFIGURATION, 'config', _large_configuration())
            site.instances[number].process.kill()
            living = site.instances[:number] + site.instances[number + 1 :]
            await _wait_for_version(living, _LARGE_VERSION)
            await self._assert_served(living)

    async def test_version_while_links_are_slow(self) -> None:
        """Followers with slow links do not begin the transfer repeatedly."""
        async with self._site_with_followers() as site:
            owner = _owner_number(site)
            assert owner is not None
            followers = _followers(site)
            others = [
                link
                for link in site.links
                if link not in (*followers, site.links[owner])
            ]
            content = _large_configuration()
            size = len(json.dumps(content))
            for link in (*followers, *others[_FAST_READERS:]):
                link.bytes_per_second = size / _SLOW_BODY_SECONDS
            site.store.put(_CONFIGURATION, 'config', content)
            await _wait_for_version(site.instances, _LARGE_VERSION)
            for link in followers:
                begun = len(link.transfers(_CONFIGURATION))
                self.assertLessEqual(begun, _MAX_READS)
            await self._assert_served(site.instances)
