"""A simulated log with outages, trimming and delayed appends."""

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
    """Run a coroutine that never suspends and return its result."""
    try:
        call.send(None)
    except StopIteration as end:
        return typing.cast('ResultT', end.value)
    raise AssertionError('the coroutine is suspended')


class LogModel:
    """One stream, its checkpoints and its delayed appends."""

    def __init__(self, stream: str) -> None:
        self.stream = stream
        self.unavailable = False
        self.time = 1_000.0
        self.first_offset = 0
        self.entries: list[external_api.LogEntry] = []
        self.delayed: list[bytes] = []
        self.checkpoints: list[external_api.LogEntry] = []

    @property
    def next_offset(self) -> int:
        """The offset of the next entry."""
        return len(self.entries)

    def store(self, payload: bytes) -> None:
        """Add an entry to the stream."""
        self.time += 1.0
        self.entries.append(
            external_api.LogEntry(self.next_offset, self.time, payload)
        )

    def add_checkpoint(self, payload: bytes) -> None:
        """Add a part of a checkpoint to the stream of checkpoints."""
        offset = len(self.checkpoints)
        self.checkpoints.append(
            external_api.LogEntry(offset, self.time, payload)
        )

    async def append(
        self, stream: str, payload: bytes, deadline: float
    ) -> expression.Result[int, external_api.LogError]:
        """Not used: the fuzzer appends with simulated faults."""
        raise NotImplementedError

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int,
        deadline: float,
        wait: bool = False,
    ) -> expression.Result[external_api.LogPage, external_api.LogError]:
        """Read a page of entries or checkpoint parts."""
        if self.unavailable:
            return expression.Error(external_api.Unavailable('out'))
        if stream == checkpoint.checkpoint_stream(self.stream):
            return expression.Ok(
                external_api.LogPage(
                    tuple(self.checkpoints[offset:]),
                    0,
                    len(self.checkpoints),
                )
            )
        if offset < self.first_offset:
            return expression.Error(external_api.Trimmed(self.first_offset))
        page = tuple(self.entries[offset : offset + limit])
        return expression.Ok(
            external_api.LogPage(page, self.first_offset, self.next_offset)
        )
