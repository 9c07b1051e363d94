"""The abstract part of the journal: replayed states and their snapshots."""

from __future__ import annotations

import hashlib
import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

    from ..external import api as external_api

__all__ = [
    'NewerSchema',
    'Replayed',
    'Snapshot',
    'SnapshotSource',
    'Verdict',
    'make_snapshot',
]


class NewerSchema(Exception):
    """An entry was written by a newer release; replay stops before it."""


class Verdict(typing.NamedTuple):
    """What the log decided on one entry, by the state at its offset."""

    entry_id: str
    valid: bool
    offset: int


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The full state of a stream's replay up to and with an offset."""

    stream: str
    offset: int
    digest: bytes
    state: bytes

    @property
    def intact(self) -> bool:
        """Whether the digest fits the state."""
        return hashlib.sha256(self.state).digest() == self.digest


class Replayed(typing.Protocol):
    """A pure state that is a function of a stream's entries alone."""

    @property
    def offset(self) -> int:
        """The last offset that is reflected here, -1 before the first."""

    def apply(self, entry: external_api.LogEntry) -> abc.Sequence[Verdict]:
        """Take in the next entry of the stream.

        :return: a verdict for each entry of the system's own in the record;
            nothing for streams that the system only reads.
        """

    def snapshot(self) -> bytes:
        """Return the full state, the offset included."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot's, the offset included.

        :raises ValueError: when this release cannot read it; the state is
            then as before.
        """


class SnapshotSource(typing.Protocol):
    """Peers that can be asked for their replayed state."""

    async def snapshots(
        self, stream: str, above: int, deadline: float
    ) -> tuple[Snapshot, ...]:
        """Return peers' snapshots of a stream that cover more than offset.

        :param above: the offset that the asking instance already has.
        """


def make_snapshot(stream: str, state: Replayed) -> Snapshot:
    """Return a state's snapshot with its digest."""
    data = state.snapshot()
    digest = hashlib.sha256(data).digest()
    return Snapshot(stream, state.offset, digest, data)
