"""Interfaces of the journal: replayed states and their snapshots."""

from __future__ import annotations

import hashlib
import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

    from ..external import api as external_api

__all__ = [
    'NewerSchema',
    'ReplayedState',
    'Snapshot',
    'SnapshotSource',
    'Verdict',
    'make_snapshot',
]


class NewerSchema(Exception):
    """A record was written by a newer release; replay stops before it."""


class Verdict(typing.NamedTuple):
    """Whether an entry is valid in the state at its offset."""

    entry_id: str
    valid: bool
    offset: int


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The full replayed state of a stream up to and including an offset."""

    stream: str
    offset: int
    digest: bytes
    state: bytes

    @property
    def intact(self) -> bool:
        """Whether the digest matches the state."""
        return hashlib.sha256(self.state).digest() == self.digest


class ReplayedState(typing.Protocol):
    """A state that is a pure function of a stream's entries."""

    @property
    def offset(self) -> int:
        """The last applied offset, or -1 if there is none."""

    def apply(self, entry: external_api.LogEntry) -> abc.Sequence[Verdict]:
        """Apply the next record of the stream.

        :return: a verdict on each entry in the record; empty for streams
            that the system only reads.
        """

    def snapshot(self) -> bytes:
        """Return the full state, including the offset."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot, including the offset.

        :raises ValueError: if this release can't read the snapshot; the
            state is then unchanged.
        """


class SnapshotSource(typing.Protocol):
    """Requests replayed states from peers."""

    async def snapshots(
        self, stream: str, above: int, deadline: float
    ) -> tuple[Snapshot, ...]:
        """Return peers' snapshots of a stream above an offset.

        :param above: the last offset that the local state reflects.
        """


def make_snapshot(stream: str, state: ReplayedState) -> Snapshot:
    """Return a snapshot of a state, with its digest."""
    data = state.snapshot()
    digest = hashlib.sha256(data).digest()
    return Snapshot(stream, state.offset, digest, data)
