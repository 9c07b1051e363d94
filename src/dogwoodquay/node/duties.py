"""A duty as this instance stands by it: followed, claimed, kept, released."""

from __future__ import annotations

import dataclasses
import functools
import typing

import anyio

from ..journal import checkpointer as checkpointers
from ..journal import follower as followers
from ..journal import writer as writers
from ..ledger import entries as ledger_entries
from ..ledger import replay
from ..ownership import proposal
from ..ownership import runner as ownership_runner

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clocks
    from ..external import api as external_api
    from ..membership import api as membership_api
    from . import snapshots

__all__ = ['Duty', 'DutyParts', 'StreamCheckpoints']


@dataclasses.dataclass(frozen=True)
class DutyParts:
    """What every duty of an instance works with."""

    instance_id: str
    incarnation: int
    log: external_api.Log
    membership: membership_api.Membership
    peer_snapshots: snapshots.PeerSnapshots
    clock: clocks.Clock
    rng: random.Random
    checkpoint_entries: int


class Duty:
    """One duty: its stream, the claim on it and its checkpoints."""

    def __init__(
        self,
        name: str,
        parts: DutyParts,
        on_change: abc.Callable[[ownership_runner.OwnershipTerm | None], None],
    ) -> None:
        self._state = replay.DutyState(name)
        self._follower = followers.Follower(
            replay.duty_stream(name),
            self._state,
            parts.log,
            parts.clock,
            parts.rng,
            peers=parts.peer_snapshots,
        )
        self._writer = writers.Writer[ledger_entries.LedgerEntry](
            parts.log, self._follower, ledger_entries.CODEC, parts.clock
        )
        self._runner = ownership_runner.OwnershipRunner(
            name,
            parts.instance_id,
            parts.incarnation,
            self._state,
            self._follower,
            self._writer,
            parts.membership,
            parts.clock,
            parts.rng,
            on_change,
        )
        self._checkpointer = checkpointers.Checkpointer(
            self._follower,
            parts.log,
            parts.clock,
            is_writer=lambda: self._runner.term is not None,
            every_entries=parts.checkpoint_entries,
        )
        parts.peer_snapshots.serve(self._follower)
        self._forget = functools.partial(
            parts.peer_snapshots.withhold, self._follower.stream
        )

    @property
    def state(self) -> replay.DutyState:
        """The replayed state."""
        return self._state

    @property
    def follower(self) -> followers.Follower:
        """What follows the duty's stream."""
        return self._follower

    @property
    def writer(self) -> writers.Writer[ledger_entries.LedgerEntry]:
        """What appends to the duty's stream."""
        return self._writer

    @property
    def tenure(self) -> ownership_runner.OwnershipTerm | None:
        """This instance's tenure, if it owns the duty."""
        return self._runner.term

    @property
    def owner(self) -> str:
        """The owner as replayed here, empty for nobody."""
        ownership = self._state.ownership
        return '' if ownership.released else ownership.instance_id

    @property
    def epoch(self) -> int:
        """The epoch as replayed here."""
        return self._state.ownership.epoch

    async def run(self) -> None:
        """Stand by the duty until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._follower.run)
                group.start_soon(self._runner.run)
                group.start_soon(self._checkpointer.run)
        finally:
            self._forget()

    async def hand_over(self, deadline: float) -> bool:
        """Release the duty to a live instance and wait for its claim."""
        return await self._runner.hand_over(deadline)


class StreamCheckpoints:
    """Writes the checkpoints of streams that nobody owns.

    The instance that ranks first for a stream writes them; two that both
    think so write one too many.
    """

    def __init__(
        self,
        parts: DutyParts,
        streams: abc.Iterable[followers.Follower],
    ) -> None:
        self._parts = parts
        self._checkpointers = tuple(
            checkpointers.Checkpointer(
                follower,
                parts.log,
                parts.clock,
                functools.partial(self._ranks_first, follower.stream),
                every_entries=parts.checkpoint_entries,
            )
            for follower in streams
        )

    async def run(self) -> None:
        """Write checkpoints until cancelled."""
        async with anyio.create_task_group() as group:
            for checkpointer in self._checkpointers:
                group.start_soon(checkpointer.run)

    def _ranks_first(self, stream: str) -> bool:
        membership = self._parts.membership
        if not membership.trusted:
            return False
        ranking = proposal.rank_instances(
            f'checkpoint:{stream}', membership.live()
        )
        return ranking[:1] == (self._parts.instance_id,)
