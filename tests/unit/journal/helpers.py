"""Test helpers: a duty's stream on an in-memory log."""

from __future__ import annotations

import random
import typing

from dogwoodquay import clock
from dogwoodquay.external import memory
from dogwoodquay.journal import follower as followers
from dogwoodquay.journal import writer as writers
from dogwoodquay.ledger import entries
from dogwoodquay.ledger import replay
from dogwoodquay.ownership import entries as ownership_entries

if typing.TYPE_CHECKING:
    from dogwoodquay.journal import api as journal_api

DUTY: typing.Final = 'pool:a'
STREAM: typing.Final = replay.duty_stream(DUTY)


def make_claim(entry_id: str, instance: str, replaces: int):
    """Return a claim on the duty."""
    return ownership_entries.Claim(
        entry_id=entry_id,
        duty=DUTY,
        instance_id=instance,
        incarnation=1,
        replaces=replaces,
    )


class LogClient:
    """The state, follower and writer of one instance."""

    def __init__(
        self,
        log: memory.MemoryLog,
        peers: journal_api.SnapshotSource | None = None,
        may_skip: bool = False,
    ) -> None:
        self.clock = clock.SystemClock()
        self.state = replay.DutyState(DUTY)
        self.follower = followers.Follower(
            STREAM,
            self.state,
            log,
            self.clock,
            random.Random(1),
            peers,
            may_skip,
        )
        self.writer = writers.Writer(
            log, self.follower, entries.CODEC, self.clock
        )

    async def claim(self, entry_id: str, instance: str, replaces: int) -> bool:
        """Claim the duty and return whether the claim is valid."""
        claim = make_claim(entry_id, instance, replaces)
        deadline = self.clock.now() + 20.0
        result = await self.writer.append((claim,), deadline)
        return result.ok[0].valid


def put(log: memory.MemoryLog, *items: entries.LedgerEntry) -> int:
    """Append a record directly, without injected faults."""
    return log.put(STREAM, entries.CODEC.encode(items))


def make_log() -> memory.MemoryLog:
    """Return an in-memory log that runs on the system clock."""
    return memory.MemoryLog(memory.SystemTimeline(), random.Random(1))
