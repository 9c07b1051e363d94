"""Writes checkpoints of a followed stream before its entries expire."""

from __future__ import annotations

import typing
import uuid

import anyio

from . import api
from . import checkpoint

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..external import api as external_api
    from . import follower as followers

__all__ = ['Checkpointer']

CHECK_SECONDS: typing.Final = 5.0
APPEND_SECONDS: typing.Final = 5.0
EVERY_ENTRIES: typing.Final = 2000
EVERY_SECONDS: typing.Final = 600.0


class Checkpointer:
    """Appends a checkpoint after so many entries or so much time."""

    def __init__(
        self,
        follower: followers.Follower,
        log: external_api.Log,
        clock: clocks.Clock,
        is_writer: abc.Callable[[], bool],
        every_entries: int = EVERY_ENTRIES,
        every_seconds: float = EVERY_SECONDS,
        part_bytes: int = checkpoint.MAX_PART_BYTES,
    ) -> None:
        """Make a checkpointer.

        :param is_writer: whether this instance should write; a wrong answer
            costs a needless or a later checkpoint, nothing else.
        :param every_seconds: well below the log's retention time.
        """
        self._follower = follower
        self._log = log
        self._clock = clock
        self._is_writer = is_writer
        self._every_entries = every_entries
        self._every_seconds = every_seconds
        self._part_bytes = part_bytes
        self._due_at = clock.now() + every_seconds

    async def run(self) -> typing.NoReturn:
        """Write checkpoints for ever."""
        while True:
            await anyio.sleep(CHECK_SECONDS)
            await self.step()

    async def step(self) -> bool:
        """Write a checkpoint if one is due.

        :return: whether one was written.
        """
        if not self._is_writer() or not self._due():
            return False
        await self._follower.refresh_checkpoints()
        if not self._due():
            self._due_at = self._clock.now() + self._every_seconds
            return False
        return await self._write()

    def _due(self) -> bool:
        behind = self._follower.offset - self._follower.newest_checkpoint
        if not self._follower.caught_up or self._follower.offset < 0:
            return False
        return (
            behind >= self._every_entries or self._clock.now() >= self._due_at
        )

    async def _write(self) -> bool:
        snapshot = api.make_snapshot(
            self._follower.stream, self._follower.state
        )
        parts = checkpoint.split(uuid.uuid4().hex, snapshot, self._part_bytes)
        stream = checkpoint.checkpoint_stream(self._follower.stream)
        for part in parts:
            deadline = self._clock.now() + APPEND_SECONDS
            result = await self._log.append(stream, part, deadline)
            if result.is_error():
                return False
        self._due_at = self._clock.now() + self._every_seconds
        return True
