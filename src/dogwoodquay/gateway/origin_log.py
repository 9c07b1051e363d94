"""Keeps the versions that began streams in the log of the store.

The log outlives the instances, which may all end at once.
"""

from __future__ import annotations

import collections
import itertools
import typing

import anyio

from ..external import api as external_api
from ..observe import logs
from . import origin_batch
from . import origin_table
from . import reachability
from . import store_api

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from . import messages
    from . import metrics as gateway_metrics

__all__ = ['TOPIC', 'OriginLog']

_LOG: typing.Final = logs.ComponentLog('origin_log')

TOPIC: typing.Final = store_api.Topic('stream-origins')
# The time between two appends, and while a service has several versions.
INTERVAL_SECONDS: typing.Final = 0.2
SHORT_INTERVAL_SECONDS: typing.Final = 0.05
# Whether records are urgent is determined anew after this time.
URGENT_SECONDS: typing.Final = 0.25
APPEND_TIMEOUT_SECONDS: typing.Final = 1.0
# After a call that failed, the next one waits for so long.
BACKOFF_SECONDS: typing.Final = 0.5
READ_BACKOFF_SECONDS: typing.Final = 0.2
READ_TIMEOUT_SECONDS: typing.Final = 0.5
# The most streams of an append, which have to fit in a record.
MAX_APPENDED: typing.Final = 10_000
# The most streams that wait to be appended; the oldest are dropped.
MAX_PENDING: typing.Final = 100_000
# The most streams that are remembered to be appended again to a store that
# has been restored.
MAX_REMEMBERED: typing.Final = 20_000
# Nothing tells the age of a record that was read.
KEEP_SECONDS: typing.Final = 60.0


class _Appended(typing.NamedTuple):
    """Rows of an append, and until when they are remembered."""

    until: float
    rows: tuple[messages.OriginRow, ...]


class OriginLog:
    """Appends origins of streams in batches and reads those of others.

    The first origin of a stream, service and owner wins, as in memory, so
    that late and repeated records do no harm.
    """

    def __init__(
        self,
        store: store_api.Log,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
        several_versions: abc.Callable[[], bool],
    ) -> None:
        """Create a client of the log.

        :param several_versions: returns whether streams of several versions
            of a service may exist.
        """
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._several_versions = several_versions
        self._failing = False
        self._urgent = False
        self._urgent_until = float('-inf')
        self._pending: dict[str, messages.OriginRow] = {}
        self._awaited: dict[str, list[abc.Callable[[], None]]] = {}
        self._put = anyio.Event()
        self._appended_at = float('-inf')
        self._table = origin_table.OriginTable()
        self._position = store_api.START
        self._era = 0
        self._appended: collections.deque[_Appended] = collections.deque()
        self._appended_rows = 0
        self._reading = anyio.Lock()
        self._reads = 0
        self._complete_read = 0
        self._read_failed_at = float('-inf')

    @property
    def urgent(self) -> bool:
        """Whether a service has had several versions lately.

        The list of servers does not tell then where a stream began, so that
        records are appended at short intervals.
        """
        now = self._clock.now()
        if now >= self._urgent_until:
            self._urgent = self._several_versions()
            self._urgent_until = now + URGENT_SECONDS
        return self._urgent

    @property
    def complete(self) -> bool:
        """Whether the last read has reached the end of the log."""
        return 0 < self._reads == self._complete_read

    @property
    def failing(self) -> bool:
        """Whether the last append failed, which is then repeated."""
        return self._failing

    def put(
        self,
        row: messages.OriginRow,
        on_appended: abc.Callable[[], None] | None = None,
    ) -> None:
        """Append the origin of a stream soon.

        :param on_appended: called once the store has acknowledged the row;
            never if the row is dropped.
        """
        if len(self._pending) >= MAX_PENDING:
            dropped = next(iter(self._pending))
            del self._pending[dropped]
            self._awaited.pop(dropped, None)
        self._pending.setdefault(row.stream_id, row)
        if on_appended is not None:
            self._awaited.setdefault(row.stream_id, []).append(on_appended)
        self._put.set()

    async def run(self) -> typing.NoReturn:
        """Append what was put until cancelled."""
        while True:
            if not self._pending:
                self._put = anyio.Event()
                await self._put.wait()
            seconds = INTERVAL_SECONDS
            if self.urgent:
                seconds = SHORT_INTERVAL_SECONDS
            due = self._appended_at + seconds
            await anyio.sleep(max(0.0, due - self._clock.now()))
            if not await self._append(
                self._clock.now() + APPEND_TIMEOUT_SECONDS
            ):
                await anyio.sleep(BACKOFF_SECONDS)

    async def flush(self, deadline: float) -> None:
        """Append all that was put, before a planned stop."""
        while self._pending and await self._append(deadline):
            pass

    async def find(
        self, stream_id: str, deadline: float, owner: str = ''
    ) -> tuple[origin_table.Origin, ...]:
        """Return the origins of a stream, one for each service and owner.

        The log is read as of now if none of the owner is known yet. Callers
        that ask during a read share the next one.
        """
        key = origin_batch.key_of(stream_id)
        now = self._clock.now()
        origins = self._table.find(key, now)
        if any(origin.owner == owner for origin in origins):
            return origins
        earlier_reads = self._reads
        with anyio.move_on_after(max(0.0, deadline - now)):
            async with self._reading:
                if self._complete_read <= earlier_reads:
                    await self._read(deadline)
        return self._table.find(key, self._clock.now())

    async def _append(self, deadline: float) -> bool:
        """Append a batch; what may not have been appended is kept.

        :return: whether the batch was appended.
        """
        batch = dict(itertools.islice(self._pending.items(), MAX_APPENDED))
        if not batch:
            return True
        self._appended_at = self._clock.now()
        answer = await self._store.append(
            TOPIC, origin_batch.encode(batch.values()), deadline
        )
        self._failing = answer.is_error()
        if answer.is_error():
            self._metrics.origin_log_called('append_failed')
            _LOG.write(
                'append_failed', rows=len(batch), reason=f'{answer.error}'
            )
            return False
        self._metrics.origin_log_called('appended')
        for stream_id in batch:
            self._pending.pop(stream_id, None)
            for on_appended in self._awaited.pop(stream_id, ()):
                on_appended()
        self._on_appended(tuple(batch.values()))
        return True

    def _on_appended(self, rows: tuple[messages.OriginRow, ...]) -> None:
        """Append earlier rows again if the store has been restored."""
        era = self._store.era
        if self._era and era > self._era:
            lost = [row for item in self._appended for row in item.rows]
            self._appended.clear()
            self._appended_rows = 0
            for row in lost:
                self.put(row)
            _LOG.write('restored', era=era, rows=len(lost))
        self._era = max(self._era, era)
        now = self._clock.now()
        self._appended.append(_Appended(now + KEEP_SECONDS, rows))
        self._appended_rows += len(rows)
        while (
            self._appended[0].until <= now
            or self._appended_rows > MAX_REMEMBERED
        ):
            self._appended_rows -= len(self._appended.popleft().rows)
            if not self._appended:
                break

    async def _read(self, deadline: float) -> None:
        """Read the records since the last time, to the end of the log."""
        now = self._clock.now()
        self._reads += 1
        if now < self._read_failed_at + READ_BACKOFF_SECONDS:
            return
        deadline = min(deadline, now + READ_TIMEOUT_SECONDS)
        while await self._read_page(deadline):
            pass

    async def _read_page(self, deadline: float) -> bool:
        """Read a part of the log; return whether there is more of it."""
        page = await self._store.read_log(TOPIC, self._position, deadline)
        if page.is_error():
            return self._on_read_failed(page.error)
        self._metrics.origin_log_called('read')
        now = self._clock.now()
        for record in page.ok.records:
            self._add(record, now)
        self._position = page.ok.position
        if page.ok.position.offset < page.ok.end_offset:
            return bool(page.ok.records)
        self._complete_read = self._reads
        return False

    def _on_read_failed(self, error: store_api.StoreError) -> bool:
        """Go on at the oldest record if the next one is not there.

        Earlier ones have expired, or the store was restored and lacks it.
        Records that are read again do no harm.
        """
        match error:
            case external_api.Trimmed(first_offset):
                self._metrics.origin_log_called('trimmed')
                if first_offset != self._position.offset:
                    self._position = store_api.Position(0, first_offset)
                    return True
            case store_api.Restored(era):
                _LOG.write('restored', era=era, offset=self._position.offset)
                self._position = store_api.START
                return True
            case _:
                pass
        reason = reachability.reason_of(error)
        self._metrics.origin_log_called('read_failed')
        _LOG.write('read_failed', offset=self._position.offset, reason=reason)
        self._read_failed_at = self._clock.now()
        return False

    def _add(self, record: bytes, now: float) -> None:
        try:
            found = origin_batch.decode(record)
        except ValueError as error:
            _LOG.write('unreadable', reason=str(error))
            return
        for key, origin in found:
            self._table.put(key, origin, KEEP_SECONDS, now)
