"""Keeps verdicts on requests, and crashes, in the store.

The store outlives the instances, which may all end at once.
"""

from __future__ import annotations

import typing

import anyio

from .. import clock as clocks
from ..observe import logs
from ..quarantine import records
from . import reachability

if typing.TYPE_CHECKING:
    from collections import abc

    from . import crashes
    from . import metrics as gateway_metrics
    from . import store_api

__all__ = ['CrashRecords']

_LOG: typing.Final = logs.ComponentLog('crash_records')

STEP_SECONDS: typing.Final = 0.1
CALL_SECONDS: typing.Final = 1.0
# The time between reads before the first one has an answer.
FIRST_READ_SECONDS: typing.Final = 0.4
# After another call that failed, the next one waits for so long, twice as long
# after each further one.
FIRST_BACKOFF_SECONDS: typing.Final = 0.5
MAX_BACKOFF_SECONDS: typing.Final = 2.0
# The time of day counts as unchanged within this, so that records stay equal.
SAME_OFFSET_SECONDS: typing.Final = 1.0


class _Source(typing.NamedTuple):
    """What a read of the records was made for.

    It is made again by a new owner, which then writes what is missing, and
    in a new era of the store, which may have lost records.
    """

    is_owner: bool
    era: int


class _State(typing.NamedTuple):
    """What the records of a write depend on.

    A verdict in use is written again in each ``step`` of time.
    """

    revision: int
    step: float


class CrashRecords:
    """Reads the records at the start; who decides writes changes."""

    def __init__(
        self,
        store: store_api.Store,
        topic: store_api.Topic,
        watch: crashes.CrashWatch,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
        on_known: abc.Callable[[], None],
        unix_clock: clocks.Clock | None = None,
    ) -> None:
        """Create a client of the records.

        Times in records are those of the time of day, as another machine may
        read them; the watch goes by ``clock``, which starts with the machine.

        :param on_known: called as soon as ``known`` is true.
        """
        self._store = store
        self._topic = topic
        self._watch = watch
        self._clock = clock
        self._metrics = metrics
        self._stored = records.RecordSet()
        self._read_for: _Source | None = None
        self._written = _State(0, 0.0)
        self._on_known = on_known
        self._unix_clock = unix_clock or clocks.UnixClock()
        self._offset = self._unix_clock.now() - clock.now()

    @property
    def known(self) -> bool:
        """Whether the records, or another instance, told what they hold."""
        return self._read_for is not None or self._watch.informed

    async def run(self) -> typing.NoReturn:
        """Read and write until cancelled."""
        while not await self.step() and not self.known:
            await anyio.sleep(FIRST_READ_SECONDS)
        self._on_known()
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            if await self.step():
                backoff = FIRST_BACKOFF_SECONDS
                await anyio.sleep(STEP_SECONDS)
            else:
                await anyio.sleep(backoff)
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    async def step(self) -> bool:
        """Read or write what is due; return whether no call failed."""
        if self._read_is_due and not await self._read():
            return False
        if not self._watch.decides or self._state == self._written:
            return True
        return await self._write()

    @property
    def _state(self) -> _State:
        step = 0.0
        if self._watch.has_verdicts:
            step = self._clock.now() // records.SEEN_STEP_SECONDS
        return _State(self._watch.revision, step)

    @property
    def _read_is_due(self) -> bool:
        if self._read_for is None:
            return True
        if not self._watch.is_owner:
            return False
        return self._read_for != _Source(True, self._store.era)

    async def _read(self) -> bool:
        """Add what the store holds to what this instance knows."""
        is_owner = self._watch.is_owner
        deadline = self._clock.now() + CALL_SECONDS
        page = await self._store.newest(self._topic, deadline)
        if page.is_error():
            self._on_failure('read_failed', page.error)
            return False
        self._metrics.crash_records_called('read')
        stored = {item.key: item.value for item in page.ok.records}
        now = self._clock.now()
        kept, errors = records.decode(
            stored.values(), now + self._unix_offset()
        )
        for error in errors:
            _LOG.write('unreadable', reason=error)
        if stored:
            _LOG.write(
                'read', verdicts=len(kept.verdicts), crashes=len(kept.crashes)
            )
        self._stored.on_read(stored)
        self._read_for = _Source(is_owner, self._store.era)
        self._watch.restore(records.shifted(kept, -self._unix_offset()))
        return True

    async def _write(self) -> bool:
        """Write changes; only the owner knows what is to be deleted."""
        state = self._state
        wanted = records.encode(
            records.shifted(self._watch.kept, self._unix_offset())
        )
        changes = self._stored.changes(wanted, deletes=self._watch.is_owner)
        if not changes:
            self._written = state
            return True
        answer = await self._store.write(
            self._topic, changes, self._clock.now() + CALL_SECONDS
        )
        if answer.is_error():
            self._on_failure('write_failed', answer.error)
            return False
        self._metrics.crash_records_called('written')
        self._stored.on_written(changes)
        return True

    def _unix_offset(self) -> float:
        """Return the time of day less the time of the instance's clock."""
        offset = self._unix_clock.now() - self._clock.now()
        if abs(offset - self._offset) > SAME_OFFSET_SECONDS:
            self._offset = offset
        return self._offset

    def _on_failure(self, outcome: str, error: store_api.StoreError) -> None:
        self._metrics.crash_records_called(outcome)
        _LOG.write(outcome, reason=reachability.reason_of(error))
