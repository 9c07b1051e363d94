"""Chooses the server for a request by expected load."""

from __future__ import annotations

import typing

from . import server as servers

if typing.TYPE_CHECKING:
    from collections import abc
    import random

__all__ = [
    'ByCompletion',
    'Candidate',
    'Need',
    'at_first_version',
    'choose',
    'pause_end',
    'usable',
]

# Costs are in shares of a server's request capacity. This one is for a server
# in another failure domain than the instance.
DOMAIN_COST: typing.Final = 0.04
# Cost of a server that fails every request; lower failure rates cost less.
FAILURE_COST: typing.Final = 4.0
# Reduction of the cost if the server may have a part of the prompt cached.
CACHE_GAIN: typing.Final = 0.05
# Upper bound of the random cost that keeps instances from all choosing the
# same one of several equally loaded servers.
JITTER: typing.Final = 0.02
# Times of one request by which completion at a full server takes longer; an
# extra cost of a whole capacity keeps requests away until others are full.
FULL_TIMES: typing.Final = 4.0


class Need(typing.NamedTuple):
    """The requirements of a request for its server.

    ``avoid`` holds the ids of servers that have failed the request, and
    ``cached`` of those that may have parts of its prompt in their cache.
    ``successor`` is set while an attempt still runs: only a healthy server
    that has not failed the request is better than that one. ``version`` is
    the only software version of servers that may run the request, ``None``
    for any; ``first`` the one at which a new stream begins where it can.
    """

    service: str
    model: str = ''
    adapter: str = ''
    avoid: frozenset[str] = frozenset()
    cached: frozenset[str] = frozenset()
    successor: bool = False
    version: str | None = None
    first: str | None = None

    def permits(self, server: servers.Server) -> bool:
        """Whether a server has a software version that may be used."""
        return self.version is None or server.entry.version == self.version


class Candidate(typing.NamedTuple):
    """A usable server and its capacity.

    ``cost`` is what speaks against it beside its load, in times of one
    request.
    """

    server: servers.Server
    capacity: float
    cost: float


class ByCompletion(typing.Protocol):
    """Chooses by the expected time until a request is complete."""

    def __call__(
        self, candidates: abc.Sequence[Candidate], /
    ) -> servers.Server | None:
        """Return the best server, ``None`` if none has room."""


def usable(
    candidates: abc.Iterable[servers.Server], need: Need, now: float
) -> list[servers.Server]:
    """Return the servers that can run a request.

    Ejected servers and those that failed the request are only returned if
    there are no others, and never as successors, nor are silent servers.
    Unreachable servers and those that have paused are never returned.
    """
    capable = [
        server
        for server in candidates
        if need.permits(server)
        and server.has_loaded(need.model, need.adapter)
        and not server.unreachable(now)
        and not server.paused(now)
    ]
    healthy = [server for server in capable if not server.ejected(now)]
    if need.successor:
        return [
            server
            for server in healthy
            if server.entry.server_id not in need.avoid
            and not server.silent(now)
        ]
    healthy = healthy or capable
    untried = [
        server
        for server in healthy
        if server.entry.server_id not in need.avoid
    ]
    return untried or healthy


def at_first_version(
    candidates: abc.Iterable[servers.Server], need: Need, now: float
) -> Need:
    """Return a need that is limited to its first version where possible.

    That is as long as a healthy server of it has the model; an adapter can be
    loaded there.
    """
    if need.first is None or need.version is not None:
        return need
    possible = any(
        server.entry.version == need.first
        and server.has_loaded(need.model, '')
        and not server.ejected(now)
        and not server.paused(now)
        and not (need.successor and server.silent(now))
        and server.entry.server_id not in need.avoid
        for server in candidates
    )
    return need._replace(version=need.first) if possible else need


def pause_end(
    candidates: abc.Iterable[servers.Server], need: Need, now: float
) -> float | None:
    """Return when the first server that can run a request ends its pause.

    ``None`` unless all of them have paused. An adapter can be loaded at any
    server that has its model.
    """
    ends = [
        server.paused_until
        for server in candidates
        if need.permits(server)
        and server.has_loaded(need.model, '')
        and not server.unreachable(now)
    ]
    if not ends or min(ends) <= now:
        return None
    return min(ends)


def choose(
    candidates: abc.Iterable[servers.Server],
    need: Need,
    failure_domain: str,
    capacity: abc.Callable[[servers.Server], float],
    now: float,
    rng: random.Random,
    extra_cost: abc.Callable[[servers.Server], float] = lambda _: 0.0,
    by_completion: ByCompletion | None = None,
) -> servers.Server | None:
    """Return the least loaded usable server with free capacity.

    Instances learn of each other's requests with a delay. Each one therefore
    counts its own requests at once, ignores old reports of the others'
    requests, and breaks near ties at random, so that the instances do not all
    choose the same server.

    :param capacity: returns the number of requests that a server may have from
        all instances together.
    :param extra_cost: returns a cost of a server beyond that of its load, in
        shares of its capacity.
    :param by_completion: chooses between servers that state their pace by the
        expected time until the request is complete; ``None`` for others.
    """
    candidates = usable(candidates, need, now)
    if by_completion is not None:
        rated = [
            Candidate(
                server,
                capacity(server),
                _cost(server, need, failure_domain)
                + extra_cost(server) * FULL_TIMES,
            )
            for server in candidates
        ]
        return by_completion([item for item in rated if item.capacity > 0])
    best = None
    best_cost = float('inf')
    for server in candidates:
        limit = capacity(server)
        load = server.load(now)
        if load >= limit or limit <= 0:
            continue
        cost = load / limit + _cost(server, need, failure_domain)
        cost += extra_cost(server)
        cost += rng.random() * JITTER
        if cost < best_cost:
            best, best_cost = server, cost
    return best


def _cost(server: servers.Server, need: Need, failure_domain: str) -> float:
    """Return what speaks against a server beside its load."""
    cost = server.failure_rate * FAILURE_COST
    if server.entry.failure_domain != failure_domain:
        cost += DOMAIN_COST
    if server.entry.server_id in need.cached:
        cost -= CACHE_GAIN
    return cost
