"""Chooses a server for a request by expected load."""

from __future__ import annotations

import typing

from . import server as servers

if typing.TYPE_CHECKING:
    from collections import abc
    import random

__all__ = ['Need', 'choose', 'usable']

# What another failure domain adds, in shares of a server's slots.
DOMAIN_COST: typing.Final = 0.04
# What a server that fails every request adds, in shares of its slots.
FAILURE_COST: typing.Final = 4.0
# What a cached prompt part takes off, in shares of a server's slots.
CACHE_GAIN: typing.Final = 0.05
# What equal servers differ by, so that instances do not choose alike.
JITTER: typing.Final = 0.02


class Need(typing.NamedTuple):
    """What a request needs of its server.

    ``avoid`` names servers that failed the request before; ``cached`` those
    that may have the prompt's parts in their cache.
    """

    service: str
    model: str = ''
    adapter: str = ''
    avoid: frozenset[str] = frozenset()
    cached: frozenset[str] = frozenset()


def usable(
    candidates: abc.Iterable[servers.Server], need: Need, now: float
) -> list[servers.Server]:
    """Return the servers that can run a request, sound ones first.

    Servers that failed are used again when no others are left, but for those
    that take no connections.
    """
    able = [
        server
        for server in candidates
        if server.holds(need.model, need.adapter)
        and not server.unreachable(now)
    ]
    sound = [server for server in able if not server.ejected(now)] or able
    fresh = [
        server for server in sound if server.entry.server_id not in need.avoid
    ]
    return fresh or sound


def choose(
    candidates: abc.Iterable[servers.Server],
    need: Need,
    domain: str,
    room: abc.Callable[[servers.Server], float],
    now: float,
    rng: random.Random,
) -> servers.Server | None:
    """Return the least loaded usable server that has room.

    Answers the load of many instances that see late reports: own requests
    count at once, reports of others' fade, and near ties are broken at
    random so that not all choose the same server.

    :param room: how many requests a server may have from all instances.
    """
    best = None
    best_cost = float('inf')
    for server in usable(candidates, need, now):
        limit = room(server)
        load = server.load(now)
        if load >= limit or limit <= 0:
            continue
        cost = load / limit + server.failing * FAILURE_COST
        if server.entry.failure_domain != domain:
            cost += DOMAIN_COST
        if server.entry.server_id in need.cached:
            cost -= CACHE_GAIN
        cost += rng.random() * JITTER
        if cost < best_cost:
            best, best_cost = server, cost
    return best
