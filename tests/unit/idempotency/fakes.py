"""Fake members and peers for the tests of claims."""

from __future__ import annotations

import contextlib
import random
import typing

import anyio
import expression

from dogwoodquay.external.memory import log
from dogwoodquay.external.memory import timeline
from dogwoodquay.idempotency import relay
from dogwoodquay.idempotency import shell
from dogwoodquay.membership import api as membership_api
from dogwoodquay.wire import api as wire_api

if typing.TYPE_CHECKING:
    from collections import abc


class Members:
    """The members of a network, all live."""

    def __init__(self, net: Net, own: membership_api.Member) -> None:
        self._net = net
        self.own = own
        self.trusted = True

    def members(self) -> tuple[membership_api.Member, ...]:
        """Return all known members."""
        return tuple(n.members.own for n in self._net.nodes)

    def live(self) -> tuple[membership_api.Member, ...]:
        """Return all members; none is ever suspected."""
        return self.members()

    def is_dead(self, instance_id: str, incarnation: int) -> bool:
        """Return whether a test declared a process dead."""
        return (instance_id, incarnation) in self._net.dead

    def watch(
        self, callback: abc.Callable[[membership_api.Member], None]
    ) -> None:
        """Ignore the callback, as members do not change."""


class Transport:
    """Calls the handlers of other nodes directly."""

    def __init__(self, net: Net) -> None:
        self._net = net
        self.handlers: dict[type[wire_api.Message], wire_api.Handler] = {}

    def register(
        self,
        message_type: type[wire_api.Message],
        handler: wire_api.Handler | None = None,
        stream: wire_api.StreamHandler | None = None,
    ) -> None:
        """Register a handler of a message type."""
        if handler is not None:
            self.handlers[message_type] = handler

    async def request(
        self,
        peer: wire_api.PeerAddress,
        message: wire_api.Message,
        answer_type: type[wire_api.Answer],
        deadline: float,
    ) -> expression.Result[wire_api.Answer, wire_api.WireError]:
        """Call the handler of the node at an address."""
        if peer.port in self._net.unreachable:
            return expression.Error(wire_api.Unreachable('test'))
        node = self._net.nodes[peer.port]
        handler = node.transport.handlers[type(message)]
        sender = wire_api.Sender('test', peer)
        self._net.relayed += isinstance(message, relay.RelayBatch)
        answer = await handler(sender, message, deadline)
        if isinstance(answer, answer_type):
            return expression.Ok(answer)
        return expression.Error(wire_api.Declined('declined'))


class Node:
    """The claims of one process."""

    def __init__(self, net: Net, number: int, incarnation: int) -> None:
        own = membership_api.Member(
            f'instance-{number}',
            incarnation,
            '127.0.0.1',
            number,
            'domain',
            membership_api.MemberState.LIVE,
        )
        self.members = Members(net, own)
        self.transport = Transport(net)
        self.claims = shell.LogClaims(
            net.settings,
            net.log,
            self.members,
            typing.cast('wire_api.Transport', self.transport),
            net.time,
            random.Random(number),
        )


class Net:
    """A network of nodes that share a log."""

    def __init__(self, size: int, relay_above: int = 20) -> None:
        self.time = timeline.SystemTimeline()
        self.log = log.MemoryLog(self.time, random.Random(1))
        self.settings = shell.ClaimSettings(
            min_interval_seconds=0.0, relay_above=relay_above
        )
        self.unreachable: set[int] = set()
        self.relayed = 0
        self.dead: set[tuple[str, int]] = set()
        self.nodes: list[Node] = []
        for number in range(size):
            self.nodes.append(Node(self, number, 1))

    def deadline_in(self, seconds: float = 5.0) -> float:
        """Return the deadline in a number of seconds."""
        return self.time.now() + seconds

    @contextlib.asynccontextmanager
    async def running(self) -> abc.AsyncIterator[None]:
        """Run all nodes."""
        async with anyio.create_task_group() as tasks:
            for node in self.nodes:
                tasks.start_soon(node.claims.run)
            try:
                yield
            finally:
                tasks.cancel_scope.cancel()
