"""Runs the dissemination over the inner protocol."""

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

__all__ = ['GossipBoard']

TICK_SECONDS: typing.Final = 0.1

_MESSAGES: typing.Final = (
    messages.Items,
    messages.Root,
    messages.Buckets,
    messages.Versions,
    messages.Wanted,
)


class GossipBoard:
    """Implements ``api.Board`` over a transport."""

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
    def items(self) -> int:
        """The number of items and tombstones held."""
        return self._core.items

    @property
    def waiting(self) -> int:
        """The number of items that still have to be sent, per peer."""
        return self._core.waiting

    @property
    def root(self) -> int:
        """The hash of everything held; equal where the items are."""
        return self._core.root

    def put(self, item: api.Item) -> bool:
        """Take in an item and pass it on; false when it is not newer."""
        effects = self._core.put(item, self._clock.now())
        self._run(effects)
        return bool(effects)

    def get(self, key: str) -> api.Item | None:
        """Return the newest item of a key."""
        return self._core.get(key, self._clock.now())

    def watch(
        self, prefix: str, callback: abc.Callable[[api.Item], None]
    ) -> None:
        """Call back with each present and each newer item under a prefix."""
        self._watchers.append(_Watcher(prefix, callback))
        for item in self._core.under(prefix, self._clock.now()):
            callback(item)

    def set_neighbours(
        self, neighbours: typing.Sequence[wire_api.PeerAddress]
    ) -> None:
        """Send to these from now on."""
        self._core.set_neighbours(neighbours)

    async def run(self) -> None:
        """Send and compare until cancelled."""
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
