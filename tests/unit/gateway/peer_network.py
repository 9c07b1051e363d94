"""Instances that keep origins for each other, on a network in memory."""

from __future__ import annotations

import contextlib
import typing

import anyio
import expression

from . import fakes
from dogwoodquay import clock as clocks
from dogwoodquay.gateway import messages
from dogwoodquay.gateway import origins
from dogwoodquay.wire import api as wire_api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Instance', 'PeerNetwork']


class PeerNetwork:
    """Handlers by port; instances in ``dead`` and ``frozen`` do not answer.

    Those in ``old`` have a build that knows no messages.
    """

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.handlers: dict[int, dict[type, wire_api.Handler]] = {}
        self.dead: set[int] = set()
        self.frozen: set[int] = set()
        self.old: set[int] = set()
        self.requests: list[tuple[int, wire_api.Message]] = []
        self.log = fakes.FakeLog()

    async def call(
        self, port: int, message: wire_api.Message, deadline: float
    ) -> expression.Result[typing.Any, wire_api.WireError]:
        """Call the handler of an instance."""
        self.requests.append((port, message))
        await anyio.lowlevel.checkpoint()
        if port in self.dead:
            return expression.Error(wire_api.Unreachable('connect'))
        if port in self.frozen:
            await anyio.sleep(deadline - self.clock.now())
            return expression.Error(wire_api.NoAnswer('deadline'))
        if port in self.old:
            return expression.Error(wire_api.Declined('unknown_message'))
        sender = wire_api.Sender('x', wire_api.PeerAddress('h', 1))
        handler = self.handlers[port][type(message)]
        answer = await handler(sender, message, deadline)
        if answer is None:
            return expression.Error(wire_api.Declined('declined'))
        return expression.Ok(answer)


class _Transport:
    """The transport of one instance."""

    def __init__(self, network: PeerNetwork, port: int) -> None:
        self._network = network
        self._handlers = network.handlers.setdefault(port, {})

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
        return await self._network.call(peer.port, message, deadline)

    def stream(
        self,
        peer: wire_api.PeerAddress,
        message: wire_api.Message,
        deadline: float,
    ) -> typing.Any:
        """Support no streams."""
        raise NotImplementedError


class Instance:
    """The origins of one instance; its domain follows from its number."""

    def __init__(
        self, network: PeerNetwork, number: int, domains: int = 3
    ) -> None:
        self.port = 7000 + number
        self.row = messages.InstanceRow(
            f'front-{number}@127.0.0.1:{self.port}', f'd{number % domains}'
        )
        self.metrics = fakes.make_metrics()
        self.log = fakes.make_origin_log(network.clock, network.log)
        self.origins = origins.StreamOrigins(
            _Transport(network, self.port),
            self.row.member,
            self.row.failure_domain,
            network.clock,
            self.metrics,
            self.log,
        )


@contextlib.asynccontextmanager
async def running(
    *instances: Instance, roster_of: tuple[Instance, ...] = ()
) -> abc.AsyncIterator[None]:
    """Run instances that know each other until the context is left.

    :param roster_of: further instances that they know, which do not run.
    """
    roster = tuple(instance.row for instance in (*instances, *roster_of))
    async with anyio.create_task_group() as tasks:
        for instance in instances:
            instance.origins.update_roster(roster)
            tasks.start_soon(instance.origins.run)
        yield
        tasks.cancel_scope.cancel()
