"""The callers' side of an instance: limits, dispatch, streams, HTTP."""

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
from ..entry import health as health_module
from ..entry import limits as limits_module
from ..entry import server as entry_server
from ..entry import streams as entry_streams
from ..observe import metrics as metrics_module
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
    from . import views as boards

__all__ = ['CallerParts', 'CallerSide']

CAPACITY_SECONDS: typing.Final = 0.5


@dataclasses.dataclass(frozen=True)
class CallerParts:
    """What the callers' side works with."""

    configuration: configurations.Configuration
    router: routing_api.Router
    claims: idempotency_api.Claims
    engine: external_api.Engine
    services: external_api.PlainService
    transport: wire_api.Transport
    membership: membership_api.Membership
    replicated_map: gossip_api.ReplicatedMap
    views: boards.ViewBoard
    boot: int


class CallerSide:
    """Builds and runs what serves callers."""

    def __init__(
        self,
        settings: schema.Settings,
        clock: clocks.Clock,
        rng: random.Random,
        parts: CallerParts,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._parts = parts
        self._shutdown = anyio.Event()
        self._admission = controller.FairAdmission()
        instance_id = settings.instance.instance_id
        catalog = parts.configuration.catalog
        self._registry = metrics_module.Registry(instance_id)
        self._health = health_module.Health(
            ('configuration', 'claims', 'pools')
        )
        self._demand = demands.DemandExchange(
            instance_id,
            parts.transport,
            clock,
            catalog,
            self._pool_owner,
            self._admission.waiting,
            self._paces,
        )
        self._shares = demands.ShareExchange(
            instance_id,
            parts.boot,
            parts.replicated_map,
            self._admission,
            clock,
            catalog,
        )
        self._capacity = capacity.CapacityKeeper(
            self._admission, parts.router, parts.membership, catalog
        )
        metrics = request_metrics.RequestMetrics(self._registry)
        self._dispatcher = dispatchers.Dispatcher(
            catalog,
            parts.router,
            observed.ObservedAdmission(
                self._admission, (self._demand.note, self._shares.note)
            ),
            budget.BudgetedRetries(rng),
            parts.claims,
            parts.engine,
            parts.services,
            clock,
            rng,
            metrics,
            self._demand.note_answer,
        )
        limits = _limits(settings)
        streams = entry_streams.StreamTable(instance_id, clock, limits)
        self._relay = relay.StreamRelay(
            streams,
            parts.transport,
            parts.membership,
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
        self._relay.serve_cancels(self._app.cancel_stream)
        parts.configuration.watch(self._take_catalog)
        parts.membership.watch(self._take_member)

    @property
    def health(self) -> health_module.Health:
        """Whether this instance is ready, part by part."""
        return self._health

    @property
    def registry(self) -> metrics_module.Registry:
        """The metrics of this instance."""
        return self._registry

    @property
    def demand(self) -> demands.DemandExchange:
        """The demand as this instance knows it."""
        return self._demand

    @property
    def in_flight(self) -> int:
        """How many requests are under way."""
        return self._dispatcher.in_flight

    def listen(self) -> socket.socket:
        """Open the listening socket."""
        return entry_server.listen(self._server_settings())

    async def serve(self, listener: socket.socket) -> None:
        """Serve until ``shut_down``, then finish what is in flight."""
        await entry_server.serve(
            self._app,
            self._server_settings(),
            listener,
            self._shutdown,
            self._clock,
        )

    def shut_down(self) -> None:
        """Refuse new requests and finish the others."""
        self._shutdown.set()

    async def end_at_once(self) -> None:
        """Tell each remaining caller how its request ended."""
        await self._app.drain(self._clock.now())

    async def run_background(self) -> None:
        """Run what callers do not wait for, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._dispatcher.run_background)
            group.start_soon(self._app.run_background)
            group.start_soon(self._demand.run)
            group.start_soon(self._shares.run)
            group.start_soon(self._keep_capacity)

    async def _keep_capacity(self) -> None:
        while True:
            self._capacity.step()
            await anyio.sleep(CAPACITY_SECONDS)

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

    def _take_catalog(self, catalog: records_api.Catalog) -> None:
        now = self._clock.now()
        self._admission.update_catalog(catalog, now)
        self._parts.router.update_services(_replicas(catalog), now)

    def _take_member(self, member: membership_api.Member) -> None:
        if self._parts.membership.dead(member.instance_id, member.incarnation):
            self._shares.forget(member.instance_id)

    def _paces(self, pool: str) -> dict[str, float]:
        view = self._parts.views.view(pool)
        if view is None:
            return {}
        relative_latencies = self._parts.router.relative_latencies(
            self._clock.now()
        )
        return {
            server.server_id: relative_latencies[server.server_id]
            for server in view.servers
            if server.server_id in relative_latencies
        }

    def _pool_owner(self, pool: str) -> wire_api.PeerAddress | None:
        view = self._parts.views.view(pool)
        own = self._settings.instance.instance_id
        if view is None or view.owner == own:
            return None
        for member in self._parts.membership.members():
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
