"""Tests of weight store slots under changing owners."""

from __future__ import annotations

import random
import unittest

import anyio

from dogwoodquay import clock
from dogwoodquay.external import memory
from dogwoodquay.journal import follower as followers
from dogwoodquay.journal import writer as writers
from dogwoodquay.ledger import entries
from dogwoodquay.ledger import replay
from dogwoodquay.ledger import weight_slots
from dogwoodquay.ownership import core as ownership_core
from dogwoodquay.ownership import entries as ownership_entries
from dogwoodquay.records import api as records_api
from tests.unit.journal import helpers as journal_helpers

_STREAM = replay.duty_stream(ownership_core.WEIGHTS_DUTY)
_SECONDS = 20.0


class _Owner:
    """An owner of the slots; it follows the log only during a call."""

    def __init__(self, log: memory.MemoryLog, replaces: int) -> None:
        self.clock = clock.SystemClock()
        self.state = replay.DutyState(ownership_core.WEIGHTS_DUTY)
        self.follower = followers.Follower(
            _STREAM, self.state, log, self.clock, random.Random(1)
        )
        claim = ownership_entries.Claim(
            entry_id=f'after-{replaces}',
            duty=ownership_core.WEIGHTS_DUTY,
            instance_id='i',
            incarnation=1,
            replaces=replaces,
        )
        self.epoch = log.put(_STREAM, entries.CODEC.encode((claim,)))
        self.permits = weight_slots.LocalPermits(
            self.state,
            writers.Writer(log, self.follower, entries.CODEC, self.clock),
            lambda: self.epoch,
            lambda: 6,
            self.clock,
        )

    async def acquire(
        self, pool: str, pool_epoch: int, wanted: int
    ) -> frozenset[int] | None:
        return await self._run_while_following(
            self.permits.acquire(
                pool, pool_epoch, wanted, self.clock.now() + _SECONDS
            )
        )

    async def release(self, pool: str, pool_epoch: int, *slots: int) -> bool:
        return await self._run_while_following(
            self.permits.release(
                pool,
                pool_epoch,
                frozenset(slots),
                self.clock.now() + _SECONDS,
            )
        )

    async def _run_while_following(self, call):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            result = await call
            tasks.cancel_scope.cancel()
        return result


class LocalPermitsTest(unittest.TestCase):
    """Slots stay assigned to a pool until its newest owner releases them."""

    def setUp(self) -> None:
        self.log = journal_helpers.make_log()
        self.owner = _Owner(self.log, -1)

    def test_pools_never_share_a_slot(self) -> None:
        """The second pool gets the remaining slots only."""

        async def main() -> None:
            first = await self.owner.acquire('a', 1, 4)
            second = await self.owner.acquire('b', 1, 4)
            self.assertEqual((4, 2), (len(first), len(second)))
            self.assertFalse(first & second)

        anyio.run(main)

    def test_former_pool_owner_cannot_release_slots(self) -> None:
        """The new owner's loads may be using them."""

        async def main() -> None:
            await self.owner.acquire('a', 1, 2)
            inherited = await self.owner.acquire('a', 5, 2)
            self.assertEqual({0, 1}, inherited)
            self.assertFalse(await self.owner.release('a', 1, 0, 1))
            self.assertEqual(frozenset(), await self.owner.acquire('a', 1, 2))
            self.assertEqual({0, 1}, await self.owner.acquire('a', 5, 2))

        anyio.run(main)

    def test_former_owner_of_the_slots_assigns_none(self) -> None:
        """In its stale state the pool still has slots that were released."""

        async def main() -> None:
            await self.owner.acquire('a', 1, 2)
            newer = _Owner(self.log, self.owner.epoch)
            self.assertTrue(await newer.release('a', 1, 0, 1))
            self.assertEqual({0, 1}, await newer.acquire('b', 1, 2))
            self.assertIsNone(await self.owner.acquire('a', 1, 2))

        anyio.run(main)

    def test_load_rate_is_proportional_to_slots(self) -> None:
        """A pool with half of the slots may start loads at half the rate."""
        limiter = weight_slots.LoadRateLimiter(1.6, 6)
        limiter.on_load_started(3, 100.0)
        self.assertFalse(limiter.may_start(101.2))
        self.assertTrue(limiter.may_start(101.25))

    def test_changed_policy_changes_the_rate(self) -> None:
        """The rate is that of the current policy."""
        limiter = weight_slots.LoadRateLimiter(1.6, 6)
        limiter.update_policy(
            records_api.Policy(loads_per_second=100.0, parallel_loads=10)
        )
        limiter.on_load_started(10, 100.0)
        self.assertTrue(limiter.may_start(100.01))
