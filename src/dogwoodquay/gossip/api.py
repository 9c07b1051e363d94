"""The abstract part of dissemination between instances.

Each key holds one payload with a version; a higher version replaces a lower
one everywhere, in whatever order they arrive.
"""

from __future__ import annotations

import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Board', 'Item', 'Version']


class Version(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Versions of one key are ordered by epoch, then by sequence."""

    epoch: int
    sequence: int


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A key's newest payload; dropped for good at ``expires_at`` (seconds).

    ``expires_at`` is zero for items that stay until replaced.
    """

    key: str
    version: Version
    payload: bytes
    expires_at: float = 0.0


class Board(typing.Protocol):
    """Versioned items that every live instance comes to hold."""

    def put(self, item: Item) -> bool:
        """Take in an item and pass it on; false when it is not newer."""

    def get(self, key: str) -> Item | None:
        """Return the newest item of a key."""

    def watch(self, prefix: str, callback: abc.Callable[[Item], None]) -> None:
        """Call back with each present and each newer item under a prefix."""
