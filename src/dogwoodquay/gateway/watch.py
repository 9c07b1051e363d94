"""Follows the list of servers in the store."""

from __future__ import annotations

import typing

import anyio

from ..external import api as external_api
from ..fleet import registry as registries
from ..observe import logs
from . import reachability

if typing.TYPE_CHECKING:
    from collections import abc

    import expression

    from .. import clock as clocks
    from ..fleet import api as fleet_api
    from . import metrics as gateway_metrics
    from . import store_api

__all__ = ['ServerWatch']

_SERVERS_LOG: typing.Final = logs.ComponentLog('servers')

# The longest time for an answer to begin, within the time to drain.
MAX_ANSWER_SECONDS: typing.Final = 2.0
# Entries of servers do not expire in shorter outages.
MIN_OUTAGE_SECONDS: typing.Final = 1.0
# The least time between log lines about unreadable entries.
UNREADABLE_INTERVAL_SECONDS: typing.Final = 10.0


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
            'servers', clock, metrics, MAX_ANSWER_SECONDS
        )
        self._offset: int | None = None
        self._read_at = float('-inf')
        self._unreadable_logged_at = float('-inf')
        self._complete_read_at = float('-inf')
        self._complete_read = anyio.Event()

    @property
    def read_at(self) -> float:
        """When the last successful read of the list began."""
        return self._read_at

    async def wait_read(self, after: float, deadline: float) -> bool:
        """Wait for a complete read of the list that began after a time.

        :return: whether one has ended by the deadline.
        """
        while self._complete_read_at <= after:
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
            await anyio.sleep(max(0.0, due - self._clock.now()))

    async def step(self) -> bool:
        """Read the list, or its changes since the last time, once.

        :return: whether there are further changes already.
        """
        began = self._clock.now()
        deadline = began + self._reachability.answer_seconds
        is_full_read = self._offset is None
        if self._offset is None:
            page = await self._store.newest(self._topic, deadline)
        else:
            page = await self._store.read(
                self._topic, self._offset, 0.0, deadline
            )
        if page.is_error():
            if isinstance(page.error, external_api.Trimmed):
                self._offset = None
            await self._reachability.on_failure(page.error)
            return False
        now = self._clock.now()
        if self._reachability.on_answer() > MIN_OUTAGE_SECONDS:
            self._registry.on_store_available(now)
        if is_full_read:
            self._replace(page.ok.records, now)
        else:
            self._update(page.ok.records, now)
        self._offset = page.ok.next_offset
        self._read_at = began
        if not page.ok.incomplete:
            self._expire(now)
            self._complete_read_at = began
            self._complete_read.set()
            self._complete_read = anyio.Event()
        if page.ok.records:
            self._on_change()
        return page.ok.incomplete and bool(page.ok.records)

    def _expire(self, now: float) -> None:
        for server_id in self._registry.expire(now):
            _SERVERS_LOG.write('removed', server=server_id, lapsed=True)

    def _replace(
        self, records: tuple[store_api.NewestRecord, ...], now: float
    ) -> None:
        entries = [
            entry for record in records if (entry := self._entry(record, now))
        ]
        changes = self._registry.replace(entries, now)
        for server_id, change in changes.items():
            self._log_change(server_id, change)

    def _update(
        self, records: tuple[store_api.NewestRecord, ...], now: float
    ) -> None:
        for record in records:
            if record.key and not record.value:
                change = self._registry.remove(record.key, now)
                self._log_change(record.key, change)
                continue
            entry = self._entry(record, now)
            if entry is not None:
                change = self._registry.update(entry, now)
            else:
                change = self._registry.withdraw(record.key, now)
            self._log_change(record.key, change)

    def _entry(
        self, record: store_api.NewestRecord, now: float
    ) -> fleet_api.ServerEntry | None:
        if not record.key or not record.value:
            return None
        decoded = self._decode(record.key, record.value)
        if decoded.is_ok():
            return decoded.ok
        if now - self._unreadable_logged_at > UNREADABLE_INTERVAL_SECONDS:
            self._unreadable_logged_at = now
            _SERVERS_LOG.write(
                'unreadable', server=record.key, reason=decoded.error
            )
        return None

    def _log_change(self, server_id: str, change: registries.Change) -> None:
        if change in (registries.Change.SAME, registries.Change.STALE):
            return
        server = self._registry.get(server_id)
        _SERVERS_LOG.write(
            change.value,
            server=server_id,
            service=server.entry.service if server else '',
            report=server.entry.report_number if server else 0,
        )
