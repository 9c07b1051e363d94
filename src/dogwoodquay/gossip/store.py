"""The versioned items of one instance, with their hashes.

An expired item leaves a tombstone: its version without the payload. Tombstones
take part in comparisons with peers for ``TOMBSTONE_SECONDS``. After that only
their versions are kept, up to ``MAX_RETIRED_VERSIONS`` of them and without
comparison, so that an older version from a peer is still refused.
"""

from __future__ import annotations

import heapq
import typing

import msgspec
import xxhash

from . import api

__all__ = ['BUCKETS', 'Store']

BUCKETS: typing.Final = 64
TOMBSTONE_SECONDS: typing.Final = 3600.0
MAX_ITEMS: typing.Final = 20_000
MAX_RETIRED_VERSIONS: typing.Final = 100_000


class _Expiration(typing.NamedTuple):
    at: float
    key: str
    version: api.Version


class Store:
    """The newest item or tombstone of each key."""

    def __init__(self) -> None:
        self._items: dict[str, api.Item] = {}
        self._retired_versions: dict[str, api.Version] = {}
        self._digests = [0] * BUCKETS
        self._keys: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._expirations: list[_Expiration] = []

    def __len__(self) -> int:
        return len(self._items)

    @property
    def root(self) -> int:
        """The hash of all items."""
        total = 0
        for bucket, digest in enumerate(self._digests):
            total ^= _bucket_hash(bucket, digest)
        return total

    @property
    def digests(self) -> tuple[int, ...]:
        """The hash of each bucket."""
        return tuple(self._digests)

    def get(self, key: str, now: float) -> api.Item | None:
        """Return the item of a key unless it has expired."""
        item = self._items.get(key)
        if item is None or _expired(item, now):
            return None
        return item

    def entry(self, key: str) -> api.Item | None:
        """Return the item or tombstone of a key, if any."""
        return self._items.get(key)

    def highest_version(self, key: str) -> api.Version | None:
        """Return the highest known version of a key, if any."""
        item = self._items.get(key)
        return (
            self._retired_versions.get(key) if item is None else item.version
        )

    def with_prefix(self, prefix: str, now: float) -> list[api.Item]:
        """Return the items whose keys begin with a prefix."""
        return [
            item
            for key, item in self._items.items()
            if key.startswith(prefix) and not _expired(item, now)
        ]

    def put(self, item: api.Item, now: float) -> bool:
        """Store an item if it is newer than the known version.

        :return: whether the item was stored.
        """
        highest = self.highest_version(item.key)
        if highest is not None and item.version <= highest:
            return False
        if item.key not in self._items and len(self._items) >= MAX_ITEMS:
            return False
        if _expired(item, now):
            item = _tombstone(item)
        self._remove(item.key)
        self._retired_versions.pop(item.key, None)
        self._add(item)
        if item.expires_at:
            at = item.expires_at
            at += TOMBSTONE_SECONDS if _expired(item, now) else 0.0
            self._schedule(item, at)
        return True

    def expire(self, now: float) -> None:
        """Turn expired items into tombstones and remove old tombstones."""
        while self._expirations and self._expirations[0].at <= now:
            expiration = heapq.heappop(self._expirations)
            item = self._items.get(expiration.key)
            if item is None or item.version != expiration.version:
                continue
            if expiration.at < item.expires_at + TOMBSTONE_SECONDS:
                self._items[expiration.key] = _tombstone(item)
                self._schedule(item, item.expires_at + TOMBSTONE_SECONDS)
            else:
                self._retire(item)

    def keys(self, bucket: int) -> frozenset[str]:
        """Return the keys of a bucket."""
        return frozenset(self._keys[bucket])

    def _schedule(self, item: api.Item, at: float) -> None:
        heapq.heappush(
            self._expirations, _Expiration(at, item.key, item.version)
        )

    def _retire(self, item: api.Item) -> None:
        self._remove(item.key)
        self._retired_versions[item.key] = item.version
        if len(self._retired_versions) > MAX_RETIRED_VERSIONS:
            del self._retired_versions[next(iter(self._retired_versions))]

    def _add(self, item: api.Item) -> None:
        bucket = _bucket(item.key)
        self._items[item.key] = item
        self._keys[bucket].add(item.key)
        self._digests[bucket] ^= _item_hash(item)

    def _remove(self, key: str) -> None:
        item = self._items.pop(key, None)
        if item is not None:
            bucket = _bucket(key)
            self._keys[bucket].discard(key)
            self._digests[bucket] ^= _item_hash(item)


def _expired(item: api.Item, now: float) -> bool:
    return bool(item.expires_at) and item.expires_at <= now


def _tombstone(item: api.Item) -> api.Item:
    return msgspec.structs.replace(item, payload=b'')


def _bucket(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS


def _item_hash(item: api.Item) -> int:
    version = item.version
    text = f'{item.key}\0{version.epoch}\0{version.sequence}'
    return xxhash.xxh3_64_intdigest(text.encode())


def _bucket_hash(bucket: int, digest: int) -> int:
    return xxhash.xxh3_64_intdigest(digest.to_bytes(8, 'big'), seed=bucket)
