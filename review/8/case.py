"""Streams begin while the store is down, and all gateways are killed."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin2'))

import deployment  # noqa: E402
import engine as engines_module  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
STREAMS = 24
EVENTS = 47
EVENT_SECONDS = 0.12
# Seconds from the begin of the outage.
BEGIN = 0.5
KILL = 3.5
STORE_BACK = 4.0
START = 5.0
# ContactMs after the start of the machines, the later of the two ends.
TAKE_UP = 8.4
MAX_SHARE = 0.5


class Record:
    """Writes lines with the time since the start to ``record.txt``."""

    def __init__(self) -> None:
        self._file = (HERE / 'record.txt').open('w', encoding='utf-8')
        self._began = time.monotonic()

    def __call__(self, line: str) -> None:
        self._file.write(f'{time.monotonic() - self._began:7.3f} {line}\n')
        self._file.flush()


class Stream:
    """A stream of a requester, over one or two attempts."""

    def __init__(self, number: int, record: Record) -> None:
        self._number = number
        self._record = record
        self._writer: asyncio.StreamWriter | None = None
        self.first_attempt = ''
        self.last_event = -1
        self.versions: list[str] = []
        self.statuses: list[int] = []
        self.complete = False

    @property
    def begun(self) -> bool:
        """Whether the first event has come."""
        return self.last_event >= 0

    async def ask(self, gateway: deployment.Gateway) -> None:
        """Send an attempt, which goes on after the last event if any came."""
        attempt = f'{self._number:08x}{len(self.statuses):08x}'
        more = ''
        if self.begun:
            more = (
                f'Last-Event-Id: {self.last_event}\r\n'
                f'Resumes: {self.first_attempt}\r\n'
            )
        head = (
            'POST /write/x HTTP/1.1\r\nHost: site.example\r\n'
            f'Attempt-Id: {attempt}\r\nModel: m0\r\nToken-Usage: 100,300\r\n'
            f'Prompt-Prefix: aa:172,{self._number + 4096:x}:400\r\n'
            f'Deadline-Ms: 12000\r\n{more}Content-Length: 2\r\n\r\nhi'
        )
        before = self.last_event
        status = 0
        try:
            async with asyncio.timeout(12.0):
                reader, self._writer = await asyncio.open_connection(
                    '127.0.0.1', gateway.callers
                )
                self._writer.write(head.encode())
                answer = await reader.readuntil(b'\r\n\r\n')
                status = int(answer.split()[1])
                if status == 200:
                    await self._read(reader, attempt)
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            self.leave()
            self.statuses.append(status)
        self._record(
            f'stream {self._number} attempt {attempt} at {gateway.name}: '
            f'{status}, events {before + 1} to {self.last_event}, '
            f'versions {sorted(set(self.versions))}, '
            f'complete: {self.complete}'
        )

    async def _read(self, reader: asyncio.StreamReader, attempt: str) -> None:
        data = b''
        while size := int(await reader.readuntil(b'\r\n'), 16):
            data += (await reader.readexactly(size + 2))[:-2]
            *events, data = data.split(b'\n\n')
            for event in events:
                fields = dict(
                    line.split(': ', 1) for line in event.decode().split('\n')
                )
                self.first_attempt = self.first_attempt or attempt
                self.last_event = int(fields['id'])
                self.versions.append(fields['data'].split()[1])
        self.complete = True

    def leave(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None


def manifest() -> dict[str, object]:
    """Return a manifest with one route to the model servers."""
    model = {
        'Name': 'm0',
        'WeightsMb': 70000.0,
        'LoadTimeS': 4.0,
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
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


async def play(directory: pathlib.Path, record: Record) -> int:
    """Play the case; return the exit status."""
    store = deployment.Store()
    platform = deployment.http.HttpServer(store.handle)
    await platform.start()
    store.put('keyed.op', 'config', manifest())
    engines = []
    for number in range(6):
        item = engines_module.Engine(
            store,
            f'i-{number}',
            'lot-writer',
            {'m0': 70000.0},
            220000.0,
            5,
            ('m0',),
            record,
            version='v1' if number % 2 else 'v1.1',
        )
        item.events, item.event_seconds = EVENTS, EVENT_SECONDS
        engines.append(item)
        await item.start()
    beats = asyncio.create_task(engines_module.beat_engines(engines))
    gateways = [
        deployment.Gateway(
            f'front-{number}',
            platform.address,
            directory,
            zone=f'zone-{number % 3}',
        )
        for number in range(3)
    ]
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                record('a gateway does not become ready')
                return 2
        await asyncio.sleep(14.0)
        return await judge(store, engines, gateways, record)
    finally:
        beats.cancel()
        for gateway in gateways:
            gateway.stop()
        for item in engines:
            item.http.stop()
        platform.stop()


async def judge(
    store: deployment.Store,
    engines: list[engines_module.Engine],
    gateways: list[deployment.Gateway],
    record: Record,
) -> int:
    """Begin the streams, bring the trouble and have them taken up."""
    began = time.monotonic()

    async def wait_until(seconds: float) -> None:
        await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))

    if TROUBLE:
        store.unavailable = True
        record('the store is down')
    await wait_until(BEGIN)
    streams = [Stream(number, record) for number in range(STREAMS)]
    tasks = [
        asyncio.create_task(item.ask(gateways[number % len(gateways)]))
        for number, item in enumerate(streams)
    ]
    await wait_until(KILL)
    if not all(item.begun for item in streams):
        record('a stream does not begin')
        return 2
    if TROUBLE:
        for gateway in gateways:
            gateway.send_signal(signal.SIGKILL)
        record('all gateways are killed')
    else:
        for item in streams:
            item.leave()
        record('the channels of the streams break')
    await asyncio.gather(*tasks)
    await wait_until(STORE_BACK)
    store.unavailable = False
    record('the store is back')
    await wait_until(START)
    if TROUBLE:
        for gateway in gateways:
            gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            record('a gateway does not become ready again')
            return 2
    record('all gateways are ready')
    await wait_until(TAKE_UP)
    broken = [item for item in streams if not item.complete]
    new = [Stream(1000 + number, record) for number in range(STREAMS)]
    before = {item: item.last_event for item in broken}
    await asyncio.gather(
        *(
            item.ask(gateways[number % len(gateways)])
            for number, item in enumerate([*broken, *new])
        )
    )
    deployment.record_runs(engines, record)
    went_on = sum(item.last_event > before[item] for item in broken)
    joined = sum(len(set(item.versions)) > 1 for item in broken)
    begun = sum(item.begun for item in new)
    record(
        f'{went_on} of {len(broken)} streams went on, {joined} of them joined '
        f'from two versions; {begun} of {len(new)} new ones began; three '
        'servers of each version served all the while'
    )
    if len(broken) < 12:
        return 2
    share, new_share = went_on / len(broken), begun / len(new)
    return 1 if share < MAX_SHARE * new_share else 0


def main() -> int:
    """Run the case."""
    record = Record()
    record(f'trouble: {TROUBLE}')
    return deployment.run_case(lambda directory: play(directory, record))


if __name__ == '__main__':
    sys.exit(main())
