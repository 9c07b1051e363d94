"""Which requests wait for a server, and which cannot be answered in time."""

from __future__ import annotations

import typing

from . import api
from . import backlog

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['decide', 'late_backlog', 'overdue', 'yields']

_Item = typing.TypeVar('_Item')


def decide(
    request: api.Request, pool: backlog.State, now: float
) -> api.Verdict | None:
    """Return whether a request that comes now waits.

    :return: ``None`` if the drain rate of the pool is unknown.
    """
    if pool.waiting < pool.free:
        return api.Admit()
    if pool.drain is None:
        return None
    rows = (*pool.own, *pool.others)
    ahead = sum(
        row.on_time
        for row in rows
        if row.priority < request.priority + (not request.in_turn)
    )
    seconds = pool.seconds(ahead, _more_urgent(request, rows))
    if now + seconds <= request.objective_start:
        return api.Wait(request.latest_start)
    # It would wait behind all that can still meet their objective.
    ahead = late_backlog(request.priority, rows)
    seconds = pool.late_seconds(ahead)
    if now + seconds <= request.latest_start:
        return api.Wait(request.latest_start, on_time=False)
    return api.Refuse(pool.seconds(ahead, 0.0))


def late_backlog(priority: int, rows: abc.Iterable[api.Waiting]) -> int:
    """Return how many requests go before one that comes late now."""
    return sum(
        row.on_time + (row.late if row.priority <= priority else 0)
        for row in rows
    )


def overdue(
    requests: abc.Iterable[tuple[_Item, api.Request]],
    pool: backlog.State,
    now: float,
) -> list[_Item]:
    """Return the waiting requests that cannot be answered in time any more.

    Of the others' requests of the same kind, as many go before one of this
    instance as its place in its own queue suggests.

    :param requests: those of this instance, the first to be served first.
    """
    if pool.drain is None:
        return []
    rows = (*pool.own, *pool.others)
    counts: dict[tuple[int, bool], list[int]] = {}
    for row in pool.others:
        for late, count in ((False, row.on_time), (True, row.late)):
            counts.setdefault((row.priority, late), [0, 0])[1] += count
    for row in pool.own:
        for late, count in ((False, row.on_time), (True, row.late)):
            counts.setdefault((row.priority, late), [0, 0])[0] += count
    before: dict[tuple[int, bool], int] = {}
    dropped: list[_Item] = []
    for number, (item, request) in enumerate(requests):
        late = now > request.objective_start
        kind = (request.priority, late)
        place = before[kind] = before.get(kind, 0) + 1
        own, others = counts.get(kind, (0, 0))
        ahead = number - len(dropped) + others * place / max(own, place)
        for (priority, is_late), (_, count) in counts.items():
            if (is_late, priority) < (late, request.priority):
                ahead += count
        seconds = (
            pool.late_seconds(ahead, backlog.LEAST_SHARE)
            if late
            else pool.seconds(ahead, _more_urgent(request, rows))
        )
        if now + seconds > request.latest_start:
            dropped.append(item)
    return dropped


def yields(late: bool, priority: int, pool: backlog.State) -> bool:
    """Whether requests elsewhere that go first take what becomes free.

    Those that the pool has taken since they were reported do not count, so
    that servers are not left idle for old news.
    """
    if pool.drain is None:
        return False
    first = sum(
        row.on_time for row in pool.others if late or row.priority < priority
    )
    return first > pool.free + pool.drain * pool.others_seconds


def _more_urgent(
    request: api.Request, rows: abc.Iterable[api.Waiting]
) -> float:
    """Return how many requests per second go before one on time."""
    return sum(row.arriving for row in rows if row.priority < request.priority)
