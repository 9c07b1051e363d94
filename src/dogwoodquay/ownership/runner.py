"""Claims a duty when it is vacant, and hands it over on a planned stop."""

from __future__ import annotations

import typing
import uuid

import anyio

from . import core
from . import entries
from . import proposal

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clocks
    from ..journal import follower as followers
    from ..journal import writer as journal_writer
    from ..membership import api as membership_api

__all__ = ['OwnedState', 'OwnershipRunner', 'OwnershipTerm']

CHECK_INTERVAL_SECONDS: typing.Final = 0.25
CLAIM_TIMEOUT_SECONDS: typing.Final = 5.0
TAKEN_SECONDS: typing.Final = 5.0


class OwnedState(typing.Protocol):
    """A replayed state that includes the ownership of a duty."""

    @property
    def ownership(self) -> core.Ownership:
        """The ownership at the state's offset."""


class OwnershipTerm(typing.NamedTuple):
    """One instance's ownership of a duty; the epoch is the fencing token."""

    duty: str
    epoch: int


class OwnershipRunner:
    """Claims a duty when needed, and notifies of each gain and loss."""

    def __init__(
        self,
        duty: str,
        instance_id: str,
        incarnation: int,
        state: OwnedState,
        follower: followers.Follower,
        writer: journal_writer.Writer[typing.Any],
        membership: membership_api.Membership,
        clock: clocks.Clock,
        rng: random.Random,
        on_change: abc.Callable[[OwnershipTerm | None], None],
    ) -> None:
        """Make a runner.

        :param incarnation: the boot number of this process, which, unlike
            the incarnation of a member, does not change when the member
            refutes a suspicion.
        :param state: the state that ``follower`` replays.
        :param on_change: called with the new term, or nothing at its end.
        """
        self._duty = duty
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._state = state
        self._follower = follower
        self._writer = writer
        self._membership = membership
        self._clock = clock
        self._on_change = on_change
        self._proposer = proposal.Proposer(duty, instance_id, incarnation, rng)
        self._term: OwnershipTerm | None = None
        self._leaving = False
        self._wake = anyio.Event()
        self._claims = 0
        follower.watch(self.refresh)

    @property
    def term(self) -> OwnershipTerm | None:
        """The term of this process, or nothing if it does not own the duty."""
        return self._term

    @property
    def ownership(self) -> core.Ownership:
        """The ownership by the local replay."""
        return self._state.ownership

    @property
    def claims(self) -> int:
        """The number of claims that this process has made."""
        return self._claims

    def refresh(self) -> None:
        """Update the term after a change of the replayed state or members."""
        ownership = self._state.ownership
        term = None
        if ownership.is_owner(self._instance_id, self._incarnation):
            term = OwnershipTerm(self._duty, ownership.epoch)
        if term != self._term:
            self._term = term
            self._on_change(term)
        self._wake.set()

    async def run(self) -> typing.NoReturn:
        """Claim whenever it is this instance's turn, until cancelled."""
        while True:
            await self.step()
            self._wake = anyio.Event()
            with anyio.move_on_after(CHECK_INTERVAL_SECONDS):
                await self._wake.wait()

    async def step(self) -> bool:
        """Claim the duty if it is vacant and this instance's turn.

        :return: whether a claim was made.
        """
        if self._leaving or not self._follower.caught_up:
            return False
        if not self._membership.trusted:
            return False
        ownership = self._state.ownership
        now = self._clock.now()
        members = self._membership.members()
        if now < self._proposer.claim_at(ownership, members, now):
            return False
        await self._claim(ownership)
        return True

    async def _claim(self, ownership: core.Ownership) -> None:
        claim = entries.Claim(
            entry_id=uuid.uuid4().hex,
            duty=self._duty,
            instance_id=self._instance_id,
            incarnation=self._incarnation,
            replaces=ownership.epoch,
        )
        self._claims += 1
        deadline = self._clock.now() + CLAIM_TIMEOUT_SECONDS
        await self._writer.append((claim,), deadline)
        self.refresh()

    async def hand_over(self, deadline: float) -> bool:
        """Release the duty to a live instance and wait for its claim.

        :return: whether this process no longer owns the duty and, if it
            did, a new owner has claimed it.
        """
        self._leaving = True
        term = self._term
        if term is None:
            return True
        successor = proposal.choose_successor(
            self._duty, self._membership.members(), self._instance_id
        )
        release = entries.Release(
            entry_id=uuid.uuid4().hex,
            duty=self._duty,
            epoch=term.epoch,
            successor=successor,
        )
        await self._writer.append((release,), deadline)
        if not successor:
            return False
        return await self._wait_for_successor(term.epoch, deadline)

    async def _wait_for_successor(self, epoch: int, deadline: float) -> bool:
        while self._state.ownership.epoch == epoch:
            if self._clock.now() >= deadline:
                return False
            self._wake = anyio.Event()
            with anyio.move_on_after(CHECK_INTERVAL_SECONDS):
                await self._wake.wait()
        return True
