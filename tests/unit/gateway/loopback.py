"""A gateway with scripted servers on loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import typing

import anyio

from . import fakes
from dogwoodquay import clock as clocks
from dogwoodquay.external.http import client
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import app as apps
from dogwoodquay.gateway import crashes
from dogwoodquay.gateway import exchange as exchanges
from dogwoodquay.gateway import forwarder as forwarders
from dogwoodquay.gateway import metrics as gateway_metrics
from dogwoodquay.gateway import notices
from dogwoodquay.gateway import resumption
from dogwoodquay.gateway import scheduler as schedulers
from dogwoodquay.gateway import serving
from dogwoodquay.gateway import settings
from dogwoodquay.gateway import silence
from dogwoodquay.gateway import start_hold
from dogwoodquay.gateway import versions
from dogwoodquay.observe import metrics as metrics_module
from dogwoodquay.platform import headers
from dogwoodquay.retry import window
from dogwoodquay.routes import api as routes_api
from dogwoodquay.stopping import intake
from dogwoodquay.traffic import tenancy

if typing.TYPE_CHECKING:
    from collections import abc

    from dogwoodquay.tenants import api as tenants_api

__all__ = ['Answer', 'Site', 'Upstream', 'chunked', 'route']

LIMITS = routes_api.CallerLimits(16384, 65536, 3.0, 15.0)


class Received(typing.NamedTuple):
    """A request as received by a server."""

    line: str
    headers: dict[str, str]
    body: bytes


Script = typing.Callable[
    [Received, asyncio.StreamWriter], typing.Awaitable[bool]
]


class Upstream:
    """A server that answers by a script and records the requests."""

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.script = script
        self.received: list[Received] = []
        self.closed = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    @property
    def port(self) -> int:
        """The port on which it listens."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def entry(self) -> fleet_api.ServerEntry:
        """Return its entry in the server list."""
        return fleet_api.ServerEntry(
            server_id=self.name,
            service='s',
            address='127.0.0.1',
            port=self.port,
            failure_domain='d1',
            state=fleet_api.ServerState.LIVE,
            slots=4,
            started_ms=1,
            report_number=1,
            models=(),
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The end of a test cancels a script that is still waiting.
        ended = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while True:
                request = await _read_request(reader)
                self.received.append(request)
                watch = asyncio.ensure_future(reader.read(1))
                keep = await self.script(request, writer)
                if not keep:
                    break
                if watch.done():
                    break
                watch.cancel()
                await asyncio.gather(watch, return_exceptions=True)
        self.closed += 1
        writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Received:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head[:-4].split('\r\n')
    fields = dict(item.lower().split(': ', 1) for item in rest)
    length = int(fields.get('content-length', '0'))
    return Received(line, fields, await reader.readexactly(length))


class Answer(typing.NamedTuple):
    """A caller's answer; ``whole`` is whether it was complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def chunked(*parts: bytes, end: bool = True) -> bytes:
    """Return a body in chunks."""
    body = b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)
    return body + (b'0\r\n\r\n' if end else b'')


def route(**changes: typing.Any) -> routes_api.Route:
    """Return a route to the service of all scripted servers."""
    base = routes_api.Route(
        name='r',
        host='a.example',
        path_prefix='/r/',
        kind=routes_api.RouteKind.IDEMPOTENT,
        timeout_seconds=2.0,
        objective_seconds=0.2,
        priority=1,
        services=(routes_api.WeightedService('s', 1.0),),
        max_attempts=2,
        resumable=False,
        gap_objective_seconds=0.15,
    )
    return base._replace(**changes)


class _NoFinder:
    """Finds no adapters."""

    async def find_adapter(
        self,
        service: str,
        model: str,
        adapter: str,
        deadline: float,
        version: str | None = None,
    ) -> str:
        return ''


class Freshness:
    """What a gateway knows of newer configurations."""

    def __init__(self) -> None:
        self.versions = versions.ConfigurationVersions()
        self.store_unavailable = False
        self.on_confirm: typing.Callable[[], None] = lambda: None

    async def confirm(self) -> bool:
        """Return whether the active version is known to be the newest."""
        self.on_confirm()
        return not (self.versions.behind or self.store_unavailable)


class Site:
    """A gateway on a loopback port."""

    def __init__(self, *upstreams: Upstream, extra_retries: int = 50) -> None:
        clock = clocks.SteadyClock()
        self.upstreams = upstreams
        self.registry = registries.Registry()
        rng = random.Random(3)
        self.connections = client.Connections(clock)
        self.metrics_page = metrics_module.Registry('test')
        metrics = gateway_metrics.GatewayMetrics(self.metrics_page)
        limits = fakes.make_limits(self.registry, clock)
        capacity = fakes.make_capacity(self.registry, clock)
        self.capacity = capacity
        self.scheduler = schedulers.Scheduler(
            self.registry, 'd1', clock, rng, _NoFinder(), limits, capacity
        )
        self.freshness = Freshness()
        self.hold = start_hold.StartHold(clock)
        self.intake = intake.Intake()
        self.origins = fakes.FakeOrigins()
        self.server_list = fakes.FakeServerList()
        self.silence = silence.SilenceWatch(self.scheduler, clock)
        self.crashes = crashes.CrashWatch(
            self.connections, clock, metrics, 'front-0'
        )
        self.notices = notices.ServerNotices(self.registry, clock, metrics)
        self.notices.on_change(self.scheduler.assign_waiting)
        self.exchange = exchanges.Exchange(
            self.connections, headers, clock, limits, self.notices, capacity
        )
        self.accounts = fakes.make_accounts(clock)
        self.tenancy = tenancy.Tenancy(headers, metrics, self.accounts)
        self.app = apps.GatewayApp(
            forwarders.Forwarder(
                self.scheduler,
                self.exchange,
                window.RetryWindow(0.2, extra_retries, 10.0),
                clock,
                rng,
                metrics,
                self.silence,
                resumption.StreamVersions(
                    self.origins,
                    self.registry,
                    self.server_list,
                    fakes.FakeEarlierList(),
                    clock,
                ),
                self.crashes,
                self.tenancy,
                fakes.make_stalls(self.registry, clock),
                self.intake,
            ),
            headers,
            clock,
            rng,
            metrics,
            self.freshness,
            self.tenancy,
            self.accounts,
            self.hold,
            self.intake,
        )
        self._stop = anyio.Event()
        self._listener: serving.Listener | None = None
        with socket.socket() as free:
            free.bind(('127.0.0.1', 0))
            self.port = int(free.getsockname()[1])

    def configure(
        self,
        *routes: routes_api.Route,
        tenants: tuple[tenants_api.Tenant, ...] = (),
        dropped: tuple[tenants_api.Dropped, ...] = (),
    ) -> None:
        """Activate a configuration with these routes and tenants."""
        services = {'s': routes_api.Service('s', '/healthz', 100, None)}
        self.app.configure(
            routes_api.Configuration(
                1, routes, services, LIMITS, tenants, dropped
            )
        )
        self.hold.release()

    @contextlib.asynccontextmanager
    async def running(self) -> abc.AsyncIterator[Site]:
        """Run the gateway and its servers."""
        for upstream in self.upstreams:
            await upstream.start()
            self.registry.update(upstream.entry(), 0.0)
        listener = serving.Listener(settings.Address('127.0.0.1', self.port))
        self._listener = listener
        async with anyio.create_task_group() as group:
            group.start_soon(self.scheduler.run)
            group.start_soon(self.silence.run)
            group.start_soon(listener.serve, self.app, self._stop.wait)
            try:
                yield self
            finally:
                self._stop.set()
                await self.connections.close()
                for upstream in self.upstreams:
                    upstream.stop()
                await anyio.sleep(0.05)
                group.cancel_scope.cancel()

    def stop_within(self, seconds: float) -> None:
        """Stop listening and end the requests in flight after a time."""
        assert self._listener is not None
        self._listener.stop_within(seconds)
        self._stop.set()

    def counts(self, name: str) -> dict[str, int]:
        """Return a metric's counts by label values, in order of the names."""
        found = {}
        for line in self.metrics_page.render().body.decode().splitlines():
            if not line.startswith(name + '{'):
                continue
            labels, value = line[len(name) + 1 :].rsplit('} ', 1)
            pairs = dict(item.split('=', 1) for item in labels.split(','))
            del pairs['instance']
            values = [pairs[key].strip('"') for key in sorted(pairs)]
            found[' '.join(values)] = int(float(value))
        return found

    async def raw(self, data: bytes) -> Answer:
        """Send bytes and return the answer to them."""
        with anyio.fail_after(10.0):
            reader, writer = await self.connect()
            writer.write(data)
            answer = await read_answer(reader)
            writer.close()
            return answer

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection, retrying until the gateway listens."""
        while True:
            try:
                return await asyncio.open_connection('127.0.0.1', self.port)
            except OSError:
                await anyio.sleep(0.02)

    async def call(
        self,
        method: str = 'GET',
        target: str = '/r/x',
        body: bytes = b'',
        extra: str = '',
        deadline_ms: int = 2000,
        request_id: str = 'c0ffee',
    ) -> Answer:
        """Send a request and return its answer."""
        lines = [
            f'{method} {target} HTTP/1.1',
            'Host: a.example',
            f'Attempt-Id: {request_id}',
            f'Deadline-Ms: {deadline_ms}',
        ]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        if extra:
            lines.append(extra)
        head = '\r\n'.join(lines) + '\r\n\r\n'
        return await self.raw(head.encode('latin-1') + body)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer to its end."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head[:-4].split('\r\n')
    fields = dict(item.split(': ', 1) for item in rest)
    fields = {name.lower(): value for name, value in fields.items()}
    status = int(line.split(' ')[1])
    if 'content-length' in fields:
        length = int(fields['content-length'])
        try:
            body = await reader.readexactly(length)
        except asyncio.IncompleteReadError as error:
            return Answer(status, fields, error.partial, False)
        return Answer(status, fields, body, True)
    parts: list[bytes] = []
    try:
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
            if not size:
                return Answer(status, fields, b''.join(parts), True)
    except (asyncio.IncompleteReadError, OSError):
        return Answer(status, fields, b''.join(parts), False)
