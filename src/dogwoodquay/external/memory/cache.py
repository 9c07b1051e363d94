"""The prefix cache of a fake engine and its events."""

from __future__ import annotations

import collections
import random
import typing

import cbor2

from .. import api
from .. import prefix
from . import timeline

__all__ = ['PrefixCache']

_MAX_EVENTS: typing.Final = 4096


class PrefixCache:
    """An LRU cache of prefix blocks.

    Events become visible after ``event_lag_seconds``; the fraction
    ``gap_rate`` of them is lost.
    """

    def __init__(
        self,
        time: timeline.Timeline,
        rng: random.Random,
        blocks: int,
    ) -> None:
        self.event_lag_seconds = 0.0
        self.gap_rate = 0.0
        self._time = time
        self._rng = rng
        self._max_blocks = blocks
        self._blocks: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, api.CacheEvent]] = (
            collections.deque(maxlen=_MAX_EVENTS)
        )
        self._sequence = 0

    @property
    def used_fraction(self) -> float:
        """The used fraction of the cache, from 0 to 1."""
        return (
            len(self._blocks) / self._max_blocks if self._max_blocks else 1.0
        )

    def clear(self) -> None:
        """Remove all blocks and events, as a process restart does."""
        self._blocks.clear()
        self._events.clear()
        self._sequence = 0

    def access(self, hashes: tuple[int, ...]) -> int:
        """Store the blocks of a prompt and mark them as recently used.

        :return: the length in bytes of the prefix that was already cached.
        """
        found = 0
        for block in hashes:
            if block not in self._blocks:
                break
            found += 1
        self._store(hashes)
        return found * prefix.BLOCK_BYTES

    def events(self, sequence: int, incarnation: str) -> api.CacheEvents:
        """Return the visible events from a sequence number."""
        cutoff = self._time.now() - self.event_lag_seconds
        events = []
        next_sequence = sequence
        for time, event in self._events:
            if time > cutoff:
                break
            if event.sequence >= sequence:
                events.append(event)
                next_sequence = event.sequence + 1
        return api.CacheEvents(incarnation, next_sequence, tuple(events))

    def export(self, block_hash: int) -> bytes | None:
        """Return the encoded chain of blocks that ends in a hash."""
        chain: list[int] = []
        current = block_hash
        while current in self._blocks:
            chain.append(current)
            current = self._blocks[current]
        if not chain:
            return None
        chain.reverse()
        return cbor2.dumps(chain)

    def import_blocks(self, block: bytes) -> bool:
        """Store exported blocks; return false if the data is invalid."""
        try:
            chain = cbor2.loads(block)
        except (cbor2.CBORDecodeError, ValueError):
            return False
        if not isinstance(chain, list):
            return False
        if not all(isinstance(item, int) for item in chain):
            return False
        self._store(tuple(chain))
        return True

    def _store(self, hashes: tuple[int, ...]) -> None:
        parent = 0
        for block in hashes:
            if block in self._blocks:
                self._blocks.move_to_end(block)
            else:
                self._blocks[block] = parent
                self._emit(block, stored=True)
            parent = block
        while len(self._blocks) > self._max_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._emit(block, stored=False)

    def _emit(self, block: int, stored: bool) -> None:
        event = api.CacheEvent(self._sequence, block, stored)
        self._sequence += 1
        if not self.gap_rate or self._rng.random() >= self.gap_rate:
            self._events.append((self._time.now(), event))
