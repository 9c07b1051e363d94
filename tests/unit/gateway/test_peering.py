"""Tests of what instances tell the holder of the orders, and it them."""

from __future__ import annotations

import typing
import unittest

import anyio
import expression

from . import fakes
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import controller
from dogwoodquay.gateway import duty as duties
from dogwoodquay.gateway import peering
from dogwoodquay.gateway import scheduler as schedulers
from dogwoodquay.wire import api as wire_api

_Handlers = dict[type, wire_api.Handler]


class _Wire:
    """The listening instances by port; ``lossy`` ones' answers are lost."""

    def __init__(self) -> None:
        self.handlers: dict[int, _Handlers] = {}
        self.lossy: set[int] = set()


class _Transport:
    """One instance's end of the wire."""

    def __init__(self, wire: _Wire, port: int) -> None:
        self._wire = wire
        self._handlers: _Handlers = wire.handlers.setdefault(port, {})
        self._sender = wire_api.Sender(
            f'front-{port}', wire_api.PeerAddress('127.0.0.1', port)
        )

    def register(
        self,
        message_type: type[wire_api.Message],
        handler: wire_api.Handler | None = None,
        stream: wire_api.StreamHandler | None = None,
    ) -> None:
        """Make a message type known."""
        if handler is not None:
            self._handlers[message_type] = handler

    def send(
        self,
        peer: wire_api.PeerAddress,
        message: wire_api.Message,
        coalesce: str = '',
    ) -> bool:
        """Send nothing one-way."""
        return False

    async def request(
        self,
        peer: wire_api.PeerAddress,
        message: wire_api.Message,
        answer_type: type[wire_api.Answer],
        deadline: float,
    ) -> expression.Result[wire_api.Answer, wire_api.WireError]:
        """Call the handler of another instance."""
        handler = self._wire.handlers.get(peer.port, {}).get(type(message))
        if handler is None:
            return expression.Error(wire_api.Unreachable('connect'))
        answer = await handler(self._sender, message, deadline)
        if peer.port in self._wire.lossy:
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
        """Stream nothing."""
        raise NotImplementedError


class _NoEngines:
    """Engines that nobody asks."""

    async def report(self, *arguments: typing.Any) -> typing.Any:
        """Never answer."""
        await anyio.sleep_forever()

    async def order(self, *arguments: typing.Any) -> typing.Any:
        """Never answer."""
        await anyio.sleep_forever()


class _Instance:
    """What one instance has for the duty and its peers."""

    def __init__(self, wire: _Wire, store: fakes.FakeStore, port: int) -> None:
        clock = store.clock
        settings = fakes.instance_settings(f'front-{port}')
        settings = settings._replace(peers=settings.peers._replace(port=port))
        metrics = fakes.made_metrics()
        registry = registries.Registry()
        self.duty = duties.Duty(store, settings, clock, fakes.rng(), metrics)
        self.controller = controller.Controller(
            self.duty, registry, _NoEngines(), settings, clock, metrics
        )
        self.peering = peering.Peering(
            _Transport(wire, port),
            self.duty,
            self.controller,
            registry,
            clock,
        )
        self.scheduler = schedulers.Scheduler(
            registry, 'd1', clock, fakes.rng(), self.peering
        )

    async def tell(self) -> None:
        """Tell the holder once, as it is done all the time."""
        await self.peering.tell(self.scheduler)


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    """The holder is stopped while the store is away."""

    async def asyncSetUp(self) -> None:
        """Make a holder that two others have told their load."""
        self.wire = _Wire()
        self.store = fakes.FakeStore(clocks.ManualClock())
        self.instances = [
            _Instance(self.wire, self.store, port)
            for port in (7001, 7002, 7003)
        ]
        self.holder = self.instances[0]
        for instance in self.instances:
            await instance.duty.step()
            await instance.tell()
        self.store.down = True

    def _holders(self) -> list[_Instance]:
        now = self.store.clock.now()
        return [item for item in self.instances if item.duty.may_order(now)]

    async def _stop(self) -> None:
        with anyio.move_on_after(0.2):
            await self.holder.peering.hand_over()

    async def test_a_peer_goes_on(self) -> None:
        """It has the duty at once and the others tell it their load."""
        await self._stop()
        (heir,) = self._holders()
        self.assertIsNot(self.holder, heir)
        for _ in range(2):
            for instance in self.instances:
                await instance.tell()
        told = {instance.duty.holder for instance in self.instances}
        self.assertEqual({heir.duty.member}, told)
        self.assertEqual(2, len(heir.controller.peers()))

    async def test_answer_lost(self) -> None:
        """Two peers may think that they have it, under different numbers."""
        self.wire.lossy.update({7002, 7003})
        await self._stop()
        heirs = self._holders()
        self.assertEqual(2, len(heirs))
        self.assertEqual(2, len({heir.duty.fence for heir in heirs}))

    async def test_store_there(self) -> None:
        """With the store there it is left to the store."""
        self.store.down = False
        await self._stop()
        self.assertEqual([], self._holders())

    async def test_store_back(self) -> None:
        """What no peer takes is left to the store once it is back."""
        self.wire.handlers.clear()
        await self._stop()
        self.assertIn(self.holder.duty.member, self.store.members)
        self.store.down = False
        await self._stop()
        self.assertEqual({}, self.store.members)

    async def test_peer_tells_late(self) -> None:
        """A holder that knows no peer learns of one while it stops."""
        self.store.clock.advance(5.0)
        await self._stop()
        self.assertEqual([], self._holders())
        await self.instances[1].tell()
        await self._stop()
        self.assertEqual([self.instances[1]], self._holders())
