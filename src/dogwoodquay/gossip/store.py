"""The versioned items that one instance holds, with their digests.

An expired item leaves a tombstone: its version without the payload. The
tombstone is compared with others for a while and then kept to itself, so that
an older version never comes back here.
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
MAX_RETIRED: typing.Final = 100_000


class _Due(typing.NamedTuple):
    at: float
    key: str
    version: api.Version


class Store:
    """Items by key; the newest version wins."""

    def __init__(self) -> None:
        self._items: dict[str, api.Item] = {}
        self._retired: dict[str, api.Version] = {}
        self._digests = [0] * BUCKETS
        self._keys: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._due: list[_Due] = []

    def __len__(self) -> int:
        return len(self._items)

    @property
    def root(self) -> int:
        """The hash of all items."""
        total = 0
        for bucket, digest in enumerate(self._digests):
            total ^= _mix(bucket, digest)
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

    def stored(self, key: str) -> api.Item | None:
        """Return the item or tombstone of a key."""
        return self._items.get(key)

    def version(self, key: str) -> api.Version | None:
        """Return the highest version that was seen of a key."""
        item = self._items.get(key)
        return self._retired.get(key) if item is None else item.version

    def under(self, prefix: str, now: float) -> list[api.Item]:
        """Return the items whose keys begin with a prefix."""
        return [
            item
            for key, item in self._items.items()
            if key.startswith(prefix) and not _expired(item, now)
        ]

    def put(self, item: api.Item, now: float) -> bool:
        """Take in an item.

        :return: whether it is newer than what was seen of its key.
        """
        seen = self.version(item.key)
        if seen is not None and item.version <= seen:
            return False
        if item.key not in self._items and len(self._items) >= MAX_ITEMS:
            return False
        if _expired(item, now):
            item = _tombstone(item)
        self._remove(item.key)
        self._retired.pop(item.key, None)
        self._add(item)
        if item.expires_at:
            at = item.expires_at
            at += TOMBSTONE_SECONDS if _expired(item, now) else 0.0
            self._schedule(item, at)
        return True

    def expire(self, now: float) -> None:
        """Turn expired items into tombstones and retire old tombstones."""
        while self._due and self._due[0].at <= now:
            due = heapq.heappop(self._due)
            item = self._items.get(due.key)
            if item is None or item.version != due.version:
                continue
            if due.at < item.expires_at + TOMBSTONE_SECONDS:
                self._items[due.key] = _tombstone(item)
                self._schedule(item, item.expires_at + TOMBSTONE_SECONDS)
            else:
                self._retire(item)

    def keys(self, bucket: int) -> frozenset[str]:
        """Return the keys of a bucket."""
        return frozenset(self._keys[bucket])

    def _schedule(self, item: api.Item, at: float) -> None:
        heapq.heappush(self._due, _Due(at, item.key, item.version))

    def _retire(self, item: api.Item) -> None:
        self._remove(item.key)
        self._retired[item.key] = item.version
        if len(self._retired) > MAX_RETIRED:
            del self._retired[next(iter(self._retired))]

    def _add(self, item: api.Item) -> None:
        bucket = _bucket(item.key)
        self._items[item.key] = item
        self._keys[bucket].add(item.key)
        self._digests[bucket] ^= _digest(item)

    def _remove(self, key: str) -> None:
        item = self._items.pop(key, None)
        if item is not None:
            bucket = _bucket(key)
            self._keys[bucket].discard(key)
            self._digests[bucket] ^= _digest(item)


def _expired(item: api.Item, now: float) -> bool:
    return bool(item.expires_at) and item.expires_at <= now


def _tombstone(item: api.Item) -> api.Item:
    return msgspec.structs.replace(item, payload=b'')


def _bucket(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS


def _digest(item: api.Item) -> int:
    version = item.version
    text = f'{item.key}\0{version.epoch}\0{version.sequence}'
    return xxhash.xxh3_64_intdigest(text.encode())


def _mix(bucket: int, digest: int) -> int:
    return xxhash.xxh3_64_intdigest(digest.to_bytes(8, 'big'), seed=bucket)
