"""Which peers an instance keeps as neighbours.

Instances stand on a ring by the hash of their ids. Each keeps the next ones,
fingers at halving distances, and one in each other failure domain, so that
the number grows with the logarithm of the instances and one arrival or
departure changes few neighbours. A few instances all keep in touch.
"""

from __future__ import annotations

import bisect
import functools
import typing

import xxhash

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Place', 'neighbours']

FULL_MESH: typing.Final = 8
SUCCESSORS: typing.Final = 2
_RING_BITS: typing.Final = 64


class Place(typing.NamedTuple):
    """An instance and the failure domain that it runs in."""

    instance_id: str
    failure_domain: str


def neighbours(own: Place, others: abc.Iterable[Place]) -> frozenset[str]:
    """Return the ids of the instances that one keeps in touch with."""
    ring = _Ring(place for place in others if place != own)
    if ring.size <= FULL_MESH:
        return ring.ids
    start = _position(own.instance_id)
    chosen = set(ring.successors(start, SUCCESSORS))
    chosen.update(ring.fingers(start))
    chosen.update(ring.in_other_domains(start, own.failure_domain))
    chosen.discard(own.instance_id)
    return frozenset(chosen)


class _Ring:
    def __init__(self, places: abc.Iterable[Place]) -> None:
        placed = sorted((_position(p.instance_id), p) for p in places)
        self._positions = [position for position, _ in placed]
        self._places = [place for _, place in placed]

    @property
    def size(self) -> int:
        return len(self._places)

    @property
    def ids(self) -> frozenset[str]:
        return frozenset(place.instance_id for place in self._places)

    def successors(self, start: int, count: int) -> list[str]:
        first = bisect.bisect_right(self._positions, start)
        span = range(first, first + min(count, self.size))
        return [self._at(index) for index in span]

    def fingers(self, start: int) -> list[str]:
        count = self.size.bit_length()
        return [
            self.successors(_ahead(start, bit), 1)[0]
            for bit in range(1, count + 1)
        ]

    def in_other_domains(self, start: int, own_domain: str) -> list[str]:
        first = bisect.bisect_right(self._positions, start)
        nearest: dict[str, str] = {}
        for index in range(first, first + self.size):
            place = self._places[index % self.size]
            nearest.setdefault(place.failure_domain, place.instance_id)
        nearest.pop(own_domain, None)
        return list(nearest.values())

    def _at(self, index: int) -> str:
        return self._places[index % self.size].instance_id


@functools.lru_cache(maxsize=4096)
def _position(instance_id: str) -> int:
    return xxhash.xxh3_64_intdigest(instance_id.encode())


def _ahead(start: int, bit: int) -> int:
    return (start + (1 << (_RING_BITS - bit))) % (1 << _RING_BITS)
