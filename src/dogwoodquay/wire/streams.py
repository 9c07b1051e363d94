"""Flow control of streams between peers by credits."""

from __future__ import annotations

import collections
import typing

import anyio

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Credit', 'Inbox']


class Credit:
    """The number of messages that a stream's producer may send."""

    def __init__(self, window: int) -> None:
        self._available = window
        self._added = anyio.Event()

    def add(self, count: int) -> None:
        """Add credits, so that the producer can send more messages."""
        self._available += count
        self._added.set()

    async def take(self) -> None:
        """Use one credit, waiting until there is one."""
        while self._available <= 0:
            self._added = anyio.Event()
            await self._added.wait()
        self._available -= 1


class Inbox:
    """The received messages of a stream, at its consumer.

    :param window: the maximum number of unconsumed messages.
    :param grant: called with a number of credits for the producer.
    """

    def __init__(self, window: int, grant: abc.Callable[[int], None]) -> None:
        self._window = window
        self._grant = grant
        self._items: collections.deque[api.Message] = collections.deque()
        self._consumed = 0
        self._ended = False
        self._error: str | None = None
        self._changed = anyio.Event()

    @property
    def ended(self) -> bool:
        """Whether the producer has ended the stream."""
        return self._ended

    def put(self, item: api.Message) -> bool:
        """Add a message; return false if the producer exceeded its credit."""
        if len(self._items) >= self._window:
            return False
        self._items.append(item)
        self._changed.set()
        return True

    def end(self, error: str | None) -> None:
        """End the stream, with a reason if it is not complete."""
        if not self._ended:
            self._ended = True
            self._error = error
            self._changed.set()

    def __aiter__(self) -> abc.AsyncIterator[api.Message]:
        return self

    async def __anext__(self) -> api.Message:
        while not self._items and not self._ended:
            self._changed = anyio.Event()
            await self._changed.wait()
        if self._items:
            return self._pop()
        if self._error is not None:
            raise api.StreamBroken(self._error)
        raise StopAsyncIteration

    def _pop(self) -> api.Message:
        item = self._items.popleft()
        self._consumed += 1
        if self._consumed * 2 >= self._window and not self._ended:
            self._grant(self._consumed)
            self._consumed = 0
        return item
