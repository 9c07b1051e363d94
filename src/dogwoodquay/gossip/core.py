"""Gossip as a pure state machine: push and anti-entropy.

A newer item is pushed to some neighbours at once. At intervals an instance
also compares its items with those of a neighbour: first the hash of all items,
then the hashes of buckets, then the versions in the buckets that differ.
"""

from __future__ import annotations

import dataclasses
import typing

from . import api
from . import messages
from . import store
from . import tokenbucket
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    import random

__all__ = ['Changed', 'Effect', 'Gossip', 'GossipSettings', 'Send']

MAX_PAYLOAD_BYTES: typing.Final = 16 * 1024
_MAX_MESSAGE_BYTES: typing.Final = 16 * 1024
_ITEM_OVERHEAD_BYTES: typing.Final = 32
_VERSION_OVERHEAD_BYTES: typing.Final = 16
_DIGEST_BYTES: typing.Final = 9
_FRAME_OVERHEAD_BYTES: typing.Final = 24
_BUCKETS_PER_MESSAGE: typing.Final = 16


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSettings:
    """Limits and intervals of the gossip.

    A newer item is pushed to ``fanout`` neighbours; the other instances get
    it from these or by comparison every ``exchange_seconds``.
    """

    bytes_per_second: float = 3000.0
    burst_bytes: float = 60_000.0
    fanout: int = 4
    exchange_seconds: float = 2.0
    catch_up_seconds: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer."""

    peer: wire_api.PeerAddress
    message: wire_api.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """An item was replaced by a newer one; notify its watchers."""

    item: api.Item


Effect = Send | Changed


class Gossip:
    """The items of one instance and those to send to each peer."""

    def __init__(self, settings: GossipSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._store = store.Store()
        self._bandwidth = tokenbucket.TokenBucket(
            settings.bytes_per_second, settings.burst_bytes
        )
        self._neighbours: tuple[wire_api.PeerAddress, ...] = ()
        self._pending: dict[wire_api.PeerAddress, dict[str, None]] = {}
        self._new_neighbours: list[wire_api.PeerAddress] = []
        self._next_exchange = 0.0
        self._now = 0.0

    @property
    def pending_count(self) -> int:
        """The number of items to send, counted once for each peer."""
        return sum(len(keys) for keys in self._pending.values())

    @property
    def item_count(self) -> int:
        """The number of stored items and tombstones."""
        return len(self._store)

    @property
    def root(self) -> int:
        """The hash of all items; equal on instances with equal items."""
        return self._store.root

    def get(self, key: str, now: float) -> api.Item | None:
        """Return the newest item of a key unless it has expired."""
        return self._store.get(key, now)

    def with_prefix(self, prefix: str, now: float) -> list[api.Item]:
        """Return the items whose keys begin with a prefix."""
        return self._store.with_prefix(prefix, now)

    def set_neighbours(
        self, neighbours: typing.Sequence[wire_api.PeerAddress]
    ) -> None:
        """Replace the neighbours; new ones come first in comparisons."""
        known = set(self._neighbours)
        self._new_neighbours += [
            peer for peer in neighbours if peer not in known
        ]
        self._neighbours = tuple(neighbours)
        kept = set(neighbours)
        for peer in [peer for peer in self._pending if peer not in kept]:
            del self._pending[peer]

    def put(self, item: api.Item, now: float) -> list[Effect]:
        """Store an item of this instance; no effect if it is not newer."""
        if len(item.payload) > MAX_PAYLOAD_BYTES:
            raise ValueError('the payload is too large')
        return self._apply(item, None, now)

    def receive(
        self,
        peer: wire_api.PeerAddress,
        message: wire_api.Message,
        now: float,
    ) -> list[Effect]:
        """Handle a message of a peer."""
        match message:
            case messages.Items():
                return self._receive_items(peer, message, now)
            case messages.Root():
                return self._receive_root(peer, message)
            case messages.Buckets():
                return self._receive_buckets(peer, message)
            case messages.Versions():
                return self._receive_versions(peer, message)
            case messages.ItemRequest():
                self._enqueue(peer, message.keys)
        return []

    def tick(self, now: float) -> list[Effect]:
        """Expire items, send pending ones, and compare with a neighbour."""
        self._now = now
        self._bandwidth.refill(now)
        self._store.expire(now)
        effects = self._send_pending()
        if now >= self._next_exchange and self._bandwidth.has_tokens:
            interval = self._settings.exchange_seconds
            self._next_exchange = now + interval * self._rng.uniform(
                0.75, 1.25
            )
            effects += self._start_exchange()
        return effects

    def _apply(
        self, item: api.Item, source: wire_api.PeerAddress | None, now: float
    ) -> list[Effect]:
        if not self._store.put(item, now):
            return []
        for peer in self._choose_targets(source):
            self._enqueue(peer, (item.key,))
        if self._store.get(item.key, now) is None:
            return []
        return [Changed(item)]

    def _choose_targets(
        self, source: wire_api.PeerAddress | None
    ) -> list[wire_api.PeerAddress]:
        others = [peer for peer in self._neighbours if peer != source]
        return self._rng.sample(
            others, min(self._settings.fanout, len(others))
        )

    def _receive_items(
        self, peer: wire_api.PeerAddress, message: messages.Items, now: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for item in message.items:
            if len(item.payload) <= MAX_PAYLOAD_BYTES:
                effects += self._apply(item, peer, now)
                self._dequeue(peer, item)
        return effects

    def _receive_root(
        self, peer: wire_api.PeerAddress, message: messages.Root
    ) -> list[Effect]:
        if (
            message.digest == self._store.root
            or not self._bandwidth.has_tokens
        ):
            return []
        answer = messages.Buckets(self._store.digests)
        return [self._send(peer, answer, store.BUCKETS * _DIGEST_BYTES)]

    def _receive_buckets(
        self, peer: wire_api.PeerAddress, message: messages.Buckets
    ) -> list[Effect]:
        own = self._store.digests
        if len(message.digests) != len(own) or not self._bandwidth.has_tokens:
            return []
        pairs = enumerate(zip(own, message.digests, strict=True))
        differing = [n for n, (mine, theirs) in pairs if mine != theirs]
        if not differing:
            return []
        self._schedule_catch_up()
        self._rng.shuffle(differing)
        return [self._versions_message(peer, differing[:_BUCKETS_PER_MESSAGE])]

    def _versions_message(
        self, peer: wire_api.PeerAddress, buckets: list[int]
    ) -> Effect:
        versions = [
            messages.KeyVersion(item.key, item.version)
            for bucket in buckets
            for key in sorted(self._store.keys(bucket))
            if (item := self._store.entry(key)) is not None
        ]
        size = sum(
            len(entry.key) + _VERSION_OVERHEAD_BYTES for entry in versions
        )
        message = messages.Versions(tuple(buckets), tuple(versions))
        return self._send(peer, message, size)

    def _receive_versions(
        self, peer: wire_api.PeerAddress, message: messages.Versions
    ) -> list[Effect]:
        theirs = {entry.key: entry.version for entry in message.versions}
        newer = [
            key
            for bucket in message.buckets
            if 0 <= bucket < store.BUCKETS
            for key in sorted(self._store.keys(bucket))
            if self._is_newer(key, theirs.get(key))
        ]
        self._enqueue(peer, newer)
        older = [key for key, v in theirs.items() if self._is_older(key, v)]
        if not older:
            return []
        size = sum(len(key) + 1 for key in older)
        return [self._send(peer, messages.ItemRequest(tuple(older)), size)]

    def _is_newer(self, key: str, theirs: api.Version | None) -> bool:
        mine = self._store.highest_version(key)
        return mine is not None and (theirs is None or mine > theirs)

    def _is_older(self, key: str, theirs: api.Version) -> bool:
        mine = self._store.highest_version(key)
        return mine is None or mine < theirs

    def _enqueue(
        self, peer: wire_api.PeerAddress, keys: typing.Iterable[str]
    ) -> None:
        pending = self._pending.setdefault(peer, {})
        for key in keys:
            if self._store.entry(key) is not None:
                pending[key] = None
        if not pending:
            del self._pending[peer]

    def _dequeue(self, peer: wire_api.PeerAddress, item: api.Item) -> None:
        pending = self._pending.get(peer, {})
        if item.key in pending:
            stored = self._store.entry(item.key)
            if stored is None or stored.version <= item.version:
                del pending[item.key]

    def _send_pending(self) -> list[Effect]:
        effects: list[Effect] = []
        peers = [peer for peer, keys in self._pending.items() if keys]
        self._rng.shuffle(peers)
        for peer in peers:
            if not self._bandwidth.has_tokens:
                break
            effects += self._items_message(peer)
        return effects

    def _items_message(self, peer: wire_api.PeerAddress) -> list[Effect]:
        pending = self._pending[peer]
        items: list[api.Item] = []
        size = 0
        for key in list(pending):
            if size >= _MAX_MESSAGE_BYTES:
                break
            del pending[key]
            item = self._store.entry(key)
            if item is not None:
                items.append(item)
                size += _encoded_size(item)
        if not pending:
            del self._pending[peer]
        if not items:
            return []
        return [self._send(peer, messages.Items(tuple(items)), size)]

    def _start_exchange(self) -> list[Effect]:
        root = messages.Root(self._store.root)
        if self._new_neighbours:
            peer = self._new_neighbours.pop(0)
            self._schedule_catch_up()
            return [self._send(peer, root, _DIGEST_BYTES)]
        if not self._neighbours:
            return []
        peer = self._rng.choice(self._neighbours)
        return [self._send(peer, root, _DIGEST_BYTES)]

    def _schedule_catch_up(self) -> None:
        """Bring the next comparison forward while differences are likely."""
        interval = self._settings.catch_up_seconds
        self._next_exchange = min(self._next_exchange, self._now + interval)

    def _send(
        self, peer: wire_api.PeerAddress, message: wire_api.Message, size: int
    ) -> Effect:
        self._bandwidth.consume(size + _FRAME_OVERHEAD_BYTES)
        return Send(peer, message)


def _encoded_size(item: api.Item) -> int:
    return len(item.key) + len(item.payload) + _ITEM_OVERHEAD_BYTES
