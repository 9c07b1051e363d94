"""Tests of who gives the orders."""

from __future__ import annotations

import unittest

import anyio

from . import fakes
from dogwoodquay import clock as clocks
from dogwoodquay.gateway import duty


def _made(
    store: fakes.FakeStore,
    clock: clocks.ManualClock,
    name: str,
    port: int,
    fences_checked: bool = True,
) -> duty.Duty:
    """Return one instance's duty."""
    settings = fakes.instance_settings(name, fences_checked=fences_checked)
    peers = settings.peers._replace(port=port)
    return duty.Duty(
        store,
        settings._replace(peers=peers),
        clock,
        fakes.rng(),
        fakes.made_metrics(),
    )


class DutyTest(unittest.IsolatedAsyncioTestCase):
    """One instance holds the duty, and the others know it."""

    def setUp(self) -> None:
        """Make a store and two instances."""
        self.clock = clocks.ManualClock()
        self.store = fakes.FakeStore(self.clock)
        self.first = self._duty('front-1', 7001)
        self.second = self._duty('front-2', 7002)

    def _duty(
        self, name: str, port: int, fences_checked: bool = True
    ) -> duty.Duty:
        return _made(self.store, self.clock, name, port, fences_checked)

    async def test_first_takes_it(self) -> None:
        """The others look it up and leave the group alone."""
        await self.first.step()
        await self.second.step()
        now = self.clock.now()
        self.assertTrue(self.first.may_order(now))
        self.assertFalse(self.second.holds(now))
        self.assertEqual(('127.0.0.1', 7001), self.second.owner)
        self.assertEqual(1, len(self.store.members))
        calls = self.store.calls
        self.assertEqual(float('inf'), await self.second.step())
        self.assertEqual(calls, self.store.calls)

    async def test_taken_over_when_its_membership_lapsed(self) -> None:
        """Not before, and under a higher number."""
        await self.first.step()
        await self.second.step()
        fence = self.first.fence
        self.second.unreachable()
        await self.second.step()
        self.assertFalse(self.second.holds(self.clock.now()))
        self.clock.advance(2.0)
        self.second.unreachable()
        await self.second.step()
        self.assertTrue(self.second.may_order(self.clock.now()))
        self.assertGreater(self.second.fence, fence)

    async def test_no_candidate_while_the_duty_moves(self) -> None:
        """A partition between two members is not vacant."""
        await self.first.step()
        self.store.moving = True
        await self.second.step()
        self.assertEqual(1, len(self.store.members))
        self.assertFalse(self.second.holds(self.clock.now()))

    async def test_partition_moves_for_a_moment(self) -> None:
        """A candidate that joined in vain does not end the duty."""
        await self.first.step()
        self.store.unlisted = 2
        await self.first.step()
        self.assertTrue(self.first.may_order(self.clock.now()))
        self.assertIn(self.first.member, self.store.members)

    async def test_partition_is_gone(self) -> None:
        """A holder that is not listed any more leaves, without orders."""
        await self.first.step()
        self.store.unlisted = 10
        async with anyio.create_task_group() as group:
            group.start_soon(self.first.step)
            await anyio.sleep(duty.ASK_AGAIN_SECONDS / 2)
            self.assertFalse(self.first.may_order(self.clock.now()))
        self.assertFalse(self.first.holds(self.clock.now()))
        self.assertEqual({}, self.store.members)

    async def test_thawed_holder_does_not_take_it_back(self) -> None:
        """A holder whose membership lapsed looks before it joins again."""
        await self.first.step()
        self.clock.advance(5.0)
        await self.second.step()
        members = list(self.store.members)
        await self.first.step()
        self.assertFalse(self.first.holds(self.clock.now()))
        self.assertEqual(members, list(self.store.members))
        self.assertEqual(('127.0.0.1', 7002), self.first.owner)

    async def test_store_away(self) -> None:
        """With checked fences the holder goes on, else it stops."""
        unchecked = self._duty('front-3', 7003, fences_checked=False)
        await self.first.step()
        self.store.down = True
        self.clock.advance(5.0)
        await self.first.step()
        self.assertTrue(self.first.may_order(self.clock.now()))
        self.store = self.store
        self.store.down = False
        await self.first.leave()
        await unchecked.step()
        self.assertTrue(unchecked.holds(self.clock.now()))
        self.assertFalse(unchecked.may_order(self.clock.now()))
        self.store.down = True
        self.clock.advance(1.0)
        self.assertFalse(unchecked.holds(self.clock.now()))

    async def test_unchecked_fences_wait_for_the_lease(self) -> None:
        """A new holder orders when the one before cannot any more."""
        subject = self._duty('front-3', 7003, fences_checked=False)
        await subject.step()
        self.assertFalse(subject.may_order(self.clock.now()))
        for _ in range(6):
            self.clock.advance(0.5)
            await subject.step()
        self.assertTrue(subject.may_order(self.clock.now()))

    async def test_superseded(self) -> None:
        """An engine that knows a higher number ends the duty."""
        await self.first.step()
        self.first.superseded()
        self.assertFalse(self.first.holds(self.clock.now()))

    async def test_planned_stop(self) -> None:
        """A holder that leaves is followed at once."""
        await self.first.step()
        await self.first.leave()
        self.assertFalse(self.first.holds(self.clock.now()))
        await self.second.step()
        self.assertTrue(self.second.may_order(self.clock.now()))

    async def test_stopped_candidate(self) -> None:
        """Who is about to take the duty leaves it when it is to stop."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.first.step)
            await anyio.sleep(0)
            await self.first.leave()
        self.assertEqual({}, self.store.members)

    async def test_restarted_holder(self) -> None:
        """A new process at the same place takes its old membership."""
        await self.first.step()
        again = self._duty('front-1', 7001)
        await again.step()
        self.assertTrue(again.may_order(self.clock.now()))
        self.assertGreater(again.fence, self.first.fence)


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    """A holder stops while the store is away; a peer goes on at once."""

    async def asyncSetUp(self) -> None:
        """Make a holder that stops in an outage, and its heir."""
        self.clock = clocks.ManualClock()
        self.store = fakes.FakeStore(self.clock)
        self.holder, self.heir, self.third = (
            _made(self.store, self.clock, f'front-{number}', 7000 + number)
            for number in (1, 2, 3)
        )
        await self.holder.step()
        self.fence = self.holder.fence
        self.store.down = True
        self.assertFalse(await self.holder.leave())

    def _hand_over(self, heir: duty.Duty) -> None:
        number = self.holder.next_number()
        assert number is not None
        self.assertTrue(heir.take_over(self.holder.member, *number))

    async def test_heir_orders(self) -> None:
        """It orders under a number above that of its predecessor."""
        self._hand_over(self.heir)
        self.holder.handed_to(self.heir.member)
        now = self.clock.now()
        self.assertFalse(self.holder.may_order(now))
        self.assertEqual(self.heir.member, self.holder.holder)
        self.assertTrue(self.heir.may_order(now))
        self.assertGreater(self.heir.fence, self.fence)
        await self.heir.step()
        self.assertTrue(self.heir.may_order(now))

    async def test_answer_lost(self) -> None:
        """Who is asked next gets a number of its own."""
        self._hand_over(self.heir)
        self._hand_over(self.third)
        self.assertGreater(self.third.fence, self.heir.fence)

    async def test_heir_does_not_hand_on(self) -> None:
        """Its predecessor may still use the next numbers."""
        self._hand_over(self.heir)
        self.assertFalse(await self.heir.leave())
        self.assertIsNone(self.heir.next_number())

    async def test_store_back(self) -> None:
        """The heir gets the duty from the store, and orders meanwhile."""
        self._hand_over(self.heir)
        fence = self.heir.fence
        self.store.down = False
        for _ in range(8):
            await self.heir.step()
            self.assertTrue(self.heir.may_order(self.clock.now()))
            self.clock.advance(0.3)
        self.assertEqual(self.heir.member, self.store.holder)
        self.assertGreater(self.heir.fence, fence)

    async def test_predecessor_is_back_first(self) -> None:
        """A new process in its place ends the heir's duty."""
        self._hand_over(self.heir)
        fence = self.heir.fence
        self.store.down = False
        again = _made(self.store, self.clock, 'front-1', 7001)
        await again.step()
        self.assertGreater(again.fence, fence)
        for _ in range(8):
            await again.step()
            await self.heir.step()
            self.clock.advance(0.3)
        self.assertFalse(self.heir.holds(self.clock.now()))
        self.assertNotIn(self.heir.member, self.store.members)

    async def test_told_by_peer(self) -> None:
        """Others learn who has the duty without the store."""
        self.third.follow(self.heir.member)
        self.assertEqual(('127.0.0.1', 7002), self.third.owner)


class MemberNameTest(unittest.TestCase):
    """A member's name tells where it listens."""

    def test_back_and_forth(self) -> None:
        """Names of another form tell nothing."""
        settings = fakes.instance_settings()
        name = duty.member_name(settings)
        self.assertEqual(settings.peers, duty.member_address(name))
        self.assertIsNone(duty.member_address('x@y'))
