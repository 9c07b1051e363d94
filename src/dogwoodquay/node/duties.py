"""Follows duties, which are tasks that one instance does for all.

A candidate for a duty replays its stream, claims the duty when it is vacant,
writes checkpoints while it owns the duty, and hands it over on a planned stop.
"""

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

__all__ = ['Duty', 'DutyDependencies', 'StreamCheckpoints']


@dataclasses.dataclass(frozen=True)
class DutyDependencies:
    """The components and data that every duty depends on.

    ``incarnation`` is the boot number of this process, see
    ``membership.api.boot_of``.
    """

    instance_id: str
    incarnation: int
    log: external_api.Log
    membership: membership_api.Membership
    peer_snapshots: snapshots.PeerSnapshots
    clock: clocks.Clock
    rng: random.Random
    checkpoint_entries: int


class Duty:
    """Follows the stream of one duty and takes part in its ownership.

    :param on_change: called with the new term when this instance becomes the
        owner, and with ``None`` when it no longer is.
    """

    def __init__(
        self,
        name: str,
        dependencies: DutyDependencies,
        on_change: abc.Callable[[ownership_runner.OwnershipTerm | None], None],
    ) -> None:
        self._state = replay.DutyState(name)
        self._follower = followers.Follower(
            replay.duty_stream(name),
            self._state,
            dependencies.log,
            dependencies.clock,
            dependencies.rng,
            peers=dependencies.peer_snapshots,
        )
        self._writer = writers.Writer[ledger_entries.LedgerEntry](
            dependencies.log,
            self._follower,
            ledger_entries.CODEC,
            dependencies.clock,
        )
        self._runner = ownership_runner.OwnershipRunner(
            name,
            dependencies.instance_id,
            dependencies.incarnation,
            self._state,
            self._follower,
            self._writer,
            dependencies.membership,
            dependencies.clock,
            dependencies.rng,
            on_change,
        )
        self._checkpointer = checkpointers.Checkpointer(
            self._follower,
            dependencies.log,
            dependencies.clock,
            is_writer=lambda: self._runner.term is not None,
            every_entries=dependencies.checkpoint_entries,
        )
        dependencies.peer_snapshots.serve(self._follower)
        self._withhold_snapshots = functools.partial(
            dependencies.peer_snapshots.withhold, self._follower.stream
        )

    @property
    def state(self) -> replay.DutyState:
        """The state that is replayed from the duty's stream."""
        return self._state

    @property
    def follower(self) -> followers.Follower:
        """The follower of the duty's stream."""
        return self._follower

    @property
    def writer(self) -> writers.Writer[ledger_entries.LedgerEntry]:
        """The writer of the duty's stream."""
        return self._writer

    @property
    def term(self) -> ownership_runner.OwnershipTerm | None:
        """The term of this instance, or ``None`` if it is not the owner."""
        return self._runner.term

    @property
    def owner(self) -> str:
        """The owner by the replayed state, empty if there is none."""
        ownership = self._state.ownership
        return '' if ownership.released else ownership.instance_id

    @property
    def epoch(self) -> int:
        """The epoch by the replayed state."""
        return self._state.ownership.epoch

    async def run(self) -> None:
        """Follow the duty and claim it when vacant, until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._follower.run)
                group.start_soon(self._runner.run)
                group.start_soon(self._checkpointer.run)
        finally:
            self._withhold_snapshots()

    async def hand_over(self, deadline: float) -> bool:
        """Release the duty to a live instance and wait for its claim.

        :return: whether the hand-over was completed before the deadline.
        """
        return await self._runner.hand_over(deadline)


class StreamCheckpoints:
    """Writes the checkpoints of streams that have no owner.

    The instance that ranks first for a stream writes them. While memberships
    differ, two instances may rank first; the extra checkpoint is redundant.
    """

    def __init__(
        self,
        dependencies: DutyDependencies,
        streams: abc.Iterable[followers.Follower],
    ) -> None:
        self._dependencies = dependencies
        self._checkpointers = tuple(
            checkpointers.Checkpointer(
                follower,
                dependencies.log,
                dependencies.clock,
                functools.partial(self._ranks_first, follower.stream),
                every_entries=dependencies.checkpoint_entries,
            )
            for follower in streams
        )

    async def run(self) -> None:
        """Write checkpoints until cancelled."""
        async with anyio.create_task_group() as group:
            for checkpointer in self._checkpointers:
                group.start_soon(checkpointer.run)

    def _ranks_first(self, stream: str) -> bool:
        membership = self._dependencies.membership
        if not membership.trusted:
            return False
        ranking = proposal.rank_instances(
            f'checkpoint:{stream}', membership.live()
        )
        return ranking[:1] == (self._dependencies.instance_id,)
