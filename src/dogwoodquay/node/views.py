"""Publishes pool views by gossip and feeds received views to the router.

The contents of servers are published when they change, their loads at a fixed
interval.
"""

from __future__ import annotations

import typing

import msgspec

from ..external import api as external_api
from ..gossip import api as gossip_api
from ..journal import entries as journal_entries
from ..pools import api as pools_api

if typing.TYPE_CHECKING:
    from .. import clock as clocks
    from ..routing import api as routing_api

__all__ = ['LOAD_PREFIX', 'POOL_PREFIX', 'PoolLoads', 'ViewExchange']

POOL_PREFIX: typing.Final = 'pool/'
LOAD_PREFIX: typing.Final = 'load/'
LOAD_INTERVAL_SECONDS: typing.Final = 2.0
LOAD_LIFETIME_SECONDS: typing.Final = 30.0


class _ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    server_id: str
    report: external_api.LoadReport


class PoolLoads(msgspec.Struct, frozen=True, array_like=True):
    """The load reports of a pool's servers."""

    pool: str
    loads: tuple[_ServerLoad, ...]


class ViewExchange:
    """Publishes the views of owned pools, and collects those of all pools."""

    def __init__(
        self,
        replicated_map: gossip_api.ReplicatedMap,
        router: routing_api.Router,
        clock: clocks.Clock,
    ) -> None:
        self._replicated_map = replicated_map
        self._router = router
        self._clock = clock
        self._views: dict[str, pools_api.PoolView] = {}
        self._published: dict[str, pools_api.PoolView] = {}
        self._loads_due_at: dict[str, float] = {}
        replicated_map.watch(POOL_PREFIX, self._on_view_item)
        replicated_map.watch(LOAD_PREFIX, self._on_loads_item)

    @property
    def views(self) -> tuple[pools_api.PoolView, ...]:
        """The newest view of each pool, sorted by the name of the pool."""
        return tuple(view for _, view in sorted(self._views.items()))

    def view(self, pool: str) -> pools_api.PoolView | None:
        """Return the newest view of a pool."""
        return self._views.get(pool)

    def publish(self, view: pools_api.PoolView) -> None:
        """Publish the view of a pool that this instance owns."""
        contents = _without_loads(view)
        if self._is_changed(contents):
            self._published[view.pool] = contents
            version = gossip_api.Version(view.epoch, view.version)
            payload = journal_entries.pack(contents)
            self._replicated_map.put(
                gossip_api.Item(POOL_PREFIX + view.pool, version, payload)
            )
        self._publish_loads(view)

    def _is_changed(self, contents: pools_api.PoolView) -> bool:
        published = self._published.get(contents.pool)
        if published is None or published.epoch != contents.epoch:
            return True
        return published.servers != contents.servers

    def _publish_loads(self, view: pools_api.PoolView) -> None:
        now = self._clock.now()
        if now < self._loads_due_at.get(view.pool, 0.0):
            return
        self._loads_due_at[view.pool] = now + LOAD_INTERVAL_SECONDS
        loads = tuple(
            _ServerLoad(server.server_id, server.load)
            for server in view.servers
            if server.load is not None
        )
        self._replicated_map.put(
            gossip_api.Item(
                LOAD_PREFIX + view.pool,
                gossip_api.Version(view.epoch, view.version),
                journal_entries.pack(PoolLoads(view.pool, loads)),
                now + LOAD_LIFETIME_SECONDS,
            )
        )

    def _on_view_item(self, item: gossip_api.Item) -> None:
        try:
            view = journal_entries.unpack(item.payload, pools_api.PoolView)
        except ValueError:
            return
        current = self._views.get(view.pool)
        if current is not None and _version(current) > _version(view):
            return
        self._views[view.pool] = view
        self._router.update_view(view, self._clock.now())

    def _on_loads_item(self, item: gossip_api.Item) -> None:
        try:
            reports = journal_entries.unpack(item.payload, PoolLoads)
        except ValueError:
            return
        now = self._clock.now()
        for load in reports.loads:
            self._router.update_load(load.server_id, load.report, now)


def _version(view: pools_api.PoolView) -> tuple[int, int]:
    return view.epoch, view.version


def _without_loads(view: pools_api.PoolView) -> pools_api.PoolView:
    servers = tuple(
        msgspec.structs.replace(server, load=None) for server in view.servers
    )
    return msgspec.structs.replace(view, servers=servers)
