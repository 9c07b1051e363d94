"""Checkpoints: snapshots on the log, in parts that fit its records."""

from __future__ import annotations

import typing

import msgspec

from . import api
from . import entries

__all__ = [
    'MAX_PART_BYTES',
    'Assembler',
    'Part',
    'checkpoint_stream',
    'split',
]

MAX_PART_BYTES: typing.Final = 256 * 1024
_MAX_OPEN: typing.Final = 16


class Part(msgspec.Struct, frozen=True):
    """One of the parts of a checkpoint; numbered from 0."""

    checkpoint_id: str
    stream: str
    offset: int
    digest: bytes
    number: int
    total: int
    data: bytes


def checkpoint_stream(stream: str) -> str:
    """Return the stream that holds the checkpoints of a stream."""
    return f'{stream}.checkpoints'


def split(
    checkpoint_id: str,
    snapshot: api.Snapshot,
    part_bytes: int = MAX_PART_BYTES,
) -> tuple[bytes, ...]:
    """Return the records that hold a snapshot, at least one."""
    state = snapshot.state
    starts = range(0, max(1, len(state)), part_bytes)
    return tuple(
        entries.pack(
            Part(
                checkpoint_id=checkpoint_id,
                stream=snapshot.stream,
                offset=snapshot.offset,
                digest=snapshot.digest,
                number=number,
                total=len(starts),
                data=state[start : start + part_bytes],
            )
        )
        for number, start in enumerate(starts)
    )


class Assembler:
    """Puts parts together and keeps the checkpoint that covers most."""

    def __init__(self, stream: str) -> None:
        self._stream = stream
        self._open: dict[str, dict[int, Part]] = {}
        self._best: api.Snapshot | None = None

    @property
    def best(self) -> api.Snapshot | None:
        """The intact checkpoint with the highest offset so far."""
        return self._best

    def add(self, payload: bytes) -> None:
        """Take in one record; foreign and damaged ones count for nothing."""
        try:
            part = entries.unpack(payload, Part)
        except ValueError:
            return
        if part.stream != self._stream or self._covered(part.offset):
            return
        parts = self._open.setdefault(part.checkpoint_id, {})
        parts[part.number] = part
        if len(parts) == part.total:
            del self._open[part.checkpoint_id]
            self._close(parts)
        while len(self._open) > _MAX_OPEN:
            del self._open[next(iter(self._open))]

    def _covered(self, offset: int) -> bool:
        return self._best is not None and offset <= self._best.offset

    def _close(self, parts: dict[int, Part]) -> None:
        ordered = [parts[number] for number in sorted(parts)]
        first = ordered[0]
        state = b''.join(part.data for part in ordered)
        snapshot = api.Snapshot(
            first.stream, first.offset, first.digest, state
        )
        if snapshot.intact:
            self._best = snapshot
