"""Instances with peer connections, gossip and membership on loopback."""

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


class PausableClock:
    """The system time, which stands still while its instance is paused."""

    def __init__(self) -> None:
        self._source = clock.SystemClock()
        self._paused_at: float | None = None
        self._skipped = 0.0

    def now(self) -> float:
        """Return the instance's time."""
        if self._paused_at is not None:
            return self._paused_at
        return self._source.now() + self._skipped

    def pause(self) -> None:
        """Stop the instance's time."""
        self._paused_at = self.now()

    def resume(self, skipped: float) -> None:
        """Let the time go on, with a number of seconds added to it."""
        self._paused_at = None
        self._skipped = skipped


class Instance:
    """An instance of a test; ``group`` is its side of a partition."""

    def __init__(self, net: Net, name: str, failure_domain: str) -> None:
        self.name = name
        self.net = net
        self.group = 0
        self.gate = anyio.Event()
        self.gate.set()
        self.clock = PausableClock()
        self._failure_domain = failure_domain
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
        """Run the instance; leaving the context ends it unannounced."""
        async with self.peers.running():
            own = api.Member(
                self.name,
                core.first_incarnation(self.clock.now()),
                *self.peers.address,
                self._failure_domain,
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

    def known_members(self) -> set[str]:
        """Return the names of the members that it does not consider dead."""
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
    """Delays received messages while its instance is paused."""

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
        """Register a handler that waits for the instance's gate."""

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
        """Create instances in three failure domains, without running them."""
        return [
            Instance(self, f'instance-{n}', f'domain-{n % 3}')
            for n in range(count)
        ]

    def enter(self, instance: Instance) -> None:
        """Add a running instance to the platform's list."""
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
        """Close all connections between groups and prevent new ones.

        Connections that are being opened are closed in a later pass.
        """
        for number, group in enumerate(groups):
            for instance in group:
                instance.group = number
        for _ in range(SPLIT_PASSES):
            self._close_connections()
            await anyio.sleep(SPLIT_PASS_SECONDS)

    def _close_connections(self) -> None:
        for one in self.by_port.values():
            for other in self.by_port.values():
                if one.group != other.group:
                    one.peers.disconnect(other.peers.address)

    def heal(self) -> None:
        """Allow connections between all instances again."""
        for instance in self.by_port.values():
            instance.group = 0


@contextlib.asynccontextmanager
async def running(*subjects: Instance) -> abc.AsyncIterator[None]:
    """Run several instances and wait until they know each other."""
    async with contextlib.AsyncExitStack() as stack:
        for subject in subjects:
            await stack.enter_async_context(subject.running())
        await until(lambda: agree(*subjects))
        yield


def agree(*subjects: Instance) -> bool:
    """Whether each instance knows exactly the given instances."""
    names = {subject.name for subject in subjects}
    return all(subject.known_members() == names for subject in subjects)


async def until(condition: abc.Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after 20 seconds."""
    with anyio.fail_after(20.0):
        while not condition():
            await anyio.sleep(0.01)


async def until_on_each_pass(condition: abc.Callable[[], bool]) -> None:
    """Wait like ``until``, but check on each pass of the event loop.

    This detects even a state that lasts only for one round trip.
    """
    with anyio.fail_after(20.0):
        while not condition():
            await anyio.lowlevel.checkpoint()
