"""One shard of the claims: its replay, its batches and its claimant."""

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

RECORD_SECONDS: typing.Final = 60.0


class Shard:
    """Decides the claims of the keys that fall into one stream."""

    def __init__(
        self,
        stream: str,
        instance: str,
        boot: int,
        log: external_api.Log,
        appender: batcher.Appender,
        clock: clocks.Clock,
        rng: random.Random,
        dead: abc.Callable[[str, int], bool],
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
            instance, boot, self.table, dead, _new_id
        )
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Follow the stream and append until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self.batcher.run)

    async def claim(
        self, caller: str, key: str, body_digest: bytes, deadline: float
    ) -> api.ClaimAnswer:
        """Claim a key; returns once the log has decided."""
        attempt_id, decision = self._claimant.begin(
            caller, key, body_digest, deadline, self._clock.now()
        )
        try:
            while isinstance(decision, claimant.Append):
                decision = await self._append(attempt_id, decision, deadline)
        except BaseException:
            self._give_up(attempt_id, may_land=True)
            raise
        finally:
            self._withdraw_given_up()
        return decision

    async def settle(
        self,
        claim: api.Claim,
        answer: api.StoredAnswer | None,
        deadline: float,
    ) -> None:
        """Record an end; goes on in the background past the deadline."""
        entry = self._claimant.settlement(claim, answer)
        recorded = anyio.Event()
        if self._record(entry, recorded):
            left = deadline - self._clock.now()
            with anyio.move_on_after(max(0.0, left)):
                await recorded.wait()

    async def withdraw(self, claim: api.Claim, deadline: float) -> bool:
        """Free a key; the entry is appended also after the deadline."""
        ticket = self.batcher.add(self._claimant.withdrawal(claim))
        if ticket is None:
            return False
        verdict = await self.batcher.verdict(ticket, deadline)
        return verdict is not None and verdict.valid

    def raise_horizon(self, entry: entries.HorizonRaised) -> None:
        """Append a new horizon in the background."""
        self.batcher.post(entry)

    async def _append(
        self, attempt_id: str, decision: claimant.Append, deadline: float
    ) -> claimant.Decision:
        ticket = self.batcher.add(decision.entry)
        if ticket is None:
            return self._give_up(attempt_id, may_land=False)
        try:
            verdict = await self.batcher.quick_verdict(ticket, deadline)
        finally:
            self.batcher.drop(ticket)
        if verdict is None:
            return self._give_up(attempt_id, ticket.may_land)
        now = self._clock.now()
        return self._claimant.decided(
            attempt_id, verdict.valid, now, ticket.doubled
        )

    def _give_up(self, attempt_id: str, may_land: bool) -> api.ClaimAnswer:
        now = self._clock.now()
        return self._claimant.give_up(attempt_id, may_land, now)

    def _withdraw_given_up(self) -> None:
        for entry in self._claimant.take_withdrawals():
            self.batcher.post(entry)

    def _record(self, entry: entries.Settled, recorded: anyio.Event) -> bool:
        ticket = self.batcher.add(entry)
        if ticket is None or self._tasks is None:
            return False
        self._tasks.start_soon(self._follow_up, entry, ticket, recorded)
        return True

    async def _follow_up(
        self,
        entry: entries.Settled,
        ticket: batcher.Ticket,
        recorded: anyio.Event,
    ) -> None:
        while not ticket.done and self.table.holds(entry.key, entry.claim_id):
            self.batcher.again(ticket)
            deadline = self._clock.now() + RECORD_SECONDS
            await self.batcher.verdict(ticket, deadline)
        self.batcher.drop(ticket)
        self._claimant.recorded(entry)
        recorded.set()


def _new_id() -> str:
    return uuid.uuid4().hex
