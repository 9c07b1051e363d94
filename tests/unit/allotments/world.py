"""Instances that share one tenant's quota, with lag and loss, in memory."""

from __future__ import annotations

import heapq
import itertools
import random
import typing

from dogwoodquay.allotments import api
from dogwoodquay.allotments import core
from dogwoodquay.tenants import api as tenants_api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['World']

TENANT: typing.Final = 'acme'
BOUNDS: typing.Final = api.Bounds(8.0, 0.1, 7400.0)
_LOAD_SECONDS: typing.Final = 0.25
_LIMITED_LOAD_SECONDS: typing.Final = 0.1
_TIMEOUT_SECONDS: typing.Final = 0.5


class World:
    """Instances that receive requests and report to an owner.

    ``demand`` is in units per second. ``targets`` are the instances that get
    requests, and ``owner_of`` tells which instance each one follows, ``None``
    for none.
    """

    def __init__(
        self,
        rate: float,
        demand: float,
        instances: int = 58,
        units: int = 700,
        seed: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.rate = rate
        self.demand = demand
        self.units = units
        self.now = 100.0
        self.targets: abc.Sequence[int] = range(instances)
        self.owner_of: abc.Callable[[int], int | None] = lambda _: 0
        self.lost_share = 0.0
        self.asked: list[tuple[float, int]] = []
        self.admitted: list[tuple[float, int]] = []
        self.retries: list[float] = []
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self.parts = [
            core.Allotments(BOUNDS, self.random, self.now)
            for _ in range(instances)
        ]
        self.configure(rate)
        for index in range(instances):
            self.at(
                self.random.uniform(0, 0.25), lambda i=index: self._load(i)
            )
        self.at(0.0, self._arrive)

    def __repr__(self) -> str:
        """Return what distinguishes this world."""
        return f'{self.rate:g}/s at {len(self.targets)}, {self.demand:g} asked'

    def configure(self, rate: float) -> None:
        """Set the tenant's rate at all instances; its burst is one second."""
        self.rate = rate
        for part in self.parts:
            self._configure(part)

    def restart(self, index: int) -> None:
        """Replace an instance by a new process."""
        self.parts[index] = core.Allotments(BOUNDS, self.random, self.now)
        self._configure(self.parts[index])

    def at(self, delay: float, action: abc.Callable[[], None]) -> None:
        """Do something later."""
        due = self.now + delay
        heapq.heappush(self._events, (due, next(self._numbers), action))

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def used(self, since: float) -> float:
        """Return the part of the quota that was used since a time."""
        units = sum(units for at, units in self.admitted if at > since)
        return units / (self.rate * (self.now - since))

    def refused(self, since: float = 0.0) -> int:
        """Return the number of refused requests since a time."""
        asked = sum(at > since for at, _ in self.asked)
        return asked - sum(at > since for at, _ in self.admitted)

    def worst_window(self, since: float = 0.0) -> float:
        """Return the largest usage in a window, 1 for all that is allowed."""
        rows = [row for row in self.admitted if row[0] > since]
        total, most, first = 0, 0, 0
        for at, units in rows:
            total += units
            while at - rows[first][0] > BOUNDS.window_seconds:
                total -= rows[first][1]
                first += 1
            most = max(most, total)
        return most / BOUNDS.most(self.rate, self.rate)

    def _configure(self, part: core.Allotments) -> None:
        tenant = tenants_api.Tenant(TENANT, (), None, self.rate, self.rate)
        part.configure([tenant], self.now)

    def _arrive(self) -> None:
        units = self.random.randint(self.units // 2, self.units * 3 // 2)
        index = self.random.choice(self.targets)
        decision = self.parts[index].admit(TENANT, units, self.now)
        self.asked.append((self.now, units))
        match decision:
            case api.Admitted():
                self.admitted.append((self.now, units))
            case api.Rejected(seconds):
                self.retries.append(seconds)
        self.at(
            self.random.expovariate(self.demand / self.units), self._arrive
        )

    def _load(self, index: int) -> None:
        part, owner = self.parts[index], self.owner_of(index)
        part.on_owner(owner == index, self.now)
        rows = part.load_rows(self.now)
        if owner is None:
            self._next(index)
            return
        lost = self.random.random() < self.lost_share
        lag = self.random.uniform(0.001, 0.03) if owner != index else 0.0
        if lost and self.random.random() < 0.5:
            self.at(_TIMEOUT_SECONDS, lambda: self._next(index))
        else:
            self.at(lag, lambda: self._answer(index, owner, part, rows, lost))

    def _answer(
        self,
        index: int,
        owner: int,
        part: core.Allotments,
        rows: list[api.Usage],
        lost: bool,
    ) -> None:
        leader = self.parts[owner]
        if self.owner_of(owner) != owner:
            self.at(_TIMEOUT_SECONDS, lambda: self._next(index))
            return
        leader.on_owner(True, self.now)
        leader.on_load(f'{index}', rows, self.now, self.now)
        view = leader.view_rows(f'{index}', self.now)
        if lost:
            self.at(_TIMEOUT_SECONDS, lambda: self._next(index))
            return

        def receive() -> None:
            if self.parts[index] is part:
                count = len(self.parts)
                part.on_view(view, count, self.now)
                part.update_members(f'{item}' for item in range(count))
            self._next(index)

        lag = self.random.uniform(0.001, 0.03) if owner != index else 0.0
        self.at(lag, receive)

    def _next(self, index: int) -> None:
        limited = self.parts[index].limited(self.now)
        delay = _LIMITED_LOAD_SECONDS if limited else _LOAD_SECONDS
        self.at(delay, lambda: self._load(index))
