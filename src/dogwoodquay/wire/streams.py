"""Flow control of streams between peers: credits and inboxes."""

from __future__ import annotations

import collections
import typing

import anyio

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Credit', 'Inbox']


class Credit:
    """How many messages the producer of a stream may still send."""

    def __init__(self, window: int) -> None:
        self._left = window
        self._added = anyio.Event()

    def add(self, count: int) -> None:
        """Let the producer send more messages."""
        self._left += count
        self._added.set()

    async def take(self) -> None:
        """Use up one credit, waiting for it."""
        while self._left <= 0:
            self._added = anyio.Event()
            await self._added.wait()
        self._left -= 1


class Inbox:
    """The consumer's side of a stream.

    :param window: how many messages may be on their way.
    :param grant: called with the credits to send to the producer.
    """

    def __init__(self, window: int, grant: abc.Callable[[int], None]) -> None:
        self._window = window
        self._grant = grant
        self._items: collections.deque[api.Message] = collections.deque()
        self._consumed = 0
        self._ended = False
        self._broken: str | None = None
        self._changed = anyio.Event()

    @property
    def ended(self) -> bool:
        """Whether the producer's side is over."""
        return self._ended

    def put(self, item: api.Message) -> bool:
        """Take in a message; false when the producer overran its credit."""
        if len(self._items) >= self._window:
            return False
        self._items.append(item)
        self._changed.set()
        return True

    def end(self, broken: str | None) -> None:
        """Mark the end of the stream, with a reason when it is not whole."""
        if not self._ended:
            self._ended = True
            self._broken = broken
            self._changed.set()

    def __aiter__(self) -> abc.AsyncIterator[api.Message]:
        return self

    async def __anext__(self) -> api.Message:
        while not self._items and not self._ended:
            self._changed = anyio.Event()
            await self._changed.wait()
        if self._items:
            return self._take()
        if self._broken is not None:
            raise api.StreamBroken(self._broken)
        raise StopAsyncIteration

    def _take(self) -> api.Message:
        item = self._items.popleft()
        self._consumed += 1
        if self._consumed * 2 >= self._window and not self._ended:
            self._grant(self._consumed)
            self._consumed = 0
        return item
