"""Tests of following and writing while the log fails."""

from __future__ import annotations

import contextlib
import hashlib
import typing
import unittest

import anyio

from . import helpers
from dogwoodquay.external import memory
from dogwoodquay.journal import api
from dogwoodquay.journal import checkpoint
from dogwoodquay.journal import checkpointer
from dogwoodquay.journal import follower as followers

if typing.TYPE_CHECKING:
    from collections import abc


class _Peers:
    def __init__(self, *snapshots: api.Snapshot) -> None:
        self._snapshots = snapshots

    async def snapshots(
        self, stream: str, above: int, deadline: float
    ) -> tuple[api.Snapshot, ...]:
        return self._snapshots


@contextlib.asynccontextmanager
async def _following(side: helpers.Side) -> abc.AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(side.follower.run)
        yield
        tasks.cancel_scope.cancel()


def _side_at(log: memory.MemoryLog, entries: int) -> helpers.Side:
    for number in range(entries):
        helpers.put(log, helpers.make_claim(f'c{number}', 'a', number - 1))
    side = helpers.Side(log)
    anyio.run(side.follower.step)
    return side


class WriterTest(unittest.TestCase):
    """Appends whose answers are lost."""

    def test_lost_answer_and_lost_call_are_settled_by_reading(self) -> None:
        """The entry counts once, whatever became of the answers."""
        for fault in (
            memory.CallFault.LOSE_ANSWER,
            memory.CallFault.LOSE_CALL,
            memory.CallFault.UNAVAILABLE,
        ):
            with self.subTest(fault):
                log = helpers.make_log()
                log.faults.inject(fault)

                async def main(log: memory.MemoryLog = log) -> None:
                    side = helpers.Side(log)
                    async with _following(side):
                        self.assertTrue(await side.claim('c', 'a', -1))
                    self.assertEqual(0, side.state.ownership.epoch)

                anyio.run(main)

    def test_claim_on_a_replaced_epoch_is_void(self) -> None:
        """The writer hears that another claim was first."""
        log = helpers.make_log()
        helpers.put(log, helpers.make_claim('other', 'b', -1))

        async def main() -> None:
            side = helpers.Side(log)
            async with _following(side):
                self.assertFalse(await side.claim('mine', 'a', -1))
            self.assertEqual('b', side.state.ownership.instance_id)

        anyio.run(main)


class FollowerTest(unittest.TestCase):
    """Starting late, outages, gaps and rewinding snapshots."""

    def test_starts_from_a_checkpoint_after_trimming(self) -> None:
        """A checkpoint in parts and the tail give the whole state."""
        log = helpers.make_log()
        writer = _side_at(log, 5)
        due = checkpointer.Checkpointer(
            writer.follower, log, writer.clock, lambda: True, 1, 1e9, 16
        )
        anyio.run(due.step)
        self.assertEqual(4, writer.state.offset)
        helpers.put(log, helpers.make_claim('tail', 'z', 4))
        log.trim(helpers.STREAM, 5)
        late = helpers.Side(log)
        anyio.run(late.follower.step)
        self.assertEqual('z', late.state.ownership.instance_id)
        self.assertEqual(5, late.state.ownership.epoch)

    def test_takes_a_peers_state_while_the_log_is_out(self) -> None:
        """The highest intact one wins, and none takes it back."""
        behind = _side_at(helpers.make_log(), 2)
        ahead = _side_at(helpers.make_log(), 4)
        low = api.make_snapshot(helpers.STREAM, behind.state)
        high = api.make_snapshot(helpers.STREAM, ahead.state)
        damaged = api.Snapshot(helpers.STREAM, 9, b'no', high.state)
        log = helpers.make_log()
        log.faults.outage = True
        side = helpers.Side(log, _Peers(low, damaged, high))
        anyio.run(side.follower.step)
        self.assertEqual(3, side.state.offset)
        self.assertFalse(side.follower.offer(low))
        self.assertEqual(3, side.state.offset)
        self.assertEqual(
            followers.StatusKind.LOG_OUT, side.follower.status().kind
        )

    def test_leaves_a_snapshot_that_it_cannot_read(self) -> None:
        """An intact one of a newer release changes nothing here."""
        state = b'a format of next year'
        digest = hashlib.sha256(state).digest()
        newer = api.Snapshot(helpers.STREAM, 9, digest, state)
        side = _side_at(helpers.make_log(), 2)
        self.assertTrue(newer.intact)
        self.assertFalse(side.follower.offer(newer))
        self.assertEqual(1, side.state.offset)

    def test_gap_stops_a_stream_of_decisions(self) -> None:
        """Lost claims may not be skipped; lost configuration may."""
        log = helpers.make_log()
        _side_at(log, 3)
        log.trim(helpers.STREAM, 2)
        strict = helpers.Side(log)
        anyio.run(strict.follower.step)
        anyio.run(strict.follower.step)
        self.assertEqual(-1, strict.state.offset)
        self.assertEqual(
            followers.StatusKind.GAP, strict.follower.status().kind
        )
        loose = helpers.Side(log, may_skip=True)
        for _ in range(3):
            anyio.run(loose.follower.step)
        self.assertEqual(2, loose.state.offset)
        self.assertEqual(2, loose.follower.lost_entries)


class AssemblerTest(unittest.TestCase):
    """Checkpoints that land late, twice or damaged."""

    def test_late_lower_checkpoint_counts_for_nothing(self) -> None:
        """What a paused instance writes never wins."""
        old = api.make_snapshot(
            helpers.STREAM, _side_at(helpers.make_log(), 1).state
        )
        new = api.make_snapshot(
            helpers.STREAM, _side_at(helpers.make_log(), 3).state
        )
        found = checkpoint.Assembler(helpers.STREAM)
        stale = checkpoint.split('old', old, 8)
        found.add(stale[0])
        for part in checkpoint.split('new', new, 8):
            found.add(part)
            found.add(part)
        for part in (*stale, b'junk'):
            found.add(part)
        self.assertEqual(new, found.best)

    def test_damaged_state_is_left_out(self) -> None:
        """A digest that does not fit is no checkpoint."""
        whole = api.make_snapshot(
            helpers.STREAM, _side_at(helpers.make_log(), 1).state
        )
        wrong = api.Snapshot(whole.stream, 7, whole.digest, b'other')
        found = checkpoint.Assembler(helpers.STREAM)
        for part in checkpoint.split('x', wrong):
            found.add(part)
        self.assertIsNone(found.best)
