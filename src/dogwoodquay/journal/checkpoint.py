"""Checkpoints: snapshots on the log, split to fit its record size."""

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
_MAX_INCOMPLETE: typing.Final = 16


class Part(msgspec.Struct, frozen=True):
    """A part of a checkpoint; ``number`` starts at 0."""

    checkpoint_id: str
    stream: str
    offset: int
    digest: bytes
    number: int
    total: int
    data: bytes


def checkpoint_stream(stream: str) -> str:
    """Return the name of the stream with the checkpoints of a stream."""
    return f'{stream}.checkpoints'


def split(
    checkpoint_id: str,
    snapshot: api.Snapshot,
    part_bytes: int = MAX_PART_BYTES,
) -> tuple[bytes, ...]:
    """Split a snapshot into one or more log records."""
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
    """Assembles parts and keeps the checkpoint with the highest offset."""

    def __init__(self, stream: str) -> None:
        self._stream = stream
        self._incomplete: dict[str, dict[int, Part]] = {}
        self._best: api.Snapshot | None = None

    @property
    def best(self) -> api.Snapshot | None:
        """The intact checkpoint with the highest offset so far, if any."""
        return self._best

    def add(self, payload: bytes) -> None:
        """Add a record; damaged ones and other streams' parts are ignored."""
        try:
            part = entries.unpack(payload, Part)
        except ValueError:
            return
        if part.stream != self._stream or self._is_covered(part.offset):
            return
        parts = self._incomplete.setdefault(part.checkpoint_id, {})
        parts[part.number] = part
        if len(parts) == part.total:
            del self._incomplete[part.checkpoint_id]
            self._complete(parts)
        while len(self._incomplete) > _MAX_INCOMPLETE:
            del self._incomplete[next(iter(self._incomplete))]

    def _is_covered(self, offset: int) -> bool:
        return self._best is not None and offset <= self._best.offset

    def _complete(self, parts: dict[int, Part]) -> None:
        ordered = [parts[number] for number in sorted(parts)]
        first = ordered[0]
        state = b''.join(part.data for part in ordered)
        snapshot = api.Snapshot(
            first.stream, first.offset, first.digest, state
        )
        if snapshot.intact:
            self._best = snapshot
