"""Which instance gives orders to engines, as the store's group decides."""

from __future__ import annotations

import typing

import anyio

from ..observe import logs
from . import settings as gateway_settings

if typing.TYPE_CHECKING:
    import random

    from .. import clock as clocks
    from . import metrics as gateway_metrics
    from . import store_api

__all__ = ['Duty', 'member_address', 'member_name']

_LOG: typing.Final = logs.PartLog('duty')

GROUP: typing.Final = 'engine-orders'
TOPIC: typing.Final = 'engine-orders'
# Whoever holds this partition gives the orders.
PARTITION: typing.Final = 0
# Renewals within the life of a membership.
RENEWALS: typing.Final = 3.0
CALL_SECONDS: typing.Final = 0.5
LOOKUP_SECONDS: typing.Final = 0.4
# Candidates spread over so long for each instance, so that the first one
# has joined before the next one looks.
CANDIDATE_SECONDS: typing.Final = 0.07
MIN_INSTANCES: typing.Final = 4
# The end of a membership that is not relied on, as a share of it.
MARGIN_SHARE: typing.Final = 0.25
# Fencing numbers within one generation of the group: the holder's own, and
# one for each peer that it may offer the duty to at a planned stop.
NUMBERS: typing.Final = 16
# How often a holder asks before it takes its partition to be gone, and the
# time between: several times that of a candidate's join and leave.
ASK_AGAIN: typing.Final = 3
ASK_AGAIN_SECONDS: typing.Final = 0.05


class Duty:
    """Whether this instance holds the duty, and else who does.

    Only the holder stays in the group, so that restarts of others deal no
    partition anew. Who cannot reach the holder asks the store who it is, and
    joins when nobody is: then its membership has lapsed. The generation of
    the group rises with each change and serves as the fencing number.

    Where engines refuse old numbers, a holder that the store does not answer
    goes on until an engine or the store tells of another. Elsewhere it stops
    before its membership can lapse, and a new one waits for the lease time.

    A holder that is stopped while the store is away hands the duty on to a
    peer, the heir, under the next number of its generation. The heir joins
    the group as soon as it can; until then it does not hand the duty on.
    ``spec/duty.pml`` checks that no number is used by two instances.
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
        self._member = member_name(settings)
        self._generation = 0
        self._handed = 0
        self._predecessor = ''
        self._heir_until = float('inf')
        self._joined = False
        self._left = False
        self._asking = False
        self._received = 0
        self._held = False
        self._held_since = float('inf')
        self._confirmed_at = float('-inf')
        self._owner = ''
        self._leaving = False
        self._instances = MIN_INSTANCES
        self._wake = anyio.Event()

    @property
    def member(self) -> str:
        """The name of this instance in the group and to its peers."""
        return self._member

    @property
    def holder(self) -> str:
        """The name of the holder, as far as is known, empty for none."""
        return self._member if self._held else self._owner

    @property
    def fence(self) -> int:
        """The fencing number of orders that are given now."""
        return self._generation * NUMBERS + self._handed

    @property
    def owner(self) -> gateway_settings.Address | None:
        """Where the holder listens for its peers, if another one is known."""
        if not self._owner or self._owner == self._member:
            return None
        return member_address(self._owner)

    def holds(self, now: float) -> bool:
        """Whether this instance is the holder, as far as it can tell."""
        if not self._held or self._leaving or self._asking:
            return False
        if self._settings.fences_checked:
            return True
        ttl = self._settings.member_seconds
        return now < self._confirmed_at + ttl * (1.0 - MARGIN_SHARE)

    def may_order(self, now: float) -> bool:
        """Whether this instance may give orders now."""
        if not self.holds(now):
            return False
        if self._settings.fences_checked:
            return True
        return now >= self._held_since + self._settings.lease_seconds

    def note_instances(self, count: int) -> None:
        """Note how many instances there are, as far as the holder knows."""
        self._instances = max(MIN_INSTANCES, count)

    def superseded(self) -> None:
        """Note that an engine has seen a higher fencing number."""
        _LOG.write('superseded', generation=self._generation)
        self._lose()

    def follow(self, holder: str) -> None:
        """Note that a peer says who has the duty now."""
        if not self._held and holder not in ('', self._member, self._owner):
            self._owner = holder
            _LOG.write('holder', member=holder, told='peer')

    def unreachable(self) -> None:
        """Note that the holder does not answer, or is none any more."""
        self._owner = ''
        self._wake.set()

    async def run(self) -> typing.NoReturn:
        """Hold the duty, or know who does, for ever."""
        while True:
            pause = await self.step()
            self._wake = anyio.Event()
            with anyio.move_on_after(pause):
                await self._wake.wait()

    async def step(self) -> float:
        """Renew, look up or join once; return when to do so again."""
        if self._leaving:
            return LOOKUP_SECONDS
        if self._held:
            began = self._clock.now()
            await self._renew()
            pause = self._settings.member_seconds / RENEWALS
            return max(0.05, began + pause - self._clock.now())
        if self._owner:
            return float('inf')
        if await self._look_up() == '' and await self._left_before():
            spread = CANDIDATE_SECONDS * self._instances
            await anyio.sleep(self._rng.uniform(0.0, spread))
            if not self._leaving and await self._look_up() == '':
                await self._join()
        return LOOKUP_SECONDS

    async def leave(self) -> bool:
        """Give the duty up at a planned stop.

        :return: whether others can take it from the store.
        """
        held, self._leaving = self._held, True
        return not held or await self._leave_group()

    def next_number(self) -> tuple[int, int] | None:
        """Return the generation and number under which a peer may follow.

        Each peer that is asked gets a number of its own, as one whose answer
        is lost may have taken the duty.
        """
        if not self._held or self._predecessor or not self._leaving:
            return None
        if not self._settings.fences_checked or self._handed >= NUMBERS - 1:
            return None
        self._handed += 1
        return self._generation, self._handed

    def handed_to(self, member: str) -> None:
        """Note that a peer has taken the duty."""
        self._held = False
        self._owner = member
        _LOG.write('handed_on', member=member, generation=self._generation)

    def take_over(
        self, predecessor: str, generation: int, number: int
    ) -> bool:
        """Take the duty from a holder that stops, unless there is a reason."""
        if self._leaving or self._held or not self._settings.fences_checked:
            return False
        self._generation = generation
        self._handed = number
        self._predecessor = predecessor
        self._heir_until = float('inf')
        self._held = True
        self._held_since = self._clock.now()
        self._owner = self._member
        _LOG.write('taken_over', member=predecessor, generation=generation)
        self._wake.set()
        return True

    async def _renew(self) -> None:
        began = self._clock.now()
        lapsed = began > self._confirmed_at + self._settings.member_seconds
        if lapsed and not self._predecessor:
            # To join again would take the duty from who has it by now.
            holder = await self._look_up()
            if holder:
                self._lose()
            if holder != '':
                return
        membership = await self._call(began)
        if membership is None:
            return
        if PARTITION not in membership.partitions and not self._predecessor:
            membership = await self._ask_again()
        if membership is not None and PARTITION in membership.partitions:
            self._confirm(membership.generation, began)
        elif not self._predecessor or await self._succeeded(began):
            self._lose()
            await self._leave_group()

    async def _ask_again(self) -> store_api.Membership | None:
        """Ask whether the partition comes back, without giving orders.

        A candidate that joined in vain moves it away from its holder for a
        moment; to leave then would deal it to yet another one.
        """
        self._asking = True
        try:
            for _ in range(ASK_AGAIN):
                await anyio.sleep(ASK_AGAIN_SECONDS)
                membership = await self._call(self._clock.now())
                if membership and PARTITION in membership.partitions:
                    _LOG.write('kept', generation=membership.generation)
                    return membership
            return None
        finally:
            self._asking = False

    async def _succeeded(self, now: float) -> bool:
        """Whether an heir knows that another one has the duty.

        The membership of who handed it on lapses soon after the store is
        back; one that stays is of a new process.
        """
        if self._heir_until == float('inf'):
            share = 1.0 + MARGIN_SHARE
            self._heir_until = now + self._settings.member_seconds * share
        deadline = now + CALL_SECONDS
        found = await self._store.owner(GROUP, PARTITION, deadline)
        if found.is_error():
            return False
        holder = found.ok.holder
        if holder in ('', self._predecessor, self._member):
            return now >= self._heir_until
        return True

    def _confirm(self, generation: int, began: float) -> None:
        """Note that the store says that this instance is the holder."""
        if generation != self._generation or self._predecessor:
            self._handed = 0
        self._generation = generation
        self._predecessor = ''
        self._confirmed_at = began

    async def _join(self) -> None:
        began = self._clock.now()
        membership = await self._call(began)
        if membership is None:
            return
        if self._leaving or PARTITION not in membership.partitions:
            await self._leave_group()
            return
        self._confirm(membership.generation, began)
        self._held = True
        self._held_since = began
        self._owner = self._member
        _LOG.write('held', generation=self._generation)

    async def _call(self, began: float) -> store_api.Membership | None:
        """Join the group or stay in it.

        What an earlier process of this name has joined is left first, so
        that its generation is not used again. A join whose answer was lost
        counts as one of these.
        """
        if not await self._left_before():
            return None
        self._left = False
        joined = await self._store.join(
            GROUP,
            self._member,
            TOPIC,
            self._settings.member_seconds,
            self._received,
            began + CALL_SECONDS,
        )
        if joined.is_ok():
            self._joined = True
            self._received = joined.ok.generation
            return joined.ok
        self._metrics.store_failed('join')
        return None

    async def _left_before(self) -> bool:
        """Leave what an earlier process of this name may have joined."""
        return self._joined or self._left or await self._leave_group()

    async def _look_up(self) -> str | None:
        """Return the holder, empty when nobody is in the group."""
        deadline = self._clock.now() + CALL_SECONDS
        found = await self._store.owner(GROUP, PARTITION, deadline)
        if found.is_error():
            self._metrics.store_failed('owner')
            return None
        holder, members = found.ok
        if holder == self._member:
            # The membership of an earlier process at this place.
            return ''
        if not holder and members:
            # The duty is on its way from one member to another.
            return None
        if holder and holder != self._owner:
            self._owner = holder
            _LOG.write('holder', member=holder)
        return holder

    async def _leave_group(self) -> bool:
        """Leave the group; return whether the store says that it is so."""
        deadline = self._clock.now() + CALL_SECONDS
        left = await self._store.leave(GROUP, self._member, deadline)
        if self._joined:
            _LOG.write('left', generation=self._received, answered=left)
        self._joined = False
        self._left = left
        if not left:
            self._metrics.store_failed('leave')
        return left

    def _lose(self) -> None:
        self._held = False
        self._predecessor = ''
        if self._owner == self._member:
            self._owner = ''
        _LOG.write('lost', generation=self._generation)


def member_name(settings: gateway_settings.InstanceSettings) -> str:
    """Return the name of a member, which tells where it can be reached."""
    host, port = settings.peers
    return f'{settings.instance_id}@{host}:{port}'


def member_address(member: str) -> gateway_settings.Address | None:
    """Return where a member listens, nothing for an unknown form."""
    _, _, place = member.rpartition('@')
    host, _, port = place.rpartition(':')
    if not host or not port.isdecimal():
        return None
    return gateway_settings.Address(host, int(port))
