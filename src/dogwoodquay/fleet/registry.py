"""The servers in the platform's list, as this instance knows them."""

from __future__ import annotations

import enum
import math
import typing

from . import api
from . import server as server_module

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Change', 'Registry']

# Live servers renew entries that expired in an outage within this time.
RENEWAL_SECONDS: typing.Final = 2.2
# Software versions of services that are remembered after their last server.
MAX_FORMER_VERSIONS: typing.Final = 4096


class Change(enum.Enum):
    """The effect of an update or a removal on a server."""

    ADDED = 'added'
    RESTARTED = 'restarted'
    LEAVING = 'leaving'
    REMOVED = 'removed'
    STALE = 'stale'
    SAME = 'same'


class Registry:
    """The listed servers by id.

    A server that is no longer listed gets no new requests. As its entry may
    have expired while the store was unavailable, servers are kept until the
    store has been available again for ``RENEWAL_SECONDS``.
    """

    def __init__(self) -> None:
        self._servers: dict[str, server_module.Server] = {}
        self._expiring: dict[str, float] = {}
        self._store_available_at = float('-inf')
        # Service and software version of servers that were replaced or
        # dropped, with the time, oldest first.
        self._former: dict[tuple[str, str], float] = {}
        self._followed_since = float('inf')

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

    def on_store_available(self, now: float) -> None:
        """Record that the list can be read again after an outage."""
        self._store_available_at = now

    def update(self, entry: api.ServerEntry, now: float) -> Change:
        """Apply an entry unless a newer one of the server is known.

        An entry of another software version belongs to another process.
        """
        known = self._servers.get(entry.server_id)
        if known is None:
            self._expiring.pop(entry.server_id, None)
            self._servers[entry.server_id] = server_module.Server(entry)
            return Change.ADDED
        old = known.entry
        if entry.started_ms < old.started_ms:
            return Change.STALE
        self._expiring.pop(entry.server_id, None)
        same_process = entry.started_ms == old.started_ms
        if same_process and entry.report_number < old.report_number:
            return Change.STALE
        if not same_process or entry.version != old.version:
            self._remember(old, now)
            self._servers[entry.server_id] = server_module.Server(entry)
            return Change.RESTARTED
        was_leaving = known.leaving
        known.update_entry(entry, now)
        return Change.SAME if was_leaving == known.leaving else Change.LEAVING

    def remove(self, server_id: str, now: float) -> Change:
        """Remove a server that is no longer listed.

        Shortly after an outage the server stays until ``expire`` drops it.
        """
        if server_id not in self._servers:
            return Change.SAME
        if now - self._store_available_at < RENEWAL_SECONDS:
            due = self._store_available_at + RENEWAL_SECONDS
            self._expiring.setdefault(server_id, due)
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

    def _drop(self, server_id: str, now: float) -> None:
        self._expiring.pop(server_id, None)
        server = self._servers.pop(server_id, None)
        if server is not None:
            server.leave()
            self._remember(server.entry, now)

    def _remember(self, entry: api.ServerEntry, now: float) -> None:
        """Record until when a software version of a service was listed."""
        key = (entry.service, entry.version)
        self._former.pop(key, None)
        self._former[key] = now
        if len(self._former) > MAX_FORMER_VERSIONS:
            forgotten = self._former.pop(next(iter(self._former)))
            after = math.nextafter(forgotten, math.inf)
            self._followed_since = max(self._followed_since, after)
