"""The platform's log for the fuzzer: outages, trimming, hung appends."""

from __future__ import annotations

import typing

import expression

from dogwoodquay.external import api as external_api
from dogwoodquay.journal import checkpoint

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['LogModel', 'run_now']

ResultT = typing.TypeVar('ResultT')


def run_now(call: abc.Coroutine[None, None, ResultT]) -> ResultT:
    """Run a coroutine that never has to wait."""
    try:
        call.send(None)
    except StopIteration as end:
        return typing.cast('ResultT', end.value)
    raise AssertionError('the call waits')


class LogModel:
    """One stream and its checkpoints."""

    def __init__(self, stream: str) -> None:
        self.stream = stream
        self.out = False
        self.time = 1_000.0
        self.first = 0
        self.entries: list[external_api.LogEntry] = []
        self.hung: list[bytes] = []
        self.checkpoints: list[external_api.LogEntry] = []

    @property
    def next_offset(self) -> int:
        """The offset of the next entry."""
        return len(self.entries)

    def land(self, payload: bytes) -> None:
        """Append an entry."""
        self.time += 1.0
        self.entries.append(
            external_api.LogEntry(self.next_offset, self.time, payload)
        )

    def add_checkpoint(self, payload: bytes) -> None:
        """Append a part of a checkpoint."""
        offset = len(self.checkpoints)
        self.checkpoints.append(
            external_api.LogEntry(offset, self.time, payload)
        )

    async def append(
        self, stream: str, payload: bytes, deadline: float
    ) -> expression.Result[int, external_api.LogError]:
        """Stand unused: the fuzzer appends with faults of its own."""
        raise NotImplementedError

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int,
        deadline: float,
        wait: bool = False,
    ) -> expression.Result[external_api.LogPage, external_api.LogError]:
        """Read from what is still kept."""
        if self.out:
            return expression.Error(external_api.Unavailable('out'))
        if stream == checkpoint.checkpoint_stream(self.stream):
            return expression.Ok(
                external_api.LogPage(
                    tuple(self.checkpoints[offset:]),
                    0,
                    len(self.checkpoints),
                )
            )
        if offset < self.first:
            return expression.Error(external_api.Trimmed(self.first))
        page = tuple(self.entries[offset : offset + limit])
        return expression.Ok(
            external_api.LogPage(page, self.first, self.next_offset)
        )
