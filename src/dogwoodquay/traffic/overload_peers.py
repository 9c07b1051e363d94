"""Tells the owner the backlog of pools, and learns that of the others."""

from __future__ import annotations

import typing

from ..gateway import messages
from ..overload import api as overload_api
from ..overload import backlog as backlogs
from ..overload import returns

if typing.TYPE_CHECKING:
    from collections import abc

    _Figures = abc.Mapping[overload_api.Pool, overload_api.Figures]

__all__ = ['PoolExchange']

# Pools in one message, those with the most waiting requests.
MAX_ROWS: typing.Final = 64
# Pools that are remembered: callers may name any model at a plain service.
MAX_POOLS: typing.Final = 1_024

_Rows = tuple[messages.PoolRow, ...]


class PoolExchange:
    """The pools and turns of this instance, and at the owner of all."""

    def __init__(self) -> None:
        self._pools: dict[overload_api.Pool, backlogs.PoolBacklog] = {}
        self._turns = returns.Turns()
        self._totals = backlogs.Totals()

    @property
    def pools(self) -> abc.Mapping[overload_api.Pool, backlogs.PoolBacklog]:
        """The pools for which there were requests."""
        return self._pools

    @property
    def turns(self) -> returns.Turns:
        """The callers that were refused with a time to return."""
        return self._turns

    def of(self, pool: overload_api.Pool) -> backlogs.PoolBacklog:
        """Return the backlog of a pool."""
        known = self._pools.get(pool)
        if known is None:
            while len(self._pools) >= MAX_POOLS:
                del self._pools[next(iter(self._pools))]
            known = self._pools[pool] = backlogs.PoolBacklog()
        return known

    def load_rows(self, figures: _Figures, now: float) -> tuple[_Rows, bytes]:
        """Return what this instance tells the owner."""
        return _pool_rows(figures), self._turns.load_rows(now)

    def on_load(
        self, load: messages.InstanceLoad, now: float
    ) -> tuple[_Rows, bytes]:
        """Apply an instance's load at the owner; return its view's rows."""
        member = load.instance_id
        self._totals.on_load(member, _figures(load.pools), now)
        self._turns.on_load(load.turns, now)
        rows = _pool_rows(self._totals.others(member, now))
        return rows, self._turns.view_rows(member, now)

    def on_view(
        self, view: messages.FleetView, asked_at: float, now: float
    ) -> None:
        """Apply what the owner tells of the other instances.

        :param asked_at: when the owner was asked for it.
        """
        instances = max(1, view.instances)
        for pool, figures in _figures(view.pools).items():
            known = self._pools.get(pool)
            if known is not None and backlogs.plausible(figures, instances):
                known.on_others(figures, asked_at)
        self._turns.on_view(view.turns, now)


def _pool_rows(figures: _Figures) -> _Rows:
    chosen = list(figures.items())
    if len(chosen) > MAX_ROWS:
        chosen.sort(key=lambda item: -_waiting(item[1]))
    return tuple(
        messages.PoolRow(
            *pool,
            item.completed,
            item.work,
            item.running,
            tuple(messages.WaitingRow(*row) for row in item.waiting),
        )
        for pool, item in chosen[:MAX_ROWS]
    )


def _figures(
    rows: abc.Iterable[messages.PoolRow],
) -> dict[overload_api.Pool, overload_api.Figures]:
    """Return the figures in rows."""
    return {
        overload_api.Pool(row.service, row.model): overload_api.Figures(
            row.completed,
            row.work,
            row.running,
            tuple(
                overload_api.Waiting(
                    item.priority, item.on_time, item.late, item.arriving
                )
                for item in row.waiting
            ),
        )
        for row in rows
    }


def _waiting(figures: overload_api.Figures) -> int:
    return sum(item.on_time + item.late for item in figures.waiting)
