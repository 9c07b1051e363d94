"""Tests of the example records: they are accepted, and they fit tightly."""

from __future__ import annotations

import itertools
import unittest

import anyio

from dogwoodquay.records import catalog
from dogwoodquay import standin
from dogwoodquay.standin import examples


class ExamplesTest(unittest.TestCase):
    """Both deployments, alone and together on one site."""

    def _replay(self, *wanted: examples.Deployment) -> catalog.CatalogState:
        services = tuple(deployment.service for deployment in wanted)
        site = standin.StandInSite(standin.SiteOptions(services=services))
        found = catalog.CatalogState()

        async def main() -> None:
            async with site.running():
                made = examples.records(site, *wanted)
            for offset, record in enumerate(made):
                found.apply(offset, record.payload)

        anyio.run(main)
        self.assertEqual((), found.refused)
        return found

    def test_sizes_are_those_of_the_users(self) -> None:
        """Models, adapters and servers have the stated numbers."""
        for wanted, models, adapters in (
            (examples.HEELBRIGHT, 13, 60),
            (examples.GULF, 17, 55),
        ):
            with self.subTest(caller=wanted.caller):
                declared = self._replay(wanted).catalog
                self.assertEqual(models, len(declared.models))
                self.assertEqual(adapters, len(declared.adapters))
                pool = declared.pools[examples.POOL]
                self.assertEqual(5, len(pool.servers))
                self.assertEqual(
                    3, len(declared.services[wanted.service].servers)
                )
                sizes = [
                    item.memory_bytes
                    for item in itertools.chain(
                        declared.models.values(), declared.adapters.values()
                    )
                ]
                self.assertGreater(sum(sizes), pool.servers[0].capacity_bytes)

    def test_both_share_one_pool(self) -> None:
        """Together they are accepted too."""
        found = self._replay(examples.HEELBRIGHT, examples.GULF)
        self.assertEqual(30, len(found.catalog.models))
        self.assertEqual(115, len(found.catalog.adapters))
