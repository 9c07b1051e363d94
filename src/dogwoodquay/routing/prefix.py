"""An approximate, bounded index of the prompt prefixes that servers cache."""

from __future__ import annotations

import collections
import itertools
import math
import typing

if typing.TYPE_CHECKING:
    from ..external import api as external_api

__all__ = ['PrefixIndex', 'PrefixSettings']

_GAPS_KEPT: typing.Final = 32


class PrefixSettings(typing.NamedTuple):
    """Bounds of the index and how fast it stops believing an entry."""

    max_entries: int = 200_000
    max_server_entries: int = 8_000
    lifetime_seconds: float = 300.0
    presumed_seconds: float = 60.0
    gap_lifetime_seconds: float = 30.0


class _Entry(typing.NamedTuple):
    """When to stop believing a block, and the gaps before it was told."""

    expires_at: float
    gaps: int


class _Source:
    """What is known of one server's event stream and blocks."""

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
            maxlen=_GAPS_KEPT
        )
        self.blocks: dict[int, _Entry] = {}

    def note_gap(self, now: float) -> None:
        """Note that events were lost."""
        self.gaps += 1
        self.gap_times.append(now)

    def first_gap_after(self, gaps: int) -> float:
        """Return the time of the first gap after so many; or infinity."""
        missed = self.gaps - gaps
        if not missed:
            return math.inf
        if missed > len(self.gap_times):
            return -math.inf
        return self.gap_times[-missed]


class PrefixIndex:
    """Which server holds which prefix block, as far as events tell.

    A gap in the events shortens the life of all that came before it, and a
    new incarnation of the engine ends it at once.
    """

    def __init__(self, settings: PrefixSettings | None = None) -> None:
        self._settings = settings or PrefixSettings()
        self._owners: dict[int, dict[str, None]] = {}
        self._sources: dict[str, _Source] = {}

    def __len__(self) -> int:
        """Return the number of entries, expired ones included."""
        return sum(len(source.blocks) for source in self._sources.values())

    def update(
        self, server_id: str, events: external_api.CacheEvents, now: float
    ) -> None:
        """Take in the events of a server, which may start after a gap."""
        source = self._source(server_id)
        if source.incarnation != events.incarnation:
            self._restart(server_id, source, events.incarnation)
        expires_at = now + self._settings.lifetime_seconds
        for event in events.events:
            self._follow(source, event.sequence, now)
            if event.stored:
                self._store(server_id, source, event.block_hash, expires_at)
            else:
                self._remove(server_id, source, event.block_hash)
        self._follow(source, events.next_sequence, now)
        source.next_sequence = max(source.next_sequence, events.next_sequence)

    def presume(
        self, server_id: str, hashes: tuple[int, ...], now: float
    ) -> None:
        """Note blocks that a request just sent will leave in a cache."""
        source = self._source(server_id)
        seconds = self._settings.presumed_seconds
        for block_hash in hashes:
            known = source.blocks.get(block_hash)
            if known is not None and known.gaps == source.gaps:
                if known.expires_at > now + seconds / 2:
                    continue
            self._store(server_id, source, block_hash, now + seconds)

    def forget(self, server_id: str) -> None:
        """Drop all that is known of a server."""
        source = self._sources.pop(server_id, None)
        if source is not None:
            self._restart(server_id, source, '')

    def owners(self, hashes: tuple[int, ...], limit: int) -> list[str]:
        """Return servers that may hold the longest known prefix."""
        for block_hash in reversed(hashes):
            found = self._owners.get(block_hash)
            if found:
                return list(itertools.islice(found, limit))
        return []

    def match(
        self, server_id: str, hashes: tuple[int, ...], now: float
    ) -> float:
        """Return the share, 0 to 1, of a prompt that a server has cached."""
        source = self._sources.get(server_id)
        if source is None or not hashes:
            return 0.0
        found = 0
        for block_hash in hashes:
            entry = source.blocks.get(block_hash)
            if entry is None or now >= entry.expires_at:
                break
            if entry.gaps != source.gaps:
                gap_at = source.first_gap_after(entry.gaps)
                if now >= gap_at + self._settings.gap_lifetime_seconds:
                    break
            found += 1
        return found / len(hashes)

    def _source(self, server_id: str) -> _Source:
        source = self._sources.get(server_id)
        if source is None:
            source = self._sources[server_id] = _Source()
        return source

    def _restart(
        self, server_id: str, source: _Source, incarnation: str
    ) -> None:
        """Drop all blocks of a server."""
        for block_hash in list(source.blocks):
            self._remove(server_id, source, block_hash)
        source.incarnation = incarnation
        source.next_sequence = -1
        source.gap_times.clear()
        source.gaps = 0

    def _follow(self, source: _Source, sequence: int, now: float) -> None:
        """Move along the stream and note a gap before a sequence number."""
        if 0 <= source.next_sequence < sequence:
            source.note_gap(now)
        source.next_sequence = max(source.next_sequence, sequence + 1)

    def _store(
        self,
        server_id: str,
        source: _Source,
        block_hash: int,
        expires_at: float,
    ) -> None:
        """Put a block last in its server's order, and drop the first."""
        known = source.blocks.pop(block_hash, None)
        if known is not None:
            expires_at = max(expires_at, known.expires_at)
        else:
            self._owners.setdefault(block_hash, {})[server_id] = None
        source.blocks[block_hash] = _Entry(expires_at, source.gaps)
        if len(source.blocks) > self._limit():
            self._remove(server_id, source, next(iter(source.blocks)))

    def _limit(self) -> int:
        """Return how many blocks of each server are kept."""
        settings = self._settings
        share = settings.max_entries // len(self._sources)
        return max(1, min(settings.max_server_entries, share))

    def _remove(
        self, server_id: str, source: _Source, block_hash: int
    ) -> None:
        source.blocks.pop(block_hash, None)
        owners = self._owners.get(block_hash)
        if owners is None:
            return
        owners.pop(server_id, None)
        if not owners:
            del self._owners[block_hash]
