"""Cost of the declared state at the target's size.

710 models with 2,800 adapters on 4,400 servers in 69 pools, 100 callers.
"""

from __future__ import annotations

import hashlib
import time
import typing

import msgspec

from dogwoodquay.records import catalog
from dogwoodquay.records import state

POOLS: typing.Final = 69
SERVERS: typing.Final = 64
MODELS: typing.Final = 710
ADAPTERS_PER_MODEL: typing.Final = 4
CALLERS: typing.Final = 100
CHANGES: typing.Final = 200
GIB: typing.Final = 2**30


class _Entry(typing.NamedTuple):
    offset: int
    time: float
    payload: bytes


def _encode(kind: str, name: str, **fields: object) -> bytes:
    content = {'schema_version': 1, 'kind': kind, 'name': name, **fields}
    return msgspec.json.encode(content)


def _pool(number: int) -> bytes:
    servers = [
        {
            'server_id': f's-{number}-{server}',
            'address': f'10.{number}.0.{server}',
            'port': 9000,
            'failure_domain': f'domain-{server % 7}',
            'capacity_bytes': 640 * GIB,
            'accelerators': 8,
        }
        for server in range(SERVERS)
    ]
    return _encode('pool', f'pool-{number}', servers=servers)


def _model(number: int, version: str = '1') -> bytes:
    return _encode(
        'model',
        f'model-{number}',
        schema_version=2,
        version=version,
        memory_bytes=(10 + number % 60) * GIB,
        pool=f'pool-{number % POOLS}',
        min_replicas=1 + number % 4,
    )


def _adapter(model: int, number: int) -> bytes:
    return _encode(
        'adapter',
        f'adapter-{model}-{number}',
        version='1',
        base=f'model-{model}',
        memory_bytes=GIB,
    )


def _caller(number: int) -> bytes:
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    return _encode('caller', f'caller-{number}', key_sha256=digest)


def _payloads() -> list[bytes]:
    made = [_pool(number) for number in range(POOLS)]
    made += [_model(number) for number in range(MODELS)]
    for model in range(MODELS):
        made += [_adapter(model, n) for n in range(ADAPTERS_PER_MODEL)]
    return made + [_caller(number) for number in range(CALLERS)]


def _apply(found: state.ConfigurationState, payloads: list[bytes]) -> float:
    """Apply records; return the mean milliseconds of one."""
    first = found.offset + 1
    start = time.process_time()
    for offset, payload in enumerate(payloads, start=first):
        found.apply(_Entry(offset, 0.0, payload))
    return (time.process_time() - start) / len(payloads) * 1e3


def _main() -> None:
    found = state.ConfigurationState()
    outcomes: list[catalog.Outcome] = []
    found.watch(outcomes.append)
    print(f'first replay: {_apply(found, _payloads()):.2f} ms a record')
    refused = sum(isinstance(o, catalog.RefusedRecord) for o in outcomes)
    print(f'records: {len(outcomes)}, refused: {refused}')
    changes = [_model(number, version='2') for number in range(CHANGES)]
    print(f'change of a model: {_apply(found, changes):.2f} ms')
    start = time.process_time()
    snapshot = found.snapshot()
    spent = time.process_time() - start
    print(f'snapshot: {len(snapshot)} bytes in {spent * 1e3:.1f} ms')
    again = state.ConfigurationState()
    start = time.process_time()
    again.restore(snapshot)
    spent = time.process_time() - start
    print(f'restore: {spent * 1e3:.1f} ms, same: {found.digest()}')
    if again.digest() != found.digest():
        raise SystemExit('the restored state differs')


if __name__ == '__main__':
    _main()
