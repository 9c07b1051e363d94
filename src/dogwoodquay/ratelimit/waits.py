"""Estimates how long requests wait for permits of limited servers."""

from __future__ import annotations

import math
import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

    from . import core

__all__ = ['ALONE_RETRY_SECONDS', 'Backlog', 'spread_wants']

# When callers may come back while nobody gives permits to an instance: others
# may have some, and a lost owner is replaced within a few seconds.
ALONE_RETRY_SECONDS: typing.Final = 1.0
# A request may wait for so many permits whatever its objective.
MIN_PERMITS: typing.Final = 3.0
MIN_SECONDS: typing.Final = 0.5


class Backlog(typing.NamedTuple):
    """What requests that may run at the same limited servers can expect.

    ``rate`` is the sum of the servers' limits per second, zero while nobody
    gives permits to this instance. ``waiting`` counts the permits for them
    that other instances want as urgently, ``permits`` those at hand.
    """

    rate: float
    waiting: int
    permits: int

    @classmethod
    def of(
        cls,
        limits: core.RateLimits,
        servers: abc.Iterable[api.ServerKey],
        priority: float,
        now: float,
    ) -> Backlog:
        """Return the backlog of servers, all of which are limited.

        :param priority: that of the request, which less urgent ones elsewhere
            do not hold up.
        """
        rate, waiting, permits = 0.0, 0, 0
        for server in servers:
            rate += limits.usable_rate(server, now)
            waiting += limits.waiting(server, priority)
            permits += limits.permits(server, now)
        return cls(rate, waiting, permits)

    def seconds(self, ahead: int) -> float:
        """Return the time until a request gets a permit.

        :param ahead: the requests of this instance that go before it.
        """
        if ahead < self.permits:
            return 0.0
        if not self.rate:
            return math.inf
        return (ahead - self.permits + self.waiting + 1) / self.rate

    def own_rate(self, ahead: int) -> float:
        """Return the part of the rate that this instance can expect."""
        own = ahead + 1
        return self.rate * own / (own + self.waiting)

    def longest_wait(self, objective_seconds: float) -> float:
        """Return the wait up to which a request is worth queuing.

        A longer queue serves no more requests, all of them later.
        """
        least = MIN_PERMITS / self.rate if self.rate else 0.0
        return max(objective_seconds, MIN_SECONDS, least)


def spread_wants(
    requests: abc.Iterable[tuple[int, abc.Sequence[api.ServerKey]]],
    limits: core.RateLimits,
    turn: int,
    now: float,
) -> list[api.Want]:
    """Return the permits that waiting requests could use.

    Each request counts at one of its servers, the one with the shortest
    queue for its limit, at all instances together.

    :param requests: the priority and the limited servers of each request,
        the most urgent first.
    :param turn: a number that changes with each call; equal servers take
        turns by it.
    """
    queued: dict[api.ServerKey, int] = {}
    counts: dict[tuple[api.ServerKey, int], int] = {}
    for priority, servers in requests:
        first = turn % len(servers)
        server = min(
            (*servers[first:], *servers[:first]),
            key=lambda item: (
                (queued.get(item, 0) + limits.waiting(item, math.inf) + 1)
                / api.effective_rate(limits.rate(item) or 0.0)
            ),
        )
        queued[server] = queued.get(server, 0) + 1
        if queued[server] > limits.permits(server, now):
            key = (server, priority)
            counts[key] = counts.get(key, 0) + 1
    return [api.Want(*key, count) for key, count in counts.items()]
