"""Counters of the peer protocol."""

from __future__ import annotations

import collections

import msgspec

__all__ = ['Traffic']


class Traffic(msgspec.Struct):
    """Totals since the start; keys of a ``Counter`` are label values."""

    frames_sent: int = 0
    frames_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    refused: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )
    dropped: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )
    dial_failures: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )
    closed: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )

    def sent(self, size: int) -> None:
        """Count a frame that was written to the socket."""
        self.frames_sent += 1
        self.bytes_sent += size

    def received(self, size: int) -> None:
        """Count a frame that was read."""
        self.frames_received += 1
        self.bytes_received += size
