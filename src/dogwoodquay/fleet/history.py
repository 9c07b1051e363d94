"""What the platform's list held before an instance began to follow it."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from . import api

__all__ = ['ListHistory']

# A server may be used for some heartbeats, and for a while after an outage,
# although it is not heard of. Its last entry may be that much older.
MARGIN_HEARTBEATS: typing.Final = 6


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

    @property
    def versions(self) -> frozenset[tuple[str, str]]:
        """Services and the software versions that their servers had."""
        return frozenset(self._versions)

    def add(self, server_id: str, entry: api.ServerEntry | None) -> None:
        """Add a record, ``None`` for one that names no server to use."""
        known = self._entries.pop(server_id, None)
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
