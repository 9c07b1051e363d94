"""Runs the failure detector over the inner protocol and the board."""

from __future__ import annotations

import typing

import anyio
import msgspec

from . import api
from . import core
from . import effects as fx
from ..gossip import api as gossip_api
from . import messages
from . import settings
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clocks
    from ..external import api as external_api
    from ..gossip import shell as gossip_shell

__all__ = ['GossipMembership']

KEY_PREFIX: typing.Final = 'member/'
DEAD_SECONDS: typing.Final = 3600.0
LIST_SECONDS: typing.Final = 10.0
ALONE_SECONDS: typing.Final = 0.5
LIST_DEADLINE_SECONDS: typing.Final = 5.0


class GossipMembership:
    """Implements ``api.Membership``.

    :param own: this instance's record; its incarnation comes from
        ``core.first_incarnation``.
    :param list_seconds: how often the platform's list is read.
    """

    def __init__(
        self,
        own: api.Member,
        transport: wire_api.Transport,
        replicated_map: gossip_shell.GossipMap,
        instances: external_api.InstanceList,
        clock: clocks.Clock,
        rng: random.Random,
        limits: settings.DetectorSettings | None = None,
        list_seconds: float = LIST_SECONDS,
    ) -> None:
        self._transport = transport
        self._replicated_map = replicated_map
        self._instances = instances
        self._clock = clock
        self._rng = rng
        self._limits = limits or settings.DetectorSettings()
        self._detector = core.Detector(own, self._limits, rng, clock.now())
        self._list_seconds = list_seconds
        self._watchers: list[abc.Callable[[api.Member], None]] = []
        self._tasks: anyio.abc.TaskGroup | None = None
        transport.register(messages.Ping, self._on_ping)
        transport.register(messages.PingFor, self._on_ping_for)
        transport.register(messages.Pong)
        replicated_map.watch(KEY_PREFIX, self._on_item)

    @property
    def own(self) -> api.Member:
        """This instance's own record."""
        return self._detector.own

    @property
    def trusted(self) -> bool:
        """Whether the view is current enough to propose duties from."""
        return self._detector.trusted

    @property
    def pauses(self) -> int:
        """How often this instance found that it had been paused."""
        return self._detector.pauses

    def dead(self, instance_id: str, incarnation: int) -> bool:
        """Whether a process is known to be gone."""
        return self._detector.dead(instance_id, incarnation)

    def members(self) -> tuple[api.Member, ...]:
        """Return all known members but the dead, this one included."""
        return self._detector.members()

    def live(self) -> tuple[api.Member, ...]:
        """Return members that can take duties: live or only suspected."""
        able = (api.MemberState.LIVE, api.MemberState.SUSPECTED)
        return tuple(m for m in self.members() if m.state in able)

    def watch(self, callback: abc.Callable[[api.Member], None]) -> None:
        """Call back with each change of a member."""
        self._watchers.append(callback)

    def leave(self) -> None:
        """Tell all that this instance takes no new duties."""
        self._run(self._detector.leave())

    def gone(self) -> None:
        """Tell all that this instance exits now."""
        self._run(self._detector.gone())

    async def run(self) -> None:
        """Probe, answer and follow the platform's list until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._follow_list)
            self._run(self._detector.start())
            while True:
                self._run(self._detector.tick(self._clock.now()))
                await anyio.sleep(self._limits.probe_seconds / 5)

    async def _follow_list(self) -> None:
        while True:
            deadline = self._clock.now() + LIST_DEADLINE_SECONDS
            listed = await self._instances.instances(deadline)
            if listed.is_ok():
                self._detector.listed(listed.ok)
            pause = self._list_seconds
            if len(self.members()) == 1:
                pause = min(pause, ALONE_SECONDS)
            await anyio.sleep(pause * self._rng.uniform(0.8, 1.2))

    async def _on_ping(
        self, sender: wire_api.Sender, ping: messages.Ping, deadline: float
    ) -> messages.Pong:
        pong, effects = self._detector.pinged(ping, self._clock.now())
        self._run(effects)
        return pong

    async def _on_ping_for(
        self, sender: wire_api.Sender, asked: messages.PingFor, deadline: float
    ) -> messages.Pong | None:
        ping = self._detector.ping(asked.target.instance_id)
        answer = await self._transport.request(
            _address(asked.target), ping, messages.Pong, deadline
        )
        if answer.is_error():
            return None
        return messages.Pong(answer.ok.sender, 0)

    def _on_item(self, item: gossip_api.Item) -> None:
        try:
            member = msgspec.msgpack.decode(item.payload, type=api.Member)
        except msgspec.MsgspecError:
            return
        self._run(self._detector.learn(member, self._clock.now()))

    def _run(self, effects: list[fx.Effect]) -> None:
        for effect in effects:
            match effect:
                case fx.Publish(member):
                    self._publish(member)
                case fx.Changed(member):
                    self._notify(member)
                case fx.Neighbours(members):
                    addresses = [_address(member) for member in members]
                    self._replicated_map.set_neighbours(addresses)
                case fx.Probe() | fx.ProbeVia() | fx.Contact():
                    self._start(effect)

    def _publish(self, member: api.Member) -> None:
        version = gossip_api.Version(member.incarnation, member.state)
        payload = msgspec.msgpack.encode(member)
        expires_at = 0.0
        if member.state is api.MemberState.DEAD:
            expires_at = self._clock.now() + DEAD_SECONDS
        key = KEY_PREFIX + member.instance_id
        self._replicated_map.put(
            gossip_api.Item(key, version, payload, expires_at)
        )

    def _notify(self, member: api.Member) -> None:
        for callback in list(self._watchers):
            callback(member)

    def _start(self, effect: fx.Probe | fx.ProbeVia | fx.Contact) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(self._ask, effect)

    async def _ask(self, effect: fx.Probe | fx.ProbeVia | fx.Contact) -> None:
        peer, message = self._question(effect)
        answer = await self._transport.request(
            peer, message, messages.Pong, effect.deadline
        )
        now = self._clock.now()
        probe_id = 0 if isinstance(effect, fx.Contact) else effect.probe_id
        if answer.is_ok():
            self._run(self._detector.ponged(probe_id, answer.ok, now))
        else:
            self._run(self._detector.probe_failed(probe_id, now))

    def _question(
        self, effect: fx.Probe | fx.ProbeVia | fx.Contact
    ) -> tuple[wire_api.PeerAddress, wire_api.Message]:
        own = self._detector.own
        match effect:
            case fx.Probe(_, target, _):
                ping = self._detector.ping(target.instance_id)
                return _address(target), ping
            case fx.ProbeVia(_, relay, target, _):
                return _address(relay), messages.PingFor(own, target)
            case fx.Contact(instance_id, address, _):
                return address, self._detector.ping(instance_id)


def _address(member: api.Member) -> wire_api.PeerAddress:
    return wire_api.PeerAddress(member.address, member.port)
