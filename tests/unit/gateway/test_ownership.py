"""Tests of the ownership of giving orders to engines."""

from __future__ import annotations

import unittest

import anyio

from . import fakes
from dogwoodquay import clock as clocks
from dogwoodquay.gateway import fencing
from dogwoodquay.gateway import ownership


def _make_ownership(
    store: fakes.FakeStore,
    clock: clocks.ManualClock,
    name: str,
    port: int,
    fences_checked: bool = True,
) -> ownership.OrderOwnership:
    """Return the ownership state of one instance."""
    settings = fakes.instance_settings(name, fences_checked=fences_checked)
    peers = settings.peers._replace(port=port)
    return ownership.OrderOwnership(
        store,
        settings._replace(peers=peers),
        clock,
        fakes.rng(),
        fakes.make_metrics(),
    )


class OrderOwnershipTest(unittest.IsolatedAsyncioTestCase):
    """One instance owns the duty, and the others know which."""

    def setUp(self) -> None:
        """Create a store and two instances."""
        self.clock = clocks.ManualClock()
        self.store = fakes.FakeStore(self.clock)
        self.first = self._instance('front-1', 7001)
        self.second = self._instance('front-2', 7002)

    def _instance(
        self, name: str, port: int, fences_checked: bool = True
    ) -> ownership.OrderOwnership:
        return _make_ownership(
            self.store, self.clock, name, port, fences_checked
        )

    async def test_first_instance_becomes_owner(self) -> None:
        """The others look the owner up and do not join the group."""
        await self.first.step()
        await self.second.step()
        now = self.clock.now()
        self.assertTrue(self.first.may_order(now))
        self.assertFalse(self.second.is_owner(now))
        self.assertEqual(('127.0.0.1', 7001), self.second.owner_address)
        self.assertEqual(1, len(self.store.members))
        calls = self.store.calls
        self.assertEqual(float('inf'), await self.second.step())
        self.assertEqual(calls, self.store.calls)

    async def test_taken_over_after_membership_expired(self) -> None:
        """Another instance then takes over with a higher token, not before."""
        await self.first.step()
        await self.second.step()
        fence = self.first.fence
        self.second.on_owner_unreachable()
        await self.second.step()
        self.assertFalse(self.second.is_owner(self.clock.now()))
        self.clock.advance(2.0)
        self.second.on_owner_unreachable()
        await self.second.step()
        self.assertTrue(self.second.may_order(self.clock.now()))
        self.assertGreater(self.second.fence, fence)

    async def test_no_candidate_while_partition_moves(self) -> None:
        """A partition that moves between members is not vacant."""
        await self.first.step()
        self.store.partition_moving = True
        await self.second.step()
        self.assertEqual(1, len(self.store.members))
        self.assertFalse(self.second.is_owner(self.clock.now()))

    async def test_partition_lost_for_a_moment(self) -> None:
        """A partition that is taken away for a moment stays with its owner."""
        await self.first.step()
        self.store.unassigned_joins = 2
        await self.first.step()
        self.assertTrue(self.first.may_order(self.clock.now()))
        self.assertIn(self.first.member, self.store.members)

    async def test_partition_lost(self) -> None:
        """An owner that loses its partition gives no orders and leaves."""
        await self.first.step()
        self.store.unassigned_joins = 10
        async with anyio.create_task_group() as group:
            group.start_soon(self.first.step)
            await anyio.sleep(ownership.RECHECK_SECONDS / 2)
            self.assertFalse(self.first.may_order(self.clock.now()))
        self.assertFalse(self.first.is_owner(self.clock.now()))
        self.assertEqual({}, self.store.members)

    async def test_resumed_owner_does_not_take_the_duty_back(self) -> None:
        """An owner whose membership expired looks up before it joins."""
        await self.first.step()
        self.clock.advance(5.0)
        await self.second.step()
        members = list(self.store.members)
        await self.first.step()
        self.assertFalse(self.first.is_owner(self.clock.now()))
        self.assertEqual(members, list(self.store.members))
        self.assertEqual(('127.0.0.1', 7002), self.first.owner_address)

    async def test_store_unavailable(self) -> None:
        """Only where engines check fencing tokens does the owner continue."""
        unchecked = self._instance('front-3', 7003, fences_checked=False)
        await self.first.step()
        self.store.unavailable = True
        self.clock.advance(5.0)
        await self.first.step()
        self.assertTrue(self.first.may_order(self.clock.now()))
        self.store = self.store
        self.store.unavailable = False
        await self.first.leave()
        await unchecked.step()
        self.assertTrue(unchecked.is_owner(self.clock.now()))
        self.assertFalse(unchecked.may_order(self.clock.now()))
        self.store.unavailable = True
        self.clock.advance(1.0)
        self.assertFalse(unchecked.is_owner(self.clock.now()))

    async def test_unchecked_fences_wait_for_lease(self) -> None:
        """A new owner gives orders once its predecessor cannot any more."""
        subject = self._instance('front-3', 7003, fences_checked=False)
        await subject.step()
        self.assertFalse(subject.may_order(self.clock.now()))
        for _ in range(6):
            self.clock.advance(0.5)
            await subject.step()
        self.assertTrue(subject.may_order(self.clock.now()))

    async def test_superseded(self) -> None:
        """The ownership ends when an engine knows a higher token."""
        await self.first.step()
        self.first.on_superseded()
        self.assertFalse(self.first.is_owner(self.clock.now()))

    async def test_planned_stop(self) -> None:
        """Another instance takes over at once from an owner that leaves."""
        await self.first.step()
        await self.first.leave()
        self.assertFalse(self.first.is_owner(self.clock.now()))
        await self.second.step()
        self.assertTrue(self.second.may_order(self.clock.now()))

    async def test_stopped_candidate(self) -> None:
        """A candidate that is stopped while it joins leaves the group."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.first.step)
            await anyio.sleep(0)
            await self.first.leave()
        self.assertEqual({}, self.store.members)

    async def test_restarted_owner(self) -> None:
        """A new process of the same name replaces its old membership."""
        await self.first.step()
        restarted = self._instance('front-1', 7001)
        await restarted.step()
        self.assertTrue(restarted.may_order(self.clock.now()))
        self.assertGreater(restarted.fence, self.first.fence)


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """The store comes back from a copy, with older generations.

    Two instances never give orders with one fencing token, and no instance
    goes back to a smaller one.
    """

    def setUp(self) -> None:
        """Create a store and two instances."""
        self.clock = clocks.ManualClock()
        self.store = fakes.FakeStore(self.clock)
        self.store.era = 1
        self.first, self.second, self.third = (
            _make_ownership(
                self.store, self.clock, f'front-{number}', 7000 + number
            )
            for number in (1, 2, 3)
        )

    async def test_next_owner(self) -> None:
        """The next owner joins in the generation that the first one had."""
        await self.first.step()
        self.store.restore(0)
        await self.second.step()
        self.assertEqual(1, self.store.generation)
        self.assertTrue(self.second.may_order(self.clock.now()))
        self.assertGreater(self.second.fence, self.first.fence)

    async def test_successor(self) -> None:
        """A successor joins in the generation of its predecessor."""
        for _ in range(3):
            await self.first.step()
            fence = self.first.fence
            await self.first._leave_group()
        await self.first.step()
        generation = self.store.generation
        fence = self.first.fence
        self.store.unavailable = True
        self.assertFalse(await self.first.leave())
        token = self.first.next_hand_over()
        assert token is not None
        self.assertTrue(self.second.take_over(self.first.member, token))
        handed = self.second.fence
        self.assertGreater(handed, fence)
        self.store.unavailable = False
        self.store.restore(generation - 1)
        await self.second.step()
        self.assertEqual(generation, self.store.generation)
        self.assertTrue(self.second.may_order(self.clock.now()))
        self.assertGreater(self.second.fence, handed)

    async def test_owner_of_both_eras(self) -> None:
        """An owner gets a greater token as soon as it renews."""
        await self.first.step()
        fence = self.first.fence
        self.store.restore(0)
        await self.first.step()
        self.assertTrue(self.first.may_order(self.clock.now()))
        self.assertGreater(self.first.fence, fence)

    async def test_restored_twice(self) -> None:
        """A second restore gives out the generations once more."""
        fences = []
        for subject in (self.first, self.second, self.third):
            await subject.step()
            self.assertTrue(subject.is_owner(self.clock.now()))
            fences.append(subject.fence)
            self.store.restore(0)
        self.assertEqual(sorted(set(fences)), fences)

    async def test_late_answer(self) -> None:
        """An answer from before the restore confirms nothing."""
        await self.first.step()
        self.store.restore(0)
        await self.first.step()
        fence, confirmed = self.first.fence, self.first.confirmed_at
        self.clock.advance(0.4)
        self.store.era, self.store.generation = 1, 7
        await self.first.step()
        self.assertEqual(fence, self.first.fence)
        self.assertEqual(confirmed, self.first.confirmed_at)

    async def test_late_offer(self) -> None:
        """An offer from before the restore is not accepted."""
        self.store.restore(0)
        await self.second.step()
        await self.second._leave_group()
        self.second.on_superseded()
        old = fencing.OrderToken(1, 9, 1)
        self.assertFalse(self.second.take_over(self.first.member, old))

    def test_numbers(self) -> None:
        """Tokens are sent as numbers in the same order, exact in JSON."""
        tokens = [
            fencing.OrderToken(era, generation, number)
            for era in (0, 1, 2, 1_000_000)
            for generation in (1, 2, 1_000_000)
            for number in (0, 1, fencing.TOKENS_PER_GENERATION - 1)
        ]
        numbers = [token.number for token in tokens]
        self.assertEqual(sorted(set(numbers)), numbers)
        self.assertLess(numbers[-1], 2**53)


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    """An owner stops while the store is unavailable; a peer takes over."""

    async def asyncSetUp(self) -> None:
        """Create an owner that stops in an outage, and its successor."""
        self.clock = clocks.ManualClock()
        self.store = fakes.FakeStore(self.clock)
        self.owner, self.successor, self.third = (
            _make_ownership(
                self.store, self.clock, f'front-{number}', 7000 + number
            )
            for number in (1, 2, 3)
        )
        await self.owner.step()
        self.fence = self.owner.fence
        self.store.unavailable = True
        self.assertFalse(await self.owner.leave())

    def _hand_over(self, successor: ownership.OrderOwnership) -> None:
        hand_over = self.owner.next_hand_over()
        assert hand_over is not None
        self.assertTrue(successor.take_over(self.owner.member, hand_over))

    async def test_successor_gives_orders(self) -> None:
        """A successor gives orders with a higher token than the owner had."""
        self._hand_over(self.successor)
        self.owner.handed_over(self.successor.member)
        now = self.clock.now()
        self.assertFalse(self.owner.may_order(now))
        self.assertEqual(self.successor.member, self.owner.owner)
        self.assertTrue(self.successor.may_order(now))
        self.assertGreater(self.successor.fence, self.fence)
        await self.successor.step()
        self.assertTrue(self.successor.may_order(now))

    async def test_answer_lost(self) -> None:
        """The next peer that is asked gets a token of its own."""
        self._hand_over(self.successor)
        self._hand_over(self.third)
        self.assertGreater(self.third.fence, self.successor.fence)

    async def test_successor_does_not_hand_over(self) -> None:
        """The predecessor of a successor may still use the next tokens."""
        self._hand_over(self.successor)
        self.assertFalse(await self.successor.leave())
        self.assertIsNone(self.successor.next_hand_over())

    async def test_store_available_again(self) -> None:
        """The successor joins the group and gives orders meanwhile."""
        self._hand_over(self.successor)
        fence = self.successor.fence
        self.store.unavailable = False
        for _ in range(8):
            await self.successor.step()
            self.assertTrue(self.successor.may_order(self.clock.now()))
            self.clock.advance(0.3)
        self.assertEqual(self.successor.member, self.store.partition_owner)
        self.assertGreater(self.successor.fence, fence)

    async def test_predecessor_restarted_first(self) -> None:
        """A new process of the predecessor ends the successor's ownership."""
        self._hand_over(self.successor)
        fence = self.successor.fence
        self.store.unavailable = False
        restarted = _make_ownership(self.store, self.clock, 'front-1', 7001)
        await restarted.step()
        self.assertGreater(restarted.fence, fence)
        for _ in range(8):
            await restarted.step()
            await self.successor.step()
            self.clock.advance(0.3)
        self.assertFalse(self.successor.is_owner(self.clock.now()))
        self.assertNotIn(self.successor.member, self.store.members)

    async def test_owner_reported_by_peer(self) -> None:
        """Other instances learn the owner without the store."""
        self.third.on_owner_reported(self.successor.member)
        self.assertEqual(('127.0.0.1', 7002), self.third.owner_address)
