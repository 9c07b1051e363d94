"""Tests of membership over loopback sockets."""

from __future__ import annotations

import contextlib
import unittest

import anyio

from dogwoodquay.gossip import api as gossip_api
from dogwoodquay.membership import api

from . import loopback


def _item(key: str, sequence: int) -> gossip_api.Item:
    return gossip_api.Item(key, gossip_api.Version(1, sequence), b'x')


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    """A few instances in one process."""

    async def test_death_is_found(self) -> None:
        """An instance that ends without a word is dead for the others."""
        net = loopback.Net()
        first, second, third = subjects = net.make(3)
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(first.running())
            await stack.enter_async_context(second.running())
            async with third.running():
                await loopback.until(lambda: loopback.agree(*subjects))
                own = third.membership.own
            await loopback.until(lambda: loopback.agree(first, second))
            dead = first.membership.dead(own.instance_id, own.incarnation)
            self.assertTrue(dead)

    async def test_leaving_is_told(self) -> None:
        """A leaving instance takes no duties in any view."""
        first, second, third = loopback.Net().make(3)
        async with loopback.running(first, second, third):
            third.membership.leave()
            await loopback.until(
                lambda: all(
                    len(subject.membership.live()) == 2
                    for subject in (first, second, third)
                )
            )
            self.assertEqual(3, len(first.membership.members()))

    async def test_partition_heals(self) -> None:
        """Two groups go on alone, then agree on members and items."""
        net = loopback.Net()
        subjects = net.make(5)
        near, far = subjects[:2], subjects[2:]
        async with loopback.running(*subjects):
            await net.split(near, far)
            await loopback.until(
                lambda: loopback.agree(*near) and loopback.agree(*far)
            )
            near[0].replicated_map.put(_item('k', 2))
            far[0].replicated_map.put(_item('k', 1))
            net.heal()
            await loopback.until(lambda: loopback.agree(*subjects))
            await loopback.until(
                lambda: (
                    all(
                        s.replicated_map.get('k') is not None for s in subjects
                    )
                    and len({s.replicated_map.root for s in subjects}) == 1
                )
            )
            for subject in subjects:
                item = subject.replicated_map.get('k')
                assert item is not None
                self.assertEqual(2, item.version.sequence)

    async def test_stalled_past_its_death_and_woken(self) -> None:
        """It does not trust its view until peers confirmed it."""
        subjects = loopback.Net().make(4)
        stalled, gone, *others = subjects
        async with contextlib.AsyncExitStack() as stack:
            for subject in (stalled, *others):
                await stack.enter_async_context(subject.running())
            async with gone.running():
                await loopback.until(lambda: loopback.agree(*subjects))
                await loopback.until(lambda: stalled.membership.trusted)
                before = stalled.membership.own.incarnation
                stalled.clock.stall()
                stalled.gate = anyio.Event()
            await loopback.until(lambda: loopback.agree(*others))
            self.assertIn(gone.name, stalled.sees())
            stalled.clock.wake(skipped=30.0)
            stalled.gate.set()
            await loopback.until_on_each_pass(
                lambda: stalled.membership.pauses == 1
            )
            self.assertFalse(stalled.membership.trusted)
            await loopback.until(lambda: stalled.membership.trusted)
            await loopback.until(lambda: loopback.agree(stalled, *others))
            after = stalled.membership.own.incarnation
            self.assertGreater(after, before)
            self.assertEqual(api.boot_of(before), api.boot_of(after))

    async def test_rolling_replacement_with_a_lagging_list(self) -> None:
        """All are replaced, and the newest still know each other."""
        net = loopback.Net(list_lag=0.5)
        subjects = net.make(6)
        async with anyio.create_task_group() as tasks:
            running = [_Stoppable(subject) for subject in subjects]
            current = running[:3]
            for subject in current:
                await tasks.start(subject.run)
            await _agreed(current)
            for leaver, added in zip(running[:3], running[3:], strict=True):
                await tasks.start(added.run)
                current.append(added)
                await _agreed(current)
                leaver.subject.membership.leave()
                leaver.subject.membership.gone()
                await anyio.sleep(0.05)
                leaver.stop.set()
                current.remove(leaver)
            await _agreed(current)
            tasks.cancel_scope.cancel()


async def _agreed(current: list[_Stoppable]) -> None:
    subjects = [stoppable.subject for stoppable in current]
    await loopback.until(lambda: loopback.agree(*subjects))


class _Stoppable:
    """An instance in a task of its own."""

    def __init__(self, subject: loopback.Instance) -> None:
        self.subject = subject
        self.stop = anyio.Event()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Run the instance until it is told to stop."""
        async with self.subject.running():
            task_status.started()
            await self.stop.wait()
