"""End-to-end tests of the roster of instances."""

from __future__ import annotations

import asyncio
import typing
import unittest

from . import processes

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 60.0
_INSTANCES: typing.Final = 4


def _rosters(instance: processes.Instance) -> list[int]:
    """Return the number of instances in each roster received."""
    return [
        line['instances']
        for line in instance.log_lines()
        if line['message_type'] == 'origins:roster'
    ]


async def _wait_until(condition: abc.Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.02)


async def _wait_for_count(
    instances: list[processes.Instance], count: int
) -> None:
    for instance in instances:
        await _wait_until(lambda each=instance: _rosters(each)[-1:] == [count])


class RosterTest(unittest.IsolatedAsyncioTestCase):
    """Each instance knows the others, whoever is the owner."""

    async def test_killed_owner(self) -> None:
        """The next owner's roster lacks the killed one and nobody else."""
        async with (
            asyncio.timeout(_TEST_TIMEOUT_SECONDS),
            processes.Site.running(_INSTANCES) as site,
        ):
            await _wait_for_count(site.instances, _INSTANCES)
            members = [instance.member for instance in site.instances]
            owner = site.instances[members.index(site.store.owner())]
            others = [item for item in site.instances if item is not owner]
            before = {item.member: len(_rosters(item)) for item in others}
            owner.process.kill()
            await _wait_for_count(others, _INSTANCES - 1)
            for instance in others:
                received = _rosters(instance)[before[instance.member] :]
                # An instance that is not scheduled for 2 s may be missing.
                self.assertGreaterEqual(min(received), _INSTANCES - 2)
            parts = [
                line
                for instance in others
                for line in instance.log_lines()
                if line['message_type'] == 'supervisor:part_failed'
            ]
            self.assertEqual([], parts)
