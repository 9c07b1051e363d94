"""Builds the components of an instance and runs them on one event loop."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import socket
import typing

import anyio
import anyio.abc

from .. import clock as clocks
from . import callers as caller_server
from . import configuration as configurations
from . import duties
from ..external.http import client as http_client
from ..external.http import engine as http_engine
from ..external.http import lists
from ..external.http import log as http_log
from ..external.http import service as http_service
from ..gossip import core as gossip_core
from ..gossip import shell as gossip_shell
from ..idempotency import shell as idempotency_shell
from . import inforce
from . import instances as instances_module
from ..membership import api as membership_api
from ..membership import core as membership_core
from ..membership import shell as membership_shell
from . import metrics as node_metrics
from . import operators as operator_server
from . import permits
from . import pools
from ..routing import router as routers
from . import snapshots
from . import status as statuses
from . import stopping
from . import upstreams
from . import views as views_module
from . import weights as weights_duty
from ..wire import peers as wire_peers
from ..wire import settings as wire_settings

if typing.TYPE_CHECKING:
    from collections import abc

    from ..settings import schema

__all__ = ['Addresses', 'Instance']

GOSSIP_BANDWIDTH_SHARE: typing.Final = 0.6
READINESS_INTERVAL_SECONDS: typing.Final = 0.1
MAX_VIEW_WAIT_SECONDS: typing.Final = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """The ports that an instance listens on."""

    callers: int
    peers: int
    operators: int


class Instance:
    """An instance of the system; it runs until a planned stop."""

    def __init__(
        self, settings: schema.Settings, clock: clocks.Clock | None = None
    ) -> None:
        self._settings = settings
        self._clock = clock or clocks.SystemClock()
        self._rng = random.Random()
        self._stop = anyio.Event()
        self._stop_now = anyio.Event()
        self._addresses: Addresses | None = None
        self._started = anyio.Event()

    @property
    def addresses(self) -> Addresses | None:
        """The ports, or ``None`` until the instance listens."""
        return self._addresses

    async def started(self) -> Addresses:
        """Wait until the instance listens."""
        await self._started.wait()
        if self._addresses is None:
            raise RuntimeError('the instance did not start')
        return self._addresses

    def stop(self) -> None:
        """Begin a planned stop; a second call ends requests in flight."""
        if self._stop.is_set():
            self._stop_now.set()
        self._stop.set()

    async def run(self) -> None:
        """Run until a planned stop is complete."""
        async with contextlib.AsyncExitStack() as stack:
            connections = await stack.enter_async_context(
                http_client.Connections(self._clock)
            )
            peers = wire_peers.Peers(
                self._wire_settings(), self._clock, self._rng
            )
            await stack.enter_async_context(peers.running())
            components = _Components(
                self._settings, self._clock, self._rng, connections, peers
            )
            await self._run_components(components)

    async def _run_components(self, components: _Components) -> None:
        callers = components.callers.listen()
        operators = components.operators.listen()
        self._addresses = Addresses(
            callers=_port(callers),
            peers=components.peers.address.port,
            operators=_port(operators),
        )
        closed = anyio.Event()
        async with anyio.create_task_group() as outer:
            outer.start_soon(components.operators.serve, operators, closed)
            async with anyio.create_task_group() as group:
                for run in components.background():
                    group.start_soon(run)
                self._started.set()
                await self._serve_callers(components, callers)
                group.cancel_scope.cancel()
            closed.set()

    async def _serve_callers(
        self, components: _Components, listener: socket.socket
    ) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(components.callers.serve, listener)
            group.start_soon(
                components.stopping.run, self._stop, self._stop_now
            )

    def _wire_settings(self) -> wire_settings.WireSettings:
        settings = self._settings
        return wire_settings.WireSettings(
            instance_id=settings.instance.instance_id,
            address=settings.peers.listen.address,
            port=settings.peers.listen.port,
            secrets=tuple(
                secret.encode() for secret in settings.peers.secrets
            ),
        )


class _Components:
    """Builds the components of an instance in the order of dependency."""

    def __init__(
        self,
        settings: schema.Settings,
        clock: clocks.Clock,
        rng: random.Random,
        connections: http_client.Connections,
        peers: wire_peers.Peers,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._started_at = clock.now()
        self.peers = peers
        instance_id = settings.instance.instance_id
        own = self._own_member()
        boot = membership_api.boot_of(own.incarnation)
        platform = settings.platform
        log = http_log.HttpLog(
            connections, clock, platform.log.address, platform.log.port
        )
        engine = http_engine.HttpEngine(connections)
        services = http_service.HttpPlainService(connections)
        self._router = routers.ScoringRouter(settings.instance.failure_domain)
        self._replicated_map = gossip_shell.GossipMap(
            peers,
            clock,
            rng,
            gossip_core.GossipSettings(
                bytes_per_second=settings.agreement.control_bytes_per_second
                * GOSSIP_BANDWIDTH_SHARE
            ),
        )
        self._watch = instances_module.InstanceWatch(
            lists.HttpInstanceList(
                connections,
                platform.instance_list.address,
                platform.instance_list.port,
            ),
            self._replicated_map,
            self._router,
            clock,
        )
        self._membership = membership_shell.GossipMembership(
            own, peers, self._replicated_map, self._watch, clock, rng
        )
        self._snapshots = snapshots.PeerSnapshots(
            instance_id, peers, self._membership, rng
        )
        self._configuration = configurations.Configuration(
            log, self._snapshots, clock, rng
        )
        self._views = views_module.ViewExchange(
            self._replicated_map, self._router, clock
        )
        self._claims = idempotency_shell.LogClaims(
            idempotency_shell.ClaimSettings(
                shards=settings.agreement.claim_shards
            ),
            log,
            self._membership,
            peers,
            clock,
            rng,
            self._snapshots,
        )
        duty_dependencies = duties.DutyDependencies(
            instance_id=instance_id,
            incarnation=boot,
            log=log,
            membership=self._membership,
            peer_snapshots=self._snapshots,
            clock=clock,
            rng=rng,
            checkpoint_entries=settings.agreement.checkpoint_entries,
        )
        self._checkpoints = duties.StreamCheckpoints(
            duty_dependencies, self._unowned_streams()
        )
        self._weights = weights_duty.WeightsDuty(
            duty_dependencies,
            self._replicated_map,
            lambda: peers.address,
            self._configuration.catalog,
        )
        self.callers = caller_server.CallerServer(
            settings,
            clock,
            rng,
            caller_server.CallerDependencies(
                configuration=self._configuration,
                router=self._router,
                claims=self._claims,
                engine=engine,
                services=services,
                transport=peers,
                membership=self._membership,
                replicated_map=self._replicated_map,
                views=self._views,
                boot=boot,
            ),
        )
        self._pools = pools.PoolDuties(
            duty_dependencies,
            pools.PoolDependencies(
                engine=engine,
                permits=permits.RoutedPermits(
                    peers,
                    self._weights.permits,
                    self._weights.owner_address,
                    lambda: self._weights.is_owner,
                ),
                views=self._views,
                demand=self.callers.demand,
                instances=self._watch,
                catalog=self._configuration.catalog,
            ),
        )
        self._poller = upstreams.UpstreamPoller(
            engine,
            services,
            self._router,
            self._configuration.catalog,
            lambda: self._views.views,
            clock,
        )
        self.operators = operator_server.OperatorServer(
            settings.operators,
            clock,
            statuses.InstanceStatus(
                self._membership,
                clock,
                self.callers.health,
                self._configuration,
                self._views,
                self._router,
                self._pools,
                self._weights,
                inforce.InForceQuery(
                    instance_id,
                    peers,
                    self._membership,
                    lambda: self._configuration.offset,
                ),
            ),
            self.callers.registry,
            self.callers.guard,
        )
        node_metrics.register(
            self.callers.registry,
            peers.traffic,
            self._configuration,
            self._membership,
            self._claims,
            self._pools,
        )
        self.stopping = stopping.PlannedStop(
            settings,
            clock,
            own,
            lambda: peers.address,
            self._watch,
            self._membership,
            self._pools,
            self._weights,
            self.callers,
        )

    def background(
        self,
    ) -> abc.Iterator[
        abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]]
    ]:
        """Yield the tasks that run beside the callers' server."""
        yield self._watch.run
        yield self._replicated_map.run
        yield self._membership.run
        yield self._configuration.run
        yield self._claims.run
        yield self._weights.duty.run
        yield self._pools.run
        yield self._poller.run
        yield self._checkpoints.run
        yield self.stopping.announce
        yield self.callers.run_background
        yield self._update_readiness

    async def _update_readiness(self) -> None:
        while True:
            health = self.callers.health
            health.set_ready('configuration', self._configuration.ready)
            health.set_ready('claims', self._claims_ready())
            health.set_ready('pools', self._pools_ready())
            await anyio.sleep(READINESS_INTERVAL_SECONDS)

    def _pools_ready(self) -> bool:
        """Whether this instance has received the view of each pool.

        After ``MAX_VIEW_WAIT_SECONDS`` it is ready in any case, since a pool
        without an owner has no view.
        """
        if self._clock.now() >= self._started_at + MAX_VIEW_WAIT_SECONDS:
            return True
        return self._configuration.ready and all(
            self._views.view(pool) is not None
            for pool in self._configuration.catalog().pools
        )

    def _claims_ready(self) -> bool:
        if not self._configuration.log_reachable:
            return True
        return all(follower.caught_up for follower in self._claims.followers)

    def _unowned_streams(self) -> tuple[typing.Any, ...]:
        return (self._configuration.follower, *self._claims.followers)

    def _own_member(self) -> membership_api.Member:
        settings = self._settings
        return membership_api.Member(
            instance_id=settings.instance.instance_id,
            incarnation=membership_core.first_incarnation(self._clock.now()),
            address=self.peers.address.address,
            port=self.peers.address.port,
            failure_domain=settings.instance.failure_domain,
            state=membership_api.MemberState.LIVE,
        )


def _port(listener: socket.socket) -> int:
    return int(listener.getsockname()[1])
