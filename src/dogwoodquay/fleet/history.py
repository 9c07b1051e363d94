"""What the platform's list held before an instance began to follow it."""

from __future__ import annotations

import collections
import math
import typing

from . import first_version

if typing.TYPE_CHECKING:
    from . import api

__all__ = ['ListHistory']

# A server may be used for some heartbeats, and for a while after an outage,
# although it is not heard of. Its last entry may be that much older.
MARGIN_HEARTBEATS: typing.Final = 6
# The share of a server's reports that it makes as time passes; the others tell
# of changes.
TIMED_REPORTS: typing.Final = 0.75
# Reports by which the list of an instance may lag behind.
LAG_REPORTS: typing.Final = 1


class _Change(typing.NamedTuple):
    """A record that changes more than the number of a server's report.

    ``offset`` counts from the begin of the part. ``entry`` is ``None`` for a
    server that is no longer listed.
    """

    offset: int
    server_id: str
    entry: api.ServerEntry | None


class _Report(typing.NamedTuple):
    """The number of a server's report, and the offset of its record."""

    offset: int
    number: int


class ListHistory:
    """Replays a part of the list's log, whose records carry no times.

    How far it reaches back is told by the servers, which write their entries
    at intervals while the store is available. Only entries that are equal but
    for their number count, since changes are written in between.

    :param complete: whether the log begins with its first record.
    """

    def __init__(self, complete: bool) -> None:
        self._complete = complete
        self._entries: dict[str, api.ServerEntry] = {}
        self._heartbeats: dict[str, int] = {}
        self._versions: set[tuple[str, str]] = set()
        self._length = 0
        # Before this record, servers were listed of which nothing is known.
        self._unknown_before = 0
        self._changes: list[_Change] = []
        # The newest entry of each server, also of one that was removed.
        self._newest: dict[str, api.ServerEntry] = {}
        # The reports of the newest process of each server.
        self._reports: dict[str, list[_Report]] = {}

    @property
    def versions(self) -> frozenset[tuple[str, str]]:
        """Services and the software versions that their servers had."""
        return frozenset(self._versions)

    def add(self, server_id: str, entry: api.ServerEntry | None) -> None:
        """Add a record, ``None`` for one that names no server to use."""
        known = self._entries.pop(server_id, None)
        self._add_change(server_id, known, entry)
        if entry is None:
            if known is None:
                # A server of an unknown version may have left here.
                self._complete = False
                self._heartbeats.clear()
            return
        self._entries[server_id] = entry
        self._versions.add((entry.service, entry.version))
        if known is None:
            self._heartbeats.setdefault(server_id, 0)
        elif known == entry._replace(report_number=known.report_number):
            self._heartbeats[server_id] = (
                self._heartbeats.get(server_id, 0) + 1
            )

    def weights(
        self,
        service: str,
        model: str,
        seconds: float,
        heartbeat_seconds: float,
    ) -> list[dict[str, int]] | None:
        """Return the servers of each version that listed a model, by version.

        There is an item for each state of the list in the last seconds.
        ``None`` if the records do not tell all of them. Servers number their
        reports also while the store is unavailable, so that the numbers tell
        the time.
        """
        reports = seconds / (heartbeat_seconds * TIMED_REPORTS)
        begin = self._last_before(math.ceil(reports) + LAG_REPORTS)
        if begin is None or begin < self._unknown_before:
            return None
        entries: dict[str, api.ServerEntry] = {}
        counts: collections.Counter[str] = collections.Counter()
        found: list[dict[str, int]] = [{}]
        for offset, server_id, entry in self._changes:
            before = entries.get(server_id)
            if entry is None and self._is_listed_again(before):
                continue
            if before is not None:
                counts[before.version] -= first_version.serves(
                    before, service, model
                )
            if entry is not None:
                entries[server_id] = entry
                counts[entry.version] += first_version.serves(
                    entry, service, model
                )
            else:
                entries.pop(server_id, None)
            state = {name: count for name, count in counts.items() if count}
            if offset <= begin:
                found = [state]
            elif state != found[-1]:
                found.append(state)
        return found

    def _is_listed_again(self, entry: api.ServerEntry | None) -> bool:
        """Whether the newest entry of a server is of the same process.

        If so its entry had expired in an outage, in which no instance read
        that it was removed.
        """
        if entry is None:
            return False
        newest = self._entries.get(entry.server_id)
        return newest is not None and _is_same_process(entry, newest)

    def _add_change(
        self,
        server_id: str,
        known: api.ServerEntry | None,
        entry: api.ServerEntry | None,
    ) -> None:
        offset, self._length = self._length, self._length + 1
        newest = self._newest.get(server_id)
        if entry is None:
            if newest is None:
                self._unknown_before = offset
            self._changes.append(_Change(offset, server_id, None))
            return
        number = entry.report_number
        if newest is None and number > 1 and not self._complete:
            self._unknown_before = offset
        self._newest[server_id] = entry
        if newest is None or not _is_same_process(newest, entry):
            self._reports[server_id] = []
        self._reports[server_id].append(_Report(offset, number))
        if known is None or known != entry._replace(
            report_number=known.report_number
        ):
            self._changes.append(_Change(offset, server_id, entry))

    def _last_before(self, reports: int) -> int | None:
        """Return the last record before all servers made some reports."""
        found = []
        for server_id in self._entries:
            items = self._reports[server_id]
            until = items[-1].number - reports
            earlier = [item.offset for item in items if item.number <= until]
            if earlier:
                found.append(earlier[-1])
        return min(found, default=None)

    def covered_seconds(self, heartbeat_seconds: float) -> float:
        """Return for how long no server was used without being known here.

        :param heartbeat_seconds: the interval of the servers' entries.
        """
        if self._complete:
            return math.inf
        if not self._heartbeats:
            return 0.0
        # Seldom called, and imports the module of fractions as well.
        import statistics

        count = statistics.median_low(self._heartbeats.values())
        return max(0, count - MARGIN_HEARTBEATS) * heartbeat_seconds


def _is_same_process(earlier: api.ServerEntry, later: api.ServerEntry) -> bool:
    """Whether two entries of a server are of the same process."""
    return (earlier.started_ms, earlier.version) == (
        later.started_ms,
        later.version,
    )
