"""The store comes back from an older copy, and a change is never read."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time
import typing

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin2'))

import deployment  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
AWAY_SECONDS = float(os.environ.get('AWAY', '1.7'))
# The least time between two manifests of a `config_storm` of the site.
NEXT_SECONDS = 0.3
# Requests sent so long after the ack of the last version are judged: ContactMs
# after the return of the store, ConfigApplyMs and MaxSkewMs.
JUDGED_SECONDS = 3.0 + 2.0 + 5.0
PLAY_SECONDS = 14.0


class Record:
    """Writes lines with the time since the start to ``record.txt``."""

    def __init__(self) -> None:
        self._file = (HERE / 'record.txt').open('w', encoding='utf-8')
        self._began = time.monotonic()

    def __call__(self, line: str) -> None:
        self._file.write(f'{time.monotonic() - self._began:7.3f} {line}\n')
        self._file.flush()


def manifest(version: int) -> dict[str, object]:
    """Return a version: each adds a route, and the last one moves one."""
    service = 'desk-new' if version >= 4 else 'desk-old'
    routes = [deployment.route('/book/', service)]
    routes += [
        deployment.route(f'/added-{number}/', 'desk-new')
        for number in range(2, version + 1)
    ]
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': name, 'HealthPath': '/healthz', 'MaxConnections': 96}
            for name in ('desk-old', 'desk-new')
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


class Operator:
    """Writes manifests; each ack is the store's."""

    def __init__(self, store: deployment.Store, record: Record) -> None:
        self._store = store
        self._record = record

    def write(self, version: int, again: bool = False) -> float:
        """Write a version; return the time of its ack."""
        self._store.put('keyed.op', 'config', manifest(version))
        word = 'written again' if again else 'written'
        end = self._store.end_of('keyed.op')
        self._record(f'manifest {version} {word}, the topic ends at {end}')
        return time.monotonic()


async def ask(
    gateway: deployment.Gateway, path: str, attempt: str, record: Record
) -> tuple[int, str]:
    """Send a request on a new channel; return status and the server's id."""
    head = (
        f'POST {path} HTTP/1.1\r\nHost: site.example\r\n'
        f'Attempt-Id: {attempt}\r\nDeadline-Ms: 1500\r\n'
        'Content-Length: 2\r\n\r\nhi'
    )
    status, server = 0, ''
    try:
        async with asyncio.timeout(1.5):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', gateway.callers
            )
            try:
                writer.write(head.encode())
                answer = await reader.readuntil(b'\r\n\r\n')
                lines = answer.decode('latin-1').lower().split('\r\n')
                status = int(lines[0].split()[1])
                for line in lines:
                    if line.startswith('response-stamp:'):
                        server = line.split(':')[1].strip().split('.')[0]
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    record(f'request {attempt} {path} to {gateway.name}: {status} {server}')
    return status, server


async def play(directory: pathlib.Path, record: Record) -> int:
    """Play the case; return the exit status."""
    store = deployment.Store()
    platform = deployment.http.HttpServer(store.handle)
    await platform.start()
    operator = Operator(store, record)
    operator.write(1)
    servers = [
        deployment.PlainServer(store, f'{kind}-{number}', f'desk-{kind}', 0.03)
        for kind in ('old', 'new')
        for number in range(2)
    ]
    for server in servers:
        await server.start()
    beats: list[asyncio.Task[typing.Any]] = []
    gateways = [
        deployment.Gateway(f'front-{number}', platform.address, directory)
        for number in range(2)
    ]
    try:
        beats.append(asyncio.create_task(deployment.beat_all(servers)))
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                record('a gateway does not become ready')
                return 2
        await asyncio.sleep(2.0)
        return await changes(store, operator, servers, gateways, beats, record)
    finally:
        for task in beats:
            task.cancel()
        for gateway in gateways:
            gateway.stop()
        if os.environ.get('KEEP_LOGS'):
            for gateway in gateways:
                text = gateway.log.read_text('utf-8')
                (HERE / f'{gateway.name}.log').write_text(text, 'utf-8')
        for server in servers:
            server.http.stop()
        platform.stop()


async def changes(
    store: deployment.Store,
    operator: Operator,
    servers: list[deployment.PlainServer],
    gateways: list[deployment.Gateway],
    beats: list[asyncio.Task[typing.Any]],
    record: Record,
) -> int:
    """Write the versions, with the drill before the last one."""
    copy = store.copy()
    record('the copy of the store is made')
    await asyncio.sleep(1.0)
    operator.write(2)
    await asyncio.sleep(1.0)
    operator.write(3)
    await asyncio.sleep(1.5)
    for number, gateway in enumerate(gateways):
        status, _ = await ask(gateway, '/added-3/x', f'before{number}', record)
        if status != 200:
            record('a version was not in force before the drill')
            return 2
    if TROUBLE:
        record('the store is away')
        store.unavailable = True
        await asyncio.sleep(AWAY_SECONDS)
        store.restore(copy)
        operator.write(3, again=True)
        for server in servers:
            server.beat()
        store.unavailable = False
        record(f'the store is back, era {store.era}')
    else:
        await asyncio.sleep(AWAY_SECONDS)
    # The change that the operator could not make meanwhile.
    await asyncio.sleep(NEXT_SECONDS)
    acked = operator.write(4)
    old, missing, judged = 0, 0, 0
    number = 0
    while time.monotonic() < acked + PLAY_SECONDS:
        for gateway in gateways:
            number += 1
            sent = time.monotonic()
            _, server = await ask(gateway, '/book/x', f'{number:016x}', record)
            status, _ = await ask(
                gateway, '/added-4/x', f'{number:015x}a', record
            )
            if sent < acked + JUDGED_SECONDS:
                continue
            judged += 1
            old += server.startswith('old')
            missing += status == 404
        await asyncio.sleep(0.5)
    deployment.record_runs(servers, record)
    record(
        f'{JUDGED_SECONDS:.0f} s after the ack of manifest 4 and later: of '
        f'{judged} requests {old} were run by the old service, of '
        f'{judged} for the added route {missing} were refused with 404'
    )
    return 1 if old or missing else 0


def main() -> int:
    """Run the case."""
    record = Record()
    record(f'trouble: {TROUBLE}')
    return deployment.run_case(lambda directory: play(directory, record))


if __name__ == '__main__':
    sys.exit(main())
