"""An approximate, bounded index of the prompt prefixes that servers cache."""

from __future__ import annotations

import collections
import itertools
import math
import typing

if typing.TYPE_CHECKING:
    from ..external import api as external_api

__all__ = ['PrefixIndex', 'PrefixSettings']

_MAX_GAP_TIMES: typing.Final = 32


class PrefixSettings(typing.NamedTuple):
    """Limits of the index, and the lifetimes of its entries.

    ``lifetime_seconds`` applies to blocks that an event reported,
    ``expected_lifetime_seconds`` to blocks that a sent request is expected
    to store, ``gap_lifetime_seconds`` to all blocks stored before a gap,
    from the time of the gap.
    """

    max_entries: int = 200_000
    max_server_entries: int = 8_000
    lifetime_seconds: float = 300.0
    expected_lifetime_seconds: float = 60.0
    gap_lifetime_seconds: float = 30.0


class _Entry(typing.NamedTuple):
    """When a block expires, and the number of gaps before it was stored."""

    expires_at: float
    gaps: int


class _ServerCache:
    """The state of one server's event stream, and its cached blocks."""

    __slots__ = (
        'blocks',
        'gap_times',
        'gaps',
        'incarnation',
        'next_sequence',
    )

    def __init__(self) -> None:
        self.incarnation = ''
        self.next_sequence = -1
        self.gaps = 0
        self.gap_times: collections.deque[float] = collections.deque(
            maxlen=_MAX_GAP_TIMES
        )
        self.blocks: dict[int, _Entry] = {}

    def record_gap(self, now: float) -> None:
        """Record that events were lost."""
        self.gaps += 1
        self.gap_times.append(now)

    def first_gap_after(self, gaps: int) -> float:
        """Return the time of the first gap after a number of gaps.

        :return: infinity if there is none; minus infinity if its time is no
            longer kept.
        """
        missed = self.gaps - gaps
        if not missed:
            return math.inf
        if missed > len(self.gap_times):
            return -math.inf
        return self.gap_times[-missed]


class PrefixIndex:
    """Maps prefix blocks to the servers that probably cache them.

    A gap in a server's events shortens the lifetime of its earlier blocks,
    since a removal may have been lost. A new incarnation of the engine
    removes them, since its cache is empty.
    """

    def __init__(self, settings: PrefixSettings | None = None) -> None:
        self._settings = settings or PrefixSettings()
        self._servers_by_block: dict[int, dict[str, None]] = {}
        self._caches: dict[str, _ServerCache] = {}

    def __len__(self) -> int:
        """Return the number of entries, expired ones included."""
        return sum(len(cache.blocks) for cache in self._caches.values())

    def update(
        self, server_id: str, events: external_api.CacheEvents, now: float
    ) -> None:
        """Update a server's blocks from events, which may have gaps."""
        cache = self._server_cache(server_id)
        if cache.incarnation != events.incarnation:
            self._clear(server_id, cache, events.incarnation)
        expires_at = now + self._settings.lifetime_seconds
        for event in events.events:
            self._advance_sequence(cache, event.sequence, now)
            if event.stored:
                self._store(server_id, cache, event.block_hash, expires_at)
            else:
                self._remove(server_id, cache, event.block_hash)
        self._advance_sequence(cache, events.next_sequence, now)
        cache.next_sequence = max(cache.next_sequence, events.next_sequence)

    def add_expected(
        self, server_id: str, hashes: tuple[int, ...], now: float
    ) -> None:
        """Add the blocks that a sent request is expected to store."""
        cache = self._server_cache(server_id)
        seconds = self._settings.expected_lifetime_seconds
        for block_hash in hashes:
            known = cache.blocks.get(block_hash)
            if known is not None and known.gaps == cache.gaps:
                if known.expires_at > now + seconds / 2:
                    continue
            self._store(server_id, cache, block_hash, now + seconds)

    def remove_server(self, server_id: str) -> None:
        """Remove a server with its blocks."""
        cache = self._caches.pop(server_id, None)
        if cache is not None:
            self._clear(server_id, cache, '')

    def servers_with_prefix(
        self, hashes: tuple[int, ...], limit: int
    ) -> list[str]:
        """Return servers that may have cached the longest known prefix."""
        for block_hash in reversed(hashes):
            found = self._servers_by_block.get(block_hash)
            if found:
                return list(itertools.islice(found, limit))
        return []

    def match(
        self, server_id: str, hashes: tuple[int, ...], now: float
    ) -> float:
        """Return the share, 0 to 1, of a prompt that is probably cached."""
        cache = self._caches.get(server_id)
        if cache is None or not hashes:
            return 0.0
        found = 0
        for block_hash in hashes:
            entry = cache.blocks.get(block_hash)
            if entry is None or now >= entry.expires_at:
                break
            if entry.gaps != cache.gaps:
                gap_at = cache.first_gap_after(entry.gaps)
                if now >= gap_at + self._settings.gap_lifetime_seconds:
                    break
            found += 1
        return found / len(hashes)

    def _server_cache(self, server_id: str) -> _ServerCache:
        cache = self._caches.get(server_id)
        if cache is None:
            cache = self._caches[server_id] = _ServerCache()
        return cache

    def _clear(
        self, server_id: str, cache: _ServerCache, incarnation: str
    ) -> None:
        """Remove all blocks of a server, and start a new event stream."""
        for block_hash in list(cache.blocks):
            self._remove(server_id, cache, block_hash)
        cache.incarnation = incarnation
        cache.next_sequence = -1
        cache.gap_times.clear()
        cache.gaps = 0

    def _advance_sequence(
        self, cache: _ServerCache, sequence: int, now: float
    ) -> None:
        """Advance to a sequence number, and record a gap before it."""
        if 0 <= cache.next_sequence < sequence:
            cache.record_gap(now)
        cache.next_sequence = max(cache.next_sequence, sequence + 1)

    def _store(
        self,
        server_id: str,
        cache: _ServerCache,
        block_hash: int,
        expires_at: float,
    ) -> None:
        """Store a block, and evict the server's oldest beyond the limit."""
        known = cache.blocks.pop(block_hash, None)
        if known is not None:
            expires_at = max(expires_at, known.expires_at)
        else:
            self._servers_by_block.setdefault(block_hash, {})[server_id] = None
        cache.blocks[block_hash] = _Entry(expires_at, cache.gaps)
        if len(cache.blocks) > self._max_blocks_per_server():
            self._remove(server_id, cache, next(iter(cache.blocks)))

    def _max_blocks_per_server(self) -> int:
        """Return the maximum number of blocks of each server."""
        settings = self._settings
        share = settings.max_entries // len(self._caches)
        return max(1, min(settings.max_server_entries, share))

    def _remove(
        self, server_id: str, cache: _ServerCache, block_hash: int
    ) -> None:
        cache.blocks.pop(block_hash, None)
        servers = self._servers_by_block.get(block_hash)
        if servers is None:
            return
        servers.pop(server_id, None)
        if not servers:
            del self._servers_by_block[block_hash]
