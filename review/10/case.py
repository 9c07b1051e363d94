"""What crashes servers is forgotten when all gateways are killed."""

from __future__ import annotations

import asyncio
from collections import abc
import os
import pathlib
import signal
import sys
import time
import typing

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin2'))

import deployment  # noqa: E402
import engine as engines_module  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DEADLY = 'dead01'
SHARED = 'aa'
ENGINES = 8
BACK_SECONDS = 3.0
DOWN_SECONDS = 1.0
CONTACT_SECONDS = 3.0
# The gateways are in touch by then, counted from their start.
TOUCH_SECONDS = 3.3
# The pauses after each deadly request, for each process of the gateways. The
# site's class has 34.8 requests a second; the letter's day takes 0.03 of them.
PAUSES = ((1.2, 0.4), (3.4, 0.4), (1.2, 1.2))
FIFTH = 5
ALLOWED = 3


class Record:
    """Writes lines with the time since the start to ``record.txt``."""

    def __init__(self) -> None:
        self._file = (HERE / 'record.txt').open('w', encoding='utf-8')
        self._began = time.monotonic()

    def __call__(self, line: str) -> None:
        self._file.write(f'{time.monotonic() - self._began:7.3f} {line}\n')
        self._file.flush()


class Arrival(typing.NamedTuple):
    """A request with the deadly part that reached a server."""

    at: float
    attempt: str
    server: str


class Fleet:
    """The servers, and what the deadly part does to them."""

    def __init__(self, record: Record) -> None:
        self.arrivals: list[Arrival] = []
        self.crashes: list[float] = []
        self._record = record
        self._back: list[asyncio.Task[None]] = []

    def on_deadly(self, engine: Engine, attempt: str) -> None:
        """Crash the server that begins to write an answer."""
        now = time.monotonic()
        self.crashes.append(now)
        engine.crash(f'the answer to {attempt}')
        self._back.append(asyncio.create_task(self._restart(engine)))

    async def _restart(self, engine: Engine) -> None:
        await asyncio.sleep(BACK_SECONDS)
        await engine.start(again=True)


class Engine(engines_module.Engine):
    """A server that one part of a prompt crashes."""

    fleet: Fleet

    async def _stream(
        self, request: deployment.http.Request
    ) -> abc.AsyncIterator[bytes]:
        """Crash after the head of an answer to a deadly request."""
        attempt = request.headers['attempt-id']
        if DEADLY in request.headers.get('prompt-prefix', ''):
            now = time.monotonic()
            self.fleet.arrivals.append(Arrival(now, attempt, self.id))
            self._log(f'{self.id} begins the deadly request {attempt}')
            await asyncio.sleep(0.05)
            self.fleet.on_deadly(self, attempt)
            return
        async for part in super()._stream(request):
            yield part


def manifest() -> dict[str, object]:
    """Return a manifest with one route to the model servers."""
    model = {
        'Name': 'm0',
        'WeightsMb': 70000.0,
        'LoadTimeS': 4.0,
        'DiskS': 0.8,
        'WarmupS': 0.4,
        'Adapters': 0,
        'AdapterMb': 12.0,
    }
    return {
        'Version': 1,
        'Routes': [
            deployment.route(
                '/write/',
                'lot-writer',
                Type='streaming',
                Resumable=True,
                MaxAttempts=2,
                TimeoutMs=12000,
                TargetLatencyMs=250,
            )
        ],
        'Services': [
            {
                'Name': 'lot-writer',
                'HealthPath': '/healthz',
                'MaxConnections': 360,
                'Engine': {
                    'Slots': 64,
                    'KvCapacity': 132451,
                    'WeightsMb': 220000.0,
                    'MaxAdapters': 5,
                    'LoadsPerS': 1.6,
                    'Models': [model],
                },
            }
        ],
        'Limits': {},
    }


class Requesters:
    """Send sound and deadly requests, each on a new channel."""

    def __init__(
        self, gateways: list[deployment.Gateway], record: Record
    ) -> None:
        self._gateways = gateways
        self._record = record
        self._count = 0
        self.sound = 0
        self.served = 0

    async def ask(self, deadly: bool = False) -> int:
        """Send a request and read its answer; return the status."""
        self._count += 1
        attempt = f'{self._count:016x}'
        gateway = self._gateways[self._count % len(self._gateways)]
        part = f'{DEADLY}:50' if deadly else f'bb{self._count % 5}:50'
        head = (
            'POST /write/x HTTP/1.1\r\nHost: site.example\r\n'
            f'Attempt-Id: {attempt}\r\nModel: m0\r\nToken-Usage: 300,30\r\n'
            f'Prompt-Prefix: {SHARED}:172,{part},{self._count + 4096:x}:78\r\n'
            'Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\nhi'
        )
        status, complete = 0, False
        try:
            async with asyncio.timeout(4.0):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', gateway.callers
                )
                try:
                    writer.write(head.encode())
                    answer = await reader.readuntil(b'\r\n\r\n')
                    status = int(answer.split()[1])
                    if status == 200:
                        body = await reader.read(65536)
                        while b'\r\n0\r\n\r\n' not in body:
                            more = await reader.read(65536)
                            if not more:
                                break
                            body += more
                        complete = b'\r\n0\r\n\r\n' in body
                finally:
                    writer.close()
        except (OSError, EOFError, TimeoutError):
            pass
        kind = 'deadly' if deadly else 'sound'
        self._record(
            f'{kind} request {attempt} at {gateway.name}: {status}, '
            f'complete: {complete}'
        )
        return status if complete or status != 200 else 0

    async def keep_asking(self) -> None:
        """Send sound requests until cancelled."""
        while True:
            await self.ask()
            await asyncio.sleep(0.15)


async def play(directory: pathlib.Path, record: Record) -> int:
    """Play the case; return the exit status."""
    store = deployment.Store()
    platform = deployment.http.HttpServer(store.handle)
    await platform.start()
    store.put('keyed.op', 'config', manifest())
    fleet = Fleet(record)
    engines: list[engines_module.Engine] = []
    for number in range(ENGINES):
        item = Engine(
            store,
            f'i-{number}',
            'lot-writer',
            {'m0': 70000.0},
            220000.0,
            5,
            ('m0',),
            record,
        )
        item.fleet = fleet
        engines.append(item)
        await item.start()
    tasks = [asyncio.create_task(engines_module.beat_engines(engines))]
    gateways = [
        deployment.Gateway(f'front-{number}', platform.address, directory)
        for number in range(3)
    ]
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                record('a gateway does not become ready')
                return 2
        requesters = Requesters(gateways, record)
        tasks += [
            asyncio.create_task(requesters.keep_asking()) for _ in range(4)
        ]
        await phases(requesters, gateways, record)
    finally:
        for task in tasks:
            task.cancel()
        for gateway in gateways:
            gateway.stop()
        for item in engines:
            item.http.stop()
        platform.stop()
    deployment.record_runs(engines, record)
    return judge(fleet, record)


async def phases(
    requesters: Requesters,
    gateways: list[deployment.Gateway],
    record: Record,
) -> None:
    """Send the deadly requests, with kills of all gateways in between."""
    for phase, pauses in enumerate(PAUSES):
        if phase and TROUBLE:
            for gateway in gateways:
                gateway.send_signal(signal.SIGKILL)
            record('all gateways are killed')
            await asyncio.sleep(DOWN_SECONDS)
            for gateway in gateways:
                if gateway.process is not None:
                    gateway.process.wait()
                gateway.start()
            record('all gateways are started')
        await asyncio.sleep(TOUCH_SECONDS)
        for pause in pauses:
            await requesters.ask(deadly=True)
            await asyncio.sleep(pause)


def judge(fleet: Fleet, record: Record) -> int:
    """Return 1 if more requests reach servers than the rule allows."""
    record(
        f'{len(fleet.crashes)} servers ended under {len(fleet.arrivals)} '
        'requests with the deadly part'
    )
    if len(fleet.crashes) < FIFTH:
        return 0
    since = fleet.crashes[FIFTH - 1] + CONTACT_SECONDS
    late = [item for item in fleet.arrivals if item.at > since]
    record(
        f'{len(late)} of these reached a server later than '
        f'{CONTACT_SECONDS:.0f} s after the fifth had ended; allowed {ALLOWED}'
    )
    return 1 if len(late) > ALLOWED else 0


def main() -> int:
    """Run the case."""
    record = Record()
    record(f'trouble: {TROUBLE}')
    return deployment.run_case(lambda directory: play(directory, record))


if __name__ == '__main__':
    sys.exit(main())
