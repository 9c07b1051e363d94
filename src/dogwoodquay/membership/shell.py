"""Runs the failure detector over the peer protocol and gossip."""

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
DEAD_LIFETIME_SECONDS: typing.Final = 3600.0
LIST_INTERVAL_SECONDS: typing.Final = 10.0
ISOLATED_LIST_INTERVAL_SECONDS: typing.Final = 0.5
LIST_TIMEOUT_SECONDS: typing.Final = 5.0


class GossipMembership:
    """Implements ``api.Membership``.

    :param own: this instance as a member; its incarnation comes from
        ``core.first_incarnation``.
    :param list_seconds: the interval between reads of the platform's list.
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
        list_seconds: float = LIST_INTERVAL_SECONDS,
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
        self._task_group: anyio.abc.TaskGroup | None = None
        transport.register(messages.Ping, self._on_ping)
        transport.register(messages.PingFor, self._on_ping_for)
        transport.register(messages.Pong)
        replicated_map.watch(KEY_PREFIX, self._on_item)

    @property
    def own(self) -> api.Member:
        """This instance as a member."""
        return self._detector.own

    @property
    def trusted(self) -> bool:
        """Whether the members are current enough to claim duties by them."""
        return self._detector.trusted

    @property
    def pauses(self) -> int:
        """The number of pauses of this instance that it detected."""
        return self._detector.pauses

    def is_dead(self, instance_id: str, incarnation: int) -> bool:
        """Whether a process is known to have ended."""
        return self._detector.is_dead(instance_id, incarnation)

    def members(self) -> tuple[api.Member, ...]:
        """Return all known members that are not dead, this one included."""
        return self._detector.members()

    def live(self) -> tuple[api.Member, ...]:
        """Return the members that can own duties: live or suspected ones."""
        eligible = (api.MemberState.LIVE, api.MemberState.SUSPECTED)
        return tuple(m for m in self.members() if m.state in eligible)

    def watch(self, callback: abc.Callable[[api.Member], None]) -> None:
        """Register a callback for each change of a member."""
        self._watchers.append(callback)

    def announce_leaving(self) -> None:
        """Publish that this instance is leaving and takes no new duties."""
        self._perform(self._detector.announce_leaving())

    def announce_exit(self) -> None:
        """Publish that this instance exits now."""
        self._perform(self._detector.announce_exit())

    async def run(self) -> None:
        """Probe members and poll the platform's list until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._task_group = tasks
            tasks.start_soon(self._poll_instance_list)
            self._perform(self._detector.start())
            while True:
                self._perform(self._detector.tick(self._clock.now()))
                await anyio.sleep(self._limits.probe_seconds / 5)

    async def _poll_instance_list(self) -> None:
        while True:
            deadline = self._clock.now() + LIST_TIMEOUT_SECONDS
            listed = await self._instances.instances(deadline)
            if listed.is_ok():
                self._detector.update_instance_list(listed.ok)
            pause = self._list_seconds
            if len(self.members()) == 1:
                pause = min(pause, ISOLATED_LIST_INTERVAL_SECONDS)
            await anyio.sleep(pause * self._rng.uniform(0.8, 1.2))

    async def _on_ping(
        self, sender: wire_api.Sender, ping: messages.Ping, deadline: float
    ) -> messages.Pong:
        pong, effects = self._detector.on_ping(ping, self._clock.now())
        self._perform(effects)
        return pong

    async def _on_ping_for(
        self,
        sender: wire_api.Sender,
        request: messages.PingFor,
        deadline: float,
    ) -> messages.Pong | None:
        ping = self._detector.ping(request.target.instance_id)
        answer = await self._transport.request(
            _address(request.target), ping, messages.Pong, deadline
        )
        if answer.is_error():
            return None
        return messages.Pong(answer.ok.sender, 0)

    def _on_item(self, item: gossip_api.Item) -> None:
        try:
            member = msgspec.msgpack.decode(item.payload, type=api.Member)
        except msgspec.MsgspecError:
            return
        self._perform(self._detector.update_member(member, self._clock.now()))

    def _perform(self, effects: list[fx.Effect]) -> None:
        for effect in effects:
            match effect:
                case fx.Publish(member):
                    self._publish(member)
                case fx.NotifyWatchers(member):
                    self._notify(member)
                case fx.SetNeighbours(members):
                    addresses = [_address(member) for member in members]
                    self._replicated_map.set_neighbours(addresses)
                case fx.Probe() | fx.IndirectProbe() | fx.Contact():
                    self._start_request(effect)

    def _publish(self, member: api.Member) -> None:
        version = gossip_api.Version(member.incarnation, member.state)
        payload = msgspec.msgpack.encode(member)
        expires_at = 0.0
        if member.state is api.MemberState.DEAD:
            expires_at = self._clock.now() + DEAD_LIFETIME_SECONDS
        key = KEY_PREFIX + member.instance_id
        self._replicated_map.put(
            gossip_api.Item(key, version, payload, expires_at)
        )

    def _notify(self, member: api.Member) -> None:
        for callback in list(self._watchers):
            callback(member)

    def _start_request(
        self, effect: fx.Probe | fx.IndirectProbe | fx.Contact
    ) -> None:
        if self._task_group is not None:
            self._task_group.start_soon(self._send_request, effect)

    async def _send_request(
        self, effect: fx.Probe | fx.IndirectProbe | fx.Contact
    ) -> None:
        peer, message = self._request_of(effect)
        answer = await self._transport.request(
            peer, message, messages.Pong, effect.deadline
        )
        now = self._clock.now()
        probe_id = 0 if isinstance(effect, fx.Contact) else effect.probe_id
        if answer.is_ok():
            self._perform(self._detector.on_pong(probe_id, answer.ok, now))
        else:
            self._perform(self._detector.on_probe_failure(probe_id, now))

    def _request_of(
        self, effect: fx.Probe | fx.IndirectProbe | fx.Contact
    ) -> tuple[wire_api.PeerAddress, wire_api.Message]:
        own = self._detector.own
        match effect:
            case fx.Probe(_, target, _):
                ping = self._detector.ping(target.instance_id)
                return _address(target), ping
            case fx.IndirectProbe(_, relay, target, _):
                return _address(relay), messages.PingFor(own, target)
            case fx.Contact(instance_id, address, _):
                return address, self._detector.ping(instance_id)


def _address(member: api.Member) -> wire_api.PeerAddress:
    return wire_api.PeerAddress(member.address, member.port)
