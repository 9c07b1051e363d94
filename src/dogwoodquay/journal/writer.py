"""Appends entries and returns the verdicts on them."""

from __future__ import annotations

import dataclasses
import typing

import anyio
import expression

from . import entries as journal_entries

if typing.TYPE_CHECKING:
    from .. import clock as clocks
    from . import api
    from ..external import api as external_api
    from . import follower as followers

__all__ = ['Undecided', 'Writer']

ATTEMPT_TIMEOUT_SECONDS: typing.Final = 2.0
READ_BACK_SECONDS: typing.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The entries were not read back by the deadline.

    They may still be appended later.
    """

    reason: str


class Writer(typing.Generic[journal_entries.EntryT]):
    """Appends to a followed stream and reads the entries back."""

    def __init__(
        self,
        log: external_api.Log,
        follower: followers.Follower,
        codec: journal_entries.Codec[journal_entries.EntryT],
        clock: clocks.Clock,
    ) -> None:
        self._log = log
        self._follower = follower
        self._codec = codec
        self._clock = clock
        self._appends = 0

    @property
    def appends(self) -> int:
        """The number of append requests sent, including retries."""
        return self._appends

    async def append(
        self, entries: tuple[journal_entries.EntryT, ...], deadline: float
    ) -> expression.Result[tuple[api.Verdict, ...], Undecided]:
        """Append a batch as one record and wait for its verdicts.

        After a lost answer the log is read for the entries. The same record
        is appended again until it has been read back or the deadline passes;
        the verdict on the first copy is returned.
        """
        ids = tuple(entry.entry_id for entry in entries)
        for entry_id in ids:
            self._follower.expect(entry_id)
        try:
            return await self._append(ids, entries, deadline)
        finally:
            for entry_id in ids:
                self._follower.forget(entry_id)

    async def _append(
        self,
        ids: tuple[str, ...],
        entries: tuple[journal_entries.EntryT, ...],
        deadline: float,
    ) -> expression.Result[tuple[api.Verdict, ...], Undecided]:
        payload = self._codec.encode(entries)
        reason = 'deadline'
        while self._clock.now() < deadline:
            attempt_end = min(
                deadline, self._clock.now() + ATTEMPT_TIMEOUT_SECONDS
            )
            self._appends += 1
            result = await self._log.append(
                self._follower.stream, payload, attempt_end
            )
            wait_end = deadline
            if result.is_error():
                reason = type(result.error).__name__
                wait_end = min(deadline, self._clock.now() + READ_BACK_SECONDS)
            verdicts = await self._read_back(ids, wait_end)
            if verdicts is not None:
                return expression.Ok(verdicts)
            await anyio.sleep(0)
        return expression.Error(Undecided(reason))

    async def _read_back(
        self, ids: tuple[str, ...], deadline: float
    ) -> tuple[api.Verdict, ...] | None:
        verdicts = []
        for entry_id in ids:
            verdict = await self._follower.verdict(entry_id, deadline)
            if verdict is None:
                return None
            verdicts.append(verdict)
        return tuple(verdicts)
