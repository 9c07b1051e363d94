"""The server processes for ``bench.path``.

Each prints its port and serves until it is killed: ``engine`` is a stand-in,
``relay`` a minimal relay with hypercorn and httpx, and ``instance`` the
request path of an entry instance.
"""

from __future__ import annotations

import hashlib
import random
import socket
import sys
import typing

import anyio
import httpx
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config

from dogwoodquay.admission import controller
from dogwoodquay import clock as clock_module
from dogwoodquay.dispatch import dispatcher
from dogwoodquay.dispatch import metrics as request_metrics
from dogwoodquay.entry import app as entry_app
from dogwoodquay.entry import health
from dogwoodquay.entry import limits
from dogwoodquay.entry import server
from dogwoodquay.entry import streams
from dogwoodquay.external import api as external_api
from dogwoodquay.external.http import client as http_client
from dogwoodquay.external.http import engine as http_engine
from dogwoodquay.external import memory
from dogwoodquay.external.memory import batch
from dogwoodquay.idempotency import api as idempotency_api
from dogwoodquay.observe import metrics
from dogwoodquay.pools import api as pools_api
from dogwoodquay.records import api as records_api
from dogwoodquay.retry import budget
from dogwoodquay.routing import router
from dogwoodquay.standin import upstream

API_KEY = 'bench-key'
ARTIFACT = 'ticket@v1'
UNLIMITED = 10**9
LOAD_SECONDS = 30.0


def _print_port(listener: socket.socket) -> None:
    print(server.bound_port(listener), flush=True)


async def _serve_bare(app: typing.Any) -> None:
    listener = server.listen(server.ServerSettings('127.0.0.1', 0))
    _print_port(listener)
    config = hypercorn_config.Config()
    config.bind = [f'fd://{listener.detach()}']
    config.errorlog = None
    config.keep_alive_timeout = 60.0
    config.keep_alive_max_requests = UNLIMITED
    await hypercorn_asyncio.serve(app, config, mode='asgi')


async def engine(step_seconds: float) -> None:
    """Serve a stand-in engine that generates one token per step."""
    time = memory.SystemTimeline()
    throughput = batch.Throughput(UNLIMITED, 0.0, 0.0, step_seconds)
    profile = memory.EngineProfile('engine', 1 << 40, throughput=throughput)
    store = memory.MemoryWeightStore(time)
    model = memory.FakeEngine(profile, time, store, random.Random(1))
    order = external_api.Order(
        'load', 1, external_api.OrderKind.LOAD, ARTIFACT, 1 << 20
    )
    await model.order(order, time.now() + LOAD_SECONDS)
    await _serve_bare(upstream.EngineApp(model, time))


class _Relay:
    """Forwards each request to the next engine in round-robin order.

    Each transport serves one request at a time, because the time that the
    library's own pool takes per request grows with its connections.
    """

    def __init__(self, ports: list[int]) -> None:
        self._ports = ports
        self._request_count = 0
        self._free: dict[int, list[httpx.AsyncHTTPTransport]] = {
            port: [] for port in ports
        }

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        if scope['type'] != 'http':
            return
        body = b''
        more = True
        while more:
            message = await receive()
            body += message.get('body', b'')
            more = message.get('more_body', False)
        self._request_count += 1
        port = self._ports[self._request_count % len(self._ports)]
        free = self._free[port]
        transport = free.pop() if free else _transport()
        request = httpx.Request(
            'POST',
            f'http://127.0.0.1:{port}{scope["path"]}',
            headers=[('x-artifact', ARTIFACT), ('x-request-id', 'x')],
            content=body,
            extensions={'timeout': {}},
        )
        response = await transport.handle_async_request(request)
        await _forward_response(response, send)
        free.append(transport)


def _transport() -> httpx.AsyncHTTPTransport:
    return httpx.AsyncHTTPTransport(verify=False, trust_env=False)


async def _forward_response(
    response: httpx.Response, send: typing.Any
) -> None:
    headers = [(b'content-type', b'text/plain')]
    await send(
        {
            'type': 'http.response.start',
            'status': response.status_code,
            'headers': headers,
        }
    )
    async for chunk in response.aiter_raw():
        await send(
            {'type': 'http.response.body', 'body': chunk, 'more_body': True}
        )
    await response.aclose()
    await send({'type': 'http.response.body', 'body': b''})


class _ClaimsStub:
    """A stub, since the benchmark sends no idempotency keys."""

    async def claim(
        self, caller: str, key: str, body_digest: bytes, deadline: float
    ) -> idempotency_api.ClaimAnswer:
        return idempotency_api.KeyRefused('claim_undecided')

    async def settle(
        self,
        claim: idempotency_api.Claim,
        answer: idempotency_api.StoredAnswer | None,
        deadline: float,
    ) -> None:
        return None

    async def withdraw(
        self, claim: idempotency_api.Claim, deadline: float
    ) -> bool:
        return False


def _catalog() -> records_api.Catalog:
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    caller = records_api.Caller(
        'bench',
        digest,
        requests_per_second=1e9,
        max_in_flight=UNLIMITED,
    )
    model = records_api.Model('ticket', 'v1', 1 << 30, 'pool')
    return records_api.Catalog(
        offset=1, models={'ticket': model}, callers={'bench': caller}
    )


def _view(ports: list[int]) -> pools_api.PoolView:
    ready = pools_api.ArtifactView(ARTIFACT, ready=True)
    servers = tuple(
        pools_api.ServerView(
            f's{port}', '127.0.0.1', port, f'd{port % 3}', False, (ready,)
        )
        for port in ports
    )
    return pools_api.PoolView('pool', 'bench', 1, 1, servers)


async def instance(ports: list[int]) -> None:
    """Serve the request path of an entry instance with its real parts."""
    clock = clock_module.SystemClock()
    catalog = _catalog()
    rng = random.Random(1)
    routes = router.ScoringRouter('d0')
    routes.update_view(_view(ports), clock.now())
    admission = controller.FairAdmission()
    admission.update_catalog(catalog, clock.now())
    admission.set_share('bench', 1.0)
    admission.set_capacity(ARTIFACT, UNLIMITED, 0.98)
    request_metric_set = request_metrics.RequestMetrics(
        metrics.Registry('bench')
    )
    async with http_client.Connections(clock) as connections:
        adapter = http_engine.HttpEngine(connections)
        dispatch = dispatcher.Dispatcher(
            catalog=lambda: catalog,
            router=routes,
            admission=admission,
            retries=budget.BudgetedRetries(rng),
            claims=_ClaimsStub(),
            engine=adapter,
            services=adapter,
            clock=clock,
            rng=rng,
            metrics=request_metric_set,
        )
        entry_limits = limits.Limits()
        stream_table = streams.StreamTable('bench', clock, entry_limits)
        app = entry_app.EntryApp(
            dispatch,
            stream_table,
            lambda: catalog,
            clock,
            entry_limits,
            request_metric_set,
            health.Health(),
        )
        await _serve_instance(app, dispatch, clock)


async def _serve_instance(
    app: entry_app.EntryApp,
    dispatch: dispatcher.Dispatcher,
    clock: clock_module.Clock,
) -> None:
    settings = server.ServerSettings('127.0.0.1', 0, keep_alive_seconds=60.0)
    listener = server.listen(settings)
    _print_port(listener)
    async with anyio.create_task_group() as group:
        group.start_soon(dispatch.run_background)
        group.start_soon(app.run_background)
        await server.serve(app, settings, listener, anyio.Event(), clock)


async def relay(ports: list[int]) -> None:
    """Serve the relay, the baseline of the libraries."""
    await _serve_bare(_Relay(ports))


def _run_profiled(serve: typing.Callable[[], typing.Any], file: str) -> None:
    import cProfile
    import signal

    profile = cProfile.Profile()

    def stop(*_: object) -> None:
        profile.disable()
        profile.dump_stats(file)
        raise SystemExit(0)

    signal.signal(signal.SIGTERM, stop)
    profile.enable()
    serve()


def main() -> None:
    """Run the server for the role given on the command line."""
    role, *arguments = sys.argv[1:]
    profile = ''
    if arguments and arguments[0].startswith('--profile='):
        profile = arguments.pop(0).partition('=')[2]
    if role == 'engine':
        anyio.run(engine, float(arguments[0]))
        return
    ports = [int(argument) for argument in arguments]
    server_role = instance if role == 'instance' else relay
    if profile:
        _run_profiled(lambda: anyio.run(server_role, ports), profile)
    else:
        anyio.run(server_role, ports)


if __name__ == '__main__':
    main()
