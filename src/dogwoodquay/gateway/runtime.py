"""Builds, runs and stops an instance of the gateway."""

from __future__ import annotations

import random
import typing

import anyio

from .. import clock as clocks
from . import adapters as platform_adapters
from . import app as apps
from . import configuration_watch
from . import controller as controllers
from . import copies as configuration_copies
from . import crash_records
from . import crashes as crash_watches
from . import departures as departure_news
from ..entry import guard as guards
from . import exchange as exchanges
from ..external.http import client
from ..fleet import registry as registries
from . import forwarder as forwarders
from . import health
from . import idle_connections
from . import list_history
from . import members
from . import metrics as gateway_metrics
from . import notices as server_notices
from ..observe import logs
from ..observe import metrics as metrics_module
from ..observe import supervise
from . import origin_log
from . import origins as stream_origins
from . import ownership as order_ownership
from . import peering as peerings
from . import readiness
from . import resumption
from ..retry import window
from . import scheduler as schedulers
from . import server_limits
from . import serving
from . import silence as silences
from . import start_hold
from ..stopping import intake as intakes
from ..stopping import plan as stop_plans
from ..traffic import control as traffic_control
from ..traffic import tenancy as tenancies
from . import watch
from ..wire import peers as wire_peers

if typing.TYPE_CHECKING:
    import expression

    from ..routes import api as routes_api
    from . import settings as gateway_settings

__all__ = ['Gateway']

_LOG: typing.Final = logs.ComponentLog('instance')

UPSTREAM_IDLE_SECONDS: typing.Final = 60.0
CONNECT_SECONDS: typing.Final = 0.4
# The times for heads and unread answers, also where the configuration gives
# clients less: this instance or a link may be what holds them up.
MIN_HEAD_SECONDS: typing.Final = 6.0
MIN_WRITE_SECONDS: typing.Final = 15.0
STOP_POLL_SECONDS: typing.Final = 0.05
# Retries of each instance beyond its share; those of all instances together
# stay below the slack of the smallest deployments.
EXTRA_RETRIES: typing.Final = 2


class Gateway:
    """One instance; ``run`` is called once."""

    def __init__(
        self,
        settings: gateway_settings.InstanceSettings,
        adapters: platform_adapters.PlatformAdapters,
    ) -> None:
        self._settings = settings
        self._clock = clocks.SteadyClock()
        self._rng = random.Random()
        self._stopping = anyio.Event()
        self._drained = anyio.Event()
        self._ended = anyio.Event()
        self._start_hold = start_hold.StartHold(self._clock)
        self._intake = intakes.Intake()
        self._registry = registries.Registry()
        self._metrics_page = metrics_module.Registry(settings.instance_id)
        self._metrics = gateway_metrics.GatewayMetrics(self._metrics_page)
        self._guard = guards.ConnectionGuard(
            guards.GuardSettings(settings.memory_bytes, settings.descriptors),
            self._clock,
            self._metrics.released,
        )
        self._connections = client.Connections(
            self._clock,
            connect_seconds=CONNECT_SECONDS,
            keep_alive_seconds=UPSTREAM_IDLE_SECONDS,
        )
        self._idle = idle_connections.IdleConnections(
            self._connections, self._registry, settings.store, self._metrics
        )
        self._build(adapters)

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stopping.set()

    def reload(
        self,
        loaded: expression.Result[gateway_settings.InstanceSettings, str],
    ) -> None:
        """Log the changes of settings that were read again.

        None is applied: addresses and identity need a restart, and all other
        settings are the same on every machine of a deployment.
        """
        if loaded.is_error():
            _LOG.write('reload_refused', reason=loaded.error)
            return
        changed = [
            name
            for name, old, new in zip(
                self._settings._fields, self._settings, loaded.ok, strict=True
            )
            if old != new
        ]
        _LOG.write('reload', changed=changed)

    async def run(self) -> None:
        """Serve until a planned stop has ended."""
        _LOG.write('start', domain=self._settings.failure_domain)
        health_listener = serving.Listener(self._settings.readiness)
        async with anyio.create_task_group() as group:
            for name, part in (
                ('configuration', self._configuration.run),
                ('servers', self._servers.run),
                ('peers', self._run_peers),
                ('duty', self._ownership.run),
                ('scheduler', self._scheduler.run),
                ('silence', self._silence.run),
                ('controller', self._controller.run),
                ('peering', self._peering.run),
                ('origins', self._origins.run),
                ('origin_log', self._origin_log.run),
                ('crashes', self._crashes.run),
                ('crash_records', self._crash_records.run),
                ('connections', self._idle.run),
                ('guard', self._guard.run),
            ):
                group.start_soon(supervise.keep_running, name, part)
            group.start_soon(
                health_listener.serve,
                self._health,
                self._drained.wait,
                self._guard,
                guards.READINESS,
            )
            group.start_soon(self._drain)
            group.start_soon(self._serve_callers)
            await self._ended.wait()
            group.cancel_scope.cancel()
        await self._connections.close()
        _LOG.write('stop')

    async def _serve_callers(self) -> None:
        """Serve callers until the instance has stopped, in a separate task.

        The server's task groups leave the task that runs them marked as
        cancelled, so that it would not end properly.
        """
        await self._callers.serve(
            self._app, self._drained.wait, self._guard, guards.CALLERS
        )
        self._ended.set()

    def _build(self, adapters: platform_adapters.PlatformAdapters) -> None:
        settings = self._settings
        clock = self._clock
        metrics = self._metrics
        store = adapters.store(self._connections, settings.store)
        self._ownership = order_ownership.OrderOwnership(
            store, settings, clock, self._rng, metrics
        )
        self._notices = server_notices.ServerNotices(
            self._registry, clock, metrics
        )
        self._traffic = traffic_control.TrafficControl(
            settings, self._registry, clock, self._rng, metrics
        )
        engines = adapters.engines(
            self._connections,
            settings.instance_id,
            self._traffic.capacity.before(self._notices.on_engine_answer),
        )
        self._limits = server_limits.ServerLimits(
            members.member_name(settings), self._registry, clock, metrics
        )
        self._controller = controllers.Controller(
            self._ownership,
            self._registry,
            engines,
            settings,
            clock,
            metrics,
            self._rng,
            self._limits,
            self._traffic.contended.includes,
        )
        self._peers = wire_peers.Peers(
            members.peer_settings(settings), clock, self._rng
        )
        self._copies = configuration_copies.ConfigurationCopies(
            self._peers, clock
        )
        self._origin_log = origin_log.OriginLog(
            store,
            clock,
            metrics,
            lambda: self._registry.has_several_versions(
                clock.now() - origin_log.KEEP_SECONDS
            ),
        )
        self._origins = stream_origins.StreamOrigins(
            self._peers,
            members.member_name(settings),
            settings.failure_domain,
            clock,
            metrics,
            self._origin_log,
        )
        self._crashes = crash_watches.CrashWatch(
            self._connections, clock, metrics, members.member_name(settings)
        )
        self._crash_records = crash_records.CrashRecords(
            store,
            adapters.crash_topic,
            self._crashes,
            clock,
            metrics,
            self._release_held,
        )
        self._peering = peerings.Peering(
            self._peers,
            self._ownership,
            self._controller,
            self._registry,
            clock,
            self._copies,
            self._origins,
            departure_news.DepartureNews(self._registry, clock, metrics),
            self._crashes,
            self._limits,
            self._traffic.stalls,
            self._traffic.accounts,
            self._traffic.capacity,
        )
        self._scheduler = schedulers.Scheduler(
            self._registry,
            settings.failure_domain,
            clock,
            self._rng,
            self._peering,
            self._limits,
            self._traffic.capacity,
            self._traffic.overload,
        )
        self._configuration = configuration_watch.ConfigurationWatch(
            store,
            adapters.configuration_topic,
            adapters.configuration_key,
            adapters.decode_configuration,
            clock,
            metrics,
            self._copies,
            self._configure,
            settings.configuration_age_seconds,
        )
        self._servers = watch.ServerWatch(
            store,
            adapters.server_topic,
            adapters.decode_server,
            self._registry,
            settings.list_interval_seconds,
            clock,
            metrics,
            self._on_list,
        )
        self._list_history = list_history.ListHistoryReader(
            store,
            adapters.server_topic,
            adapters.decode_server,
            self._registry,
            settings.heartbeat_seconds,
            clock,
            lambda: self._servers.position,
        )
        self._app = self._build_app(adapters)
        self._callers = serving.Listener(settings.callers)
        ready = readiness.Readiness(
            self._registry,
            clock,
            lambda: self._app.configured,
            lambda: self._crash_records.known,
            lambda: self._origins.roster_known,
            self._stopping.is_set,
        )
        self._health = health.HealthApp(ready.reason, self._metrics_page)
        metrics.watch_clients(self._guard, self._peers.traffic)
        self._peering.attach(self._scheduler, self._configuration)
        self._notices.on_change(self._on_notice)

    def _build_app(
        self, adapters: platform_adapters.PlatformAdapters
    ) -> apps.GatewayApp:
        settings = self._settings
        exchange = exchanges.Exchange(
            self._connections,
            adapters.codec,
            self._clock,
            self._limits,
            self._notices,
            self._traffic.capacity,
            self._traffic.on_paced,
        )
        self._silence = silences.SilenceWatch(self._scheduler, self._clock)
        self._traffic.stalls.on_stalled(self._silence.expedite)
        budget = window.RetryWindow(
            settings.retry_share, EXTRA_RETRIES, settings.retry_window_seconds
        )
        versions = resumption.StreamVersions(
            self._origins,
            self._registry,
            self._servers,
            self._list_history,
            self._clock,
        )
        tenancy = tenancies.Tenancy(
            adapters.codec, self._metrics, self._traffic.accounts
        )
        forwarder = forwarders.Forwarder(
            self._scheduler,
            exchange,
            budget,
            self._clock,
            self._rng,
            self._metrics,
            self._silence,
            versions,
            self._crashes,
            tenancy,
            self._traffic.stalls,
            self._intake,
        )
        return apps.GatewayApp(
            forwarder,
            adapters.codec,
            self._clock,
            self._rng,
            self._metrics,
            self._configuration,
            tenancy,
            self._traffic.accounts,
            self._start_hold,
            self._intake,
        )

    def _on_notice(self) -> None:
        """Pass on that a server leaves, and move what waits for it."""
        self._scheduler.assign_waiting()
        self._peering.publish_soon()

    def _configure(self, configuration: routes_api.Configuration) -> None:
        self._app.configure(configuration)
        self._traffic.configure(configuration)
        self._scheduler.configure(configuration.services)
        self._controller.configure(configuration.services)
        self._callers.keep_idle(configuration.limits.idle_timeout_seconds)
        limits = configuration.limits
        self._callers.limit_heads(limits.max_header_bytes)
        self._guard.set_times(
            max(limits.header_timeout_seconds * 2, MIN_HEAD_SECONDS),
            max(limits.idle_timeout_seconds, MIN_WRITE_SECONDS),
        )
        self._peering.publish_soon()
        self._release_held()

    def _on_list(self) -> None:
        self._scheduler.assign_waiting()
        self._release_held()

    def _release_held(self) -> None:
        """End the hold of requests once it is known what is served."""
        known = self._app.configured and self._crash_records.known
        if known and self._registry.servers:
            self._start_hold.release()

    async def _run_peers(self) -> None:
        async with self._peers.running():
            await anyio.sleep_forever()

    async def _drain(self) -> None:
        """Refuse what may not end in time, and end the rest at the end.

        Waiting requests and new streams are refused once the balancer has
        removed the instance, so that their callers retry at another one.
        """
        await self._stopping.wait()
        plan = stop_plans.plan_stop(
            self._clock.now(), self._settings.stop_seconds
        )
        _LOG.write('stopping', in_flight=self._app.in_flight)
        self._intake.leave(plan.ends_at)
        self._start_hold.release()
        async with anyio.create_task_group() as group:
            group.start_soon(self._peering.hand_over)
            group.start_soon(self._origins.hand_over)
            await self._finish_streams(plan)
            group.cancel_scope.cancel()
        left = max(0.0, plan.ends_at - self._clock.now())
        self._callers.stop_within(left + stop_plans.ANSWER_SECONDS)
        self._drained.set()
        await anyio.sleep(left)
        _LOG.write('ending', in_flight=self._app.in_flight)
        self._app.end_requests()

    async def _finish_streams(self, plan: stop_plans.StopPlan) -> None:
        """Serve the streams in flight until all requests are to end."""
        with anyio.move_on_after(plan.removed_at - self._clock.now()):
            await self._health.removed_from_balancer()
        _LOG.write('draining', in_flight=self._app.in_flight)
        self._intake.drain(plan.ends_at)
        self._scheduler.close()
        while self._app.streams and self._clock.now() < plan.ends_at:
            await anyio.sleep(STOP_POLL_SECONDS)
