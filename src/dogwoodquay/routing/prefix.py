"""An approximate, bounded index of the prompt prefixes that servers cache."""

from __future__ import annotations

import collections
import math
import typing

if typing.TYPE_CHECKING:
    from ..platform import api as platform_api

__all__ = ['PrefixIndex', 'PrefixSettings']


_GAPS_KEPT: typing.Final = 32


class PrefixSettings(typing.NamedTuple):
    """Bounds of the index and how fast it stops believing an entry."""

    max_entries: int = 200_000
    lifetime_seconds: float = 300.0
    presumed_seconds: float = 60.0
    gap_lifetime_seconds: float = 30.0


class _Entry(typing.NamedTuple):
    """When to stop believing a block, and the gaps before it was told."""

    expires_at: float
    generation: int
    gaps: int


class _Source:
    """What is known of one server's event stream."""

    __slots__ = (
        'gap_times',
        'gaps',
        'generation',
        'incarnation',
        'next_sequence',
    )

    def __init__(self) -> None:
        self.incarnation = ''
        self.next_sequence = -1
        self.generation = 0
        self.gaps = 0
        self.gap_times: collections.deque[float] = collections.deque(
            maxlen=_GAPS_KEPT
        )

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
        self._entries: collections.OrderedDict[tuple[str, int], _Entry] = (
            collections.OrderedDict()
        )
        self._owners: dict[int, dict[str, None]] = {}
        self._sources: dict[str, _Source] = {}

    def __len__(self) -> int:
        """Return the number of entries, expired ones included."""
        return len(self._entries)

    def update(
        self, server_id: str, events: platform_api.CacheEvents, now: float
    ) -> None:
        """Take in the events of a server, which may start after a gap."""
        source = self._source(server_id)
        if source.incarnation != events.incarnation:
            self._restart(source, events.incarnation)
        lifetime = self._settings.lifetime_seconds
        for event in events.events:
            self._follow(source, event.sequence, now)
            if event.stored:
                self._store(server_id, event.block_hash, now, lifetime)
            else:
                self._remove(server_id, event.block_hash)
        self._follow(source, events.next_sequence, now)
        source.next_sequence = max(source.next_sequence, events.next_sequence)

    def presume(
        self, server_id: str, hashes: tuple[int, ...], now: float
    ) -> None:
        """Note blocks that a request just sent will leave in a cache."""
        for block_hash in hashes:
            self._store(
                server_id, block_hash, now, self._settings.presumed_seconds
            )

    def forget(self, server_id: str) -> None:
        """Drop all that is known of a server."""
        source = self._sources.get(server_id)
        if source is not None:
            self._restart(source, '')

    def owners(self, hashes: tuple[int, ...], limit: int) -> list[str]:
        """Return servers that may hold the longest known prefix."""
        for block_hash in reversed(hashes):
            found = self._owners.get(block_hash)
            if found:
                return [name for name, _ in zip(found, range(limit))]
        return []

    def match(
        self, server_id: str, hashes: tuple[int, ...], now: float
    ) -> float:
        """Return the share, 0 to 1, of a prompt that a server has cached."""
        found = 0
        for block_hash in hashes:
            if not self._holds(server_id, block_hash, now):
                break
            found += 1
        return found / len(hashes) if found else 0.0

    def _holds(self, server_id: str, block_hash: int, now: float) -> bool:
        entry = self._entries.get((server_id, block_hash))
        if entry is None or now >= entry.expires_at:
            return False
        source = self._sources[server_id]
        if entry.generation != source.generation:
            return False
        gap_at = source.first_gap_after(entry.gaps)
        return now < gap_at + self._settings.gap_lifetime_seconds

    def _source(self, server_id: str) -> _Source:
        source = self._sources.get(server_id)
        if source is None:
            source = self._sources[server_id] = _Source()
        return source

    def _restart(self, source: _Source, incarnation: str) -> None:
        """Stop believing all entries of a server."""
        source.incarnation = incarnation
        source.next_sequence = -1
        source.generation += 1

    def _follow(self, source: _Source, sequence: int, now: float) -> None:
        """Move along the stream and note a gap before a sequence number."""
        if 0 <= source.next_sequence < sequence:
            source.note_gap(now)
        source.next_sequence = max(source.next_sequence, sequence + 1)

    def _store(
        self, server_id: str, block_hash: int, now: float, lifetime: float
    ) -> None:
        key = (server_id, block_hash)
        source = self._source(server_id)
        expires_at = now + lifetime
        known = self._entries.get(key)
        if known is not None and known.generation == source.generation:
            expires_at = max(expires_at, known.expires_at)
        self._entries[key] = _Entry(expires_at, source.generation, source.gaps)
        self._entries.move_to_end(key)
        self._owners.setdefault(block_hash, {})[server_id] = None
        while len(self._entries) > self._settings.max_entries:
            oldest = next(iter(self._entries))
            self._remove(*oldest)

    def _remove(self, server_id: str, block_hash: int) -> None:
        self._entries.pop((server_id, block_hash), None)
        owners = self._owners.get(block_hash)
        if owners is None:
            return
        owners.pop(server_id, None)
        if not owners:
            del self._owners[block_hash]
