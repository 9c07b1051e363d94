"""The order in which instances are to hold the records of a stream."""

from __future__ import annotations

import hashlib
import heapq
import typing
import zlib

if typing.TYPE_CHECKING:
    from . import messages

__all__ = ['HolderOrder']

# Streams of the same slot have the same order, which is kept.
SLOTS: typing.Final = 4096
# The instances of an order that are kept. Fewer of them are asked for a
# record, so that rosters which differ a little lead to the same instances.
KEPT_INSTANCES: typing.Final = 8
ASKED_INSTANCES: typing.Final = 6
# Of these instances, those that answer are given a record.
CANDIDATES: typing.Final = 5

# There is one writer of records to the log for so many instances.
INSTANCES_PER_WRITER: typing.Final = 64
# The instances that are considered as a writer, one after the other.
WRITERS: typing.Final = 3

_Scored = tuple[int, 'messages.InstanceRow']


class HolderOrder:
    """Rendezvous hashing of streams over the roster of instances."""

    def __init__(self) -> None:
        self._roster: frozenset[messages.InstanceRow] = frozenset()
        self._orders: dict[int, list[_Scored]] = {}
        self._writers: dict[int, tuple[str, ...]] = {}

    def update(self, roster: tuple[messages.InstanceRow, ...]) -> None:
        """Replace the roster; orders that it does not change are kept."""
        old, self._roster = self._roster, frozenset(roster)
        self._writers = {}
        removed, added = old - self._roster, self._roster - old
        for slot, order in tuple(self._orders.items()):
            last = order[-1][0]
            if any(row in removed for _, row in order) or any(
                len(order) < KEPT_INSTANCES or _score(slot, row) < last
                for row in added
            ):
                del self._orders[slot]

    def candidates(
        self, stream_id: str, member: str, failure_domain: str
    ) -> list[str]:
        """Return the instances to be given a record, the first ones first.

        :param member: the recording instance, which is left out.
        :param failure_domain: its domain; the first candidate is in another
            one if there is any.
        """
        others = self._others(stream_id, member)
        found = others[:CANDIDATES]
        for row in others:
            if row.failure_domain != failure_domain:
                found = [row, *(item for item in found if item != row)]
                break
        return [row.member for row in found]

    def writers(self, stream_id: str) -> tuple[str, ...]:
        """Return the instances that may write a record to the log.

        The first one that can be reached writes it. Few instances write, so
        that they append many records at a time.
        """
        groups = 1 + len(self._roster) // INSTANCES_PER_WRITER
        group = _slot(stream_id) % groups
        found = self._writers.get(group)
        if found is None:
            # Keys above those of the slots give other orders.
            scored = [
                (_score(SLOTS + group, row), row) for row in self._roster
            ]
            first = heapq.nsmallest(WRITERS, scored, key=_first)
            found = tuple(row.member for _, row in first)
            self._writers[group] = found
        return found

    def asked(self, stream_id: str, member: str) -> list[str]:
        """Return the instances to ask for a record.

        They are in more than one failure domain if there are several.

        :param member: the asking instance, which is left out.
        """
        others = self._others(stream_id, member)
        found, rest = others[:ASKED_INSTANCES], others[ASKED_INSTANCES:]
        domains = {row.failure_domain for row in found}
        if len(domains) == 1:
            other = (row for row in rest if row.failure_domain not in domains)
            found.extend(list(other)[:1])
        return [row.member for row in found]

    def _others(
        self, stream_id: str, member: str
    ) -> list[messages.InstanceRow]:
        """Return the first instances in the order of a stream but one."""
        slot = _slot(stream_id)
        order = self._orders.get(slot)
        if order is None and self._roster:
            order = self._orders[slot] = self._compute(slot)
        return [row for _, row in order or () if row.member != member]

    def _compute(self, slot: int) -> list[_Scored]:
        """Return the first instances, in two failure domains if possible."""
        scored = [(_score(slot, row), row) for row in self._roster]
        first = heapq.nsmallest(KEPT_INSTANCES, scored, key=_first)
        domain = first[0][1].failure_domain
        if all(row.failure_domain == domain for _, row in first):
            others = [
                item for item in scored if item[1].failure_domain != domain
            ]
            first.extend(heapq.nsmallest(1, others, key=_first))
        return first


def _slot(stream_id: str) -> int:
    return zlib.crc32(stream_id.encode('utf-8', 'replace')) % SLOTS


def _first(scored: _Scored) -> tuple[int, str]:
    score, row = scored
    return score, row.member


def _score(slot: int, row: messages.InstanceRow) -> int:
    """Return a number that is the same on all instances."""
    key = slot.to_bytes(2)
    digest = hashlib.blake2b(row.member.encode(), digest_size=8, key=key)
    return int.from_bytes(digest.digest())
