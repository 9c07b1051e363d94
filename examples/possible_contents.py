"""The ledger reserves memory for an order whose reply was lost.

Run this example with ``python examples/possible_contents.py``. The ledger is
pure: it does no I/O and reads no clock, so the calls below are its only
input.
"""

from __future__ import annotations

import sys
import typing

from dogwoodquay.external import api as external_api
from dogwoodquay.ledger import core
from dogwoodquay.placement import api as placement_api
from dogwoodquay.records import api as records_api

GIB: typing.Final = 1 << 30
POOL: typing.Final = 'pool'
SERVER: typing.Final = 'engine'
CAPACITY_GIB: typing.Final = 10
MODEL_GIB: typing.Final = 6
EPOCH: typing.Final = 4


def make_ledger() -> core.PoolLedger:
    """Return a ledger with a server that can hold one of two models."""
    server = records_api.Server(
        SERVER, '127.0.0.1', 9, 'domain-a', CAPACITY_GIB * GIB
    )
    pool = records_api.Pool(POOL, (server,))
    models = {
        name: records_api.Model(name, '1', MODEL_GIB * GIB, POOL)
        for name in ('tickets', 'photos')
    }
    catalog = records_api.Catalog(models=models, pools={POOL: pool})
    ledger = core.PoolLedger(pool, catalog, EPOCH)
    ledger.set_slots(2)
    return ledger


def make_state(
    incarnation: str, *artifacts: external_api.ArtifactState
) -> external_api.EngineState:
    """Return the state that an engine reports."""
    return external_api.EngineState(
        incarnation=incarnation,
        highest_fence=EPOCH,
        capacity_bytes=CAPACITY_GIB * GIB,
        artifacts=artifacts,
        load=external_api.LoadReport(0.0, 0, 0, 0.0, 0.0),
    )


def observe(ledger: core.PoolLedger, state: external_api.EngineState) -> None:
    """Pass an engine's state to the ledger."""
    began = ledger.servers[SERVER].begin_observation()
    ledger.observe(SERVER, state, began)


def request_load(
    ledger: core.PoolLedger, name: str
) -> core.Approved | core.Denied:
    """Request a load of a model and print the ledger's decision."""
    move = placement_api.Move(
        placement_api.MoveKind.LOAD,
        SERVER,
        records_api.artifact_id(name, '1'),
        MODEL_GIB * GIB,
        '',
        '',
    )
    decision = ledger.approve(move)
    match decision:
        case core.Approved(_, order):
            print(f'{name}: approved as order {order.order_id}')
        case core.Denied(reason):
            print(f'{name}: denied, {reason.value}')
    possible = ledger.servers[SERVER].possible_bytes // GIB
    print(f'  possible contents: {possible} of {CAPACITY_GIB} GiB')
    return decision


def main() -> int:
    """Lose the reply to an order and load another model once it is safe."""
    ledger = make_ledger()
    observe(ledger, make_state('process-1'))
    first = request_load(ledger, 'tickets')
    if not isinstance(first, core.Approved):
        return 1
    ledger.on_attempt(first.order.order_id)
    ledger.on_answer_lost(first.order.order_id)
    print('the reply to the order was lost')
    observe(ledger, make_state('process-1'))
    second = request_load(ledger, 'photos')
    print('the engine restarted, so the order can no longer take effect')
    observe(ledger, make_state('process-2'))
    third = request_load(ledger, 'photos')
    safe = isinstance(second, core.Denied)
    return 0 if safe and isinstance(third, core.Approved) else 1


if __name__ == '__main__':
    sys.exit(main())
