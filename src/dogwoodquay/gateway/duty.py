"""Which instance gives orders to engines, as the store's group decides."""

from __future__ import annotations

import typing

import anyio

from ..observe import logs
from . import settings as gateway_settings

if typing.TYPE_CHECKING:
    from .. import clock as clocks
    from . import metrics as gateway_metrics
    from . import store_api

__all__ = ['Duty', 'member_name', 'member_address']

_LOG: typing.Final = logs.PartLog('duty')

GROUP: typing.Final = 'engine-orders'
TOPIC: typing.Final = 'engine-orders'
# Whoever holds this partition gives the orders.
PARTITION: typing.Final = 0
RENEWALS: typing.Final = 2.5
CALL_SECONDS: typing.Final = 0.8
LOOKUP_SECONDS: typing.Final = 1.0
# The end of a membership that is not relied on, as a share of it.
MARGIN_SHARE: typing.Final = 0.25


class Duty:
    """This instance's membership in the group, and who holds the duty.

    The group's generation rises with each change, so that it serves as the
    fencing number: one generation has one holder. A new holder waits for the
    time after which an earlier one has given its last order.
    """

    def __init__(
        self,
        store: store_api.Store,
        settings: gateway_settings.InstanceSettings,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._store = store
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._member = member_name(settings)
        self._generation = 0
        self._held = False
        self._held_since = float('inf')
        self._confirmed_at = float('-inf')
        self._owner = ''
        self._owner_known_at = float('-inf')
        self._stale_generation = -1
        self._leaving = False

    @property
    def fence(self) -> int:
        """The fencing number of orders that are given now."""
        return self._generation

    @property
    def owner(self) -> gateway_settings.Address | None:
        """Where the holder listens for its peers, if known."""
        return member_address(self._owner) if self._owner else None

    def holds(self, now: float) -> bool:
        """Whether this instance is the holder, as far as it can tell."""
        ttl = self._settings.member_seconds
        fresh = now < self._confirmed_at + ttl * (1.0 - MARGIN_SHARE)
        current = self._generation > self._stale_generation
        return self._held and fresh and current and not self._leaving

    def may_order(self, now: float) -> bool:
        """Whether this instance may give orders now."""
        if not self.holds(now):
            return False
        return now >= self._held_since + self._settings.lease_seconds

    def superseded(self) -> None:
        """Note that an engine has seen a higher fencing number."""
        self._stale_generation = self._generation
        _LOG.write('superseded', generation=self._generation)

    def forget_owner(self) -> None:
        """Note that the holder cannot be reached."""
        self._owner = ''

    async def run(self) -> typing.NoReturn:
        """Stay in the group for ever."""
        pause = self._settings.member_seconds / RENEWALS
        while True:
            due = self._clock.now() + pause
            await self.step()
            await anyio.sleep(max(0.05, due - self._clock.now()))

    async def step(self) -> None:
        """Renew the membership once, and find the holder if it changed."""
        if self._leaving:
            return
        began = self._clock.now()
        joined = await self._store.join(
            GROUP,
            self._member,
            TOPIC,
            self._settings.member_seconds,
            self._generation,
            began + CALL_SECONDS,
        )
        if joined.is_error():
            self._metrics.store_failed('join')
            self._check_lost()
            return
        self._take(joined.ok, began)
        await self._look_up()

    async def leave(self) -> None:
        """Give the duty up at a planned stop."""
        self._leaving = True
        deadline = self._clock.now() + CALL_SECONDS
        await self._store.leave(GROUP, self._member, deadline)
        _LOG.write('left', generation=self._generation)

    def _take(self, membership: store_api.Membership, began: float) -> None:
        before = self._held
        if membership.generation != self._generation:
            self._owner = ''
        self._generation = membership.generation
        self._held = PARTITION in membership.partitions
        gap = began - self._confirmed_at
        lapsed = gap >= self._settings.member_seconds
        self._confirmed_at = began
        if self._held and (not before or lapsed):
            self._held_since = began
            _LOG.write('held', generation=self._generation)
        if before and not self._held:
            _LOG.write('lost', generation=self._generation)

    def _check_lost(self) -> None:
        if self._held and not self.holds(self._clock.now()):
            self._held = False
            _LOG.write('unconfirmed', generation=self._generation)

    async def _look_up(self) -> None:
        now = self._clock.now()
        if self._held:
            self._owner = self._member
            return
        if self._owner or now < self._owner_known_at + LOOKUP_SECONDS:
            return
        self._owner_known_at = now
        found = await self._store.owner(GROUP, PARTITION, now + CALL_SECONDS)
        if found.is_error():
            self._metrics.store_failed('owner')
            return
        self._owner = found.ok
        _LOG.write('holder', member=found.ok, generation=self._generation)


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
