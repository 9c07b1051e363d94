"""Sends this instance's load to the owner and receives the owner's view."""

from __future__ import annotations

import math
import typing

import anyio
import msgspec

from . import fencing
from . import members
from . import messages
from ..observe import logs
from . import roster as rosters
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from .. import clock as clocks
    from . import configuration_watch
    from . import controller as controllers
    from . import copies as configuration_copies
    from . import crashes as crash_watches
    from . import departures as departure_news
    from ..fleet import registry as registries
    from . import origins as stream_origins
    from . import ownership as order_ownership
    from . import scheduler as schedulers
    from . import server_limits
    from ..traffic import server_capacity
    from ..traffic import stall_watch
    from ..traffic import tenant_accounts

__all__ = ['Peering']

_LOG: typing.Final = logs.ComponentLog('peering')

# Interval at which an instance sends its load to the owner.
LOAD_INTERVAL_SECONDS: typing.Final = 0.25
# The same while requests wait, which may be for a model or adapter, and while
# a tenant is over its quota.
WAITING_LOAD_INTERVAL_SECONDS: typing.Final = 0.1
CALL_TIMEOUT_SECONDS: typing.Final = 0.5
# Peers that are offered the duty, each within ``CALL_TIMEOUT_SECONDS``.
HAND_OVER_PEERS: typing.Final = 3


class Peering:
    """Sends this instance's load to the owner and applies its view."""

    def __init__(
        self,
        transport: wire_api.Transport,
        ownership: order_ownership.OrderOwnership,
        controller: controllers.Controller,
        registry: registries.Registry,
        clock: clocks.Clock,
        copies: configuration_copies.ConfigurationCopies,
        origins: stream_origins.StreamOrigins,
        departures: departure_news.DepartureNews,
        crashes: crash_watches.CrashWatch,
        limits: server_limits.ServerLimits,
        stalls: stall_watch.StallWatch,
        accounts: tenant_accounts.TenantAccounts,
        capacity: server_capacity.ServerCapacity,
    ) -> None:
        self._stalls = stalls
        self._limits = limits
        self._accounts = accounts
        self._capacity = capacity
        self._transport = transport
        self._crashes = crashes
        crashes.on_report(self.publish_soon)
        self._departures = departures
        self._ownership = ownership
        self._controller = controller
        self._registry = registry
        self._clock = clock
        self._copies = copies
        self._origins = origins
        self._roster = rosters.Roster()
        self._applied_version = 0
        self._applied_roster: tuple[messages.InstanceRow, ...] = ()
        self._wake = anyio.Event()
        self._scheduler: schedulers.Scheduler | None = None
        self._configuration: configuration_watch.ConfigurationWatch | None = (
            None
        )
        transport.register(messages.InstanceLoad, self._handle_load)
        transport.register(messages.FindAdapter, self._handle_find)
        transport.register(messages.HandOver, self._handle_hand_over)
        transport.register(messages.FetchConfiguration, copies.handle_fetch)
        transport.register(messages.ConfigurationBody)
        transport.register(messages.HandOverAnswer)
        transport.register(messages.FleetView)
        transport.register(messages.AdapterFound)

    def attach(
        self,
        scheduler: schedulers.Scheduler,
        configuration: configuration_watch.ConfigurationWatch,
    ) -> None:
        """Set the source of the load and the receivers of the view."""
        self._scheduler = scheduler
        self._configuration = configuration
        scheduler.on_wanting(self.publish_soon)

    def publish_soon(self) -> None:
        """Publish the load at once, with what has just become known."""
        self._wake.set()

    async def find_adapter(
        self,
        service: str,
        model: str,
        adapter: str,
        deadline: float,
        version: str | None = None,
    ) -> str:
        """Return a server that has loaded an adapter, empty for none.

        An owner of an earlier build may return one of another version.
        """
        if self._ownership.is_owner(self._clock.now()):
            return await self._controller.find_adapter(
                service, model, adapter, deadline, version
            )
        address = self._ownership.owner_address
        if address is None:
            return ''
        answer = await self._transport.request(
            wire_api.PeerAddress(*address),
            messages.FindAdapter(service, model, adapter, version),
            messages.AdapterFound,
            deadline,
        )
        return answer.ok.server_id if answer.is_ok() else ''

    async def hand_over(self) -> None:
        """Release the duty, retrying until the store or a peer accepts it."""
        while not await self._ownership.leave():
            if await self._hand_over_to_peer():
                return
            await anyio.sleep(LOAD_INTERVAL_SECONDS)

    async def _hand_over_to_peer(self) -> bool:
        """Offer the duty to some peers; return whether one accepted."""
        for member in self._controller.recent_peers()[:HAND_OVER_PEERS]:
            token = self._ownership.next_hand_over()
            address = members.member_address(member)
            if token is None or address is None:
                return False
            answer = await self._transport.request(
                wire_api.PeerAddress(*address),
                messages.HandOver(
                    self._ownership.member,
                    token.generation,
                    token.hand_over_number,
                    token.store_era,
                ),
                messages.HandOverAnswer,
                self._clock.now() + CALL_TIMEOUT_SECONDS,
            )
            if answer.is_ok() and answer.ok.accepted:
                self._ownership.handed_over(member)
                return True
            _LOG.write('hand_over_failed', member=member)
        return False

    async def run(self) -> typing.NoReturn:
        """Publish the load at intervals and on a new configuration."""
        while True:
            scheduler = self._scheduler
            if scheduler is None:
                await anyio.sleep(LOAD_INTERVAL_SECONDS)
                continue
            urgent = scheduler.waiting > 0 or self._accounts.limited
            with anyio.move_on_after(
                WAITING_LOAD_INTERVAL_SECONDS
                if urgent
                else LOAD_INTERVAL_SECONDS
            ):
                await self._wake.wait()
            self._wake = anyio.Event()
            await self.publish_load(scheduler)

    async def publish_load(self, scheduler: schedulers.Scheduler) -> None:
        """Send the load to the owner once and apply its view."""
        asked_at = self._clock.now()
        is_owner = self._ownership.is_owner(asked_at)
        self._limits.on_owner(is_owner)
        self._accounts.on_owner(is_owner)
        load = self._load(scheduler)
        if is_owner:
            view = self._on_load(load)
            if view is not None:
                self._apply_view(view, asked_at)
                scheduler.assign_waiting()
            return
        address = self._ownership.owner_address
        if address is None:
            self._copies.on_view_lost()
            return
        answer = await self._transport.request(
            wire_api.PeerAddress(*address),
            load,
            messages.FleetView,
            asked_at + CALL_TIMEOUT_SECONDS,
        )
        if answer.is_ok():
            self._apply_view(answer.ok, asked_at)
            self._roster.follow(self._applied_roster)
            scheduler.assign_waiting()
            return
        self._copies.on_view_lost()
        self._ownership.on_owner_unreachable()
        _LOG.write(
            'holder_unreachable',
            address=f'{address.host}:{address.port}',
            reason=answer.error.reason,
        )

    def _load(self, scheduler: schedulers.Scheduler) -> messages.InstanceLoad:
        version, seconds = -1, None
        pools, turns = scheduler.overload.load_rows()
        if self._configuration is not None:
            version = self._configuration.version
            if not self._configuration.versions.behind:
                seconds = self._configuration.confirmed_seconds
        return messages.InstanceLoad(
            self._ownership.member,
            version,
            *_demand_rows(scheduler),
            self._origins.failure_domain,
            self._applied_version,
            tuple(
                messages.VersionDemand(*key, count)
                for key, count in scheduler.version_demand().items()
            ),
            self._departures.rows(),
            seconds if seconds != math.inf else None,
            *self._crashes.load_rows(),
            *self._limits.load_rows(scheduler.permits_wanted()),
            progress=self._stalls.load_rows(),
            usage=self._accounts.load_rows(),
            capacities=self._capacity.load_rows(),
            pools=pools,
            turns=turns,
            probes=self._crashes.probe_rows(),
            probe_progress=self._crashes.probe_progress_rows(),
        )

    def _on_load(
        self, load: messages.InstanceLoad
    ) -> messages.FleetView | None:
        """Record an instance's load; an owner's view has its roster too."""
        now = self._clock.now()
        self._roster.add(load.instance_id, load.failure_domain, now)
        self._departures.apply(load.departures)
        if load.instance_id != self._ownership.member:
            self._crashes.on_load(load)
        view = self._controller.on_load(load)
        if view is None or not self._ownership.is_owner(now):
            return view
        self._capacity.on_load(load)
        version, rows = self._roster.newer_than(load.roster_version, now)
        self._stalls.on_load(load)
        confirmed_at = self._ownership.confirmed_at
        grants = self._limits.on_load(load, confirmed_at)
        allotments = self._accounts.on_load(load, confirmed_at)
        pools: tuple[messages.PoolRow, ...] = ()
        turns = b''
        if self._scheduler is not None:
            exchange = self._scheduler.overload.exchange
            pools, turns = exchange.on_load(load, now)
        return msgspec.structs.replace(
            view,
            roster_version=version,
            roster=rows,
            departures=self._departures.rows(),
            suspects=self._crashes.suspects(),
            verdicts=self._crashes.verdict_rows(),
            limits=self._limits.view_rows(),
            grants=grants,
            stalls=self._stalls.view_rows(),
            allotments=allotments,
            capacities=self._capacity.view_rows(
                self._controller.demand.others_requests(load)
            ),
            pools=pools,
            turns=turns,
            probes=self._crashes.probe_rows(),
        )

    def _apply_view(self, view: messages.FleetView, asked_at: float) -> None:
        """Apply the owner's view, which it made after this time."""
        now = self._clock.now()
        if view.owner != self._ownership.owner:
            self._ownership.on_owner_reported(view.owner)
            return
        self._ownership.update_instance_count(view.instances)
        self._copies.on_view(view.reads_store, view.configuration_holder)
        self._departures.apply(view.departures)
        is_owner = view.owner == self._ownership.member
        self._crashes.on_view(view, is_owner)
        self._limits.on_view(view, asked_at, is_owner)
        self._stalls.on_view(view, asked_at)
        self._accounts.on_view(view)
        self._capacity.on_view(view, asked_at)
        if view.roster:
            self._applied_version = view.roster_version
            self._applied_roster = view.roster
            self._limits.update_members(view.roster)
            self._accounts.update_members(view.roster)
            self._origins.update_roster(view.roster)
        if self._configuration is not None:
            as_of = -math.inf
            if view.configuration_seconds is not None:
                as_of = asked_at - view.configuration_seconds
            self._configuration.on_peer_version(
                view.configuration_version, as_of
            )
        for row in view.engines:
            server = self._registry.get(row.server_id)
            if server is None or server.entry.started_ms != row.started_ms:
                continue
            loaded = {
                model: frozenset(names) for model, names in row.loaded.items()
            }
            server.update_loaded(loaded, now)
            server.update_others_load(row.other_requests, now)
        if self._scheduler is not None:
            exchange = self._scheduler.overload.exchange
            exchange.on_view(view, asked_at, now)
            self._scheduler.update_loading(
                {
                    (row.service, row.model): now + row.seconds
                    for row in view.loading
                }
            )

    async def _handle_load(
        self,
        sender: wire_api.Sender,
        message: messages.InstanceLoad,
        deadline: float,
    ) -> messages.FleetView | None:
        return self._on_load(message)

    async def _handle_hand_over(
        self,
        sender: wire_api.Sender,
        message: messages.HandOver,
        deadline: float,
    ) -> messages.HandOverAnswer:
        token = fencing.OrderToken(
            message.store_era, message.generation, message.hand_over_number
        )
        accepted = self._ownership.take_over(message.predecessor, token)
        return messages.HandOverAnswer(accepted)

    async def _handle_find(
        self,
        sender: wire_api.Sender,
        message: messages.FindAdapter,
        deadline: float,
    ) -> messages.AdapterFound:
        server_id = await self._controller.find_adapter(
            message.service,
            message.model,
            message.adapter,
            deadline,
            message.version,
        )
        return messages.AdapterFound(server_id)


def _demand_rows(
    scheduler: schedulers.Scheduler,
) -> tuple[
    tuple[messages.ModelDemand, ...],
    tuple[messages.AdapterInUse, ...],
    tuple[messages.RunningRequests, ...],
]:
    """Return the demand, the adapters in use and the running requests."""
    rows = tuple(
        messages.ModelDemand(service, model, *load)
        for (service, model), load in scheduler.demand().items()
    )
    used = tuple(
        messages.AdapterInUse(*key) for key in scheduler.adapters_in_use()
    )
    running = tuple(
        messages.RunningRequests(*key, count)
        for key, count in scheduler.running().items()
    )
    return rows, used, running
