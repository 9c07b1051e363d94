"""The records in which the log keeps the versions that began streams."""

from __future__ import annotations

import collections
import hashlib
import typing

import msgspec

from ..journal import entries
from . import origin_table

if typing.TYPE_CHECKING:
    from collections import abc

    from . import messages

__all__ = ['decode', 'encode', 'key_of']

SCHEMA: typing.Final = 1
# Identifiers are chosen by callers; long digests keep them from colliding.
KEY_BYTES: typing.Final = 12


class _Group(msgspec.Struct, frozen=True, array_like=True):
    """The keys of the streams that a version of a service began."""

    service: str
    version: str
    keys: bytes
    owner: str = ''


class _Batch(msgspec.Struct, frozen=True):
    schema: int
    groups: tuple[_Group, ...]


def key_of(stream_id: str) -> str:
    """Return the key by which the log's records name a stream."""
    digest = hashlib.blake2b(stream_id.encode(), digest_size=KEY_BYTES)
    return digest.hexdigest()


def encode(rows: abc.Iterable[messages.OriginRow]) -> bytes:
    """Return a record with the origins of streams."""
    keys: dict[origin_table.Origin, bytearray] = collections.defaultdict(
        bytearray
    )
    for row in rows:
        group = keys[origin_table.Origin(row.service, row.version, row.owner)]
        group += bytes.fromhex(key_of(row.stream_id))
    groups = tuple(
        _Group(origin.service, origin.version, bytes(all_), origin.owner)
        for origin, all_ in keys.items()
    )
    return entries.pack(_Batch(SCHEMA, groups))


def decode(record: bytes) -> list[tuple[str, origin_table.Origin]]:
    """Return the keys of streams and their origins.

    :raises ValueError: if the record is none of this schema.
    """
    batch = entries.unpack(record, _Batch)
    if batch.schema != SCHEMA:
        raise ValueError(f'schema {batch.schema}')
    return [
        (
            group.keys[start : start + KEY_BYTES].hex(),
            origin_table.Origin(group.service, group.version, group.owner),
        )
        for group in batch.groups
        for start in range(0, len(group.keys), KEY_BYTES)
    ]
