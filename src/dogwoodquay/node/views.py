"""Views of pools on the board: contents on change, loads at a steady pace."""

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

__all__ = ['LOAD_PREFIX', 'POOL_PREFIX', 'PoolLoads', 'ViewBoard']

POOL_PREFIX: typing.Final = 'pool/'
LOAD_PREFIX: typing.Final = 'load/'
LOAD_SECONDS: typing.Final = 2.0
LOAD_LIFETIME_SECONDS: typing.Final = 30.0


class _ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    server_id: str
    report: external_api.LoadReport


class PoolLoads(msgspec.Struct, frozen=True, array_like=True):
    """The load reports of a pool's servers."""

    pool: str
    loads: tuple[_ServerLoad, ...]


class ViewBoard:
    """Puts the views of owned pools on the board and feeds routing."""

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
        self._shown: dict[str, pools_api.PoolView] = {}
        self._loads_due: dict[str, float] = {}
        replicated_map.watch(POOL_PREFIX, self._take_view)
        replicated_map.watch(LOAD_PREFIX, self._take_loads)

    @property
    def views(self) -> tuple[pools_api.PoolView, ...]:
        """The newest views, by the name of the pool."""
        return tuple(view for _, view in sorted(self._views.items()))

    def view(self, pool: str) -> pools_api.PoolView | None:
        """Return the newest view of a pool."""
        return self._views.get(pool)

    def publish(self, view: pools_api.PoolView) -> None:
        """Show the view of a pool that this instance owns."""
        contents = _without_loads(view)
        if self._differs(contents):
            self._shown[view.pool] = contents
            version = gossip_api.Version(view.epoch, view.version)
            payload = journal_entries.pack(contents)
            self._replicated_map.put(
                gossip_api.Item(POOL_PREFIX + view.pool, version, payload)
            )
        self._publish_loads(view)

    def _differs(self, contents: pools_api.PoolView) -> bool:
        shown = self._shown.get(contents.pool)
        if shown is None or shown.epoch != contents.epoch:
            return True
        return shown.servers != contents.servers

    def _publish_loads(self, view: pools_api.PoolView) -> None:
        now = self._clock.now()
        if now < self._loads_due.get(view.pool, 0.0):
            return
        self._loads_due[view.pool] = now + LOAD_SECONDS
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

    def _take_view(self, item: gossip_api.Item) -> None:
        try:
            view = journal_entries.unpack(item.payload, pools_api.PoolView)
        except ValueError:
            return
        known = self._views.get(view.pool)
        if known is not None and _version(known) > _version(view):
            return
        self._views[view.pool] = view
        self._router.update_view(view, self._clock.now())

    def _take_loads(self, item: gossip_api.Item) -> None:
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
