"""Instances with wire, board and membership on loopback sockets."""

from __future__ import annotations

import contextlib
import random
import typing

import anyio
import anyio.lowlevel
from websockets.asyncio import client

from dogwoodquay import clock
from dogwoodquay.external import api as external_api
from dogwoodquay.external.memory import instances
from dogwoodquay.external.memory import timeline
from dogwoodquay.gossip import core as gossip_core
from dogwoodquay.gossip import shell as gossip_shell
from dogwoodquay.membership import api
from dogwoodquay.membership import core
from dogwoodquay.membership import settings
from dogwoodquay.membership import shell
from dogwoodquay.wire import api as wire_api
from dogwoodquay.wire import dial
from dogwoodquay.wire import peers as wire_peers
from dogwoodquay.wire import settings as wire_settings

if typing.TYPE_CHECKING:
    from collections import abc

LIMITS = settings.DetectorSettings(
    probe_seconds=0.05,
    answer_seconds=0.2,
    suspicion_seconds=0.3,
    pause_seconds=5.0,
    confirm_seconds=5.0,
    retry_seed_seconds=0.1,
)
GOSSIP = gossip_core.GossipSettings(
    bytes_per_second=1e6, exchange_seconds=0.1, catch_up_seconds=0.02
)


SPLIT_PASSES: typing.Final = 4
SPLIT_PASS_SECONDS: typing.Final = 0.05


class StallClock:
    """The machine's time, or a fixed time while its instance is stalled."""

    def __init__(self) -> None:
        self._source = clock.SystemClock()
        self._stalled_at: float | None = None
        self._skipped = 0.0

    def now(self) -> float:
        """Return the time as the instance sees it."""
        if self._stalled_at is not None:
            return self._stalled_at
        return self._source.now() + self._skipped

    def stall(self) -> None:
        """Stop the instance's time."""
        self._stalled_at = self.now()

    def wake(self, skipped: float) -> None:
        """Go on, as if so many seconds had passed."""
        self._stalled_at = None
        self._skipped = skipped


class Instance:
    """One instance of the tests; ``group`` is its side of a partition."""

    def __init__(self, net: Net, name: str, domain: str) -> None:
        self.name = name
        self.net = net
        self.group = 0
        self.gate = anyio.Event()
        self.gate.set()
        self.clock = StallClock()
        self._domain = domain
        rng = random.Random(name)
        limits = wire_settings.WireSettings(
            name,
            '127.0.0.1',
            0,
            (b'a secret of the tests',),
            handshake_seconds=1.0,
            backoff_seconds=0.01,
            backoff_max_seconds=0.1,
        )
        self.peers = wire_peers.Peers(limits, self.clock, rng, self._dial)
        self.transport = GatedTransport(self)
        self.replicated_map = gossip_shell.GossipMap(
            self.transport, self.clock, rng, GOSSIP, 0.01
        )
        self.membership: shell.GossipMembership

    @contextlib.asynccontextmanager
    async def running(self) -> abc.AsyncIterator[None]:
        """Run the instance; leaving the context ends it without a word."""
        async with self.peers.running():
            own = api.Member(
                self.name,
                core.first_incarnation(self.clock.now()),
                *self.peers.address,
                self._domain,
                api.MemberState.LIVE,
            )
            self.membership = shell.GossipMembership(
                own,
                self.transport,
                self.replicated_map,
                self.net.list,
                self.clock,
                random.Random(self.name),
                LIMITS,
                list_seconds=0.05,
            )
            self.net.enter(self)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.replicated_map.run)
                tasks.start_soon(self.membership.run)
                try:
                    yield
                finally:
                    tasks.cancel_scope.cancel()

    def sees(self) -> set[str]:
        """Return the names of the members that it holds not to be dead."""
        return {m.instance_id for m in self.membership.members()}

    async def _dial(
        self,
        peer: wire_api.PeerAddress,
        limits: wire_settings.WireSettings,
    ) -> client.ClientConnection:
        other = self.net.by_port.get(peer.port)
        if other is not None and other.group != self.group:
            raise OSError('partitioned')
        socket = await dial.open_socket(peer, limits)
        if other is not None and other.group != self.group:
            await socket.close()
            raise OSError('partitioned')
        return socket


class GatedTransport:
    """Holds back all that is handled while its instance is stalled."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._peers = instance.peers
        self.send = self._peers.send
        self.request = self._peers.request
        self.stream = self._peers.stream

    def register(
        self,
        message_type: type[wire_api.Message],
        handler: wire_api.Handler | None = None,
        stream: wire_api.StreamHandler | None = None,
    ) -> None:
        """Register a handler behind the instance's gate."""

        async def gated(
            sender: wire_api.Sender, message: typing.Any, deadline: float
        ) -> wire_api.Message | None:
            await self._instance.gate.wait()
            assert handler is not None
            return await handler(sender, message, deadline)

        self._peers.register(message_type, gated if handler else None, stream)


class Net:
    """The instances of a test and the platform's list of them."""

    def __init__(self, list_lag: float = 0.0) -> None:
        self.by_port: dict[int, Instance] = {}
        self.list = instances.MemoryInstanceList(
            timeline.SystemTimeline(), random.Random(1), list_lag
        )

    def make(self, count: int) -> list[Instance]:
        """Return instances in three failure domains, not running yet."""
        return [
            Instance(self, f'instance-{n}', f'domain-{n % 3}')
            for n in range(count)
        ]

    def enter(self, instance: Instance) -> None:
        """Put a running instance on the list."""
        address, port = instance.peers.address
        self.by_port[port] = instance
        self.list.put(
            external_api.Instance(
                instance.name,
                address,
                port,
                '',
                external_api.InstanceState.LIVE,
            )
        )

    async def split(self, *groups: list[Instance]) -> None:
        """Cut all connections between groups and allow no new ones.

        Connections that were being made are cut once they are open.
        """
        for number, group in enumerate(groups):
            for instance in group:
                instance.group = number
        for _ in range(SPLIT_PASSES):
            self._cut()
            await anyio.sleep(SPLIT_PASS_SECONDS)

    def _cut(self) -> None:
        for one in self.by_port.values():
            for other in self.by_port.values():
                if one.group != other.group:
                    one.peers.disconnect(other.peers.address)

    def heal(self) -> None:
        """Let all reach each other again."""
        for instance in self.by_port.values():
            instance.group = 0


@contextlib.asynccontextmanager
async def running(*subjects: Instance) -> abc.AsyncIterator[None]:
    """Run several instances and wait until they see each other."""
    async with contextlib.AsyncExitStack() as stack:
        for subject in subjects:
            await stack.enter_async_context(subject.running())
        await until(lambda: agree(*subjects))
        yield


def agree(*subjects: Instance) -> bool:
    """Whether instances see each other and nobody else."""
    names = {subject.name for subject in subjects}
    return all(subject.sees() == names for subject in subjects)


async def until(condition: abc.Callable[[], bool]) -> None:
    """Wait for a condition; fails when it does not come in 20 s."""
    with anyio.fail_after(20.0):
        while not condition():
            await anyio.sleep(0.01)


async def until_on_each_pass(condition: abc.Callable[[], bool]) -> None:
    """Wait as ``until`` does, but check on each pass of the event loop.

    A state that lasts for a round trip between instances cannot be missed.
    """
    with anyio.fail_after(20.0):
        while not condition():
            await anyio.lowlevel.checkpoint()
