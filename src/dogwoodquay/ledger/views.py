"""State of a ledger as published to instances and operators."""

from __future__ import annotations

import typing

import msgspec

from ..pools import api as pools_api

if typing.TYPE_CHECKING:
    from . import core
    from . import servers as server_ledgers

__all__ = ['PoolStatus', 'ServerStatus', 'pool_status', 'pool_view']


class ServerStatus(msgspec.Struct, frozen=True):
    """Status of a server in the ledger.

    ``known`` says whether the contents of the server are known.
    """

    server_id: str
    known: bool
    reachable: bool
    leaving: bool
    capacity_bytes: int
    confirmed_bytes: int
    possible_bytes: int
    open_orders: tuple[str, ...]


class PoolStatus(msgspec.Struct, frozen=True):
    """Status of a pool in its owner's ledger."""

    pool: str
    epoch: int
    loads: int
    servers: tuple[ServerStatus, ...]


def pool_status(ledger: core.PoolLedger) -> PoolStatus:
    """Return the status of a ledger for operators."""
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
    previous: pools_api.PoolView | None,
) -> pools_api.PoolView:
    """Return the state that the owner publishes for routing.

    :param previous: the last published state of the pool, by any owner; it
        supplies the servers that have not been observed yet.
    """
    published = {}
    if previous is not None:
        published = {server.server_id: server for server in previous.servers}
    views = []
    for server_id, server in sorted(ledger.servers.items()):
        if server.state is not None:
            views.append(_server_view(server))
        elif server_id in published:
            views.append(published[server_id])
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
                withdrawing=item.unloading or server.has_unload(item.artifact),
            )
            for item in artifacts
        ),
        capacity_bytes=server.capacity_bytes,
        confirmed_bytes=server.confirmed_bytes,
        possible_bytes=server.possible_bytes,
        load=None if state is None else state.load,
    )
