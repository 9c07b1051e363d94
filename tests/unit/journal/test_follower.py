"""Tests of followers, writers and checkpoints under log faults."""

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
async def _following(client: helpers.LogClient) -> abc.AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(client.follower.run)
        yield
        tasks.cancel_scope.cancel()


def _client_at(log: memory.MemoryLog, entries: int) -> helpers.LogClient:
    for number in range(entries):
        helpers.put(log, helpers.make_claim(f'c{number}', 'a', number - 1))
    client = helpers.LogClient(log)
    anyio.run(client.follower.step)
    return client


class WriterTest(unittest.TestCase):
    """Appends are resolved by reading the entries back."""

    def test_lost_calls_and_answers_are_resolved_by_reading(self) -> None:
        """The claim is valid exactly once in each case."""
        for fault in (
            memory.CallFault.LOSE_ANSWER,
            memory.CallFault.LOSE_CALL,
            memory.CallFault.UNAVAILABLE,
        ):
            with self.subTest(fault):
                log = helpers.make_log()
                log.faults.inject(fault)

                async def main(log: memory.MemoryLog = log) -> None:
                    client = helpers.LogClient(log)
                    async with _following(client):
                        self.assertTrue(await client.claim('c', 'a', -1))
                    self.assertEqual(0, client.state.ownership.epoch)

                anyio.run(main)

    def test_claim_on_a_replaced_epoch_is_void(self) -> None:
        """The writer returns an invalid verdict on the second claim."""
        log = helpers.make_log()
        helpers.put(log, helpers.make_claim('other', 'b', -1))

        async def main() -> None:
            client = helpers.LogClient(log)
            async with _following(client):
                self.assertFalse(await client.claim('mine', 'a', -1))
            self.assertEqual('b', client.state.ownership.instance_id)

        anyio.run(main)


class FollowerTest(unittest.TestCase):
    """Followers recover from trimming, outages, gaps and bad snapshots."""

    def test_starts_from_a_checkpoint_after_trimming(self) -> None:
        """The state is complete from a split checkpoint and later entries."""
        log = helpers.make_log()
        writer = _client_at(log, 5)
        checkpoints = checkpointer.Checkpointer(
            writer.follower, log, writer.clock, lambda: True, 1, 1e9, 16
        )
        anyio.run(checkpoints.step)
        self.assertEqual(4, writer.state.offset)
        helpers.put(log, helpers.make_claim('tail', 'z', 4))
        log.trim(helpers.STREAM, 5)
        late = helpers.LogClient(log)
        anyio.run(late.follower.step)
        self.assertEqual('z', late.state.ownership.instance_id)
        self.assertEqual(5, late.state.ownership.epoch)

    def test_restores_a_peers_snapshot_while_the_log_is_unavailable(
        self,
    ) -> None:
        """The intact snapshot with the highest offset is restored."""
        behind = _client_at(helpers.make_log(), 2)
        ahead = _client_at(helpers.make_log(), 4)
        lower = api.make_snapshot(helpers.STREAM, behind.state)
        higher = api.make_snapshot(helpers.STREAM, ahead.state)
        damaged = api.Snapshot(helpers.STREAM, 9, b'no', higher.state)
        log = helpers.make_log()
        log.faults.outage = True
        client = helpers.LogClient(log, _Peers(lower, damaged, higher))
        anyio.run(client.follower.step)
        self.assertEqual(3, client.state.offset)
        self.assertFalse(client.follower.restore_if_newer(lower))
        self.assertEqual(3, client.state.offset)
        self.assertEqual(
            followers.StatusKind.LOG_UNAVAILABLE, client.follower.status().kind
        )

    def test_ignores_an_unreadable_snapshot(self) -> None:
        """An intact snapshot of a newer release leaves the state unchanged."""
        state = b'a format of next year'
        digest = hashlib.sha256(state).digest()
        newer = api.Snapshot(helpers.STREAM, 9, digest, state)
        client = _client_at(helpers.make_log(), 2)
        self.assertTrue(newer.intact)
        self.assertFalse(client.follower.restore_if_newer(newer))
        self.assertEqual(1, client.state.offset)

    def test_gap_stops_the_follower_unless_it_may_skip(self) -> None:
        """Entries after lost claims can't be validated."""
        log = helpers.make_log()
        _client_at(log, 3)
        log.trim(helpers.STREAM, 2)
        strict = helpers.LogClient(log)
        anyio.run(strict.follower.step)
        anyio.run(strict.follower.step)
        self.assertEqual(-1, strict.state.offset)
        self.assertEqual(
            followers.StatusKind.GAP, strict.follower.status().kind
        )
        skipping = helpers.LogClient(log, may_skip=True)
        for _ in range(3):
            anyio.run(skipping.follower.step)
        self.assertEqual(2, skipping.state.offset)
        self.assertEqual(2, skipping.follower.skipped_entries)


class AssemblerTest(unittest.TestCase):
    """Late, duplicate and damaged checkpoints are handled."""

    def test_late_checkpoint_of_a_lower_offset_is_ignored(self) -> None:
        """An instance may write it after a pause."""
        old = api.make_snapshot(
            helpers.STREAM, _client_at(helpers.make_log(), 1).state
        )
        new = api.make_snapshot(
            helpers.STREAM, _client_at(helpers.make_log(), 3).state
        )
        assembler = checkpoint.Assembler(helpers.STREAM)
        stale = checkpoint.split('old', old, 8)
        assembler.add(stale[0])
        for part in checkpoint.split('new', new, 8):
            assembler.add(part)
            assembler.add(part)
        for part in (*stale, b'junk'):
            assembler.add(part)
        self.assertEqual(new, assembler.best)

    def test_damaged_checkpoint_is_ignored(self) -> None:
        """Its digest does not match its state."""
        intact = api.make_snapshot(
            helpers.STREAM, _client_at(helpers.make_log(), 1).state
        )
        damaged = api.Snapshot(intact.stream, 7, intact.digest, b'other')
        assembler = checkpoint.Assembler(helpers.STREAM)
        for part in checkpoint.split('x', damaged):
            assembler.add(part)
        self.assertIsNone(assembler.best)
