"""Tests of taking and handing over a duty over the fake log."""

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
        self.side = helpers.Side(log)
        self.changes: list[runners.Tenure | None] = []
        self.runner = runners.OwnershipRunner(
            helpers.DUTY,
            name,
            1,
            self.side.state,
            self.side.follower,
            self.side.writer,
            members,
            self.side.clock,
            random.Random(1),
            self.changes.append,
        )

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.side.follower.run)
            tasks.start_soon(self.runner.run)


class OwnershipRunnerTest(unittest.TestCase):
    """One owner at a time, in log order."""

    def test_hands_over_without_a_gap(self) -> None:
        """The successor owns the duty when the hand-over returns."""
        log = helpers.make_log()
        members = _Members('a', 'b')
        pair = [_Instance(name, log, members) for name in members.names]

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for instance in pair:
                    tasks.start_soon(instance.run)
                with anyio.fail_after(20):
                    while not any(item.runner.tenure for item in pair):
                        await anyio.sleep(0.01)
                pair.sort(key=lambda item: item.runner.tenure is None)
                leaver, stayer = pair
                deadline = leaver.side.clock.now() + 20.0
                self.assertTrue(await leaver.runner.hand_over(deadline))
                with anyio.fail_after(20):
                    while stayer.runner.tenure is None:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            self.assertIsNone(leaver.changes[-1])
            epochs = [item.changes[0].epoch for item in (leaver, stayer)]
            self.assertEqual([0, 2], epochs)

        anyio.run(main)

    def test_does_not_claim_before_it_has_read_the_log(self) -> None:
        """While the log is out nobody can know who owns the duty."""
        log = helpers.make_log()
        log.faults.outage = True
        instance = _Instance('a', log, _Members('a'))
        anyio.run(instance.side.follower.step)
        self.assertFalse(anyio.run(instance.runner.step))
        self.assertEqual(0, instance.runner.claims)
