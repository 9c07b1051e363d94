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

__all__ = ['Appender', 'Batcher', 'Ticket']

ATTEMPT_SECONDS: typing.Final = 2.0
RETRY_SECONDS: typing.Final = 0.25
FAILURES_SURE: typing.Final = 2
FAILURES_UNSURE: typing.Final = 3
MAX_BATCH_ENTRIES: typing.Final = 200
MAX_BATCH_BYTES: typing.Final = 200_000
MAX_WAITING: typing.Final = 20_000
_ENTRY_BYTES: typing.Final = 150


class Appender(typing.Protocol):
    """What a batcher needs of the log."""

    async def append(
        self, stream: str, payload: bytes, deadline: float
    ) -> expression.Result[int, external_api.LogError]:
        """Append one record."""


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """An entry that waits to be appended, until it is dropped.

    It is ``doubled`` when it was appended again and may land twice.
    ``may_land`` is false as long as the entry is certainly not on the log;
    ``ended`` is set when it is appended, or when appends fail so that there
    is no use in waiting.
    """

    entry: entries.ClaimEntry
    appended: bool = False
    ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    failures: int = 0
    may_land: bool = False
    doubled: bool = False
    queued: bool = True
    dropped: bool = False
    done: bool = False


class Batcher:
    """Appends what waits, not more often than the interval allows.

    :param interval: returns the least seconds between two appends.
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
        self._waiting: collections.deque[Ticket] = collections.deque()
        self._filled = anyio.Event()
        self._appends = 0
        self._appended_at = 0.0

    @property
    def appends(self) -> int:
        """How many appends were sent, retries included."""
        return self._appends

    @property
    def waiting(self) -> int:
        """How many entries are not known to be on the log."""
        return len(self._waiting)

    def add(self, entry: entries.ClaimEntry) -> Ticket | None:
        """Queue an entry whose verdict is wanted.

        :return: ``None`` when too many wait.
        """
        ticket = self.post(entry)
        if ticket is not None:
            self._follower.expect(entry.entry_id)
        return ticket

    def post(self, entry: entries.ClaimEntry) -> Ticket | None:
        """Queue an entry whose verdict nobody waits for."""
        if len(self._waiting) >= MAX_WAITING:
            return None
        ticket = Ticket(entry)
        self._waiting.append(ticket)
        self._filled.set()
        return ticket

    def again(self, ticket: Ticket) -> None:
        """Queue an entry once more whose verdict did not come."""
        if not ticket.queued:
            ticket.queued = True
            self._waiting.append(ticket)
            self._filled.set()

    async def verdict(
        self, ticket: Ticket, deadline: float
    ) -> journal_api.Verdict | None:
        """Return the log's verdict on an entry, if it comes in time."""
        entry_id = ticket.entry.entry_id
        verdict = await self._follower.verdict(entry_id, deadline)
        if verdict is not None:
            ticket.done = True
            self._follower.forget(entry_id)
        return verdict

    async def quick_verdict(
        self, ticket: Ticket, deadline: float
    ) -> journal_api.Verdict | None:
        """Return the verdict, or ``None`` at once when the log is out."""
        verdict = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_when_failed, ticket, tasks.cancel_scope)
            verdict = await self.verdict(ticket, deadline)
            tasks.cancel_scope.cancel()
        return verdict

    def drop(self, ticket: Ticket) -> None:
        """Do not append an entry any more; it may have been already."""
        ticket.dropped = True
        self._follower.forget(ticket.entry.entry_id)

    async def run(self) -> typing.NoReturn:
        """Append for ever."""
        while True:
            await self._wait_for_work()
            pause = self._appended_at + self._interval() - self._clock.now()
            await anyio.sleep(max(0.0, pause))
            batch = self._next_batch()
            if batch and not await self._append(batch):
                await anyio.sleep(RETRY_SECONDS)

    async def _wait_for_work(self) -> None:
        while not self._waiting:
            self._filled = anyio.Event()
            await self._filled.wait()

    def _next_batch(self) -> list[Ticket]:
        batch: list[Ticket] = []
        size = 0
        while self._waiting and len(batch) < MAX_BATCH_ENTRIES:
            size += _size(self._waiting[0].entry)
            if batch and size > MAX_BATCH_BYTES:
                break
            ticket = self._waiting.popleft()
            ticket.queued = False
            if not ticket.dropped and not ticket.done:
                batch.append(ticket)
        return batch

    async def _append(self, batch: list[Ticket]) -> bool:
        payload = entries.CODEC.encode(tuple(t.entry for t in batch))
        self._appends += 1
        self._appended_at = self._clock.now()
        before = [ticket.may_land for ticket in batch]
        for ticket in batch:
            ticket.doubled = ticket.may_land
            ticket.may_land = True
        result = await self._log.append(
            self._follower.stream,
            payload,
            self._appended_at + ATTEMPT_SECONDS,
        )
        if result.is_ok():
            for ticket in batch:
                ticket.appended = True
                ticket.ended.set()
            return True
        if not isinstance(result.error, external_api.Ambiguous):
            for ticket, landed in zip(batch, before, strict=True):
                ticket.may_land = landed
        for ticket in batch:
            ticket.queued = True
            _note_failure(ticket)
        self._waiting.extendleft(reversed(batch))
        return False


async def _cancel_when_failed(
    ticket: Ticket, scope: anyio.CancelScope
) -> None:
    await ticket.ended.wait()
    if not ticket.appended:
        scope.cancel()


def _note_failure(ticket: Ticket) -> None:
    ticket.failures += 1
    limit = FAILURES_UNSURE if ticket.may_land else FAILURES_SURE
    if ticket.failures >= limit:
        ticket.ended.set()


def _size(entry: entries.ClaimEntry) -> int:
    if isinstance(entry, entries.Settled) and entry.answer is not None:
        return _ENTRY_BYTES + 2 * len(entry.answer.body)
    return _ENTRY_BYTES
