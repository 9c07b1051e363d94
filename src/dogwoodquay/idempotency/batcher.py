"""Appends the entries of one shard in batches, one append at a time."""

from __future__ import annotations

import collections
import dataclasses
import typing

import anyio

from . import entries
from ..external import api as external_api

if typing.TYPE_CHECKING:
    from collections import abc

    import expression

    from .. import clock as clocks
    from ..journal import api as journal_api
    from ..journal import follower as followers

__all__ = ['Appender', 'Batcher', 'PendingEntry']

APPEND_TIMEOUT_SECONDS: typing.Final = 2.0
RETRY_DELAY_SECONDS: typing.Final = 0.25
MAX_DEFINITE_FAILURES: typing.Final = 2
MAX_AMBIGUOUS_FAILURES: typing.Final = 3
MAX_BATCH_ENTRIES: typing.Final = 200
MAX_BATCH_BYTES: typing.Final = 200_000
MAX_WAITING_ENTRIES: typing.Final = 20_000
_ENTRY_BYTES: typing.Final = 150


class Appender(typing.Protocol):
    """Appends records to a log."""

    async def append(
        self, stream: str, payload: bytes, deadline: float
    ) -> expression.Result[int, external_api.LogError]:
        """Append one record."""


@dataclasses.dataclass(eq=False, slots=True)
class PendingEntry:
    """An entry that is being appended to the log.

    ``append_ended`` is set after a successful append or after too many failed
    ones. ``may_be_on_log`` is false while the entry is certainly not on the
    log. ``may_be_duplicated`` is set when an entry that may be on the log is
    appended again. ``dropped`` entries are not appended any more; ``decided``
    entries have their verdict.
    """

    entry: entries.ClaimEntry
    appended: bool = False
    append_ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    failures: int = 0
    may_be_on_log: bool = False
    may_be_duplicated: bool = False
    queued: bool = True
    dropped: bool = False
    decided: bool = False


class Batcher:
    """Appends waiting entries in batches at a limited rate.

    :param interval: returns the minimum seconds between two appends.
    """

    def __init__(
        self,
        log: Appender,
        follower: followers.Follower,
        clock: clocks.Clock,
        interval: abc.Callable[[], float],
    ) -> None:
        self._log = log
        self._follower = follower
        self._clock = clock
        self._interval = interval
        self._waiting: collections.deque[PendingEntry] = collections.deque()
        self._entry_added = anyio.Event()
        self._appends = 0
        self._last_append_time = 0.0

    @property
    def appends(self) -> int:
        """The number of appends sent, retries included."""
        return self._appends

    @property
    def waiting(self) -> int:
        """The number of entries that wait for an append."""
        return len(self._waiting)

    def add(self, entry: entries.ClaimEntry) -> PendingEntry | None:
        """Queue an entry and expect a verdict on it.

        :return: ``None`` when the queue is full.
        """
        pending = self.add_without_verdict(entry)
        if pending is not None:
            self._follower.expect(entry.entry_id)
        return pending

    def add_without_verdict(
        self, entry: entries.ClaimEntry
    ) -> PendingEntry | None:
        """Queue an entry without expecting a verdict on it.

        :return: ``None`` when the queue is full.
        """
        if len(self._waiting) >= MAX_WAITING_ENTRIES:
            return None
        pending = PendingEntry(entry)
        self._waiting.append(pending)
        self._entry_added.set()
        return pending

    def requeue(self, pending: PendingEntry) -> None:
        """Queue an entry with an overdue verdict, unless it is queued."""
        if not pending.queued:
            pending.queued = True
            self._waiting.append(pending)
            self._entry_added.set()

    async def verdict(
        self, pending: PendingEntry, deadline: float
    ) -> journal_api.Verdict | None:
        """Return the log's verdict on an entry, ``None`` at the deadline."""
        entry_id = pending.entry.entry_id
        verdict = await self._follower.verdict(entry_id, deadline)
        if verdict is not None:
            pending.decided = True
            self._follower.forget(entry_id)
        return verdict

    async def verdict_unless_failed(
        self, pending: PendingEntry, deadline: float
    ) -> journal_api.Verdict | None:
        """Return the verdict, ``None`` at the deadline or if appends fail."""
        verdict = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_when_failed, pending, tasks.cancel_scope)
            verdict = await self.verdict(pending, deadline)
            tasks.cancel_scope.cancel()
        return verdict

    def drop(self, pending: PendingEntry) -> None:
        """Stop appending an entry; it may already be on the log."""
        pending.dropped = True
        self._follower.forget(pending.entry.entry_id)

    async def run(self) -> typing.NoReturn:
        """Append waiting entries until cancelled."""
        while True:
            await self._wait_for_entry()
            pause = (
                self._last_append_time + self._interval() - self._clock.now()
            )
            await anyio.sleep(max(0.0, pause))
            batch = self._next_batch()
            if batch and not await self._append(batch):
                await anyio.sleep(RETRY_DELAY_SECONDS)

    async def _wait_for_entry(self) -> None:
        while not self._waiting:
            self._entry_added = anyio.Event()
            await self._entry_added.wait()

    def _next_batch(self) -> list[PendingEntry]:
        batch: list[PendingEntry] = []
        size = 0
        while self._waiting and len(batch) < MAX_BATCH_ENTRIES:
            size += _size(self._waiting[0].entry)
            if batch and size > MAX_BATCH_BYTES:
                break
            pending = self._waiting.popleft()
            pending.queued = False
            if not pending.dropped and not pending.decided:
                batch.append(pending)
        return batch

    async def _append(self, batch: list[PendingEntry]) -> bool:
        payload = entries.CODEC.encode(tuple(item.entry for item in batch))
        self._appends += 1
        self._last_append_time = self._clock.now()
        previous_flags = [pending.may_be_on_log for pending in batch]
        for pending in batch:
            pending.may_be_duplicated = pending.may_be_on_log
            pending.may_be_on_log = True
        result = await self._log.append(
            self._follower.stream,
            payload,
            self._last_append_time + APPEND_TIMEOUT_SECONDS,
        )
        if result.is_ok():
            for pending in batch:
                pending.appended = True
                pending.append_ended.set()
            return True
        if not isinstance(result.error, external_api.Ambiguous):
            for pending, previous in zip(batch, previous_flags, strict=True):
                pending.may_be_on_log = previous
        for pending in batch:
            pending.queued = True
            _record_failure(pending)
        self._waiting.extendleft(reversed(batch))
        return False


async def _cancel_when_failed(
    pending: PendingEntry, scope: anyio.CancelScope
) -> None:
    await pending.append_ended.wait()
    if not pending.appended:
        scope.cancel()


def _record_failure(pending: PendingEntry) -> None:
    pending.failures += 1
    limit = (
        MAX_AMBIGUOUS_FAILURES
        if pending.may_be_on_log
        else MAX_DEFINITE_FAILURES
    )
    if pending.failures >= limit:
        pending.append_ended.set()


def _size(entry: entries.ClaimEntry) -> int:
    if isinstance(entry, entries.Settled) and entry.answer is not None:
        return _ENTRY_BYTES + 2 * len(entry.answer.body)
    return _ENTRY_BYTES
