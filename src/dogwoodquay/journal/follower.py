"""Follows a stream: replays it, and recovers from outages and gaps."""

from __future__ import annotations

import dataclasses
import enum
import math
import typing

import anyio

from . import api
from . import checkpoint
from ..external import api as external_api

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clocks

__all__ = ['Follower', 'Status', 'StatusKind']

READ_TIMEOUT_SECONDS: typing.Final = 10.0
PAGE_ENTRIES: typing.Final = 500
INITIAL_RETRY_SECONDS: typing.Final = 0.2
MAX_RETRY_SECONDS: typing.Final = 2.0
PEER_TIMEOUT_SECONDS: typing.Final = 2.0


class StatusKind(enum.StrEnum):
    """State of a follower."""

    STARTING = 'starting'
    FOLLOWING = 'following'
    LOG_UNAVAILABLE = 'log_out'
    GAP = 'gap'
    NEWER_SCHEMA = 'newer_schema'


class Status(typing.NamedTuple):
    """Status of a follower, for operators."""

    kind: StatusKind
    offset: int
    next_offset: int
    reason: str


@dataclasses.dataclass(eq=False)
class _Waiter:
    event: anyio.Event
    verdict: api.Verdict | None = None


class Follower:
    """Applies a stream to a replayed state; its offset never decreases."""

    def __init__(
        self,
        stream: str,
        state: api.ReplayedState,
        log: external_api.Log,
        clock: clocks.Clock,
        rng: random.Random,
        peers: api.SnapshotSource | None = None,
        may_skip: bool = False,
    ) -> None:
        """Make a follower.

        :param peers: asked for snapshots while the log is unavailable or
            has a gap.
        :param may_skip: skip entries that are in neither the log, nor a
            checkpoint, nor a peer's snapshot; only for streams on which the
            validity of an entry does not depend on earlier ones.
        """
        self._stream = stream
        self._state = state
        self._log = log
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._may_skip = may_skip
        self._kind = StatusKind.STARTING
        self._reason = ''
        self._next_offset = 0
        self._failures = 0
        self._checkpoints = checkpoint.Assembler(stream)
        self._checkpoint_offset = 0
        self._skipped_entries = 0
        self._waiters: dict[str, _Waiter] = {}
        self._changed = anyio.Event()
        self._callbacks: list[abc.Callable[[], None]] = []

    @property
    def stream(self) -> str:
        """The name of the stream."""
        return self._stream

    @property
    def state(self) -> api.ReplayedState:
        """The replayed state."""
        return self._state

    @property
    def offset(self) -> int:
        """The last offset that the state reflects, or -1."""
        return self._state.offset

    @property
    def skipped_entries(self) -> int:
        """The number of skipped entries that no source could provide."""
        return self._skipped_entries

    @property
    def caught_up(self) -> bool:
        """Whether the state reflects all entries as of the last read."""
        return (
            self._kind is StatusKind.FOLLOWING
            and self._state.offset + 1 >= self._next_offset
        )

    @property
    def newest_checkpoint(self) -> int:
        """The offset that the newest known checkpoint covers, or -1."""
        best = self._checkpoints.best
        return -1 if best is None else best.offset

    def status(self) -> Status:
        """Return the follower's status."""
        return Status(
            self._kind, self._state.offset, self._next_offset, self._reason
        )

    def watch(self, callback: abc.Callable[[], None]) -> None:
        """Register a callback for each change of the state."""
        self._callbacks.append(callback)

    def expect(self, entry_id: str) -> None:
        """Record the first verdict on an entry from now on."""
        if entry_id not in self._waiters:
            self._waiters[entry_id] = _Waiter(anyio.Event())

    def forget(self, entry_id: str) -> None:
        """Drop the recorded verdict on an entry."""
        self._waiters.pop(entry_id, None)

    def recorded_verdict(self, entry_id: str) -> api.Verdict | None:
        """Return the first verdict on an expected entry, if there is one."""
        return self._waiters[entry_id].verdict

    async def verdict(
        self, entry_id: str, deadline: float
    ) -> api.Verdict | None:
        """Wait for the first verdict on an expected entry.

        :return: nothing if there is none by the deadline.
        """
        waiter = self._waiters[entry_id]
        with anyio.move_on_after(max(0.0, deadline - self._clock.now())):
            await waiter.event.wait()
        return waiter.verdict

    async def wait_caught_up(self, deadline: float) -> bool:
        """Wait until the state has caught up with the log.

        :return: whether it has by the deadline.
        """
        with anyio.move_on_after(max(0.0, deadline - self._clock.now())):
            while not self.caught_up:
                await self._changed.wait()
        return self.caught_up

    def restore_if_newer(self, snapshot: api.Snapshot) -> bool:
        """Restore a snapshot if it is intact and has a higher offset.

        A snapshot that this release can't read is ignored.

        :return: whether the snapshot was restored.
        """
        if snapshot.stream != self._stream or not snapshot.intact:
            return False
        if snapshot.offset <= self._state.offset:
            return False
        try:
            self._state.restore(snapshot.state)
        except ValueError:
            return False
        self._notify()
        return True

    async def run(self) -> typing.NoReturn:
        """Follow the stream until cancelled."""
        while True:
            if await self.step():
                continue
            await anyio.sleep(self._retry_delay())

    async def step(self) -> bool:
        """Read once and apply the entries.

        :return: whether the next read may follow without a pause.
        """
        if self._kind is StatusKind.STARTING:
            await self._read_checkpoints()
        result = await self._log.read(
            self._stream,
            self._state.offset + 1,
            PAGE_ENTRIES,
            self._clock.now() + READ_TIMEOUT_SECONDS,
            wait=self._kind is StatusKind.FOLLOWING,
        )
        if result.is_ok():
            return await self._apply_page(result.ok)
        match result.error:
            case external_api.Trimmed(first_offset):
                return await self._recover_from_gap(first_offset)
            case failure:
                await self._on_log_failure(failure.reason)
                return False

    async def _apply_page(self, page: external_api.LogPage) -> bool:
        if page.first_offset > self._state.offset + 1:
            return await self._recover_from_gap(page.first_offset)
        self._next_offset = page.next_offset
        for entry in page.entries:
            if entry.offset <= self._state.offset:
                continue
            if not self._apply(entry):
                return False
        self._failures = 0
        self._set_status(StatusKind.FOLLOWING, '')
        return True

    def _apply(self, entry: external_api.LogEntry) -> bool:
        try:
            verdicts = self._state.apply(entry)
        except api.NewerSchema as error:
            self._set_status(StatusKind.NEWER_SCHEMA, str(error))
            return False
        for verdict in verdicts:
            waiter = self._waiters.get(verdict.entry_id)
            if waiter is not None and waiter.verdict is None:
                waiter.verdict = verdict
                waiter.event.set()
        self._notify()
        return True

    async def _recover_from_gap(self, first_offset: int) -> bool:
        await self._read_checkpoints()
        await self._ask_peers()
        if self._state.offset + 1 >= first_offset:
            return True
        if self._may_skip and self._failures > 0:
            self._skip(first_offset)
            return True
        self._failures += 1
        self._set_status(StatusKind.GAP, f'log starts at {first_offset}')
        return False

    def _skip(self, first_offset: int) -> None:
        self._skipped_entries += first_offset - self._state.offset - 1
        empty = external_api.LogEntry(first_offset - 1, 0.0, b'')
        self._apply(empty)

    async def _on_log_failure(self, reason: str) -> None:
        self._failures += 1
        self._set_status(StatusKind.LOG_UNAVAILABLE, reason)
        await self._ask_peers()

    async def _read_checkpoints(self) -> None:
        stream = checkpoint.checkpoint_stream(self._stream)
        while True:
            result = await self._log.read(
                stream,
                self._checkpoint_offset,
                PAGE_ENTRIES,
                self._clock.now() + READ_TIMEOUT_SECONDS,
            )
            if result.is_ok():
                page = result.ok
            elif isinstance(result.error, external_api.Trimmed):
                self._checkpoint_offset = result.error.first_offset
                continue
            else:
                return
            for entry in page.entries:
                self._checkpoints.add(entry.payload)
                self._checkpoint_offset = entry.offset + 1
            if not page.entries:
                break
        best = self._checkpoints.best
        if best is not None:
            self.restore_if_newer(best)

    async def refresh_checkpoints(self) -> None:
        """Read the newest checkpoints, to avoid writing a redundant one."""
        await self._read_checkpoints()

    async def _ask_peers(self) -> None:
        if self._peers is None:
            return
        snapshots = await self._peers.snapshots(
            self._stream,
            self._state.offset,
            self._clock.now() + PEER_TIMEOUT_SECONDS,
        )
        for snapshot in sorted(snapshots, key=lambda item: -item.offset):
            if self.restore_if_newer(snapshot):
                return

    def _retry_delay(self) -> float:
        exponent = min(self._failures, 10)
        max_delay = min(
            MAX_RETRY_SECONDS, INITIAL_RETRY_SECONDS * math.pow(2, exponent)
        )
        return max_delay * self._rng.uniform(0.5, 1.0)

    def _set_status(self, kind: StatusKind, reason: str) -> None:
        changed = kind is not self._kind
        self._kind = kind
        self._reason = reason
        if changed or kind is StatusKind.FOLLOWING:
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _notify(self) -> None:
        self._wake()
        for callback in self._callbacks:
            callback()
