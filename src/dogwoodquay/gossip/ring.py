"""Chooses the neighbours of an instance for gossip.

Instances are placed on a hash ring by their ids. The neighbours of an instance
are its successors, fingers at halving distances and one instance in each other
failure domain. Their number grows with the logarithm of the number of
instances, and an instance that joins or leaves changes few of them. In small
clusters all other instances are neighbours.
"""

from __future__ import annotations

import bisect
import functools
import typing

import xxhash

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['RingNode', 'neighbours']

FULL_MESH_PEERS: typing.Final = 8
SUCCESSORS: typing.Final = 2
_RING_BITS: typing.Final = 64


class RingNode(typing.NamedTuple):
    """An instance and its failure domain."""

    instance_id: str
    failure_domain: str


def neighbours(
    own: RingNode, others: abc.Iterable[RingNode]
) -> frozenset[str]:
    """Return the ids of the neighbours of an instance."""
    ring = _Ring(node for node in others if node != own)
    if ring.size <= FULL_MESH_PEERS:
        return ring.ids
    start = _position(own.instance_id)
    chosen = set(ring.successors(start, SUCCESSORS))
    chosen.update(ring.fingers(start))
    chosen.update(ring.in_other_domains(start, own.failure_domain))
    chosen.discard(own.instance_id)
    return frozenset(chosen)


class _Ring:
    """The instances sorted by their positions on the hash ring."""

    def __init__(self, nodes: abc.Iterable[RingNode]) -> None:
        entries = sorted((_position(n.instance_id), n) for n in nodes)
        self._positions = [position for position, _ in entries]
        self._nodes = [node for _, node in entries]

    @property
    def size(self) -> int:
        return len(self._nodes)

    @property
    def ids(self) -> frozenset[str]:
        return frozenset(node.instance_id for node in self._nodes)

    def successors(self, start: int, count: int) -> list[str]:
        """Return the ids of the first instances after a position."""
        first = bisect.bisect_right(self._positions, start)
        span = range(first, first + min(count, self.size))
        return [self._at(index) for index in span]

    def fingers(self, start: int) -> list[str]:
        """Return the successors of points at halving distances."""
        count = self.size.bit_length()
        return [
            self.successors(_finger_start(start, bit), 1)[0]
            for bit in range(1, count + 1)
        ]

    def in_other_domains(self, start: int, own_domain: str) -> list[str]:
        """Return the next instance of each other failure domain."""
        first = bisect.bisect_right(self._positions, start)
        nearest: dict[str, str] = {}
        for index in range(first, first + self.size):
            node = self._nodes[index % self.size]
            nearest.setdefault(node.failure_domain, node.instance_id)
        nearest.pop(own_domain, None)
        return list(nearest.values())

    def _at(self, index: int) -> str:
        return self._nodes[index % self.size].instance_id


@functools.lru_cache(maxsize=4096)
def _position(instance_id: str) -> int:
    return xxhash.xxh3_64_intdigest(instance_id.encode())


def _finger_start(start: int, bit: int) -> int:
    """Return the point at 1/2**bit of the ring after a position."""
    return (start + (1 << (_RING_BITS - bit))) % (1 << _RING_BITS)
