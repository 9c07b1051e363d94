"""Tests of claiming and handing over a duty with an in-memory log."""

from __future__ import annotations

import random
import typing
import unittest

import anyio

from dogwoodquay.external import memory
from dogwoodquay.membership import api as membership_api
from dogwoodquay.ownership import runner as runners
from tests.unit.journal import helpers


_BOOT: typing.Final = 1 << membership_api.REFUTATION_BITS


class _Members:
    def __init__(self, *names: str) -> None:
        self.names = list(names)

    trusted = True

    def members(self) -> tuple[membership_api.Member, ...]:
        return tuple(
            membership_api.Member(
                name, _BOOT, '', 1, 'd', membership_api.MemberState.LIVE
            )
            for name in self.names
        )


class _Instance:
    def __init__(
        self, name: str, log: memory.MemoryLog, members: _Members
    ) -> None:
        self.client = helpers.LogClient(log)
        self.changes: list[runners.OwnershipTerm | None] = []
        self.runner = runners.OwnershipRunner(
            helpers.DUTY,
            name,
            1,
            self.client.state,
            self.client.follower,
            self.client.writer,
            members,
            self.client.clock,
            random.Random(1),
            self.changes.append,
        )

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.client.follower.run)
            tasks.start_soon(self.runner.run)


class OwnershipRunnerTest(unittest.TestCase):
    """A duty has one owner at a time, by log order."""

    def test_hands_over_without_a_gap(self) -> None:
        """The successor owns the duty when the hand-over returns."""
        log = helpers.make_log()
        members = _Members('a', 'b')
        instances = [_Instance(name, log, members) for name in members.names]

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for instance in instances:
                    tasks.start_soon(instance.run)
                with anyio.fail_after(20):
                    while not any(item.runner.term for item in instances):
                        await anyio.sleep(0.01)
                instances.sort(key=lambda item: item.runner.term is None)
                leaving, successor = instances
                deadline = leaving.client.clock.now() + 20.0
                self.assertTrue(await leaving.runner.hand_over(deadline))
                with anyio.fail_after(20):
                    while successor.runner.term is None:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            self.assertIsNone(leaving.changes[-1])
            epochs = [item.changes[0].epoch for item in (leaving, successor)]
            self.assertEqual([0, 2], epochs)

        anyio.run(main)

    def test_does_not_claim_before_the_log_was_read(self) -> None:
        """Without the log the current owner is unknown."""
        log = helpers.make_log()
        log.faults.outage = True
        instance = _Instance('a', log, _Members('a'))
        anyio.run(instance.client.follower.step)
        self.assertFalse(anyio.run(instance.runner.step))
        self.assertEqual(0, instance.runner.claims)
