"""Measures the cost of the declared state at the target size.

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
    payloads = [_pool(number) for number in range(POOLS)]
    payloads += [_model(number) for number in range(MODELS)]
    for model in range(MODELS):
        payloads += [_adapter(model, n) for n in range(ADAPTERS_PER_MODEL)]
    return payloads + [_caller(number) for number in range(CALLERS)]


def _apply(
    configuration: state.ConfigurationState, payloads: list[bytes]
) -> float:
    """Apply records and return the mean milliseconds per record."""
    first = configuration.offset + 1
    start = time.process_time()
    for offset, payload in enumerate(payloads, start=first):
        configuration.apply(_Entry(offset, 0.0, payload))
    return (time.process_time() - start) / len(payloads) * 1e3


def _main() -> None:
    configuration = state.ConfigurationState()
    outcomes: list[catalog.Outcome] = []
    configuration.watch(outcomes.append)
    print(
        f'first replay: {_apply(configuration, _payloads()):.2f} ms per record'
    )
    refused = sum(isinstance(o, catalog.RefusedRecord) for o in outcomes)
    print(f'records: {len(outcomes)}, refused: {refused}')
    changes = [_model(number, version='2') for number in range(CHANGES)]
    print(f'change of a model: {_apply(configuration, changes):.2f} ms')
    start = time.process_time()
    snapshot = configuration.snapshot()
    elapsed = time.process_time() - start
    print(f'snapshot: {len(snapshot)} bytes in {elapsed * 1e3:.1f} ms')
    restored = state.ConfigurationState()
    start = time.process_time()
    restored.restore(snapshot)
    elapsed = time.process_time() - start
    print(f'restore: {elapsed * 1e3:.1f} ms, same: {configuration.digest()}')
    if restored.digest() != configuration.digest():
        raise SystemExit('the restored state differs')


if __name__ == '__main__':
    _main()
