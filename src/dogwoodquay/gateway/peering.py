"""Tells the holder of the engines' orders what callers need."""

from __future__ import annotations

import typing

import anyio

from . import duty as duties
from . import messages
from ..observe import logs
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from .. import clock as clocks
    from . import controller as controllers
    from ..fleet import registry as registries
    from . import scheduler as schedulers
    from . import watch

__all__ = ['Peering']

_LOG: typing.Final = logs.PartLog('peering')

TELL_SECONDS: typing.Final = 0.25
# The same while requests wait, which may be for a model or adapter.
TELL_WAITING_SECONDS: typing.Final = 0.1
CALL_SECONDS: typing.Final = 0.5
# Peers that are asked to take the duty, each within ``CALL_SECONDS``.
HAND_OVER_PEERS: typing.Final = 3


class Peering:
    """Tells the holder this instance's load and takes in its view."""

    def __init__(
        self,
        transport: wire_api.Transport,
        duty: duties.Duty,
        controller: controllers.Controller,
        registry: registries.Registry,
        clock: clocks.Clock,
    ) -> None:
        self._transport = transport
        self._duty = duty
        self._controller = controller
        self._registry = registry
        self._clock = clock
        self._scheduler: schedulers.Scheduler | None = None
        self._configuration: watch.ConfigurationWatch | None = None
        transport.register(messages.InstanceLoad, self._handle_load)
        transport.register(messages.FindAdapter, self._handle_find)
        transport.register(messages.HandOver, self._handle_hand_over)
        transport.register(messages.HandOverAnswer)
        transport.register(messages.FleetView)
        transport.register(messages.AdapterFound)

    def attach(
        self,
        scheduler: schedulers.Scheduler,
        configuration: watch.ConfigurationWatch,
    ) -> None:
        """Set whose load is told and who learns of the view."""
        self._scheduler = scheduler
        self._configuration = configuration

    async def find(
        self, service: str, model: str, adapter: str, deadline: float
    ) -> str:
        """Return a server that has an adapter by now, empty for none."""
        if self._duty.holds(self._clock.now()):
            return await self._controller.find(
                service, model, adapter, deadline
            )
        owner = self._duty.owner
        if owner is None:
            return ''
        answer = await self._transport.request(
            wire_api.PeerAddress(*owner),
            messages.FindAdapter(service, model, adapter),
            messages.AdapterFound,
            deadline,
        )
        return answer.ok.server_id if answer.is_ok() else ''

    async def hand_over(self) -> None:
        """Give the duty up until the store or a peer has taken it."""
        while not await self._duty.leave():
            if await self._handed_over():
                return
            await anyio.sleep(TELL_SECONDS)

    async def _handed_over(self) -> bool:
        """Ask some peers to take the duty; return whether one did."""
        for member in self._controller.peers()[:HAND_OVER_PEERS]:
            number = self._duty.next_number()
            address = duties.member_address(member)
            if number is None or address is None:
                return False
            answer = await self._transport.request(
                wire_api.PeerAddress(*address),
                messages.HandOver(self._duty.member, *number),
                messages.HandOverAnswer,
                self._clock.now() + CALL_SECONDS,
            )
            if answer.is_ok() and answer.ok.taken:
                self._duty.handed_to(member)
                return True
            _LOG.write('hand_over_failed', member=member)
        return False

    async def run(self) -> typing.NoReturn:
        """Tell the load for ever."""
        while True:
            scheduler = self._scheduler
            if scheduler is None:
                await anyio.sleep(TELL_SECONDS)
                continue
            waiting = scheduler.waiting > 0
            await anyio.sleep(
                TELL_WAITING_SECONDS if waiting else TELL_SECONDS
            )
            await self.tell(scheduler)

    async def tell(self, scheduler: schedulers.Scheduler) -> None:
        """Tell the holder the load once and take in its view."""
        version = -1
        if self._configuration is not None:
            version = self._configuration.version
        load = _load(self._duty.member, version, scheduler)
        if self._duty.holds(self._clock.now()):
            view = self._controller.take(load)
            if view is not None:
                self._take(view)
                scheduler.pump()
            return
        owner = self._duty.owner
        if owner is None:
            return
        answer = await self._transport.request(
            wire_api.PeerAddress(*owner),
            load,
            messages.FleetView,
            self._clock.now() + CALL_SECONDS,
        )
        if answer.is_ok():
            self._take(answer.ok)
            scheduler.pump()
            return
        self._duty.unreachable()
        _LOG.write(
            'holder_unreachable',
            address=f'{owner.host}:{owner.port}',
            reason=answer.error.reason,
        )

    def _take(self, view: messages.FleetView) -> None:
        now = self._clock.now()
        if view.holder != self._duty.holder:
            self._duty.follow(view.holder)
            return
        self._duty.note_instances(view.instances)
        if self._configuration is not None:
            self._configuration.heard_of(view.configuration_version)
        for row in view.engines:
            server = self._registry.get(row.server_id)
            if server is None or server.entry.started_ms != row.started_ms:
                continue
            held = {
                model: frozenset(names) for model, names in row.held.items()
            }
            server.update_loaded(held, now)
            server.update_others_load(row.others, now)
        if self._scheduler is not None:
            self._scheduler.note_coming(
                {
                    (row.service, row.model): now + row.seconds
                    for row in view.coming
                }
            )

    async def _handle_load(
        self,
        sender: wire_api.Sender,
        message: messages.InstanceLoad,
        deadline: float,
    ) -> messages.FleetView | None:
        return self._controller.take(message)

    async def _handle_hand_over(
        self,
        sender: wire_api.Sender,
        message: messages.HandOver,
        deadline: float,
    ) -> messages.HandOverAnswer:
        taken = self._duty.take_over(
            message.predecessor, message.generation, message.number
        )
        return messages.HandOverAnswer(taken)

    async def _handle_find(
        self,
        sender: wire_api.Sender,
        message: messages.FindAdapter,
        deadline: float,
    ) -> messages.AdapterFound:
        server_id = await self._controller.find(
            message.service, message.model, message.adapter, deadline
        )
        return messages.AdapterFound(server_id)


def _load(
    instance_id: str, version: int, scheduler: schedulers.Scheduler
) -> messages.InstanceLoad:
    rows = tuple(
        messages.ModelRow(service, model, *load)
        for (service, model), load in scheduler.loads().items()
    )
    used = tuple(
        messages.AdapterInUse(*key) for key in scheduler.adapters_in_use()
    )
    running = tuple(
        messages.RunningRow(*key, count)
        for key, count in scheduler.running().items()
    )
    return messages.InstanceLoad(instance_id, version, rows, used, running)
