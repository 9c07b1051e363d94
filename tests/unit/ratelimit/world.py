"""Instances that share a server's limit, with random faults, in memory."""

from __future__ import annotations

import argparse
import collections
import heapq
import itertools
import random
import typing

from dogwoodquay.ratelimit import api
from dogwoodquay.ratelimit import core

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['World', 'check', 'main']

SERVER: typing.Final = api.ServerKey('s', 1)
# The users' bound: the requests in any such window.
WINDOW_SECONDS: typing.Final = 4.0
WINDOW_SHARE: typing.Final = 1.5
WINDOW_SLACK: typing.Final = 5
_STEP_SECONDS: typing.Final = 0.02
_CALL_SECONDS: typing.Final = 0.25
_WAITING_CALL_SECONDS: typing.Final = 0.1
_TIMEOUT_SECONDS: typing.Final = 0.5
_LEASE_SECONDS: typing.Final = 1.2
_RENEW_SECONDS: typing.Final = 0.4
_LATE_SHARE: typing.Final = 0.05
_LOST_SHARE: typing.Final = 0.03


class _Instance:
    """One instance: its limits, whom it takes for the owner, its faults."""

    def __init__(self, number: int, now: float) -> None:
        self.number = number
        self.name = f'front-{number}'
        self.dead = False
        self.limits = core.RateLimits(self.name, now)
        self.owner: _Instance | None = None
        self.leads = False
        self.owner_since = now
        self.confirmed_at = float('-inf')
        self.renew_at = now
        self.call_at = now
        self.calling_since: float | None = None
        self.frozen_until = now
        self.cut_until = now
        self.store_cut_until = now
        self.demand = 0
        # Wants permits until then, and sends nothing.
        self.blocked_until = now
        self.members: dict[str, float] = {}

    def is_frozen(self, now: float) -> bool:
        """Whether the process stands still."""
        return now < self.frozen_until


class World:
    """A server, a store with a lease and instances that call each other.

    :param faults: whether owners and others are killed, frozen and cut off.
    """

    def __init__(
        self, seed: int, instances: int, limit: float, faults: bool = True
    ) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.limit = limit
        self.faults = faults
        self.arrivals: list[float] = []
        self.most = 0
        self.instances = [
            _Instance(number, self.now) for number in range(instances)
        ]
        self._lease_owner: _Instance | None = None
        self._lease_until = self.now
        self._store_down_until = self.now
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._window: collections.deque[float] = collections.deque()

    def run(self, seconds: float) -> None:
        """Advance the time in small steps."""
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP_SECONDS
            if self.faults:
                self._disturb()
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for instance in self.instances:
                if not instance.is_frozen(self.now):
                    self._step(instance)

    def _at(self, at: float, action: abc.Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _disturb(self) -> None:
        """Begin faults at random."""
        rng = self.random
        if rng.random() < _STEP_SECONDS / 3.0:
            leaders = [item for item in self.instances if item.leads]
            victim = rng.choice(self.instances)
            if leaders and rng.random() < 0.6:
                victim = rng.choice(leaders)
            seconds = rng.choice((0.3, 1.0, 3.0, 12.0))
            match rng.randrange(6):
                case 0:
                    self._restart(victim, seconds)
                case 1:
                    victim.frozen_until = self.now + seconds
                case 2:
                    victim.cut_until = self.now + seconds
                case 3 | 4:
                    victim.store_cut_until = self.now + seconds
                case _:
                    self._store_down_until = self.now + seconds
        if rng.random() < _STEP_SECONDS / 2.0:
            rng.choice(self.instances).demand = rng.choice((0, 0, 1, 5))
        if rng.random() < _STEP_SECONDS / 20.0:
            demand = rng.choice((0, 3))
            blocked_until = self.now + rng.choice((0.0, 3.0))
            for instance in self.instances:
                instance.demand = demand
                instance.blocked_until = blocked_until

    def _restart(self, victim: _Instance, seconds: float) -> None:
        """Kill an instance; a new process of its name begins later."""
        victim.dead = True
        successor = _Instance(victim.number, self.now)
        successor.frozen_until = self.now + seconds
        successor.demand = victim.demand
        self.instances[victim.number] = successor

    def _step(self, instance: _Instance) -> None:
        self._hear_limit(instance)
        self._send(instance)
        if instance.leads and self.now >= instance.renew_at:
            self._renew(instance)
        if instance.calling_since is not None:
            if self.now - instance.calling_since > _TIMEOUT_SECONDS:
                instance.calling_since = None
                instance.owner = None
            return
        if self.now >= instance.call_at:
            pause = _WAITING_CALL_SECONDS if instance.demand else _CALL_SECONDS
            instance.call_at = self.now + pause
            self._call_owner(instance)

    def _hear_limit(self, instance: _Instance) -> None:
        """All instances know the limit, by answers to earlier requests."""
        if instance.limits.rate(SERVER) != self.limit:
            instance.limits.on_answer(SERVER, self.limit, self.now, self.now)

    def _send(self, instance: _Instance) -> None:
        """Send what is in demand, as far as permits allow."""
        if self.now < instance.blocked_until:
            return
        for _ in range(instance.demand):
            if not instance.limits.available(SERVER, self.now):
                return
            instance.limits.take(SERVER, self.now)
            self.arrivals.append(self.now)
            self._window.append(self.now)
            while self.now - self._window[0] > WINDOW_SECONDS:
                self._window.popleft()
            self.most = max(self.most, len(self._window))

    def _reaches_store(self, instance: _Instance) -> bool:
        return (
            self.now >= self._store_down_until
            and self.now >= instance.store_cut_until
            and self.now >= instance.cut_until
        )

    def _renew(self, instance: _Instance) -> None:
        """Renew the lease; an owner that cannot goes on."""
        instance.renew_at = self.now + _RENEW_SECONDS
        if not self._reaches_store(instance):
            return
        if self._lease_owner is instance and self.now < self._lease_until:
            instance.confirmed_at = self.now
            self._lease_until = self.now + _LEASE_SECONDS
        elif self.now < self._lease_until:
            instance.leads = False
        else:
            self._acquire(instance)

    def _acquire(self, instance: _Instance) -> None:
        if self.now < self._lease_until:
            return
        self._lease_owner = instance
        self._lease_until = self.now + _LEASE_SECONDS
        if not instance.leads:
            instance.owner_since = self.now
        instance.leads = True
        instance.confirmed_at = self.now

    def _call_owner(self, instance: _Instance) -> None:
        if instance.leads:
            self._answer(instance, instance, self.now)
            return
        if instance.owner is None:
            if not self._reaches_store(instance):
                return
            if self.now < self._lease_until:
                instance.owner = self._lease_owner
            else:
                self._acquire(instance)
            return
        instance.calling_since = self.now
        owner, asked_at = instance.owner, self.now
        wants = instance.demand
        self._at(
            self.now + self._delay(),
            lambda: self._deliver(instance, owner, asked_at, wants),
        )

    def _delay(self) -> float:
        late = self.random.random() < _LATE_SHARE
        return self.random.uniform(0.0, 0.4 if late else 0.01)

    def _linked(self, a: _Instance, b: _Instance) -> bool:
        return self.now >= max(a.cut_until, b.cut_until)

    def _deliver(
        self,
        instance: _Instance,
        owner: _Instance,
        asked_at: float,
        wants: int,
    ) -> None:
        """Handle a call at the owner, later if it stands still."""
        if owner.dead:
            return
        if owner.is_frozen(self.now):
            self._at(
                owner.frozen_until,
                lambda: self._deliver(instance, owner, asked_at, wants),
            )
            return
        late = self.now - asked_at > _TIMEOUT_SECONDS
        if late or not owner.leads or not self._linked(instance, owner):
            return
        grants = self._grant(owner, instance.name, wants)
        if self.random.random() < _LOST_SHARE:
            return
        members = [name for name in owner.members]
        self._at(
            self.now + self._delay(),
            lambda: self._receive(instance, owner, asked_at, grants, members),
        )

    def _grant(
        self, owner: _Instance, name: str, count: int
    ) -> list[api.Grant] | None:
        owner.limits.on_owner(True, self.now)
        owner.members[name] = self.now
        owner.members = {
            member: at
            for member, at in owner.members.items()
            if self.now - at <= 2.0
        }
        wants = [api.Want(SERVER, 1, count)] if count else []
        confirmed_at = max(owner.confirmed_at, owner.owner_since)
        return owner.limits.on_load(name, wants, confirmed_at, self.now)

    def _answer(
        self, owner: _Instance, instance: _Instance, asked_at: float
    ) -> None:
        """Give an owner its own permits."""
        grants = self._grant(owner, owner.name, owner.demand)
        owner.limits.update_members(owner.members)
        if grants is not None:
            owner.limits.on_grants(grants, asked_at, self.now)

    def _receive(
        self,
        instance: _Instance,
        owner: _Instance,
        asked_at: float,
        grants: list[api.Grant] | None,
        members: list[str],
    ) -> None:
        if instance.dead:
            return
        if instance.is_frozen(self.now):
            self._at(
                instance.frozen_until,
                lambda: self._receive(
                    instance, owner, asked_at, grants, members
                ),
            )
            return
        if instance.calling_since != asked_at:
            return
        if self.now - asked_at > _TIMEOUT_SECONDS:
            return
        if not self._linked(instance, owner):
            return
        instance.calling_since = None
        instance.limits.on_owner(False, self.now)
        instance.limits.update_members(members)
        if grants is not None:
            instance.limits.on_grants(grants, asked_at, self.now)


def check(seed: int, seconds: float = 60.0) -> str:
    """Run one world; return how it broke the bound, empty if it did not."""
    rng = random.Random(seed)
    instances = rng.choice((1, 3, 9, 9, 65))
    limit = rng.choice((0.0, 0.3, 1.0, 2.5, 5.0, 20.0, 80.0))
    world = World(seed, instances, limit)
    for instance in world.instances:
        instance.demand = rng.choice((0, 1, 5))
    world.run(seconds / (4 if instances > 9 else 1))
    most = WINDOW_SHARE * WINDOW_SECONDS * limit + WINDOW_SLACK
    if world.most <= most:
        return ''
    return (
        f'seed {seed}: {world.most} requests in {WINDOW_SECONDS:g} s at'
        f' {limit:g} a second, {most:g} allowed ({instances} instances)'
    )


def main() -> int:
    """Run the seeds that are asked for; return how many failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=50)
    given = parser.parse_args()
    failed = 0
    for seed in range(given.first, given.first + given.seeds):
        found = check(seed)
        if found:
            failed += 1
            print(found)
    print(f'{given.seeds} seeds, {failed} failed')
    return min(failed, 1)


if __name__ == '__main__':
    raise SystemExit(main())
