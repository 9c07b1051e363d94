"""The active configuration of an instance."""

from __future__ import annotations

import typing

from ..journal import follower as followers
from ..records import state as records_state

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clocks
    from ..external import api as external_api
    from ..records import api as records_api
    from . import snapshots

__all__ = ['CONFIGURATION_STREAM', 'Configuration']

CONFIGURATION_STREAM: typing.Final = 'config'


class Configuration:
    """Follows the operators' stream and notifies of each new catalog."""

    def __init__(
        self,
        log: external_api.Log,
        peers: snapshots.PeerSnapshots,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._state = records_state.ConfigurationState()
        self._follower = followers.Follower(
            CONFIGURATION_STREAM, self._state, log, clock, rng, peers=peers
        )
        self._watchers: list[abc.Callable[[records_api.Catalog], None]] = []
        self._notified_catalog = self._state.catalog
        self._follower.watch(self._notify_watchers)
        peers.serve(self._follower)

    @property
    def state(self) -> records_state.ConfigurationState:
        """The replayed records and refusals."""
        return self._state

    @property
    def follower(self) -> followers.Follower:
        """The follower of the operators' stream."""
        return self._follower

    @property
    def offset(self) -> int:
        """The offset up to which records are active on this instance."""
        return self._state.offset

    @property
    def log_reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._follower.status().kind is followers.StatusKind.FOLLOWING

    @property
    def ready(self) -> bool:
        """Whether the catalog is complete enough to serve requests.

        It has to be caught up with the log. While the log is unavailable,
        any state suffices, such as one from a peer.
        """
        status = self._follower.status()
        if status.kind is followers.StatusKind.FOLLOWING:
            return self._follower.caught_up
        return self._state.offset >= 0

    def catalog(self) -> records_api.Catalog:
        """Return the active catalog."""
        return self._state.catalog

    def watch(
        self, callback: abc.Callable[[records_api.Catalog], None]
    ) -> None:
        """Call back with the active catalog, and with each new one."""
        self._watchers.append(callback)
        callback(self._state.catalog)

    async def run(self) -> typing.NoReturn:
        """Follow the stream until cancelled."""
        await self._follower.run()

    def _notify_watchers(self) -> None:
        catalog = self._state.catalog
        if catalog is self._notified_catalog:
            return
        self._notified_catalog = catalog
        for callback in self._watchers:
            callback(catalog)
