"""Runs the gossip over the peer protocol."""

from __future__ import annotations

import typing

import anyio

from . import core
from . import messages

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clocks
    from . import api
    from ..wire import api as wire_api

__all__ = ['GossipMap']

TICK_SECONDS: typing.Final = 0.1

_MESSAGES: typing.Final = (
    messages.Items,
    messages.Root,
    messages.Buckets,
    messages.Versions,
    messages.ItemRequest,
)


class GossipMap:
    """Implements ``api.ReplicatedMap`` over a transport."""

    def __init__(
        self,
        transport: wire_api.Transport,
        clock: clocks.Clock,
        rng: random.Random,
        settings: core.GossipSettings | None = None,
        tick_seconds: float = TICK_SECONDS,
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._tick_seconds = tick_seconds
        self._core = core.Gossip(settings or core.GossipSettings(), rng)
        self._watchers: list[_Watcher] = []
        for message_type in _MESSAGES:
            transport.register(message_type, self._receive)

    @property
    def item_count(self) -> int:
        """The number of stored items and tombstones."""
        return self._core.item_count

    @property
    def pending_count(self) -> int:
        """The number of items to send, counted once for each peer."""
        return self._core.pending_count

    @property
    def root(self) -> int:
        """The hash of all items; equal on instances with equal items."""
        return self._core.root

    def put(self, item: api.Item) -> bool:
        """Store an item and send it on; return false if it is not newer."""
        effects = self._core.put(item, self._clock.now())
        self._run(effects)
        return bool(effects)

    def get(self, key: str) -> api.Item | None:
        """Return the newest item of a key unless it has expired."""
        return self._core.get(key, self._clock.now())

    def watch(
        self, prefix: str, callback: abc.Callable[[api.Item], None]
    ) -> None:
        """Call back with each present and each newer item with a prefix."""
        self._watchers.append(_Watcher(prefix, callback))
        for item in self._core.with_prefix(prefix, self._clock.now()):
            callback(item)

    def set_neighbours(
        self, neighbours: typing.Sequence[wire_api.PeerAddress]
    ) -> None:
        """Replace the peers to which items are sent."""
        self._core.set_neighbours(neighbours)

    async def run(self) -> None:
        """Send items and compare with neighbours until cancelled."""
        while True:
            self._run(self._core.tick(self._clock.now()))
            jitter = self._rng.uniform(0.8, 1.2)
            await anyio.sleep(self._tick_seconds * jitter)

    async def _receive(
        self,
        sender: wire_api.Sender,
        message: wire_api.Message,
        deadline: float,
    ) -> None:
        now = self._clock.now()
        self._run(self._core.receive(sender.address, message, now))

    def _run(self, effects: list[core.Effect]) -> None:
        for effect in effects:
            match effect:
                case core.Send(peer, message):
                    self._transport.send(peer, message)
                case core.Changed(item):
                    self._notify(item)

    def _notify(self, item: api.Item) -> None:
        for watcher in list(self._watchers):
            if item.key.startswith(watcher.prefix):
                watcher.callback(item)


class _Watcher(typing.NamedTuple):
    prefix: str
    callback: abc.Callable[[api.Item], None]
