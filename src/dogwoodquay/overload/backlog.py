"""How many requests wait for a pool, and how fast it takes them."""

from __future__ import annotations

import collections
import math
import typing

from . import api
from ..fleet import rate as rates

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['LEAST_SHARE', 'PoolBacklog', 'State', 'Totals', 'plausible']

# With fewer completions in the time over which they are averaged, the drain
# rate of a pool is unknown: a single long answer would decide it.
MIN_COMPLETIONS: typing.Final = 3.0
# What other instances reported is used for so long. An owner is replaced, or
# a load arrives late, within this time.
OTHERS_SECONDS: typing.Final = 2.0
# The share of a pool that is left to requests that others overtake. Late ones
# that wait count on it too: the overtaking may end soon.
LEAST_SHARE: typing.Final = 0.1
# The least share of the callers of a pool that an instance can expect: more
# than a hundred instances do not share one.
LEAST_OWN_SHARE: typing.Final = 0.01
# Larger figures of a peer are false: they exceed what one instance holds.
MAX_COUNT: typing.Final = 10_000
MAX_RATE: typing.Final = 10_000.0
MAX_WORK: typing.Final = 1_000_000.0
MAX_PRIORITY: typing.Final = 1_000
MAX_PRIORITIES: typing.Final = 16
# The sums of all instances are kept for so long before they are made again;
# an instance with waiting requests asks as often.
SUM_SECONDS: typing.Final = 0.1


class State(typing.NamedTuple):
    """A pool at one time.

    ``free`` is the number of requests that its servers have room for,
    ``drain`` how many it takes per second, ``None`` if unknown. ``own`` and
    ``others`` are the waiting requests by priority; others were so
    ``others_seconds`` ago.
    """

    free: int
    drain: float | None
    own: tuple[api.Waiting, ...]
    others: tuple[api.Waiting, ...]
    others_seconds: float = 0.0

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return sum(
            item.on_time + item.late for item in (*self.own, *self.others)
        )

    @property
    def own_rate(self) -> float:
        """The part of the drain rate that this instance can expect."""
        own = sum(row.arriving for row in self.own)
        others = sum(row.arriving for row in self.others)
        share = own / (own + others) if own else 0.0
        return (self.drain or 0.0) * max(share, LEAST_OWN_SHARE)

    def seconds(self, ahead: float, overtaking: float) -> float:
        """Return the time until a request on time starts.

        :param ahead: the requests that go before it now.
        :param overtaking: how many come per second that go before it.
        """
        if not self.drain:
            return 0.0
        ahead = max(0.0, ahead - self.free)
        share = self.drain - overtaking
        return ahead / max(share, self.drain * LEAST_SHARE)

    def late_seconds(self, ahead: float, least_share: float = 0.0) -> float:
        """Return the time until a request starts that all others overtake.

        Infinite while as many requests come as the pool takes.

        :param ahead: the requests that go before it now.
        :param least_share: the part of the drain rate that is left at least.
        """
        if not self.drain:
            return 0.0
        ahead = max(0.0, ahead - self.free)
        if not ahead:
            return 0.0
        arriving = sum(row.arriving for row in (*self.own, *self.others))
        share = max(self.drain - arriving, self.drain * least_share)
        return ahead / share if share > 0 else math.inf


class PoolBacklog:
    """The figures of one pool at one instance."""

    def __init__(self) -> None:
        self._completed = rates.DecayingRate()
        self._work = rates.DecayingRate()
        self._arriving: collections.defaultdict[int, rates.DecayingRate] = (
            collections.defaultdict(rates.DecayingRate)
        )
        self._running = 0
        self._active_at = float('-inf')
        self._others = api.Figures()
        self._others_at = float('-inf')

    def active(self, now: float) -> bool:
        """Whether requests have come or ended lately."""
        return now - self._active_at < 2 * rates.DECAY_SECONDS

    def others_waiting(self, now: float) -> int:
        """Return how many requests waited at other instances lately."""
        if now - self._others_at > OTHERS_SECONDS:
            return 0
        return sum(row.on_time + row.late for row in self._others.waiting)

    def on_arrival(self, priority: int, now: float) -> None:
        """Count a request of this instance."""
        self._active_at = now
        if len(self._arriving) < MAX_PRIORITIES or priority in self._arriving:
            self._arriving[priority].add(now)

    def on_started(self) -> None:
        """Count a request that is sent to a server."""
        self._running += 1

    def on_ended(self) -> None:
        """Count the end of a request at a server."""
        self._running = max(0, self._running - 1)

    def on_completed(self, seconds: float, now: float) -> None:
        """Count a complete answer and the time that it took."""
        self._active_at = now
        self._completed.add(now)
        self._work.add(now, seconds)

    def on_others(self, figures: api.Figures, as_of: float) -> None:
        """Replace the sum of the other instances' figures."""
        self._others = figures
        self._others_at = as_of

    def own(
        self, waiting: abc.Mapping[int, tuple[int, int]], now: float
    ) -> api.Figures:
        """Return the figures of this instance.

        :param waiting: the requests on time and the late ones, by priority.
        """
        priorities = sorted(waiting.keys() | self._arriving.keys())
        rows = tuple(
            api.Waiting(
                priority,
                *waiting.get(priority, (0, 0)),
                self._arriving[priority].at(now),
            )
            for priority in priorities[:MAX_PRIORITIES]
        )
        return api.Figures(
            self._completed.at(now), self._work.at(now), self._running, rows
        )

    def state(
        self,
        waiting: abc.Mapping[int, tuple[int, int]],
        free: int,
        now: float,
    ) -> State:
        """Return the state of the pool for a decision.

        :param free: how many requests its servers have room for.
        """
        own = self.own(waiting, now)
        others = self._others
        if now - self._others_at > OTHERS_SECONDS:
            others = api.Figures()
        drain = _drain(
            own.completed + others.completed,
            own.work + others.work,
            own.running + others.running,
        )
        age = now - self._others_at if others.waiting else 0.0
        return State(free, drain, own.waiting, others.waiting, age)


class Totals:
    """Sums up the figures of all instances, at the owner."""

    def __init__(self) -> None:
        self._rows: dict[str, tuple[float, dict[api.Pool, api.Figures]]] = {}
        self._summed: dict[str, dict[api.Pool, api.Figures]] = {}
        self._sums: dict[api.Pool, api.Figures] = {}
        self._summed_at = float('-inf')

    def on_load(
        self, member: str, rows: dict[api.Pool, api.Figures], now: float
    ) -> None:
        """Replace the figures of an instance; false ones are dropped."""
        self._rows[member] = (
            now,
            {
                pool: figures
                for pool, figures in rows.items()
                if plausible(figures)
            },
        )

    def others(self, member: str, now: float) -> dict[api.Pool, api.Figures]:
        """Return the sums of the others for the pools of an instance."""
        if now - self._summed_at >= SUM_SECONDS:
            self._sum(now)
        _, own = self._rows.get(member, (now, {}))
        summed = self._summed.get(member, {})
        nothing = api.Figures()
        return {
            pool: _add(
                self._sums.get(pool, nothing), summed.get(pool, nothing), -1
            )
            for pool in own
        }

    def _sum(self, now: float) -> None:
        self._summed_at = now
        self._rows = {
            member: (at, rows)
            for member, (at, rows) in self._rows.items()
            if now - at <= OTHERS_SECONDS
        }
        self._summed = {
            member: rows for member, (_, rows) in self._rows.items()
        }
        self._sums = {}
        nothing = api.Figures()
        for rows in self._summed.values():
            for pool, figures in rows.items():
                self._sums[pool] = _add(
                    self._sums.get(pool, nothing), figures, 1
                )


def plausible(figures: api.Figures, instances: int = 1) -> bool:
    """Whether figures of a peer can be true.

    :param instances: whose figures are summed up in them.
    """
    return (
        _within(figures.completed, MAX_RATE * instances)
        and _within(figures.work, MAX_WORK * instances)
        and _within(figures.running, MAX_COUNT * instances)
        and len(figures.waiting) <= MAX_PRIORITIES * instances
        and all(
            _within(row.priority, MAX_PRIORITY)
            and _within(row.on_time, MAX_COUNT * instances)
            and _within(row.late, MAX_COUNT * instances)
            and _within(row.arriving, MAX_RATE * instances)
            for row in figures.waiting
        )
    )


def _within(value: float, most: float) -> bool:
    return math.isfinite(value) and 0 <= value <= most


def _drain(completed: float, work: float, running: int) -> float | None:
    """Return how many requests a pool takes per second.

    By Little's law: those at its servers, by the mean time that they take.
    While requests wait, the servers are full. The rate of completions alone
    is too low when a burst begins and too high after servers have left.
    """
    if completed * rates.DECAY_SECONDS < MIN_COMPLETIONS or work <= 0:
        return None
    return max(1, running) * completed / work


def _add(first: api.Figures, second: api.Figures, sign: int) -> api.Figures:
    """Return the sum or the difference of figures, zero at least."""
    if not second.waiting:
        waiting = first.waiting
    else:
        rows = {row.priority: row for row in first.waiting}
        for row in second.waiting:
            known = rows.get(row.priority)
            if known is None:
                known = api.Waiting(row.priority, 0, 0, 0.0)
            rows[row.priority] = api.Waiting(
                row.priority,
                max(0, known.on_time + sign * row.on_time),
                max(0, known.late + sign * row.late),
                max(0.0, known.arriving + sign * row.arriving),
            )
        waiting = tuple(rows.values())
    return api.Figures(
        max(0.0, first.completed + sign * second.completed),
        max(0.0, first.work + sign * second.work),
        max(0, first.running + sign * second.running),
        waiting,
    )
