"""Reads from the log of the server list what was listed earlier."""

from __future__ import annotations

import math
import typing

import anyio

from ..external import api as external_api
from ..fleet import history
from ..observe import logs
from . import reachability
from . import store_api

if typing.TYPE_CHECKING:
    from collections import abc

    import expression

    from .. import clock as clocks
    from ..fleet import api as fleet_api
    from ..fleet import registry as registries

__all__ = ['ListHistoryReader']

_LOG: typing.Final = logs.ComponentLog('servers')

READ_SECONDS: typing.Final = 1.5
# After a read that failed, the next one waits for so long.
BACKOFF_SECONDS: typing.Final = 0.5
# Records that are read for each server and heartbeat, as servers also write
# their changes.
RECORDS_PER_HEARTBEAT: typing.Final = 2


class ListHistoryReader:
    """Extends what the registry knows to the time before it was started.

    The log is read only when somebody asks, and its end only.

    :param end: returns the end of the log as last read, if known.
    """

    def __init__(
        self,
        store: store_api.Store,
        topic: store_api.Topic,
        decode: abc.Callable[
            [str, bytes], expression.Result[fleet_api.ServerEntry, str]
        ],
        registry: registries.Registry,
        heartbeat_seconds: float,
        clock: clocks.Clock,
        end: abc.Callable[[], store_api.Position | None],
    ) -> None:
        self._end = end
        self._store = store
        self._topic = topic
        self._decode = decode
        self._registry = registry
        self._heartbeat_seconds = heartbeat_seconds
        self._clock = clock
        self._reading = anyio.Lock()
        self._read_for = math.inf
        self._read_since = math.inf
        self._failed_at = -math.inf
        self._found: history.ListHistory | None = None
        self._found_began = -math.inf

    async def extend(self, since: float, deadline: float) -> None:
        """Read the log as far back as needed, unless that was done.

        :param since: the time from which on the list has to be known.
        :param deadline: when the caller stops waiting.
        """
        now = self._clock.now()
        with anyio.move_on_after(max(0.0, deadline - now)):
            async with self._reading:
                if self._is_due(since):
                    await self._read(since)

    async def weights(
        self, service: str, model: str, since: float, deadline: float
    ) -> list[dict[str, int]] | None:
        """Return the servers of each version that listed a model, by version.

        There is an item for each state of the list between ``since`` and the
        begin of this call; ``None`` if that is not known. Callers that ask
        during a read share the next one.
        """
        now = self._clock.now()
        with anyio.move_on_after(max(0.0, deadline - now)):
            async with self._reading:
                if self._found_began < now:
                    began = self._clock.now()
                    position = self._first_position(began - since)
                    self._found = await self._replay(position)
                    self._found_began = began
                if self._found is None:
                    return None
                return self._found.weights(
                    service,
                    model,
                    self._clock.now() - since,
                    self._heartbeat_seconds,
                )
        return None

    def _is_due(self, since: float) -> bool:
        followed_since = self._registry.followed_since
        if since >= followed_since or (
            followed_since == self._read_for and since >= self._read_since
        ):
            return False
        return self._clock.now() >= self._failed_at + BACKOFF_SECONDS

    def _first_position(self, seconds: float) -> store_api.Position:
        """Return a position well before a time that lies back so far."""
        era, end = self._end() or store_api.START
        beats = math.ceil(seconds / self._heartbeat_seconds)
        beats += 2 * history.MARGIN_HEARTBEATS
        servers = len(self._registry.servers) + 1
        first = max(0, end - servers * beats * RECORDS_PER_HEARTBEAT)
        return store_api.Position(era, first)

    async def _read(self, since: float) -> None:
        began = self._clock.now()
        followed_since = self._registry.followed_since
        found = await self._replay(self._first_position(began - since))
        if found is None:
            self._failed_at = self._clock.now()
            return
        if self._registry.followed_since != followed_since:
            # The list was read anew meanwhile.
            return
        seconds = found.covered_seconds(self._heartbeat_seconds)
        self._registry.extend_history(found.versions, began - seconds)
        self._read_for = self._registry.followed_since
        self._read_since = since
        _LOG.write(
            'history',
            versions=len(found.versions),
            covered=seconds,
            seconds=round(self._clock.now() - began, 3),
        )

    async def _replay(
        self, position: store_api.Position
    ) -> history.ListHistory | None:
        """Replay the log from a position on, ``None`` if it is unreadable."""
        found = history.ListHistory(complete=position.offset == 0)
        while True:
            deadline = self._clock.now() + READ_SECONDS
            page = await self._store.read(self._topic, position, 0.0, deadline)
            if page.is_error():
                match page.error:
                    case external_api.Trimmed(first) if (
                        first > position.offset
                    ):
                        position = position._replace(offset=first)
                        found = history.ListHistory(complete=False)
                        continue
                    case error:
                        reason = reachability.reason_of(error)
                _LOG.write('history_unread', reason=reason)
                return None
            for record in page.ok.records:
                if record.key:
                    found.add(record.key, self._entry(record))
            position = page.ok.position
            if not page.ok.incomplete or not page.ok.records:
                return found

    def _entry(
        self, record: store_api.NewestRecord
    ) -> fleet_api.ServerEntry | None:
        if not record.value:
            return None
        decoded = self._decode(record.key, record.value)
        return decoded.ok if decoded.is_ok() else None
