"""Chooses who reads the store and who passes a configuration on."""

from __future__ import annotations

import collections
import heapq
import typing
import zlib

from . import demand

if typing.TYPE_CHECKING:
    import random

__all__ = ['READERS', 'ReaderChoice']

# Instances that read the configuration from the store, besides the owner.
READERS: typing.Final = 8
# Readers and holders are chosen anew after this time.
REFRESH_SECONDS: typing.Final = 0.25
# Instances that are told to ask the same holder at a time, and for how long
# they count if they do not report the version.
ASKERS_AT_ONCE: typing.Final = 2
PLACE_SECONDS: typing.Final = 3.0
# Holders that are considered for one instance.
TRIES: typing.Final = 8


class _Report(typing.NamedTuple):
    """When an instance sent its load, and the version that it has."""

    received_at: float
    version: int


class _Place(typing.NamedTuple):
    """The holder that an instance was told to ask, and until when."""

    holder: str
    until: float


class ReaderChoice:
    """The owner's choice of readers and holders among the instances.

    A holder is an instance that has the newest version. It is named to few
    instances at a time, as its link may be slow; each that has received a
    copy is a holder as well.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._reports: dict[str, _Report] = {}
        self._readers: frozenset[str] = frozenset()
        self._newest = -1
        self._holders: list[str] = []
        self._places: dict[str, _Place] = {}
        self._askers: collections.Counter[str] = collections.Counter()
        self._refresh_at = float('-inf')

    def update(self, member: str, version: int, now: float) -> None:
        """Record the version that an instance reports."""
        known = self._reports.get(member)
        self._reports[member] = _Report(now, version)
        if known is not None and known.version == version:
            return
        if known is not None and known.version < version == self._newest:
            self._holders.append(member)
            self._leave(member)
        else:
            self._refresh_at = now

    def reads_store(self, member: str, owner: str, now: float) -> bool:
        """Whether an instance reads the configuration from the store."""
        self._refresh(now)
        return member == owner or member in self._readers

    def holder(self, member: str, owner: str, now: float) -> str:
        """Return an instance to ask for the newest version.

        :return: empty if the instance has that version itself, or if nobody
            that has it has time.
        """
        self._refresh(now)
        if self._has_newest(member):
            return ''
        place = self._places.get(member)
        if place is None or not self._is_valid(place, now):
            self._leave(member)
            holder = self._free_holder(owner)
            if not holder:
                return ''
            place = self._places[member] = _Place(holder, now + PLACE_SECONDS)
            self._askers[holder] += 1
        return place.holder

    def _free_holder(self, owner: str) -> str:
        """Return a random holder that few were told to ask, empty for none.

        The owner's link carries all views, so it is asked only while nobody
        else has the version.
        """
        count = len(self._holders)
        first = self._rng.randrange(count) if count else 0
        for step in range(min(TRIES, count)):
            holder = self._holders[(first + step) % count]
            if holder == owner and count > 1:
                continue
            if self._askers[holder] < ASKERS_AT_ONCE:
                return holder
        return ''

    def _leave(self, member: str) -> None:
        """Free the place of an instance at its holder."""
        place = self._places.pop(member, None)
        if place is not None:
            self._askers[place.holder] -= 1

    def _has_newest(self, member: str) -> bool:
        report = self._reports.get(member)
        return report is not None and report.version == self._newest

    def _is_valid(self, place: _Place, now: float) -> bool:
        return now < place.until and self._has_newest(place.holder)

    def _refresh(self, now: float) -> None:
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_SECONDS
        self._reports = {
            member: report
            for member, report in self._reports.items()
            if now - report.received_at <= demand.LOAD_EXPIRY_SECONDS
        }
        first = heapq.nsmallest(READERS, self._reports, key=_order)
        self._readers = frozenset(first)
        versions = (report.version for report in self._reports.values())
        self._newest = max(versions, default=-1)
        self._holders = [
            member
            for member, report in self._reports.items()
            if report.version == self._newest >= 0
        ]
        self._places = {
            member: place
            for member, place in self._places.items()
            if member in self._reports
            and not self._has_newest(member)
            and self._is_valid(place, now)
        }
        self._askers = collections.Counter(
            place.holder for place in self._places.values()
        )


def _order(member: str) -> tuple[int, str]:
    """Order members by a hash, which mixes the failure domains."""
    return zlib.crc32(member.encode()), member
