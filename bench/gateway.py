"""Compares the gateway's processor time with that of a bare forwarder.

``python -m bench.gateway`` sends the same requests through both in
alternating rounds, to the stand-ins of ``tests.site``. Times are those of the
forwarding process alone, less its processor time when idle.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import statistics
import subprocess
import sys
import time
import typing

from tests.site import processes

_HOST: typing.Final = 'site.example'
_CONNECTIONS: typing.Final = 8
_IDLE_SECONDS: typing.Final = 2.0
_NANOSECONDS: typing.Final = 1e9


class _Target(typing.NamedTuple):
    """A forwarding process.

    ``idle`` is its processor time per second without requests.
    """

    name: str
    port: int
    pid: int
    idle: float


class _Load(typing.NamedTuple):
    """A number of requests of one kind."""

    name: str
    path: str
    headers: str
    requests: int
    events: int

    @property
    def units(self) -> int:
        """The number of requests, or of events for streams."""
        return self.requests * max(1, self.events)


def _cpu_seconds(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/schedstat').read_text('ascii')
    return int(text.split()[0]) / _NANOSECONDS


async def _send(port: int, load: _Load, first: int, count: int) -> None:
    """Send requests in sequence on one connection."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    for number in range(first, first + count):
        head = (
            f'POST {load.path} HTTP/1.1\r\nHost: {_HOST}\r\n'
            f'Attempt-Id: {load.name}{number}\r\nDeadline-Ms: 60000\r\n'
            f'{load.headers}Content-Length: 4\r\n\r\nbody'
        )
        writer.write(head.encode('ascii'))
        answer = (await reader.readuntil(b'\r\n\r\n')).lower()
        if b' 200 ' not in answer.split(b'\r\n')[0]:
            raise RuntimeError(answer.decode('latin-1'))
        if b'content-length: ' in answer:
            length = answer.split(b'content-length: ')[1].split(b'\r\n')[0]
            await reader.readexactly(int(length))
        else:
            await reader.readuntil(b'\r\n0\r\n\r\n')
    writer.close()


async def _measure(target: _Target, load: _Load) -> float:
    """Return the processor seconds per unit of a load."""
    start, before = time.monotonic(), _cpu_seconds(target.pid)
    requests_per_connection = load.requests // _CONNECTIONS
    await asyncio.gather(
        *(
            _send(
                target.port,
                load,
                number * requests_per_connection,
                requests_per_connection,
            )
            for number in range(_CONNECTIONS)
        )
    )
    idle = target.idle * (time.monotonic() - start)
    return (_cpu_seconds(target.pid) - before - idle) / load.units


async def _measure_idle(name: str, port: int, pid: int) -> _Target:
    before = _cpu_seconds(pid)
    await asyncio.sleep(_IDLE_SECONDS)
    return _Target(
        name, port, pid, (_cpu_seconds(pid) - before) / _IDLE_SECONDS
    )


def _print_result(load: _Load, times: dict[str, list[float]]) -> None:
    unit = 'event' if load.events else 'request'
    pairs = zip(times['gateway'], times['bare'], strict=True)
    overheads = sorted(
        (gateway_seconds - bare_seconds) * 1e6
        for gateway_seconds, bare_seconds in pairs
    )
    medians = '  '.join(
        f'{name} {statistics.median(seconds) * 1e6:.0f} us'
        for name, seconds in times.items()
    )
    print(
        f'{load.name}: {medians} per {unit}; overhead'
        f' {statistics.median(overheads):.0f} us'
        f' ({overheads[0]:.0f} to {overheads[-1]:.0f})',
        flush=True,
    )


async def _run(rounds: int) -> None:
    async with processes.Site.running(1) as site:
        (instance,) = site.instances
        site.engine.events = 200
        site.engine.event_seconds = 0.002
        for load, server in (
            (_Load('plain', '/plain/x', '', 1600, 0), site.desk),
            (
                _Load('stream', '/stream/x', 'Model: loaded\r\n', 32, 200),
                site.engine,
            ),
        ):
            port = server.http.address.rpartition(':')[2]
            bare = subprocess.Popen(
                [sys.executable, '-m', 'bench.gateway_bare', port],
                stdout=subprocess.PIPE,
            )
            try:
                output = typing.cast('typing.IO[bytes]', bare.stdout)
                bare_port = int(output.readline())
                targets = [
                    await _measure_idle(
                        'gateway', instance.port, instance.process.pid
                    ),
                    await _measure_idle('bare', bare_port, bare.pid),
                ]
                times: dict[str, list[float]] = {'gateway': [], 'bare': []}
                for _ in range(rounds):
                    for target in targets:
                        times[target.name].append(await _measure(target, load))
                _print_result(load, times)
            finally:
                bare.terminate()
                bare.wait()


def main() -> None:
    """Run the loads through both forwarders in alternating rounds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=5)
    asyncio.run(_run(parser.parse_args().rounds))


if __name__ == '__main__':
    main()
