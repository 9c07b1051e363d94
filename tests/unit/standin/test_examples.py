"""Tests of the example records: acceptance, numbers and sizes."""

from __future__ import annotations

import itertools
import unittest

import anyio

from dogwoodquay.records import catalog
from dogwoodquay import standin
from dogwoodquay.standin import examples


class ExamplesTest(unittest.TestCase):
    """Both deployments, separately and together on one site."""

    def _replay(
        self, *deployments: examples.Deployment
    ) -> catalog.CatalogState:
        services = tuple(deployment.service for deployment in deployments)
        site = standin.StandInSite(standin.SiteOptions(services=services))
        found = catalog.CatalogState()

        async def main() -> None:
            async with site.running():
                result = examples.records(site, *deployments)
            for offset, record in enumerate(result):
                found.apply(offset, record.payload)

        anyio.run(main)
        self.assertEqual((), found.refused)
        return found

    def test_deployments_have_the_stated_sizes(self) -> None:
        """No server has memory for all models and adapters."""
        for deployment, models, adapters in (
            (examples.HEELBRIGHT, 13, 60),
            (examples.GULF, 17, 55),
        ):
            with self.subTest(caller=deployment.caller):
                declared = self._replay(deployment).catalog
                self.assertEqual(models, len(declared.models))
                self.assertEqual(adapters, len(declared.adapters))
                pool = declared.pools[examples.POOL]
                self.assertEqual(5, len(pool.servers))
                self.assertEqual(
                    3, len(declared.services[deployment.service].servers)
                )
                sizes = [
                    item.memory_bytes
                    for item in itertools.chain(
                        declared.models.values(), declared.adapters.values()
                    )
                ]
                self.assertGreater(sum(sizes), pool.servers[0].capacity_bytes)

    def test_deployments_share_a_pool(self) -> None:
        """The records of both deployments are accepted together."""
        found = self._replay(examples.HEELBRIGHT, examples.GULF)
        self.assertEqual(30, len(found.catalog.models))
        self.assertEqual(115, len(found.catalog.adapters))
