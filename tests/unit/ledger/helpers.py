"""Test helpers: a pool of two servers and its ledger."""

from __future__ import annotations

import typing

from dogwoodquay.external import api as external_api
from dogwoodquay.ledger import core
from dogwoodquay.placement import api as placement_api
from dogwoodquay.records import api as records_api

EPOCH: typing.Final = 7
POOL: typing.Final = 'a'


def make_catalog(
    fencing: bool = True, bound: float = 0.0
) -> records_api.Catalog:
    """Return a catalog of two servers and three models."""
    servers = tuple(
        records_api.Server(name, '127.0.0.1', port, 'd', 8)
        for port, name in enumerate(('s0', 's1'))
    )
    models = {
        name: records_api.Model(name, '1', 4, POOL) for name in ('x', 'y', 'z')
    }
    pool = records_api.Pool(POOL, servers, fencing, bound)
    return records_api.Catalog(models=models, pools={POOL: pool})


def make_ledger(fencing: bool = True) -> core.PoolLedger:
    """Return the ledger of a new term, with slots."""
    catalog = make_catalog(fencing)
    ledger = core.PoolLedger(catalog.pools[POOL], catalog, EPOCH)
    ledger.set_slots(4)
    return ledger


def make_state(
    *ready: str,
    loading: tuple[str, ...] = (),
    fence: int = EPOCH,
    incarnation: str = 'p0',
    lists_loading: bool = True,
) -> external_api.EngineState:
    """Return an engine's report of its contents."""
    artifacts = [external_api.ArtifactState(name, 4, True) for name in ready]
    artifacts += [
        external_api.ArtifactState(name, 4, False) for name in loading
    ]
    load = external_api.LoadReport(0.0, 0, 0, 0.0, 0.0)
    return external_api.EngineState(
        incarnation,
        fence,
        8,
        tuple(artifacts),
        load,
        lists_loading=lists_loading,
    )


def observe(
    ledger: core.PoolLedger, server: str, state: external_api.EngineState
) -> None:
    """Pass the ledger an observation that reflects all ended orders."""
    version = ledger.servers[server].begin_observation()
    ledger.observe(server, state, version)


def load(server: str, artifact: str) -> placement_api.Move:
    """Return a move that loads an artifact."""
    kind = placement_api.MoveKind.LOAD
    return placement_api.Move(kind, server, artifact, 4, '', '')


def unload(server: str, artifact: str) -> placement_api.Move:
    """Return a move that unloads an artifact."""
    kind = placement_api.MoveKind.UNLOAD
    return placement_api.Move(kind, server, artifact, 4, '', '')
