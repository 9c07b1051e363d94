"""The part of an instance that serves callers over HTTP."""

from __future__ import annotations

import dataclasses
import typing

import anyio

from ..admission import controller
from . import capacity
from . import demand as demands
from ..dispatch import dispatcher as dispatchers
from ..dispatch import metrics as request_metrics
from ..entry import app as entry_app
from ..entry import guard as guards
from ..entry import health as health_module
from ..entry import limits as limits_module
from ..entry import server as entry_server
from ..entry import streams as entry_streams
from ..observe import metrics as metrics_module
from ..observe import process
from . import observed
from . import relay
from ..retry import budget
from ..routing import api as routing_api
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    import random
    import socket

    from .. import clock as clocks
    from . import configuration as configurations
    from ..external import api as external_api
    from ..gossip import api as gossip_api
    from ..idempotency import api as idempotency_api
    from ..membership import api as membership_api
    from ..records import api as records_api
    from ..settings import schema
    from . import views as views_module

__all__ = ['CallerDependencies', 'CallerServer']

CAPACITY_INTERVAL_SECONDS: typing.Final = 0.5


@dataclasses.dataclass(frozen=True)
class CallerDependencies:
    """The components and data that the callers' server depends on."""

    configuration: configurations.Configuration
    router: routing_api.Router
    claims: idempotency_api.Claims
    engine: external_api.Engine
    services: external_api.PlainService
    transport: wire_api.Transport
    membership: membership_api.Membership
    replicated_map: gossip_api.ReplicatedMap
    views: views_module.ViewExchange
    boot: int


class CallerServer:
    """Builds and runs the components that serve callers."""

    def __init__(
        self,
        settings: schema.Settings,
        clock: clocks.Clock,
        rng: random.Random,
        dependencies: CallerDependencies,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._dependencies = dependencies
        self._shutdown = anyio.Event()
        self._admission = controller.FairAdmission()
        instance_id = settings.instance.instance_id
        catalog = dependencies.configuration.catalog
        self._registry = metrics_module.Registry(instance_id)
        self._health = health_module.Health(
            ('configuration', 'claims', 'pools')
        )
        self._demand = demands.DemandExchange(
            instance_id,
            dependencies.transport,
            clock,
            catalog,
            self._pool_owner,
            self._admission.waiting,
            self._relative_latencies,
        )
        self._shares = demands.ShareExchange(
            instance_id,
            dependencies.boot,
            dependencies.replicated_map,
            self._admission,
            clock,
            catalog,
        )
        self._capacity = capacity.CapacityUpdater(
            self._admission,
            dependencies.router,
            dependencies.membership,
            catalog,
        )
        metrics = request_metrics.RequestMetrics(self._registry)
        self._dispatcher = dispatchers.Dispatcher(
            catalog,
            dependencies.router,
            observed.ObservedAdmission(
                self._admission,
                (self._demand.record_request, self._shares.record_request),
            ),
            budget.BudgetedRetries(rng),
            dependencies.claims,
            dependencies.engine,
            dependencies.services,
            clock,
            rng,
            metrics,
            self._demand.record_answer,
        )
        limits = _limits(settings)
        streams = entry_streams.StreamTable(instance_id, clock, limits)
        self._relay = relay.StreamRelay(
            streams,
            dependencies.transport,
            dependencies.membership,
            clock,
            limits.max_deadline_seconds,
        )
        self._app = entry_app.EntryApp(
            self._dispatcher,
            streams,
            catalog,
            clock,
            limits,
            metrics,
            self._health,
            remote_streams=self._relay,
            rng=rng,
        )
        self._guard = guards.ConnectionGuard(
            guards.GuardSettings(
                memory_bytes=settings.callers.max_memory_bytes,
                descriptors=process.descriptor_limit(),
                write_seconds=limits.whole_write_seconds,
            ),
            clock,
            metrics.client_released,
        )
        self._relay.set_cancel_handler(self._app.cancel_stream)
        dependencies.configuration.watch(self._update_catalog)
        dependencies.membership.watch(self._on_member_change)

    @property
    def health(self) -> health_module.Health:
        """The readiness of this instance and of its parts."""
        return self._health

    @property
    def registry(self) -> metrics_module.Registry:
        """The metrics of this instance."""
        return self._registry

    @property
    def guard(self) -> guards.ConnectionGuard:
        """The limits on what clients make this instance hold."""
        return self._guard

    @property
    def demand(self) -> demands.DemandExchange:
        """The demand reports of this instance and its peers."""
        return self._demand

    @property
    def in_flight(self) -> int:
        """The number of requests in flight."""
        return self._dispatcher.in_flight

    def listen(self) -> socket.socket:
        """Open the listening socket."""
        return entry_server.listen(self._server_settings())

    async def serve(self, listener: socket.socket) -> None:
        """Serve until ``shut_down``, then finish the requests in flight."""
        await entry_server.serve(
            self._app,
            self._server_settings(),
            listener,
            self._shutdown,
            self._clock,
            self._guard,
        )

    def leave(self, ends_at: float) -> None:
        """Begin a planned stop, which ends requests at some time."""
        self._app.leave(ends_at)

    def shut_down(self) -> None:
        """Refuse new requests and finish those in flight."""
        self._shutdown.set()

    async def end_in_flight(self) -> None:
        """End the requests in flight and send each caller the outcome."""
        await self._app.drain(self._clock.now())

    async def run_background(self) -> None:
        """Run the periodic and background work until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._dispatcher.run_background)
            group.start_soon(self._app.run_background)
            group.start_soon(self._demand.run)
            group.start_soon(self._shares.run)
            group.start_soon(self._update_capacity)
            group.start_soon(self._guard.run)

    async def _update_capacity(self) -> None:
        while True:
            self._capacity.step()
            await anyio.sleep(CAPACITY_INTERVAL_SECONDS)

    def _server_settings(self) -> entry_server.ServerSettings:
        callers = self._settings.callers
        tls = callers.tls
        return entry_server.ServerSettings(
            address=callers.listen.address,
            port=callers.listen.port,
            certificate_file='' if tls is None else tls.certificate_file,
            key_file='' if tls is None else tls.key_file,
            drain_seconds=self._settings.agreement.stop_seconds,
            header_bytes=callers.max_header_bytes,
        )

    def _update_catalog(self, catalog: records_api.Catalog) -> None:
        now = self._clock.now()
        self._admission.update_catalog(catalog, now)
        self._dependencies.router.update_services(_replicas(catalog), now)

    def _on_member_change(self, member: membership_api.Member) -> None:
        if self._dependencies.membership.is_dead(
            member.instance_id, member.incarnation
        ):
            self._shares.forget(member.instance_id)

    def _relative_latencies(self, pool: str) -> dict[str, float]:
        view = self._dependencies.views.view(pool)
        if view is None:
            return {}
        relative_latencies = self._dependencies.router.relative_latencies(
            self._clock.now()
        )
        return {
            server.server_id: relative_latencies[server.server_id]
            for server in view.servers
            if server.server_id in relative_latencies
        }

    def _pool_owner(self, pool: str) -> wire_api.PeerAddress | None:
        view = self._dependencies.views.view(pool)
        own = self._settings.instance.instance_id
        if view is None or view.owner == own:
            return None
        for member in self._dependencies.membership.members():
            if member.instance_id == view.owner:
                return wire_api.PeerAddress(member.address, member.port)
        return None


def _limits(settings: schema.Settings) -> limits_module.Limits:
    callers = settings.callers
    return limits_module.Limits(
        header_bytes=callers.max_header_bytes,
        body_bytes=callers.max_body_bytes,
        body_seconds=callers.body_timeout_seconds,
        resume_seconds=callers.resume_seconds,
        stream_kept_bytes=callers.stream_buffer_bytes,
        max_streams=callers.max_open_streams,
    )


def _replicas(
    catalog: records_api.Catalog,
) -> dict[str, tuple[routing_api.Replica, ...]]:
    return {
        name: tuple(
            routing_api.Replica(
                server.server_id,
                server.address,
                server.port,
                server.failure_domain,
            )
            for server in service.servers
        )
        for name, service in catalog.services.items()
    }
