"""Follows the configuration and the list of servers in the store."""

from __future__ import annotations

import typing

import anyio

from ..external import api as external_api
from ..fleet import registry as registries
from ..observe import logs
from . import store_api
from . import versions as configuration_versions

if typing.TYPE_CHECKING:
    from collections import abc

    import expression

    from .. import clock as clocks
    from ..fleet import api as fleet_api
    from . import metrics as gateway_metrics
    from ..routes import api as routes_api

__all__ = ['ConfigurationWatch', 'ServerWatch']

_CONFIGURATION_LOG: typing.Final = logs.ComponentLog('configuration')
_SERVERS_LOG: typing.Final = logs.ComponentLog('servers')
_STORE_LOG: typing.Final = logs.ComponentLog('store')

# A poll's answer may be lost without an error. Peers then report the newer
# version; without peers, this time limits the delay.
POLL_SECONDS: typing.Final = 5.0
CALL_TIMEOUT_SECONDS: typing.Final = 1.0
FIRST_BACKOFF_SECONDS: typing.Final = 0.1
MAX_BACKOFF_SECONDS: typing.Final = 0.8
# Entries of servers do not expire in shorter outages.
MIN_OUTAGE_SECONDS: typing.Final = 1.0
# The least time between log lines about unreadable entries.
UNREADABLE_INTERVAL_SECONDS: typing.Final = 10.0

# The outcome of a poll that received no record; counted but not logged.
_IDLE: typing.Final = 'idle'


class _StoreReachability:
    """Records whether the store answers; logs changes and backs off."""

    def __init__(
        self,
        name: str,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._name = name
        self._clock = clock
        self._metrics = metrics
        self._unavailable_since: float | None = None
        self._backoff = FIRST_BACKOFF_SECONDS

    @property
    def unavailable(self) -> bool:
        """Whether the last call failed."""
        return self._unavailable_since is not None

    def on_answer(self) -> float:
        """Record an answer; return the seconds of the outage before."""
        unavailable_since, self._unavailable_since = (
            self._unavailable_since,
            None,
        )
        self._backoff = FIRST_BACKOFF_SECONDS
        if unavailable_since is None:
            return 0.0
        seconds = self._clock.now() - unavailable_since
        _STORE_LOG.write(
            'regained', watch=self._name, seconds=round(seconds, 3)
        )
        return seconds

    async def on_failure(self, error: store_api.StoreError) -> None:
        """Record a failed call and wait before the next one."""
        reason = _reason(error)
        self._metrics.store_failed(reason)
        if self._unavailable_since is None:
            self._unavailable_since = self._clock.now()
            _STORE_LOG.write('lost', watch=self._name, reason=reason)
        await anyio.sleep(self._backoff)
        self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)


def _reason(error: store_api.StoreError) -> str:
    if isinstance(error, external_api.Trimmed):
        return type(error).__name__
    return error.reason


class ConfigurationWatch:
    """Activates each higher version of the configuration."""

    def __init__(
        self,
        store: store_api.Store,
        topic: store_api.Topic,
        key: str,
        decode: abc.Callable[
            [bytes], expression.Result[routes_api.Configuration, str]
        ],
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
        on_change: abc.Callable[[routes_api.Configuration], None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._key = key
        self._decode = decode
        self._clock = clock
        self._on_change = on_change
        self._reachability = _StoreReachability(
            'configuration', clock, metrics
        )
        self._offset: int | None = None
        self._versions = configuration_versions.ConfigurationVersions()
        self._poll_scope: anyio.CancelScope | None = None
        self._metrics = metrics
        self._add_gauges()

    @property
    def store_unavailable(self) -> bool:
        """Whether the last read of the store failed."""
        return self._reachability.unavailable

    @property
    def version(self) -> int:
        """The active version, -1 before the first."""
        return self._versions.active

    @property
    def versions(self) -> configuration_versions.ConfigurationVersions:
        """The versions that are active and known."""
        return self._versions

    def on_peer_version(self, version: int) -> None:
        """Read again at once if a peer has a newer version."""
        if self._versions.on_heard_of(version, self._clock.now()):
            _CONFIGURATION_LOG.write(
                'behind', version=self.version, heard_of=version
            )
        if version > self.version and self._poll_scope is not None:
            self._poll_scope.cancel()
            self._poll_scope = None

    async def run(self) -> typing.NoReturn:
        """Follow the configuration until cancelled."""
        while True:
            with anyio.CancelScope() as scope:
                self._poll_scope = scope
                await self.step()
            if scope.cancelled_caught:
                # The answer of the cancelled poll is lost: read all records.
                self._offset = None

    async def step(self) -> None:
        """Read once; after the first time, wait for a change."""
        kind = 'newest' if self._offset is None else 'poll'
        began = self._clock.now()
        try:
            page = await self._read()
        except anyio.get_cancelled_exc_class():
            self._record_read(kind, 'cancelled', 0, began)
            raise
        if page.is_error():
            self._record_read(kind, _reason(page.error), 0, began)
            if isinstance(page.error, external_api.Trimmed):
                self._offset = None
            await self._reachability.on_failure(page.error)
            return
        self._reachability.on_answer()
        before = self.version
        for record in page.ok.records:
            if record.key == self._key and record.value:
                self._activate(record.value)
        self._offset = page.ok.next_offset
        outcome = 'applied' if self.version > before else 'unchanged'
        if kind == 'poll' and not page.ok.records:
            outcome = _IDLE
        size = sum(len(record.value) for record in page.ok.records)
        self._record_read(kind, outcome, size, began)

    async def _read(
        self,
    ) -> expression.Result[store_api.Records, store_api.StoreError]:
        now = self._clock.now()
        if self._offset is None:
            return await self._store.newest(
                self._topic, now + CALL_TIMEOUT_SECONDS
            )
        return await self._store.read(
            self._topic,
            self._offset,
            POLL_SECONDS,
            now + POLL_SECONDS + CALL_TIMEOUT_SECONDS,
        )

    def _record_read(
        self, kind: str, outcome: str, size: int, began: float
    ) -> None:
        self._metrics.configuration_read(kind, outcome, size)
        if outcome == _IDLE:
            return
        _CONFIGURATION_LOG.write(
            'read',
            kind=kind,
            outcome=outcome,
            bytes=size,
            seconds=round(self._clock.now() - began, 3),
        )

    def _activate(self, value: bytes) -> None:
        decoded = self._decode(value)
        if decoded.is_error():
            _CONFIGURATION_LOG.write('unreadable', reason=decoded.error)
            return
        configuration = decoded.ok
        before = self.version
        if configuration.version <= before:
            return
        behind_seconds = self._versions.on_active(
            configuration.version, self._clock.now()
        )
        self._on_change(configuration)
        _CONFIGURATION_LOG.write(
            'in_force',
            version=configuration.version,
            before=before,
            routes=len(configuration.routes),
        )
        if behind_seconds is not None:
            _CONFIGURATION_LOG.write(
                'current',
                version=configuration.version,
                seconds=round(behind_seconds, 3),
            )

    def _add_gauges(self) -> None:
        versions = self._versions
        self._metrics.gauge(
            'gateway_configuration_version',
            'The active version of the configuration',
            lambda: versions.active,
        )
        self._metrics.gauge(
            'gateway_configuration_newest_version',
            'The newest known version of the configuration',
            lambda: versions.newest,
        )
        self._metrics.gauge(
            'gateway_configuration_behind_seconds',
            'How long a newer configuration is known but not active',
            lambda: versions.behind_seconds(self._clock.now()),
        )


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
        self._reachability = _StoreReachability('servers', clock, metrics)
        self._offset: int | None = None
        self._read_at = float('-inf')
        self._unreadable_logged_at = float('-inf')

    @property
    def read_at(self) -> float:
        """When the last successful read of the list began."""
        return self._read_at

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
        deadline = began + CALL_TIMEOUT_SECONDS
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
        for server_id in self._registry.expire(now):
            _SERVERS_LOG.write('removed', server=server_id, lapsed=True)
        self._offset = page.ok.next_offset
        self._read_at = began
        if page.ok.records:
            self._on_change()
        return page.ok.incomplete and bool(page.ok.records)

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
