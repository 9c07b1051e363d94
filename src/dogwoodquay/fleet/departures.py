"""Servers that have left, as the list or a peer tells."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from . import api

__all__ = ['Departure']


class Departure(typing.NamedTuple):
    """When a server left, by the list or by a peer.

    ``announced`` is whether the server itself reported that it leaves, which
    it cannot take back; its next process may have the same id. An entry that
    was only removed may have expired.
    ``started_ms`` and ``report_number`` are those of its last known entry.
    """

    server_id: str
    at: float
    announced: bool
    started_ms: int = 0
    report_number: int = -1

    def superseded_by(
        self, entry: api.ServerEntry, restored_at: float
    ) -> bool:
        """Whether an entry shows that the server is in use again.

        An entry that was written late, after the departure, is older than the
        last known one. That one itself may be read again, where a read of the
        whole list lagged behind, but it tells nothing where the store has
        come back from a copy from before the departure.

        :param restored_at: when the store last came back from a copy.
        """
        if entry.started_ms != self.started_ms:
            return entry.started_ms > self.started_ms
        if self.announced:
            return False
        if self.at <= restored_at:
            return self.report_number < entry.report_number
        return self.report_number <= entry.report_number
