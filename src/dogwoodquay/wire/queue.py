"""A bounded queue of outgoing frames."""

from __future__ import annotations

import collections

import anyio

__all__ = ['SendQueue']


class SendQueue:
    """Holds frames until they are written to the socket.

    A frame with a key replaces the queued frame with the same key, at its
    position. A frame that would exceed ``max_bytes`` is not added.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._next_key = 0
        self._frames: collections.OrderedDict[str | int, bytes] = (
            collections.OrderedDict()
        )
        self._frame_added = anyio.Event()
        self._frame_removed = anyio.Event()

    def __len__(self) -> int:
        return len(self._frames)

    def put(self, frame: bytes, coalesce: str = '') -> bool:
        """Add a frame.

        :return: whether it was added.
        """
        key = coalesce or self._new_key()
        size = self._bytes + len(frame) - len(self._frames.get(key, b''))
        if size > self._max_bytes:
            return False
        self._frames[key] = frame
        self._bytes = size
        self._frame_added.set()
        return True

    async def put_wait(self, frame: bytes) -> None:
        """Add a frame, waiting until the queue has space for it."""
        while not self.put(frame):
            self._frame_removed = anyio.Event()
            await self._frame_removed.wait()

    async def get(self) -> bytes:
        """Remove and return the oldest frame, waiting for one."""
        while not self._frames:
            self._frame_added = anyio.Event()
            await self._frame_added.wait()
        _, frame = self._frames.popitem(last=False)
        self._bytes -= len(frame)
        self._frame_removed.set()
        return frame

    def _new_key(self) -> int:
        self._next_key += 1
        return self._next_key
