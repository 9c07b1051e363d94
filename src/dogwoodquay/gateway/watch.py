"""Follows the list of servers in the store."""

from __future__ import annotations

import typing

import anyio

from ..external import api as external_api
from ..external import decoding
from ..fleet import registry as registries
from ..observe import logs
from . import reachability
from . import repeats
from . import store_api

if typing.TYPE_CHECKING:
    from collections import abc

    import expression

    from .. import clock as clocks
    from ..fleet import api as fleet_api
    from . import metrics as gateway_metrics

    _Page = expression.Result[store_api.Records, store_api.StoreError]

__all__ = ['ServerWatch']

_SERVERS_LOG: typing.Final = logs.ComponentLog('servers')

# The longest time for an answer to begin, within the time to drain.
MAX_ANSWER_SECONDS: typing.Final = 2.0
# A read that has no answer for so long is repeated on another connection.
PATIENCE_SECONDS: typing.Final = 0.3
# While the store is unavailable, it is asked again after at most this time.
# Servers that are missing from the list are used until it is read again.
MAX_BACKOFF_SECONDS: typing.Final = 0.4
# Entries of servers do not expire in shorter outages.
MIN_OUTAGE_SECONDS: typing.Final = 1.0
# Unreadable entries whose reasons are remembered; the oldest are forgotten.
MAX_UNREADABLE: typing.Final = 1024


class ServerWatch:
    """Updates the registry of servers from the platform's list."""

    def __init__(
        self,
        store: store_api.Store,
        topic: store_api.Topic,
        decode: abc.Callable[
            [str, bytes], expression.Result[fleet_api.ServerEntry, str]
        ],
        registry: registries.Registry,
        interval_seconds: float,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
        on_change: abc.Callable[[], None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._decode = decode
        self._registry = registry
        self._interval_seconds = interval_seconds
        self._clock = clock
        self._on_change = on_change
        self._reachability = reachability.StoreReachability(
            'servers',
            clock,
            metrics,
            MAX_ANSWER_SECONDS,
            MAX_BACKOFF_SECONDS,
        )
        self._metrics = metrics
        self._position: store_api.Position | None = None
        self._era = 0
        # Why the newest entries of servers are unreadable, by id.
        self._unreadable: dict[str, str] = {}
        self._complete_read = anyio.Event()
        metrics.gauge(
            'gateway_server_list_age_seconds',
            'How long ago the last complete read of the list began',
            lambda: clock.now() - registry.read_at,
        )

    @property
    def position(self) -> store_api.Position | None:
        """The position up to which the list has been read, if it has."""
        return self._position

    async def wait_read(self, after: float, deadline: float) -> bool:
        """Wait for a complete read of the list that began after a time.

        :return: whether one has ended by the deadline.
        """
        while self._registry.read_at <= after:
            seconds = deadline - self._clock.now()
            if seconds <= 0.0:
                return False
            complete_read = self._complete_read
            with anyio.move_on_after(seconds):
                await complete_read.wait()
        return True

    async def run(self) -> typing.NoReturn:
        """Read the list at a fixed interval until cancelled."""
        while True:
            due = self._clock.now() + self._interval_seconds
            while await self.step():
                pass
            await self._wait_until(due)

    async def _wait_until(self, due: float) -> None:
        """Wait, and meanwhile drop the servers whose time has passed."""
        while (now := self._clock.now()) < due:
            next_at = min(due, self._registry.expires_at)
            await anyio.sleep(max(0.0, next_at - now))
            self._expire(self._clock.now())

    async def step(self) -> bool:
        """Read the list, or its changes since the last time, once.

        :return: whether there is more to read already.
        """
        began = self._clock.now()
        is_full_read = self._position is None
        page = await repeats.read_repeatedly(
            self._read, PATIENCE_SECONDS, store_api.ignore_begin
        )
        now = self._clock.now()
        if page.is_error():
            return await self._on_read_failed(page.error, now)
        self._on_answer(now)
        self._update_era(page.ok.position.era, now)
        if is_full_read:
            self._replace(page.ok.records, now)
        else:
            self._update(page.ok.records, now)
        self._position = page.ok.position
        if not page.ok.incomplete:
            self._registry.on_complete_read(began)
            self._expire(now)
            self._complete_read.set()
            self._complete_read = anyio.Event()
        if page.ok.records:
            self._on_change()
        return page.ok.incomplete and bool(page.ok.records)

    async def _read(self, on_begin: abc.Callable[[], None]) -> _Page:
        """Read the whole list, or its changes since the last time."""
        deadline = self._clock.now() + self._reachability.answer_seconds
        if self._position is None:
            return await self._store.newest(self._topic, deadline, on_begin)
        return await self._store.read(
            self._topic, self._position, 0.0, deadline, on_begin=on_begin
        )

    def _on_answer(self, now: float) -> None:
        if self._reachability.on_answer() > MIN_OUTAGE_SECONDS:
            self._registry.on_store_available(now)

    def _update_era(self, era: int, now: float) -> None:
        if self._era and era > self._era:
            self._registry.on_store_restored(now)
            _SERVERS_LOG.write('restored', era=era)
        self._era = max(self._era, era)

    async def _on_read_failed(
        self, error: store_api.StoreError, now: float
    ) -> bool:
        """Read the whole list next if the position is of no use.

        :return: whether to do so at once.
        """
        match error:
            case external_api.Trimmed() | store_api.Restored():
                self._on_answer(now)
            case _:
                await self._reachability.on_failure(error)
                return False
        self._position = None
        return True

    def _expire(self, now: float) -> None:
        for server_id in self._registry.expire(now):
            self._metrics.departed('list')
            _SERVERS_LOG.write('removed', server=server_id, lapsed=True)

    def _replace(
        self, records: tuple[store_api.NewestRecord, ...], now: float
    ) -> None:
        entries = [
            entry for record in records if (entry := self._entry(record))
        ]
        changes = self._registry.replace(entries, now)
        for server_id, change in changes.items():
            self._log_change(server_id, change)

    def _update(
        self, records: tuple[store_api.NewestRecord, ...], now: float
    ) -> None:
        for record in records:
            if record.key and not record.value:
                self._unreadable.pop(record.key, None)
                change = self._registry.remove(record.key, now)
                self._log_change(record.key, change)
                continue
            entry = self._entry(record)
            if entry is not None:
                change = self._registry.update(entry, now)
            else:
                change = self._registry.withdraw(record.key, now)
            self._log_change(record.key, change)

    def _entry(
        self, record: store_api.NewestRecord
    ) -> fleet_api.ServerEntry | None:
        """Return a server's entry, ``None`` if it names none to use.

        Whatever an entry holds, the others are still followed.
        """
        if not record.key or not record.value:
            return None
        try:
            decoded = self._decode(record.key, record.value)
        except Exception as error:
            self._on_unreadable(record.key, f'{type(error).__name__}: {error}')
            return None
        if decoded.is_error():
            self._on_unreadable(record.key, decoded.error)
            return None
        self._unreadable.pop(record.key, None)
        return decoded.ok

    def _on_unreadable(self, server_id: str, reason: str) -> None:
        """Count an unreadable entry, and log it if its reason is new."""
        self._metrics.entry_unreadable()
        reason = reason[: decoding.MAX_REASON_CHARACTERS]
        if self._unreadable.pop(server_id, None) != reason:
            _SERVERS_LOG.write('unreadable', server=server_id, reason=reason)
        self._unreadable[server_id] = reason
        if len(self._unreadable) > MAX_UNREADABLE:
            del self._unreadable[next(iter(self._unreadable))]

    def _log_change(self, server_id: str, change: registries.Change) -> None:
        if change in (registries.Change.SAME, registries.Change.STALE):
            return
        if change in (registries.Change.LEAVING, registries.Change.REMOVED):
            self._metrics.departed('list')
        server = self._registry.get(server_id)
        _SERVERS_LOG.write(
            change.value,
            server=server_id,
            service=server.entry.service if server else '',
            report=server.entry.report_number if server else 0,
        )
