"""A bounded queue of outgoing frames."""

from __future__ import annotations

import collections

import anyio

__all__ = ['SendQueue']


class SendQueue:
    """Holds frames until the socket takes them; it never grows without end.

    A frame with a word replaces the waiting frame with the same word and
    keeps its place. When the bytes are used up, a new frame is turned away.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._next_key = 0
        self._frames: collections.OrderedDict[str | int, bytes] = (
            collections.OrderedDict()
        )
        self._filled = anyio.Event()
        self._taken = anyio.Event()

    def __len__(self) -> int:
        return len(self._frames)

    def put(self, frame: bytes, coalesce: str = '') -> bool:
        """Add a frame.

        :return: whether there was room.
        """
        key = coalesce or self._new_key()
        size = self._bytes + len(frame) - len(self._frames.get(key, b''))
        if size > self._max_bytes:
            return False
        self._frames[key] = frame
        self._bytes = size
        self._filled.set()
        return True

    async def put_when_room(self, frame: bytes) -> None:
        """Add a frame as soon as there is room."""
        while not self.put(frame):
            self._taken = anyio.Event()
            await self._taken.wait()

    async def get(self) -> bytes:
        """Return the oldest frame, waiting for one."""
        while not self._frames:
            self._filled = anyio.Event()
            await self._filled.wait()
        _, frame = self._frames.popitem(last=False)
        self._bytes -= len(frame)
        self._taken.set()
        return frame

    def _new_key(self) -> int:
        self._next_key += 1
        return self._next_key
