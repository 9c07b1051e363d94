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

CHECK_INTERVAL_SECONDS: typing.Final = 5.0
APPEND_TIMEOUT_SECONDS: typing.Final = 5.0
DEFAULT_EVERY_ENTRIES: typing.Final = 2000
DEFAULT_EVERY_SECONDS: typing.Final = 600.0


class Checkpointer:
    """Writes a checkpoint after a number of entries or an interval."""

    def __init__(
        self,
        follower: followers.Follower,
        log: external_api.Log,
        clock: clocks.Clock,
        is_writer: abc.Callable[[], bool],
        every_entries: int = DEFAULT_EVERY_ENTRIES,
        every_seconds: float = DEFAULT_EVERY_SECONDS,
        part_bytes: int = checkpoint.MAX_PART_BYTES,
    ) -> None:
        """Make a checkpointer.

        :param is_writer: returns whether this instance should write; a wrong
            answer only causes a redundant or a delayed checkpoint.
        :param every_seconds: the longest interval between checkpoints, well
            below the log's retention time.
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
        """Write checkpoints until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            await self.step()

    async def step(self) -> bool:
        """Write a checkpoint if one is due.

        :return: whether one was written.
        """
        if not self._is_writer() or not self._is_due():
            return False
        await self._follower.refresh_checkpoints()
        if not self._is_due():
            self._due_at = self._clock.now() + self._every_seconds
            return False
        return await self._write()

    def _is_due(self) -> bool:
        uncovered_entries = (
            self._follower.offset - self._follower.newest_checkpoint
        )
        if not self._follower.caught_up or self._follower.offset < 0:
            return False
        return (
            uncovered_entries >= self._every_entries
            or self._clock.now() >= self._due_at
        )

    async def _write(self) -> bool:
        snapshot = api.make_snapshot(
            self._follower.stream, self._follower.state
        )
        parts = checkpoint.split(uuid.uuid4().hex, snapshot, self._part_bytes)
        stream = checkpoint.checkpoint_stream(self._follower.stream)
        for part in parts:
            deadline = self._clock.now() + APPEND_TIMEOUT_SECONDS
            result = await self._log.append(stream, part, deadline)
            if result.is_error():
                return False
        self._due_at = self._clock.now() + self._every_seconds
        return True
