"""Which instance gives orders to engines, by a group in the store."""

from __future__ import annotations

import typing

import anyio

from . import fencing
from . import members
from ..observe import logs

if typing.TYPE_CHECKING:
    import random

    from .. import clock as clocks
    from . import metrics as gateway_metrics
    from . import settings as gateway_settings
    from . import store_api

__all__ = ['OrderOwnership']

_LOG: typing.Final = logs.ComponentLog('duty')

GROUP: typing.Final = 'engine-orders'
TOPIC: typing.Final = 'engine-orders'
# The member to which the store assigns this partition gives the orders.
PARTITION: typing.Final = 0
# Renewals within the lifetime of a membership.
RENEWALS_PER_LIFETIME: typing.Final = 3.0
CALL_TIMEOUT_SECONDS: typing.Final = 0.5
LOOKUP_SECONDS: typing.Final = 0.4
# Candidates wait for a random time of up to this value times the number of
# instances, so that the first one has joined before the next one looks up
# the owner.
CANDIDATE_SPREAD_SECONDS: typing.Final = 0.07
MIN_INSTANCE_COUNT: typing.Final = 4
# The share at the end of a membership's lifetime that is not relied on.
EXPIRY_MARGIN_SHARE: typing.Final = 0.25
# Checks after which an owner considers its partition lost, and the time
# between them: several times as long as a candidate's join and leave.
RECHECKS: typing.Final = 3
RECHECK_SECONDS: typing.Final = 0.05


class OrderOwnership:
    """Tracks which instance owns the duty of giving orders to engines.

    A duty is a task that one instance does for all. Only the owner stays in
    the store's group, so that restarts of other instances reassign no
    partition. An instance that cannot reach the owner looks it up in the
    store, and joins the group if there is none: then the owner's membership
    has expired. The generation of the group rises with each change, and the
    fencing tokens are derived from it and from the era of the store, as a
    restored store gives out generations again.

    Where engines refuse old fencing tokens, an owner continues while the
    store is unavailable, until an engine or the store reports another owner.
    Elsewhere it stops before its membership can expire, and a new owner
    waits for the lease time before its first order.

    An owner that is stopped while the store is unavailable hands the duty
    over to a peer, the successor, with the next token of its generation. The
    successor joins the group as soon as it can; until then it cannot hand
    the duty over itself. ``spec/duty.pml`` checks that two instances never
    use the same token.
    """

    def __init__(
        self,
        store: store_api.Store,
        settings: gateway_settings.InstanceSettings,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._store = store
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._member = members.member_name(settings)
        self._token = fencing.NO_TOKEN
        self._predecessor = ''
        self._successor_deadline = float('inf')
        self._joined = False
        self._leave_confirmed = False
        self._rechecking = False
        self._group_generation = 0
        self._is_owner = False
        self._owner_since = float('inf')
        self._confirmed_at = float('-inf')
        self._owner = ''
        self._leaving = False
        self._instance_count = MIN_INSTANCE_COUNT
        self._wake = anyio.Event()

    @property
    def member(self) -> str:
        """The name of this instance in the group and among its peers."""
        return self._member

    @property
    def owner(self) -> str:
        """The name of the owner by local state, empty if unknown."""
        return self._member if self._is_owner else self._owner

    @property
    def fence(self) -> int:
        """The fencing token of orders that are given now."""
        return self._token.number

    @property
    def confirmed_at(self) -> float:
        """When this owner began, or the store last confirmed it."""
        return max(self._confirmed_at, self._owner_since)

    @property
    def owner_address(self) -> gateway_settings.Address | None:
        """The peer address of the owner if it is another, known instance."""
        if not self._owner or self._owner == self._member:
            return None
        return members.member_address(self._owner)

    def is_owner(self, now: float) -> bool:
        """Whether this instance is the owner, by its local state."""
        if not self._is_owner or self._leaving or self._rechecking:
            return False
        if self._settings.fences_checked:
            return True
        ttl = self._settings.member_seconds
        return now < self._confirmed_at + ttl * (1.0 - EXPIRY_MARGIN_SHARE)

    def may_order(self, now: float) -> bool:
        """Whether this instance may give orders now."""
        if not self.is_owner(now):
            return False
        if self._settings.fences_checked:
            return True
        return now >= self._owner_since + self._settings.lease_seconds

    def update_instance_count(self, count: int) -> None:
        """Set the number of instances that the owner publishes."""
        self._instance_count = max(MIN_INSTANCE_COUNT, count)

    def on_superseded(self) -> None:
        """End the ownership, as an engine has seen a higher token."""
        _LOG.write('superseded', **self._token.fields())
        self._end_ownership()

    def on_owner_reported(self, owner: str) -> None:
        """Record the owner that a peer reports."""
        if not self._is_owner and owner not in ('', self._member, self._owner):
            self._owner = owner
            _LOG.write('holder', member=owner, told='peer')

    def on_owner_unreachable(self) -> None:
        """Forget the owner and look it up in the store again."""
        self._owner = ''
        self._wake.set()

    async def run(self) -> typing.NoReturn:
        """Keep the ownership, or the name of the owner, up to date."""
        while True:
            pause = await self.step()
            self._wake = anyio.Event()
            with anyio.move_on_after(pause):
                await self._wake.wait()

    async def step(self) -> float:
        """Renew, look up or acquire once; return the pause in seconds."""
        if self._leaving:
            return LOOKUP_SECONDS
        if self._is_owner:
            began = self._clock.now()
            await self._renew()
            pause = self._settings.member_seconds / RENEWALS_PER_LIFETIME
            return max(0.05, began + pause - self._clock.now())
        if self._owner:
            return float('inf')
        if (
            await self._look_up_owner() == ''
            and await self._clear_old_membership()
        ):
            spread = CANDIDATE_SPREAD_SECONDS * self._instance_count
            await anyio.sleep(self._rng.uniform(0.0, spread))
            if not self._leaving and await self._look_up_owner() == '':
                await self._acquire()
        return LOOKUP_SECONDS

    async def leave(self) -> bool:
        """End the ownership at a planned stop.

        :return: whether others can acquire it from the store.
        """
        was_owner, self._leaving = self._is_owner, True
        return not was_owner or await self._leave_group()

    def next_hand_over(self) -> fencing.OrderToken | None:
        """Return the successor's fencing token for the next hand-over.

        Each peer gets its own, as one whose answer is lost may have accepted.

        :return: ``None`` where the duty cannot be handed over.
        """
        if not self._is_owner or self._predecessor or not self._leaving:
            return None
        token = self._token.next_hand_over()
        if token is not None and self._settings.fences_checked:
            self._token = token
            return token
        return None

    def handed_over(self, member: str) -> None:
        """Record that a peer has taken over the duty."""
        self._is_owner = False
        self._owner = member
        _LOG.write('handed_on', member=member, **self._token.fields())

    def take_over(self, predecessor: str, token: fencing.OrderToken) -> bool:
        """Take the duty over from a stopping owner, if the offer is newer."""
        unable = self._leaving or self._is_owner or token <= self._token
        if unable or not self._settings.fences_checked:
            return False
        self._token = token
        self._predecessor = predecessor
        self._successor_deadline = float('inf')
        self._is_owner = True
        self._owner_since = self._clock.now()
        self._owner = self._member
        _LOG.write('taken_over', member=predecessor, **self._token.fields())
        self._wake.set()
        return True

    async def _renew(self) -> None:
        began = self._clock.now()
        expired = began > self._confirmed_at + self._settings.member_seconds
        if expired and not self._predecessor:
            # Joining again would take the duty from its next owner.
            owner = await self._look_up_owner()
            if owner:
                self._end_ownership()
            if owner != '':
                return
        membership = await self._join_group(began)
        if membership is None:
            return
        if PARTITION not in membership.partitions and not self._predecessor:
            membership = await self._recheck_partition()
        if membership is not None and PARTITION in membership.partitions:
            self._confirm_ownership(membership, began)
        elif not self._predecessor or await self._successor_superseded(began):
            self._end_ownership()
            await self._leave_group()

    async def _recheck_partition(self) -> store_api.Membership | None:
        """Check for a while whether the partition is assigned again.

        A candidate that joins although there is an owner takes the partition
        away for a moment. Leaving the group then would reassign it once
        more. No orders are given meanwhile.
        """
        self._rechecking = True
        try:
            for _ in range(RECHECKS):
                await anyio.sleep(RECHECK_SECONDS)
                membership = await self._join_group(self._clock.now())
                if membership and PARTITION in membership.partitions:
                    _LOG.write('kept', generation=membership.generation)
                    return membership
            return None
        finally:
            self._rechecking = False

    async def _successor_superseded(self, now: float) -> bool:
        """Whether a successor without the partition has lost the duty.

        It has if the store names a third member as the owner, or if it still
        lacks the partition after the predecessor's membership must have
        expired: a membership that remains belongs to a new process.
        """
        if self._successor_deadline == float('inf'):
            share = 1.0 + EXPIRY_MARGIN_SHARE
            self._successor_deadline = (
                now + self._settings.member_seconds * share
            )
        deadline = now + CALL_TIMEOUT_SECONDS
        found = await self._store.owner(GROUP, PARTITION, deadline)
        if found.is_error():
            return False
        owner = found.ok.owner
        if owner in ('', self._predecessor, self._member):
            return now >= self._successor_deadline
        return True

    def _confirm_ownership(
        self, membership: store_api.Membership, began: float
    ) -> bool:
        """Record that the store confirms this instance as the owner.

        A token never becomes smaller: another instance may have used it.

        :return: whether it does; not by an answer from before a restore.
        """
        token = fencing.OrderToken(membership.store_era, membership.generation)
        if token > self._token:
            self._token = token
        elif self._predecessor or token.is_older_term(self._token):
            _LOG.write('outdated', found=token.number, **self._token.fields())
            return False
        self._predecessor = ''
        self._confirmed_at = began
        return True

    async def _acquire(self) -> None:
        began = self._clock.now()
        membership = await self._join_group(began)
        if membership is None:
            return
        assigned = PARTITION in membership.partitions and not self._leaving
        if not assigned or not self._confirm_ownership(membership, began):
            await self._leave_group()
            return
        self._is_owner = True
        self._owner_since = began
        self._owner = self._member
        _LOG.write('held', **self._token.fields())

    async def _join_group(self, began: float) -> store_api.Membership | None:
        """Join the group or renew the membership.

        A membership of an earlier process of this name is left first, so
        that its generation is not used again. The same holds for a join
        whose answer was lost.
        """
        if not await self._clear_old_membership():
            return None
        self._leave_confirmed = False
        joined = await self._store.join(
            GROUP,
            self._member,
            TOPIC,
            self._settings.member_seconds,
            self._group_generation,
            began + CALL_TIMEOUT_SECONDS,
        )
        if joined.is_ok():
            self._joined = True
            self._group_generation = joined.ok.generation
            return joined.ok
        self._metrics.store_failed('join')
        return None

    async def _clear_old_membership(self) -> bool:
        """Leave the group if an earlier process may still be a member.

        :return: whether no such membership is left.
        """
        return (
            self._joined or self._leave_confirmed or await self._leave_group()
        )

    async def _look_up_owner(self) -> str | None:
        """Return the owner, empty for none, ``None`` if unknown."""
        deadline = self._clock.now() + CALL_TIMEOUT_SECONDS
        found = await self._store.owner(GROUP, PARTITION, deadline)
        if found.is_error():
            self._metrics.store_failed('owner')
            return None
        owner, has_members = found.ok
        if owner == self._member:
            # The membership of an earlier process of this name.
            return ''
        if not owner and has_members:
            # The partition moves from one member to another.
            return None
        if owner and owner != self._owner:
            self._owner = owner
            _LOG.write('holder', member=owner)
        return owner

    async def _leave_group(self) -> bool:
        """Leave the group; return whether the store confirmed it."""
        deadline = self._clock.now() + CALL_TIMEOUT_SECONDS
        left = await self._store.leave(GROUP, self._member, deadline)
        if self._joined:
            _LOG.write(
                'left', generation=self._group_generation, answered=left
            )
        self._joined = False
        self._leave_confirmed = left
        if not left:
            self._metrics.store_failed('leave')
        return left

    def _end_ownership(self) -> None:
        self._is_owner = False
        self._predecessor = ''
        if self._owner == self._member:
            self._owner = ''
        _LOG.write('lost', **self._token.fields())
