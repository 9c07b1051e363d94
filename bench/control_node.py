"""The control parts of one instance on loopback sockets."""

from __future__ import annotations

import contextlib
import random

import anyio
import anyio.abc

from dogwoodquay import clock
from dogwoodquay.external import api as external_api
from dogwoodquay.external.memory import instances
from dogwoodquay.external.memory import timeline
from dogwoodquay.gossip import shell as gossip_shell
from dogwoodquay.membership import api
from dogwoodquay.membership import core
from dogwoodquay.membership import shell
from dogwoodquay.wire import peers
from dogwoodquay.wire import settings

__all__ = ['Network', 'Node']

FAILURE_DOMAINS = 3


class Network:
    """The instance list that all instances of a run share."""

    def __init__(self) -> None:
        self.time = timeline.SystemTimeline()
        self.list = instances.MemoryInstanceList(self.time, random.Random(1))


class Node:
    """Peer connections, gossip and membership with their real settings."""

    def __init__(self, network: Network, number: int) -> None:
        self.name = f'instance-{number}'
        self.stop = anyio.Event()
        self._network = network
        self._failure_domain = f'domain-{number % FAILURE_DOMAINS}'
        self._rng = random.Random(number)
        self._clock = clock.SystemClock()
        limits = settings.WireSettings(
            self.name, '127.0.0.1', 0, (b'a secret of the bench',)
        )
        self.peers = peers.Peers(limits, self._clock, self._rng)
        self.replicated_map = gossip_shell.GossipMap(
            self.peers, self._clock, self._rng
        )
        self.membership: shell.GossipMembership

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Run until stopped; the other instances are not notified."""
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self.peers.running())
            self._join()
            tasks = await stack.enter_async_context(anyio.create_task_group())
            tasks.start_soon(self.replicated_map.run)
            tasks.start_soon(self.membership.run)
            task_status.started()
            await self.stop.wait()
            tasks.cancel_scope.cancel()

    def member_names(self) -> set[str]:
        """Return the names of the members not considered dead."""
        return {m.instance_id for m in self.membership.members()}

    def _join(self) -> None:
        address, port = self.peers.address
        own = api.Member(
            self.name,
            core.first_incarnation(self._clock.now()),
            address,
            port,
            self._failure_domain,
            api.MemberState.LIVE,
        )
        self.membership = shell.GossipMembership(
            own,
            self.peers,
            self.replicated_map,
            self._network.list,
            self._clock,
            self._rng,
        )
        listed = external_api.Instance(
            self.name,
            address,
            port,
            self._failure_domain,
            external_api.InstanceState.LIVE,
        )
        self._network.list.put(listed)
