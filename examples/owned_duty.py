"""Two processes compete for a duty; the order of the log decides.

A duty is a task that one process does for all. Run this example with
``python examples/owned_duty.py``. The log is an in-memory fake; a real one is
any class with the methods of ``external.api.Log``.
"""

from __future__ import annotations

import random
import sys
import typing
import uuid

import anyio

from dogwoodquay import clock as clocks
from dogwoodquay.external import api as external_api
from dogwoodquay.external import memory
from dogwoodquay.journal import api as journal_api
from dogwoodquay.journal import entries as journal_entries
from dogwoodquay.journal import follower as followers
from dogwoodquay.journal import writer as writers
from dogwoodquay.ownership import core
from dogwoodquay.ownership import entries

DUTY: typing.Final = 'nightly-sort'
STREAM: typing.Final = 'duty'
TIMEOUT_SECONDS: typing.Final = 5.0

DutyEntry = entries.Claim | entries.Release
CODEC: journal_entries.Codec[DutyEntry] = journal_entries.Codec(DutyEntry)


class DutyState:
    """The duty's owner, replayed from the stream."""

    def __init__(self) -> None:
        self.ownership = core.Ownership(DUTY)
        self._offset = -1

    @property
    def offset(self) -> int:
        """The offset of the last entry that was applied."""
        return self._offset

    def apply(
        self, entry: external_api.LogEntry
    ) -> tuple[journal_api.Verdict, ...]:
        """Apply the next entry of the stream."""
        self._offset = entry.offset
        return tuple(
            journal_api.Verdict(
                item.entry_id,
                self._apply_entry(item, entry.offset),
                entry.offset,
            )
            for item in CODEC.decode(entry.payload)
        )

    def snapshot(self) -> bytes:
        """Return the full state; unused, as no checkpoint is written."""
        return journal_entries.pack(self.ownership)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with that of a snapshot."""
        self.ownership = journal_entries.unpack(snapshot, core.Ownership)

    def _apply_entry(self, item: DutyEntry, offset: int) -> bool:
        ownership = core.apply(self.ownership, item, offset)
        if ownership is None:
            return False
        self.ownership = ownership
        return True


class Process:
    """A process that claims the duty."""

    def __init__(self, name: str, log: external_api.Log) -> None:
        clock = clocks.SystemClock()
        self.name = name
        self.state = DutyState()
        self.clock = clock
        self.follower = followers.Follower(
            STREAM, self.state, log, clock, random.Random()
        )
        self._writer = writers.Writer(log, self.follower, CODEC, clock)

    async def claim(self) -> bool:
        """Claim the duty and return whether the claim is valid."""
        claim = entries.Claim(
            entry_id=uuid.uuid4().hex,
            duty=DUTY,
            instance_id=self.name,
            incarnation=1,
            replaces=self.state.ownership.epoch,
        )
        deadline = self.clock.now() + TIMEOUT_SECONDS
        result = await self._writer.append((claim,), deadline)
        return result.is_ok() and result.ok[0].valid


async def main() -> int:
    """Let two processes claim at the same time; exactly one may win."""
    log = memory.MemoryLog(memory.SystemTimeline(), random.Random(1))
    # The reply to the first append is lost; reading the log gives the result.
    log.faults.inject(memory.CallFault.LOSE_ANSWER)
    processes = [Process('left', log), Process('right', log)]
    valid: dict[str, bool] = {}

    async def claim(process: Process) -> None:
        valid[process.name] = await process.claim()

    async with anyio.create_task_group() as group:
        for process in processes:
            group.start_soon(process.follower.run)
        async with anyio.create_task_group() as competitors:
            for process in processes:
                competitors.start_soon(claim, process)
        group.cancel_scope.cancel()
    owner = processes[0].state.ownership
    print(f'{owner.instance_id} owns {DUTY}; fencing token {owner.epoch}')
    return 0 if sum(valid.values()) == 1 and valid[owner.instance_id] else 1


if __name__ == '__main__':
    sys.exit(anyio.run(main))
