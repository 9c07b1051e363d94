"""One instance: all its parts, wired together and run on one loop."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import socket
import typing

import anyio
import anyio.abc

from .. import clock as clocks
from . import callers as caller_side
from . import configuration as configurations
from . import duties
from ..external import http as external_http
from ..gossip import core as gossip_core
from ..gossip import shell as gossip_shell
from ..idempotency import shell as idempotency_shell
from . import inforce
from . import instances as watches
from ..membership import api as membership_api
from ..membership import core as membership_core
from ..membership import shell as membership_shell
from . import metrics as node_metrics
from . import operators as operator_side
from . import permits
from . import pools
from ..routing import router as routers
from . import snapshots
from . import status as statuses
from . import stopping
from . import upstreams
from . import views as boards
from . import weights as weights_duty
from ..wire import peers as wire_peers
from ..wire import settings as wire_settings

if typing.TYPE_CHECKING:
    from collections import abc

    from ..settings import schema

__all__ = ['Addresses', 'Instance']

GOSSIP_SHARE: typing.Final = 0.6
READINESS_SECONDS: typing.Final = 0.1
VIEWS_SECONDS: typing.Final = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """The ports that an instance listens on, exact once it runs."""

    callers: int
    peers: int
    operators: int


class Instance:
    """Runs until it is stopped; ``stop`` begins a planned stop."""

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
        """Where the instance listens, once it does."""
        return self._addresses

    async def started(self) -> Addresses:
        """Wait until the instance listens."""
        await self._started.wait()
        if self._addresses is None:
            raise RuntimeError('the instance did not start')
        return self._addresses

    def stop(self) -> None:
        """Begin a planned stop; a second call ends it at once."""
        if self._stop.is_set():
            self._stop_now.set()
        self._stop.set()

    async def run(self) -> None:
        """Run from the start to the end of a planned stop."""
        async with contextlib.AsyncExitStack() as stack:
            connections = await stack.enter_async_context(
                external_http.Connections(self._clock)
            )
            peers = wire_peers.Peers(
                self._wire_settings(), self._clock, self._rng
            )
            await stack.enter_async_context(peers.running())
            parts = _Parts(
                self._settings, self._clock, self._rng, connections, peers
            )
            await self._run_parts(parts)

    async def _run_parts(self, parts: _Parts) -> None:
        callers = parts.callers.listen()
        operators = parts.operators.listen()
        self._addresses = Addresses(
            callers=_port(callers),
            peers=parts.peers.address.port,
            operators=_port(operators),
        )
        closed = anyio.Event()
        async with anyio.create_task_group() as outer:
            outer.start_soon(parts.operators.serve, operators, closed)
            async with anyio.create_task_group() as group:
                for run in parts.background():
                    group.start_soon(run)
                self._started.set()
                await self._serve_callers(parts, callers)
                group.cancel_scope.cancel()
            closed.set()

    async def _serve_callers(
        self, parts: _Parts, listener: socket.socket
    ) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(parts.callers.serve, listener)
            group.start_soon(parts.stopping.run, self._stop, self._stop_now)

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


class _Parts:
    """Builds the parts of an instance in the order of their needs."""

    def __init__(
        self,
        settings: schema.Settings,
        clock: clocks.Clock,
        rng: random.Random,
        connections: external_http.Connections,
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
        log = external_http.HttpLog(
            connections, clock, platform.log.address, platform.log.port
        )
        engine = external_http.HttpEngine(connections)
        services = external_http.HttpPlainService(connections)
        self._router = routers.ScoringRouter(settings.instance.failure_domain)
        self._replicated_map = gossip_shell.GossipMap(
            peers,
            clock,
            rng,
            gossip_core.GossipSettings(
                bytes_per_second=settings.agreement.control_bytes_per_second
                * GOSSIP_SHARE
            ),
        )
        self._watch = watches.InstanceWatch(
            external_http.HttpInstanceList(
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
        self._views = boards.ViewBoard(
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
        duty_parts = duties.DutyParts(
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
            duty_parts, self._checkpointed()
        )
        self._weights = weights_duty.WeightsDuty(
            duty_parts,
            self._replicated_map,
            lambda: peers.address,
            self._configuration.catalog,
        )
        self.callers = caller_side.CallerSide(
            settings,
            clock,
            rng,
            caller_side.CallerParts(
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
            duty_parts,
            pools.PoolParts(
                engine=engine,
                permits=permits.RoutedPermits(
                    peers,
                    self._weights.permits,
                    self._weights.owner_address,
                    lambda: self._weights.owned,
                ),
                views=self._views,
                demand=self.callers.demand,
                instances=self._watch,
                catalog=self._configuration.catalog,
            ),
        )
        self._polls = upstreams.UpstreamPolls(
            engine,
            services,
            self._router,
            self._configuration.catalog,
            lambda: self._views.views,
            clock,
        )
        self.operators = operator_side.OperatorSide(
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
        """Yield what runs beside the callers' listener."""
        yield self._watch.run
        yield self._replicated_map.run
        yield self._membership.run
        yield self._configuration.run
        yield self._claims.run
        yield self._weights.duty.run
        yield self._pools.run
        yield self._polls.run
        yield self._checkpoints.run
        yield self.stopping.announce
        yield self.callers.run_background
        yield self._follow_readiness

    async def _follow_readiness(self) -> None:
        while True:
            health = self.callers.health
            health.set_ready('configuration', self._configuration.ready)
            health.set_ready('claims', self._claims_ready())
            health.set_ready('pools', self._pools_ready())
            await anyio.sleep(READINESS_SECONDS)

    def _pools_ready(self) -> bool:
        """Whether routing knows the contents of each pool.

        A pool that nobody owns yet holds readiness up only for a while.
        """
        if self._clock.now() >= self._started_at + VIEWS_SECONDS:
            return True
        return self._configuration.ready and all(
            self._views.view(pool) is not None
            for pool in self._configuration.catalog().pools
        )

    def _claims_ready(self) -> bool:
        if not self._configuration.log_reachable:
            return True
        return all(found.caught_up for found in self._claims.followers)

    def _checkpointed(self) -> tuple[typing.Any, ...]:
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
