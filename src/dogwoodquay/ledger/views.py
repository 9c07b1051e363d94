"""What a ledger shows to other instances and to operators."""

from __future__ import annotations

import typing

import msgspec

from ..pools import api as pools_api

if typing.TYPE_CHECKING:
    from . import core
    from . import servers as server_ledgers

__all__ = ['PoolStatus', 'ServerStatus', 'pool_status', 'pool_view']


class ServerStatus(msgspec.Struct, frozen=True):
    """A server's place in the ledger; sizes in bytes."""

    server_id: str
    known: bool
    reachable: bool
    leaving: bool
    capacity_bytes: int
    confirmed_bytes: int
    possible_bytes: int
    open_orders: tuple[str, ...]


class PoolStatus(msgspec.Struct, frozen=True):
    """A pool's ledger as its owner sees it."""

    pool: str
    epoch: int
    loads: int
    servers: tuple[ServerStatus, ...]


def pool_status(ledger: core.PoolLedger) -> PoolStatus:
    """Return what operators see of a ledger."""
    return PoolStatus(
        pool=ledger.pool.name,
        epoch=ledger.epoch,
        loads=ledger.loads,
        servers=tuple(
            _server_status(server)
            for _, server in sorted(ledger.servers.items())
        ),
    )


def _server_status(server: server_ledgers.ServerLedger) -> ServerStatus:
    return ServerStatus(
        server_id=server.server.server_id,
        known=server.known,
        reachable=server.reachable,
        leaving=server.leaving,
        capacity_bytes=server.capacity_bytes,
        confirmed_bytes=server.confirmed_bytes,
        possible_bytes=server.possible_bytes,
        open_orders=tuple(sorted(server.orders)),
    )


def pool_view(
    ledger: core.PoolLedger,
    owner: str,
    version: int,
    earlier: pools_api.PoolView | None,
) -> pools_api.PoolView:
    """Return the view for routing.

    :param earlier: the last view of the pool, by whichever owner; a server
        that is not known yet is shown as it was there.
    """
    shown = {}
    if earlier is not None:
        shown = {server.server_id: server for server in earlier.servers}
    views = []
    for server_id, server in sorted(ledger.servers.items()):
        if server.state is not None:
            views.append(_server_view(server))
        elif server_id in shown:
            views.append(shown[server_id])
    return pools_api.PoolView(
        ledger.pool.name, owner, ledger.epoch, version, tuple(views)
    )


def _server_view(
    server: server_ledgers.ServerLedger,
) -> pools_api.ServerView:
    state = server.state
    artifacts = () if state is None else state.artifacts
    return pools_api.ServerView(
        server_id=server.server.server_id,
        address=server.server.address,
        port=server.server.port,
        failure_domain=server.server.failure_domain,
        leaving=server.leaving,
        artifacts=tuple(
            pools_api.ArtifactView(
                artifact=item.artifact,
                ready=item.ready,
                withdrawing=item.unloading
                or server.withdrawing(item.artifact),
            )
            for item in artifacts
        ),
        capacity_bytes=server.capacity_bytes,
        confirmed_bytes=server.confirmed_bytes,
        possible_bytes=server.possible_bytes,
        load=None if state is None else state.load,
    )
