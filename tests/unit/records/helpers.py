"""Encoded records for the tests."""

from __future__ import annotations

import msgspec

GIB = 2**30


def encode(**fields: object) -> bytes:
    """Encode a record, with schema version 1 by default."""
    return msgspec.json.encode({'schema_version': 1, **fields})


def server(number: int, capacity: int = 80 * GIB) -> dict[str, object]:
    """Return the entry of a server in a pool record."""
    return {
        'server_id': f's{number}',
        'address': '10.0.0.1',
        'port': 9000 + number,
        'failure_domain': 'domain-a',
        'capacity_bytes': capacity,
    }


def pool(name: str = 'p', servers: tuple[int, ...] = (1, 2)) -> bytes:
    """Return a pool record with 80 GiB of memory for each server."""
    return encode(
        kind='pool', name=name, servers=[server(number) for number in servers]
    )


def model_v1(name: str = 'm', gib: int = 16, **extra: object) -> bytes:
    """Return a model record with schema version 1."""
    fields = {'version': '1', 'memory_gib': gib, 'pool': 'p', **extra}
    return encode(kind='model', name=name, **fields)


def model_v2(name: str = 'm', size: int = 16 * GIB, **extra: object) -> bytes:
    """Return a model record with schema version 2."""
    fields = {'version': '1', 'memory_bytes': size, 'pool': 'p', **extra}
    return encode(kind='model', name=name, **{'schema_version': 2, **fields})


def adapter(name: str = 'a', base: str = 'm') -> bytes:
    """Return an adapter record with 1 GiB of memory."""
    return encode(
        kind='adapter', name=name, version='1', base=base, memory_bytes=GIB
    )


def withdraw(kind: str, name: str) -> bytes:
    """Return a withdrawal record."""
    return encode(kind=kind, name=name, withdraw=True)
