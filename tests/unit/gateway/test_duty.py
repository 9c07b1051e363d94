"""Tests of who gives the orders."""

from __future__ import annotations

import unittest

from . import fakes
from dogwoodquay import clock as clocks
from dogwoodquay.gateway import duty


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
        settings = fakes.instance_settings(name, fences_checked=fences_checked)
        peers = settings.peers._replace(port=port)
        return duty.Duty(
            self.store,
            settings._replace(peers=peers),
            self.clock,
            fakes.rng(),
            fakes.made_metrics(),
        )

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

    async def test_restarted_holder(self) -> None:
        """A new process at the same place takes its old membership."""
        await self.first.step()
        again = self._duty('front-1', 7001)
        await again.step()
        self.assertTrue(again.may_order(self.clock.now()))


class MemberNameTest(unittest.TestCase):
    """A member's name tells where it listens."""

    def test_back_and_forth(self) -> None:
        """Names of another form tell nothing."""
        settings = fakes.instance_settings()
        name = duty.member_name(settings)
        self.assertEqual(settings.peers, duty.member_address(name))
        self.assertIsNone(duty.member_address('x@y'))
