"""Tests of searching for servers with adapters."""

from __future__ import annotations

import unittest

import anyio

from ..fleet import entries
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import choice
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import adapter_search


class _Finder:
    """Records the searches and answers with one server."""

    def __init__(self) -> None:
        self.found = ''
        self.searches: list[str | None] = []

    async def find_adapter(
        self,
        service: str,
        model: str,
        adapter: str,
        deadline: float,
        version: str | None = None,
    ) -> str:
        """Return the server."""
        self.searches.append(version)
        return self.found


class SoftwareVersionTest(unittest.IsolatedAsyncioTestCase):
    """Adapters are searched for at servers of one software version."""

    def setUp(self) -> None:
        """Create two servers of different versions with the same model."""
        self.clock = clocks.ManualClock()
        self.finder = _Finder()
        self.registry = registries.Registry()
        models = (entries.loaded_model('m'),)
        for name, version in (('s1', 'v1'), ('s2', 'v2')):
            entry = entries.entry(name, version=version, models=models)
            self.registry.update(entry, 0.0)
        self.ended = 0
        self.searches = adapter_search.AdapterSearches(
            self.registry, self.clock, self.finder, self._on_ended
        )

    def _on_ended(self) -> None:
        self.ended += 1

    async def _search(self, *versions: str | None) -> None:
        candidates = self.registry.of_service('models')
        async with anyio.create_task_group() as group:
            self.searches.start(group)
            for version in versions:
                need = choice.Need('models', 'm', 'a1', version=version)
                self.searches.search(need, candidates)

    def _holders(self) -> list[str]:
        return [
            server.entry.server_id
            for server in self.registry.of_service('models')
            if server.has_loaded('m', 'a1')
        ]

    async def test_one_search_for_each_version(self) -> None:
        """The search for one version does not take another one's place."""
        await self._search('v1', 'v1', 'v2', None, None)
        self.assertEqual(['v1', 'v2', None], self.finder.searches)
        self.assertEqual(3, self.ended)

    async def test_no_server_of_the_version(self) -> None:
        """Nothing is searched at a version without the model."""
        await self._search('v3', '')
        self.assertEqual([], self.finder.searches)

    async def test_found(self) -> None:
        """The server found gets requests for the adapter."""
        self.finder.found = 's2'
        await self._search('v2')
        self.assertEqual(['s2'], self._holders())

    async def test_owner_of_an_earlier_build(self) -> None:
        """A server of another version is no answer; a pause follows."""
        self.finder.found = 's1'
        await self._search('v2')
        self.assertEqual(['s1'], self._holders())
        await self._search('v2')
        self.assertEqual(1, len(self.finder.searches))
        self.clock.advance(adapter_search.SEARCH_RETRY_SECONDS)
        await self._search('v2')
        self.assertEqual(2, len(self.finder.searches))
