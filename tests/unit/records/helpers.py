"""Records for the tests, as operators' tools write them."""

from __future__ import annotations

import msgspec

GIB = 2**30


def encode(**fields: object) -> bytes:
    """Return a record's bytes; version 1 unless told otherwise."""
    return msgspec.json.encode({'schema_version': 1, **fields})


def server(number: int, capacity: int = 80 * GIB) -> dict[str, object]:
    """Return a server of a pool."""
    return {
        'server_id': f's{number}',
        'address': '10.0.0.1',
        'port': 9000 + number,
        'failure_domain': 'domain-a',
        'capacity_bytes': capacity,
    }


def pool(name: str = 'p', servers: tuple[int, ...] = (1, 2)) -> bytes:
    """Return a pool of servers with 80 GiB each."""
    return encode(
        kind='pool', name=name, servers=[server(number) for number in servers]
    )


def model_v1(name: str = 'm', gib: int = 16, **extra: object) -> bytes:
    """Return a model of the old version."""
    fields = {'version': '1', 'memory_gib': gib, 'pool': 'p', **extra}
    return encode(kind='model', name=name, **fields)


def model_v2(name: str = 'm', size: int = 16 * GIB, **extra: object) -> bytes:
    """Return a model of the new version."""
    fields = {'version': '1', 'memory_bytes': size, 'pool': 'p', **extra}
    return encode(kind='model', name=name, **{'schema_version': 2, **fields})


def adapter(name: str = 'a', base: str = 'm') -> bytes:
    """Return an adapter of 1 GiB."""
    return encode(
        kind='adapter', name=name, version='1', base=base, memory_bytes=GIB
    )


def withdraw(kind: str, name: str) -> bytes:
    """Return a withdrawal."""
    return encode(kind=kind, name=name, withdraw=True)
