"""One shard of the claims: its table, follower, batcher and claimant."""

from __future__ import annotations

import typing
import uuid

import anyio

from . import api
from . import batcher
from . import claimant
from ..journal import follower
from . import table

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clocks
    from . import entries
    from ..external import api as external_api
    from ..journal import api as journal_api

__all__ = ['Shard']

VERDICT_TIMEOUT_SECONDS: typing.Final = 60.0


class Shard:
    """Decides the claims on the keys of one stream."""

    def __init__(
        self,
        stream: str,
        instance: str,
        incarnation: int,
        log: external_api.Log,
        appender: batcher.Appender,
        clock: clocks.Clock,
        rng: random.Random,
        is_dead: abc.Callable[[str, int], bool],
        interval: abc.Callable[[], float],
        snapshots: journal_api.SnapshotSource | None = None,
    ) -> None:
        self._clock = clock
        self.table = table.ClaimTable()
        self.follower = follower.Follower(
            stream,
            self.table,
            log,
            clock,
            rng,
            snapshots,
            may_skip=True,
        )
        self.batcher = batcher.Batcher(
            appender, self.follower, clock, interval
        )
        self._claimant = claimant.Claimant(
            instance, incarnation, self.table, is_dead, _new_id
        )
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Follow the stream and append entries until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self.batcher.run)

    async def claim(
        self, caller: str, key: str, body_digest: bytes, deadline: float
    ) -> api.ClaimAnswer:
        """Claim a key and wait for the decision of the log."""
        attempt_id, decision = self._claimant.begin(
            caller, key, body_digest, deadline, self._clock.now()
        )
        try:
            while isinstance(decision, claimant.Append):
                decision = await self._append(attempt_id, decision, deadline)
        except BaseException:
            self._give_up(attempt_id, may_be_on_log=True)
            raise
        finally:
            self._withdraw_abandoned()
        return decision

    async def settle(
        self,
        claim: api.Claim,
        answer: api.StoredAnswer | None,
        deadline: float,
    ) -> None:
        """Record the end of a claim and wait for it until the deadline.

        Past the deadline, the recording continues in the background.
        """
        entry = self._claimant.settlement(claim, answer)
        recorded = anyio.Event()
        if self._start_recording(entry, recorded):
            remaining = deadline - self._clock.now()
            with anyio.move_on_after(max(0.0, remaining)):
                await recorded.wait()

    async def withdraw(self, claim: api.Claim, deadline: float) -> bool:
        """Release a key; the entry may be appended after the deadline."""
        pending = self.batcher.add(self._claimant.withdrawal(claim))
        if pending is None:
            return False
        verdict = await self.batcher.verdict(pending, deadline)
        return verdict is not None and verdict.valid

    def raise_horizon(self, entry: entries.HorizonRaised) -> None:
        """Append a new horizon without waiting for it."""
        self.batcher.add_without_verdict(entry)

    async def _append(
        self, attempt_id: str, decision: claimant.Append, deadline: float
    ) -> claimant.Decision:
        pending = self.batcher.add(decision.entry)
        if pending is None:
            return self._give_up(attempt_id, may_be_on_log=False)
        try:
            verdict = await self.batcher.verdict_unless_failed(
                pending, deadline
            )
        finally:
            self.batcher.drop(pending)
        if verdict is None:
            return self._give_up(attempt_id, pending.may_be_on_log)
        now = self._clock.now()
        return self._claimant.on_verdict(
            attempt_id, verdict.valid, now, pending.may_be_duplicated
        )

    def _give_up(
        self, attempt_id: str, may_be_on_log: bool
    ) -> api.ClaimAnswer:
        now = self._clock.now()
        return self._claimant.give_up(attempt_id, may_be_on_log, now)

    def _withdraw_abandoned(self) -> None:
        for entry in self._claimant.take_withdrawals():
            self.batcher.add_without_verdict(entry)

    def _start_recording(
        self, entry: entries.Settled, recorded: anyio.Event
    ) -> bool:
        pending = self.batcher.add(entry)
        if pending is None or self._tasks is None:
            return False
        self._tasks.start_soon(
            self._record_settlement, entry, pending, recorded
        )
        return True

    async def _record_settlement(
        self,
        entry: entries.Settled,
        pending: batcher.PendingEntry,
        recorded: anyio.Event,
    ) -> None:
        while not pending.decided and self.table.is_open(
            entry.key, entry.claim_id
        ):
            self.batcher.requeue(pending)
            deadline = self._clock.now() + VERDICT_TIMEOUT_SECONDS
            await self.batcher.verdict(pending, deadline)
        self.batcher.drop(pending)
        self._claimant.on_settlement_read(entry)
        recorded.set()


def _new_id() -> str:
    return uuid.uuid4().hex
