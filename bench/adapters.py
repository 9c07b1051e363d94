"""Measures the processor time of the HTTP adapters over loopback.

The baseline is a bare hypercorn handler called by a bare httpx client. Client
and server share the process, so each figure includes both.
"""

from __future__ import annotations

import statistics
import time
import typing

import anyio
import anyio.lowlevel
import httpx
import msgspec

from dogwoodquay import clock
from dogwoodquay.external import api
from dogwoodquay.external.http import client as http_client
from dogwoodquay.external.http import engine as http_engine
from dogwoodquay.external.http import service as http_service
from dogwoodquay.external.memory import batch
from dogwoodquay import standin
from dogwoodquay.standin import asgi
from dogwoodquay.standin import server

REQUESTS: typing.Final = 400
STREAMS: typing.Final = 5
CHUNKS: typing.Final = 1000
ROUNDS: typing.Final = 5
IN_PARALLEL: typing.Final = (1, 50)
_CHUNK: typing.Final = b'id: 1\ndata: {"text":"0123456789"}\n\n'
_DEADLINE_SECONDS: typing.Final = 600.0

_Job = typing.Callable[[int], typing.Awaitable[None]]


class Figure(typing.NamedTuple):
    """Microseconds of processor time per unit of work."""

    name: str
    in_parallel: int
    median: float
    lowest: float
    highest: float


class _BareApp(asgi.App):
    """Sends a minimal reply or streams chunks."""

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Stream chunks for the path ``/stream``, or else reply at once."""
        if exchange.path != '/stream':
            await exchange.reply(200, _CHUNK)
            return
        await exchange.start(200, ())
        for _ in range(CHUNKS):
            await exchange.write(_CHUNK, more=True)
            await anyio.lowlevel.checkpoint()
        await exchange.write(b'', more=False)


async def _measure(
    name: str, job: _Job, in_parallel: int, count: int, units: int
) -> Figure:
    """Run a job repeatedly and return its processor time per unit."""
    figures = []
    for _ in range(ROUNDS):
        limiter = anyio.Semaphore(in_parallel)

        async def limited(number: int, limiter: anyio.Semaphore) -> None:
            async with limiter:
                await job(number)

        start = time.process_time()
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(limited, number, limiter)
        cpu_seconds = time.process_time() - start
        figures.append(cpu_seconds / (count * units) * 1e6)
    return Figure(
        name,
        in_parallel,
        statistics.median(figures),
        min(figures),
        max(figures),
    )


def _completion(number: int, stream: bool) -> api.UpstreamCall:
    body = {
        'model': 'm',
        'messages': [{'role': 'user', 'content': f'note {number}'}],
        'max_tokens': CHUNKS if stream else 16,
        'stream': stream,
    }
    return api.UpstreamCall(
        f'attempt-{number}',
        'POST',
        '/v1/chat/completions',
        (('content-type', 'application/json'),),
        msgspec.json.encode(body),
        time.time() + _DEADLINE_SECONDS,
        stream=stream,
    )


async def _measure_baseline(port: int) -> list[Figure]:
    """Measure the baseline and the adapter with the same bare handler."""
    url = f'http://127.0.0.1:{port}'
    figures = []
    limits = httpx.Limits(max_connections=None)
    async with (
        httpx.AsyncClient(limits=limits, trust_env=False) as client,
        http_client.Connections(clock.SystemClock()) as connections,
    ):
        service = http_service.HttpPlainService(connections)

        async def baseline(_: int) -> None:
            await client.post(url, content=b'{}')

        async def baseline_stream(_: int) -> None:
            async with client.stream('GET', f'{url}/stream') as response:
                async for _chunk in response.aiter_raw():
                    pass

        async def adapter(number: int, stream: bool = False) -> None:
            call = api.UpstreamCall(
                f'attempt-{number}',
                'POST',
                '/stream' if stream else '/',
                (),
                b'{}',
                time.time() + _DEADLINE_SECONDS,
                stream=stream,
            )
            async with service.call('127.0.0.1', port, call) as result:
                async for _chunk in result.ok:
                    pass

        async def adapter_stream(number: int) -> None:
            await adapter(number, stream=True)

        for parallel in IN_PARALLEL:
            for name, job in (('baseline', baseline), ('adapter', adapter)):
                figures.append(
                    await _measure(
                        f'{name}, request', job, parallel, REQUESTS, 1
                    )
                )
        for name, job in (
            ('baseline', baseline_stream),
            ('adapter', adapter_stream),
        ):
            figures.append(
                await _measure(f'{name}, chunk', job, 1, STREAMS, CHUNKS)
            )
    return figures


async def _measure_engine(site: standin.StandInSite) -> list[Figure]:
    """Measure complete calls to the stand-in engine."""
    address = site.engines[0].address
    figures = []
    async with http_client.Connections(site.time) as connections:
        engine = http_engine.HttpEngine(connections)
        order = api.Order('o1', 1, api.OrderKind.LOAD, 'm@1', 1)
        await engine.order(*address, order, time.time() + _DEADLINE_SECONDS)

        async def call(number: int, stream: bool = False) -> None:
            attempt = _completion(number, stream)
            async with engine.call(*address, attempt) as result:
                async for _chunk in result.ok:
                    pass

        async def stream(number: int) -> None:
            await call(number, stream=True)

        for parallel in IN_PARALLEL:
            figures.append(
                await _measure(
                    'stand-in engine, request', call, parallel, REQUESTS, 1
                )
            )
        figures.append(
            await _measure('stand-in engine, chunk', stream, 1, 5, CHUNKS)
        )
    return figures


async def _main() -> None:
    options = standin.SiteOptions(
        engines=1,
        service_servers=1,
        throughput=batch.Throughput(64, 0.0, 0.0, 0.0),
    )
    bare_server = server.Server(_BareApp())
    async with anyio.create_task_group() as group:
        await bare_server.start(group)
        figures = await _measure_baseline(bare_server.port)
        await bare_server.kill()
    async with standin.StandInSite(options).running() as site:
        figures += await _measure_engine(site)
    print('microseconds of processor time, client plus server')
    for figure in figures:
        print(
            f'{figure.name:26} {figure.in_parallel:3} in parallel'
            f' {figure.median:8.1f}'
            f' ({figure.lowest:.1f} to {figure.highest:.1f})'
        )


if __name__ == '__main__':
    anyio.run(_main)
