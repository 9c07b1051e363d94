"""Dissemination as a pure state machine: rumours and anti-entropy."""

from __future__ import annotations

import dataclasses
import typing

from . import api
from . import budget
from . import messages
from . import store
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    import random

__all__ = ['Changed', 'Effect', 'Gossip', 'GossipSettings', 'Send']

MAX_PAYLOAD_BYTES: typing.Final = 16 * 1024
_MESSAGE_BYTES: typing.Final = 16 * 1024
_ITEM_OVERHEAD_BYTES: typing.Final = 32
_HELD_OVERHEAD_BYTES: typing.Final = 16
_DIGEST_BYTES: typing.Final = 9
_FRAME_BYTES: typing.Final = 24
_BUCKETS_AT_ONCE: typing.Final = 16


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSettings:
    """Limits and intervals of dissemination.

    A newer item goes to ``fanout`` neighbours at once; whom it misses gets
    it by comparison.
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
    """A newer item is here; tell those who watch its key."""

    item: api.Item


Effect = Send | Changed


class Gossip:
    """The items of one instance and what its peers still have to get."""

    def __init__(self, settings: GossipSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._store = store.Store()
        self._budget = budget.Budget(
            settings.bytes_per_second, settings.burst_bytes
        )
        self._neighbours: tuple[wire_api.PeerAddress, ...] = ()
        self._pending: dict[wire_api.PeerAddress, dict[str, None]] = {}
        self._greet: list[wire_api.PeerAddress] = []
        self._exchange_at = 0.0
        self._now = 0.0

    @property
    def waiting(self) -> int:
        """The number of items that still have to be sent, per peer."""
        return sum(len(keys) for keys in self._pending.values())

    @property
    def items(self) -> int:
        """The number of items and tombstones held."""
        return len(self._store)

    @property
    def root(self) -> int:
        """The hash of everything held; equal where the items are."""
        return self._store.root

    def get(self, key: str, now: float) -> api.Item | None:
        """Return the newest item of a key unless it has expired."""
        return self._store.get(key, now)

    def under(self, prefix: str, now: float) -> list[api.Item]:
        """Return the items whose keys begin with a prefix."""
        return self._store.under(prefix, now)

    def set_neighbours(
        self, neighbours: typing.Sequence[wire_api.PeerAddress]
    ) -> None:
        """Send to these from now on; new ones are compared with first."""
        known = set(self._neighbours)
        self._greet += [peer for peer in neighbours if peer not in known]
        self._neighbours = tuple(neighbours)
        kept = set(neighbours)
        for peer in [peer for peer in self._pending if peer not in kept]:
            del self._pending[peer]

    def put(self, item: api.Item, now: float) -> list[Effect]:
        """Take in an own item; no effect when it is not newer."""
        if len(item.payload) > MAX_PAYLOAD_BYTES:
            raise ValueError('the payload is too large')
        return self._take(item, None, now)

    def receive(
        self,
        peer: wire_api.PeerAddress,
        message: wire_api.Message,
        now: float,
    ) -> list[Effect]:
        """Take in a peer's message."""
        match message:
            case messages.Items():
                return self._receive_items(peer, message, now)
            case messages.Root():
                return self._receive_root(peer, message)
            case messages.Buckets():
                return self._receive_buckets(peer, message)
            case messages.Versions():
                return self._receive_versions(peer, message)
            case messages.Wanted():
                self._queue(peer, message.keys)
        return []

    def tick(self, now: float) -> list[Effect]:
        """Expire items, send what waits, and compare with a neighbour."""
        self._now = now
        self._budget.refill(now)
        self._store.expire(now)
        effects = self._flush()
        if now >= self._exchange_at and self._budget.open:
            pause = self._settings.exchange_seconds
            self._exchange_at = now + pause * self._rng.uniform(0.75, 1.25)
            effects += self._exchange()
        return effects

    def _take(
        self, item: api.Item, source: wire_api.PeerAddress | None, now: float
    ) -> list[Effect]:
        if not self._store.put(item, now):
            return []
        for peer in self._receivers(source):
            self._queue(peer, (item.key,))
        if self._store.get(item.key, now) is None:
            return []
        return [Changed(item)]

    def _receivers(
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
                effects += self._take(item, peer, now)
                self._unqueue(peer, item)
        return effects

    def _receive_root(
        self, peer: wire_api.PeerAddress, message: messages.Root
    ) -> list[Effect]:
        if message.digest == self._store.root or not self._budget.open:
            return []
        answer = messages.Buckets(self._store.digests)
        return [self._send(peer, answer, store.BUCKETS * _DIGEST_BYTES)]

    def _receive_buckets(
        self, peer: wire_api.PeerAddress, message: messages.Buckets
    ) -> list[Effect]:
        own = self._store.digests
        if len(message.digests) != len(own) or not self._budget.open:
            return []
        pairs = enumerate(zip(own, message.digests, strict=True))
        differing = [n for n, (mine, theirs) in pairs if mine != theirs]
        if not differing:
            return []
        self._hurry()
        self._rng.shuffle(differing)
        return [self._versions(peer, differing[:_BUCKETS_AT_ONCE])]

    def _versions(
        self, peer: wire_api.PeerAddress, buckets: list[int]
    ) -> Effect:
        held = [
            messages.Held(item.key, item.version)
            for bucket in buckets
            for key in sorted(self._store.keys(bucket))
            if (item := self._store.stored(key)) is not None
        ]
        size = sum(len(h.key) + _HELD_OVERHEAD_BYTES for h in held)
        message = messages.Versions(tuple(buckets), tuple(held))
        return self._send(peer, message, size)

    def _receive_versions(
        self, peer: wire_api.PeerAddress, message: messages.Versions
    ) -> list[Effect]:
        theirs = {held.key: held.version for held in message.held}
        newer = [
            key
            for bucket in message.buckets
            if 0 <= bucket < store.BUCKETS
            for key in sorted(self._store.keys(bucket))
            if self._is_newer(key, theirs.get(key))
        ]
        self._queue(peer, newer)
        wanted = [key for key, v in theirs.items() if self._is_older(key, v)]
        if not wanted:
            return []
        size = sum(len(key) + 1 for key in wanted)
        return [self._send(peer, messages.Wanted(tuple(wanted)), size)]

    def _is_newer(self, key: str, theirs: api.Version | None) -> bool:
        mine = self._store.version(key)
        return mine is not None and (theirs is None or mine > theirs)

    def _is_older(self, key: str, theirs: api.Version) -> bool:
        mine = self._store.version(key)
        return mine is None or mine < theirs

    def _queue(
        self, peer: wire_api.PeerAddress, keys: typing.Iterable[str]
    ) -> None:
        waiting = self._pending.setdefault(peer, {})
        for key in keys:
            if self._store.stored(key) is not None:
                waiting[key] = None
        if not waiting:
            del self._pending[peer]

    def _unqueue(self, peer: wire_api.PeerAddress, item: api.Item) -> None:
        waiting = self._pending.get(peer, {})
        if item.key in waiting:
            stored = self._store.stored(item.key)
            if stored is None or stored.version <= item.version:
                del waiting[item.key]

    def _flush(self) -> list[Effect]:
        effects: list[Effect] = []
        peers = [peer for peer, keys in self._pending.items() if keys]
        self._rng.shuffle(peers)
        for peer in peers:
            if not self._budget.open:
                break
            effects += self._items_for(peer)
        return effects

    def _items_for(self, peer: wire_api.PeerAddress) -> list[Effect]:
        waiting = self._pending[peer]
        items: list[api.Item] = []
        size = 0
        for key in list(waiting):
            if size >= _MESSAGE_BYTES:
                break
            del waiting[key]
            item = self._store.stored(key)
            if item is not None:
                items.append(item)
                size += _size(item)
        if not waiting:
            del self._pending[peer]
        if not items:
            return []
        return [self._send(peer, messages.Items(tuple(items)), size)]

    def _exchange(self) -> list[Effect]:
        root = messages.Root(self._store.root)
        if self._greet:
            peer = self._greet.pop(0)
            self._hurry()
            return [self._send(peer, root, _DIGEST_BYTES)]
        if not self._neighbours:
            return []
        peer = self._rng.choice(self._neighbours)
        return [self._send(peer, root, _DIGEST_BYTES)]

    def _hurry(self) -> None:
        pause = self._settings.catch_up_seconds
        self._exchange_at = min(self._exchange_at, self._now + pause)

    def _send(
        self, peer: wire_api.PeerAddress, message: wire_api.Message, size: int
    ) -> Effect:
        self._budget.spend(size + _FRAME_BYTES)
        return Send(peer, message)


def _size(item: api.Item) -> int:
    return len(item.key) + len(item.payload) + _ITEM_OVERHEAD_BYTES
