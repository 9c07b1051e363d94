"""Sends items to peers in batches."""

from __future__ import annotations

import collections
import typing

import anyio

if typing.TYPE_CHECKING:
    from collections import abc

    import anyio.abc

__all__ = ['PeerBatches']

MAX_BATCH_ITEMS: typing.Final = 300

_Item = typing.TypeVar('_Item')


class PeerBatches(typing.Generic[_Item]):
    """Sends what gathers for a peer while earlier batches are in flight.

    :param send: sends a batch to a peer and raises nothing.
    :param in_flight: the most batches in flight to a peer.
    :param gather_seconds: returns how long a batch waits for further items.
    """

    def __init__(
        self,
        send: abc.Callable[[str, tuple[_Item, ...]], abc.Awaitable[None]],
        in_flight: int,
        gather_seconds: abc.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._gather_seconds = gather_seconds
        self._send = send
        self._in_flight = in_flight
        self._queues: dict[str, collections.deque[_Item]] = {}
        self._senders: collections.Counter[str] = collections.Counter()
        self._tasks: anyio.abc.TaskGroup | None = None

    def put(self, peer: str, item: _Item) -> None:
        """Queue an item; it is sent at once if few batches are in flight."""
        self._queues.setdefault(peer, collections.deque()).append(item)
        self._start_sender(peer)

    def take_queued(self, peer: str) -> tuple[_Item, ...]:
        """Remove the items that wait for a peer and return them."""
        queue = self._queues.get(peer, collections.deque())
        items = tuple(queue)
        queue.clear()
        return items

    async def run(self) -> None:
        """Send batches until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                for peer in tuple(self._queues):
                    self._start_sender(peer)
                await anyio.sleep_forever()
        finally:
            self._tasks = None
            self._senders.clear()

    def _start_sender(self, peer: str) -> None:
        if self._tasks is None or self._senders[peer] >= self._in_flight:
            return
        self._senders[peer] += 1
        self._tasks.start_soon(self._send_queued, peer)

    async def _send_queued(self, peer: str) -> None:
        """Send what is queued for a peer, and what comes meanwhile."""
        queue = self._queues.get(peer, collections.deque())
        while queue:
            seconds = self._gather_seconds()
            if seconds:
                await anyio.sleep(seconds)
            size = min(len(queue), MAX_BATCH_ITEMS)
            batch = tuple(queue.popleft() for _ in range(size))
            await self._send(peer, batch)
        self._senders[peer] -= 1
        if not self._senders[peer]:
            del self._senders[peer]
            self._queues.pop(peer, None)
