"""The servers in the platform's list, as this instance knows them."""

from __future__ import annotations

import enum
import math
import typing

from . import api
from . import departures as departure_module
from . import server as server_module

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Change', 'Registry']

# Live servers renew entries that expired in an outage within this time.
RENEWAL_SECONDS: typing.Final = 2.2
# Software versions of services that are remembered after their last server.
MAX_FORMER_VERSIONS: typing.Final = 4096
# Departures that are remembered; the oldest are forgotten first.
MAX_DEPARTURES: typing.Final = 4096


class Change(enum.Enum):
    """The effect of an update or a removal on a server."""

    ADDED = 'added'
    RESTARTED = 'restarted'
    LEAVING = 'leaving'
    MISSING = 'missing'
    REMOVED = 'removed'
    STALE = 'stale'
    SAME = 'same'


class Registry:
    """The listed servers by id.

    A server that is no longer listed gets no new requests. As its entry may
    have expired while the store was unavailable, servers are kept until the
    store has been available again for ``RENEWAL_SECONDS``, unless a peer that
    could read the list reports that they have left.
    """

    def __init__(self) -> None:
        self._servers: dict[str, server_module.Server] = {}
        self._expiring: dict[str, float] = {}
        self._departures: dict[str, departure_module.Departure] = {}
        self._recent: dict[str, departure_module.Departure] = {}
        self._read_at = float('-inf')
        self._store_available_at = float('-inf')
        self._store_restored_at = float('-inf')
        # Service and software version of servers that were replaced or
        # dropped, with the time, oldest first.
        self._former: dict[tuple[str, str], float] = {}
        self._followed_since = float('inf')
        self._pauses_end_at = float('-inf')

    @property
    def servers(self) -> abc.Mapping[str, server_module.Server]:
        """All servers by id, including those that are leaving."""
        return self._servers

    def get(self, server_id: str) -> server_module.Server | None:
        """Return a listed server."""
        return self._servers.get(server_id)

    def of_service(self, service: str) -> list[server_module.Server]:
        """Return the servers of a service that accept new requests."""
        return [
            server
            for server in self._servers.values()
            if server.entry.service == service and not server.leaving
        ]

    @property
    def followed_since(self) -> float:
        """Since when the list has been followed without a gap."""
        return self._followed_since

    @property
    def read_at(self) -> float:
        """When the last complete read of the list began."""
        return self._read_at

    @property
    def expires_at(self) -> float:
        """When ``expire`` is due next, infinite for never."""
        return min(self._expiring.values(), default=math.inf)

    @property
    def pauses_end_at(self) -> float:
        """When the last pause of any server ends."""
        return self._pauses_end_at

    def departures(self, since: float) -> list[departure_module.Departure]:
        """Return the servers that have left since a time.

        Earlier departures are not returned again.
        """
        for item in list(self._recent.values()):
            if item.at < since:
                del self._recent[item.server_id]
        return list(self._recent.values())

    def on_complete_read(self, began: float) -> None:
        """Record that the list is known as of the begin of a read."""
        self._read_at = began

    def sole_version(self, service: str, since: float) -> str | None:
        """Return the only software version of a service's servers.

        All servers count that were listed at any time after ``since``.
        ``None`` if they have several versions, if there were none, or if the
        list was not followed without a gap since then.
        """
        if since < self._followed_since:
            return None
        versions = {
            server.entry.version
            for server in self._servers.values()
            if server.entry.service == service
        }
        versions.update(
            version
            for (name, version), until in self._former.items()
            if name == service and until >= since
        )
        return versions.pop() if len(versions) == 1 else None

    def has_several_versions(self, since: float) -> bool:
        """Whether a service had several software versions since a time."""
        versions: dict[str, str] = {}
        listed = [
            (server.entry.service, server.entry.version)
            for server in self._servers.values()
        ]
        former = [key for key, until in self._former.items() if until >= since]
        return any(
            versions.setdefault(service, version) != version
            for service, version in listed + former
        )

    def extend_history(
        self, versions: abc.Iterable[tuple[str, str]], since: float
    ) -> None:
        """Record what was listed before the list was followed.

        :param versions: services and the software versions of their servers
            at any time between ``since`` and ``followed_since``.
        """
        if since >= self._followed_since:
            return
        for key in versions:
            self._former.setdefault(key, self._followed_since)
        self._followed_since = since

    def on_store_available(self, now: float) -> None:
        """Record that the list can be read again after an outage."""
        self._store_available_at = now

    def on_store_restored(self, now: float) -> None:
        """Record that the list comes from an older copy of the store.

        It may lack servers, and name some that have left, until they have
        written again.
        """
        self._store_available_at = now
        self._store_restored_at = now

    def update(self, entry: api.ServerEntry, now: float) -> Change:
        """Apply an entry unless a newer one of the server is known.

        An entry of another software version belongs to another process. One
        that announces the end of a process is applied whatever its number.
        """
        known = self._servers.get(entry.server_id)
        if known is None:
            return self._add(entry, now)
        old = known.entry
        leaves = entry.state is api.ServerState.LEAVING
        if entry.started_ms < old.started_ms:
            if entry.started_ms or not leaves or known.leaving:
                return Change.STALE
            # It may be the end of this process.
            self._announce(known, now)
            return Change.LEAVING
        same_process = entry.started_ms == old.started_ms
        if same_process and entry.report_number < old.report_number:
            if not leaves or known.leaving:
                return Change.STALE
            self._announce(known, now)
            return Change.LEAVING
        self._expiring.pop(entry.server_id, None)
        was_leaving = known.leaving
        if not same_process or entry.version != old.version:
            self._remember(old, now)
            known = server_module.Server(entry)
            self._servers[entry.server_id] = known
            if was_leaving and same_process:
                known.leave()
            elif known.leaving:
                self._announce(known, now)
            return Change.RESTARTED
        known.update_entry(entry, now)
        if known.leaving == was_leaving:
            return Change.SAME
        self._announce(known, now)
        return Change.LEAVING

    def on_departure_reported(
        self, departure: departure_module.Departure, now: float
    ) -> Change:
        """Apply a departure that a peer has learned of.

        A removal does not count if the list, read since then, still has the
        server, or if a later entry of it is known than to the peer.
        """
        server_id = departure.server_id
        known = self._servers.get(server_id)
        if known is None:
            if departure.announced and server_id not in self._departures:
                self._depart(departure)
            return Change.SAME
        if departure.announced:
            earlier = departure.started_ms < known.entry.started_ms
            if known.leaving or earlier:
                return Change.SAME
            self._announce(known, departure.at)
            return Change.LEAVING
        missing = server_id in self._expiring
        if departure.at <= self._read_at and not missing:
            return Change.SAME
        newest = known.entry.started_ms, known.entry.report_number
        if newest > (departure.started_ms, departure.report_number):
            return Change.SAME
        self._drop(server_id, now)
        return Change.REMOVED

    def on_announced(self, server: server_module.Server, now: float) -> Change:
        """Record that a server has said in an answer that it leaves.

        :param server: the process that has sent the answer.
        """
        known = self._servers.get(server.entry.server_id)
        if known is not server or known.leaving:
            return Change.SAME
        self._announce(known, now)
        return Change.LEAVING

    def on_pause(self, server: server_module.Server, until: float) -> None:
        """Record that a server wants no requests before a time."""
        server.pause(until)
        self._pauses_end_at = max(self._pauses_end_at, until)

    def remove(self, server_id: str, now: float) -> Change:
        """Remove a server that is no longer listed.

        Shortly after an outage the server stays until ``expire`` drops it.
        """
        if server_id not in self._servers:
            return Change.SAME
        if now - self._store_available_at < RENEWAL_SECONDS:
            if server_id in self._expiring:
                return Change.SAME
            due = self._store_available_at + RENEWAL_SECONDS
            self._expiring[server_id] = due
            return Change.MISSING
        self._drop(server_id, now)
        return Change.REMOVED

    def withdraw(self, server_id: str, now: float) -> Change:
        """Remove a server whose newest entry names no server to use."""
        if server_id not in self._servers:
            return Change.SAME
        self._drop(server_id, now)
        return Change.REMOVED

    def replace(
        self, entries: abc.Iterable[api.ServerEntry], now: float
    ) -> dict[str, Change]:
        """Apply the whole list; return the change of each server by id.

        Servers may have been listed unseen before.
        """
        changes = {}
        listed = set()
        for entry in entries:
            listed.add(entry.server_id)
            changes[entry.server_id] = self.update(entry, now)
        for server_id in set(self._servers) - listed:
            changes[server_id] = self.remove(server_id, now)
        self._followed_since = now
        return changes

    def expire(self, now: float) -> list[str]:
        """Drop servers whose entries were not renewed after an outage.

        :return: their ids.
        """
        due = [name for name, at in self._expiring.items() if now >= at]
        for server_id in due:
            self._drop(server_id, now)
        return due

    def _add(self, entry: api.ServerEntry, now: float) -> Change:
        """Add a server unless it is known to have left."""
        departure = self._departures.get(entry.server_id)
        if departure is not None and not departure.superseded_by(
            entry, self._store_restored_at
        ):
            return Change.STALE
        self._departures.pop(entry.server_id, None)
        self._recent.pop(entry.server_id, None)
        self._expiring.pop(entry.server_id, None)
        added = server_module.Server(entry)
        self._servers[entry.server_id] = added
        if added.leaving:
            self._announce(added, now)
        return Change.ADDED

    def _announce(self, server: server_module.Server, at: float) -> None:
        """Record that a server has announced its end."""
        server.leave()
        entry = server.entry
        self._depart(
            departure_module.Departure(
                entry.server_id,
                at,
                True,
                entry.started_ms,
                entry.report_number,
            )
        )

    def _drop(self, server_id: str, now: float) -> None:
        """Remove a server and remember that it has left."""
        self._expiring.pop(server_id, None)
        server = self._servers.pop(server_id, None)
        if server is None:
            return
        server.leave()
        entry = server.entry
        self._remember(entry, now)
        if server_id not in self._departures:
            self._depart(
                departure_module.Departure(
                    server_id,
                    now,
                    False,
                    entry.started_ms,
                    entry.report_number,
                )
            )

    def _depart(self, departure: departure_module.Departure) -> None:
        self._departures[departure.server_id] = departure
        self._recent[departure.server_id] = departure
        if len(self._departures) > MAX_DEPARTURES:
            oldest = next(iter(self._departures))
            del self._departures[oldest]
            self._recent.pop(oldest, None)

    def _remember(self, entry: api.ServerEntry, now: float) -> None:
        """Record until when a software version of a service was listed."""
        key = (entry.service, entry.version)
        self._former.pop(key, None)
        self._former[key] = now
        if len(self._former) > MAX_FORMER_VERSIONS:
            forgotten = self._former.pop(next(iter(self._former)))
            after = math.nextafter(forgotten, math.inf)
            self._followed_since = max(self._followed_since, after)
