"""The interface of the gossip between instances.

Each key has one payload with a version. On every instance a higher version
replaces a lower one, in whatever order they arrive.
"""

from __future__ import annotations

import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Item', 'ReplicatedMap', 'Version']


class Version(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The version of an item, ordered by epoch, then by sequence."""

    epoch: int
    sequence: int


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A payload under a key, deleted at ``expires_at`` (seconds).

    ``expires_at`` is zero for items that never expire.
    """

    key: str
    version: Version
    payload: bytes
    expires_at: float = 0.0


class ReplicatedMap(typing.Protocol):
    """Versioned items that are replicated to all live instances."""

    def put(self, item: Item) -> bool:
        """Store an item and send it on; return false if it is not newer."""

    def get(self, key: str) -> Item | None:
        """Return the newest item of a key, if any."""

    def watch(self, prefix: str, callback: abc.Callable[[Item], None]) -> None:
        """Call back with each present and each newer item with a prefix."""
