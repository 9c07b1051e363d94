"""Bodies in blocks, which are not copied into one."""

from __future__ import annotations

import itertools
import typing

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Blocks', 'Body', 'Parts']

BLOCK_BYTES: typing.Final = 16 << 10
# Up to this size a body is a single block.
MAX_JOINED_BYTES: typing.Final = 128 << 10


class Blocks:
    """A large body; can be iterated over several times."""

    def __init__(self, blocks: tuple[bytes, ...], size: int) -> None:
        self._blocks = blocks
        self._size = size

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> abc.Iterator[bytes]:
        return iter(self._blocks)

    async def __aiter__(self) -> abc.AsyncIterator[bytes]:
        for block in self._blocks:
            yield block

    def __getitem__(self, part: slice) -> bytes:
        """Return a part of the body."""
        start, end, _ = part.indices(self._size)
        found = []
        offset = 0
        for block in self._blocks:
            if offset < end and offset + len(block) > start:
                found.append(block[max(0, start - offset) : end - offset])
            offset += len(block)
        return b''.join(found)


Body = bytes | Blocks


class Parts:
    """The parts of a body that have arrived.

    Parts of a few bytes cost many times their size, so they are collected in
    blocks. One block for all would be moved again and again as it grows.
    """

    def __init__(self) -> None:
        self._size = 0
        self._blocks: list[bytes] = []
        self._last = bytearray()

    @property
    def size(self) -> int:
        """The number of bytes in all parts."""
        return self._size

    def add(self, part: bytes) -> None:
        """Add a part."""
        self._size += len(part)
        if len(self._last) + len(part) <= BLOCK_BYTES:
            self._last += part
            return
        if self._last:
            self._blocks.append(bytes(self._last))
            self._last = bytearray()
        self._blocks.append(part)

    def body(self) -> Body:
        """Return the body of all parts, a large one in blocks."""
        if self._size <= MAX_JOINED_BYTES:
            return self.join()
        blocks = itertools.chain(self._blocks, [bytes(self._last)])
        return Blocks(tuple(filter(None, blocks)), self._size)

    def join(self) -> bytes:
        """Return the body of all parts in one block."""
        return b''.join([*self._blocks, self._last])
