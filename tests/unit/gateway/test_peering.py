"""Tests of the messages between instances and the owner of the duty."""

from __future__ import annotations

import typing
import unittest

import anyio
import expression

from . import fakes
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import controller
from dogwoodquay.gateway import ownership as order_ownership
from dogwoodquay.gateway import peering
from dogwoodquay.gateway import scheduler as schedulers
from dogwoodquay.wire import api as wire_api

_Handlers = dict[type, wire_api.Handler]


class _Network:
    """Instances by port; answers from those in ``lossy`` are lost."""

    def __init__(self) -> None:
        self.handlers: dict[int, _Handlers] = {}
        self.lossy: set[int] = set()


class _Transport:
    """The transport of one instance."""

    def __init__(self, network: _Network, port: int) -> None:
        self._network = network
        self._handlers: _Handlers = network.handlers.setdefault(port, {})
        self._sender = wire_api.Sender(
            f'front-{port}', wire_api.PeerAddress('127.0.0.1', port)
        )

    def register(
        self,
        message_type: type[wire_api.Message],
        handler: wire_api.Handler | None = None,
        stream: wire_api.StreamHandler | None = None,
    ) -> None:
        """Register a message type."""
        if handler is not None:
            self._handlers[message_type] = handler

    def send(
        self,
        peer: wire_api.PeerAddress,
        message: wire_api.Message,
        coalesce: str = '',
    ) -> bool:
        """Send no one-way messages."""
        return False

    async def request(
        self,
        peer: wire_api.PeerAddress,
        message: wire_api.Message,
        answer_type: type[wire_api.Answer],
        deadline: float,
    ) -> expression.Result[wire_api.Answer, wire_api.WireError]:
        """Call the handler of another instance."""
        handler = self._network.handlers.get(peer.port, {}).get(type(message))
        if handler is None:
            return expression.Error(wire_api.Unreachable('connect'))
        answer = await handler(self._sender, message, deadline)
        if peer.port in self._network.lossy:
            return expression.Error(wire_api.NoAnswer('timeout'))
        if answer is None:
            return expression.Error(wire_api.Declined('declined'))
        return expression.Ok(typing.cast('wire_api.Answer', answer))

    def stream(
        self,
        peer: wire_api.PeerAddress,
        message: wire_api.Message,
        answer_type: type[wire_api.Answer],
        deadline: float,
    ) -> typing.Any:
        """Support no streams."""
        raise NotImplementedError


class _UnresponsiveEngines:
    """Engines that never answer."""

    async def report(self, *arguments: typing.Any) -> typing.Any:
        """Never answer."""
        await anyio.sleep_forever()

    async def order(self, *arguments: typing.Any) -> typing.Any:
        """Never answer."""
        await anyio.sleep_forever()


class _Instance:
    """The parts of one instance that deal with the duty and its peers."""

    def __init__(
        self, network: _Network, store: fakes.FakeStore, port: int
    ) -> None:
        clock = store.clock
        settings = fakes.instance_settings(f'front-{port}')
        settings = settings._replace(peers=settings.peers._replace(port=port))
        metrics = fakes.make_metrics()
        registry = registries.Registry()
        self.ownership = order_ownership.OrderOwnership(
            store, settings, clock, fakes.rng(), metrics
        )
        self.controller = controller.Controller(
            self.ownership,
            registry,
            _UnresponsiveEngines(),
            settings,
            clock,
            metrics,
        )
        self.peering = peering.Peering(
            _Transport(network, port),
            self.ownership,
            self.controller,
            registry,
            clock,
        )
        self.scheduler = schedulers.Scheduler(
            registry, 'd1', clock, fakes.rng(), self.peering
        )

    async def publish_load(self) -> None:
        """Send the load to the owner once."""
        await self.peering.publish_load(self.scheduler)


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    """The owner is stopped while the store is unavailable."""

    async def asyncSetUp(self) -> None:
        """Create an owner to which two instances have sent their load."""
        self.network = _Network()
        self.store = fakes.FakeStore(clocks.ManualClock())
        self.instances = [
            _Instance(self.network, self.store, port)
            for port in (7001, 7002, 7003)
        ]
        self.owner = self.instances[0]
        for instance in self.instances:
            await instance.ownership.step()
            await instance.publish_load()
        self.store.unavailable = True

    def _owners(self) -> list[_Instance]:
        now = self.store.clock.now()
        return [
            item for item in self.instances if item.ownership.may_order(now)
        ]

    async def _stop(self) -> None:
        with anyio.move_on_after(0.2):
            await self.owner.peering.hand_over()

    async def test_peer_takes_over(self) -> None:
        """A peer owns the duty at once, and the others send it their load."""
        await self._stop()
        (successor,) = self._owners()
        self.assertIsNot(self.owner, successor)
        for _ in range(2):
            for instance in self.instances:
                await instance.publish_load()
        owners = {instance.ownership.owner for instance in self.instances}
        self.assertEqual({successor.ownership.member}, owners)
        self.assertEqual(2, len(successor.controller.recent_peers()))

    async def test_answer_lost(self) -> None:
        """Two peers may own the duty then, but with different tokens."""
        self.network.lossy.update({7002, 7003})
        await self._stop()
        successors = self._owners()
        self.assertEqual(2, len(successors))
        self.assertEqual(
            2, len({successor.ownership.fence for successor in successors})
        )

    async def test_store_available(self) -> None:
        """While the store answers, the duty is handed to no peer."""
        self.store.unavailable = False
        await self._stop()
        self.assertEqual([], self._owners())

    async def test_store_available_again(self) -> None:
        """An owner without a successor leaves once the store answers."""
        self.network.handlers.clear()
        await self._stop()
        self.assertIn(self.owner.ownership.member, self.store.members)
        self.store.unavailable = False
        await self._stop()
        self.assertEqual({}, self.store.members)

    async def test_load_received_while_stopping(self) -> None:
        """A stopping owner without a known peer learns of one meanwhile."""
        self.store.clock.advance(5.0)
        await self._stop()
        self.assertEqual([], self._owners())
        await self.instances[1].publish_load()
        await self._stop()
        self.assertEqual([self.instances[1]], self._owners())
