"""Measures what the request path adds to calling an engine directly.

``python -m bench.path`` compares, in one run and by turns: the engines called
directly, a bare relay of hypercorn and httpx, and the instance. Processor time
is that of the relay's or instance's process.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import dataclasses
import pathlib
import subprocess
import sys
import typing

from bench import path_load
from bench import path_servers

ENGINES = 4
ROUNDS = 3
NANOSECONDS = 1e9


class Scenario(typing.NamedTuple):
    """One kind of load."""

    name: str
    stream: bool
    concurrency: int
    requests: int
    tokens: int
    paced: bool = False


SCENARIOS = (
    Scenario('json-1', False, 1, 200, 8),
    Scenario('json-200', False, 200, 1500, 8),
    Scenario('stream-1', True, 1, 30, 64),
    Scenario('stream-200', True, 200, 400, 128),
    Scenario('paced-40', True, 40, 120, 100, paced=True),
    Scenario('paced-200', True, 200, 200, 100, paced=True),
)


@dataclasses.dataclass
class Row:
    """What one target took in one scenario."""

    sample: path_load.Sample
    cpu_seconds: float = 0.0


class Server:
    """One process of the bench."""

    def __init__(self, *arguments: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'bench.path_servers', *arguments],
            stdout=subprocess.PIPE,
        )
        stdout = typing.cast('typing.IO[bytes]', self._process.stdout)
        self.port = int(stdout.readline())

    @property
    def cpu_seconds(self) -> float:
        """The processor time of the process so far."""
        file = pathlib.Path(f'/proc/{self._process.pid}/schedstat')
        return int(file.read_text().split()[0]) / NANOSECONDS

    def stop(self) -> None:
        self._process.terminate()
        self._process.wait()


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def measure(
    scenario: Scenario, targets: dict[str, list[Server]]
) -> dict[str, Row]:
    """Load the targets by turns."""
    rows = {name: Row(path_load.Sample()) for name in targets}
    data = path_load.body(scenario.stream, scenario.tokens)
    for _ in range(ROUNDS):
        for name, servers in targets.items():
            before = sum(server.cpu_seconds for server in servers)
            sample = await path_load.run(
                [server.port for server in servers],
                path_servers.API_KEY,
                data,
                scenario.concurrency,
                scenario.requests,
            )
            after = sum(server.cpu_seconds for server in servers)
            rows[name].cpu_seconds += after - before
            _add(rows[name].sample, sample)
    return rows


def _add(total: path_load.Sample, sample: path_load.Sample) -> None:
    total.requests += sample.requests
    total.failures += sample.failures
    total.events += sample.events
    total.seconds += sample.seconds
    total.first += sample.first
    total.whole += sample.whole


def show(scenario: Scenario, rows: dict[str, Row]) -> None:
    """Print one scenario."""
    print(f'\n{scenario.name} ({scenario.tokens} tokens each)')
    for name, row in rows.items():
        sample = row.sample
        busy = row.cpu_seconds / sample.seconds
        line = (
            f'  {name:9}'
            f' first p50 {quantile(sample.first, 0.5) * 1e3:8.2f} ms'
            f' p95 {quantile(sample.first, 0.95) * 1e3:8.2f}'
            f'  whole p50 {quantile(sample.whole, 0.5) * 1e3:8.2f}'
            f' p95 {quantile(sample.whole, 0.95) * 1e3:8.2f}'
            f'  failed {sample.failures}'
        )
        if name != 'direct':
            line += (
                f'  cpu/request {row.cpu_seconds / sample.requests * 1e3:6.3f}'
                f' ms  busy {busy:4.2f}'
                f'  requests/core-s {sample.requests / row.cpu_seconds:6.0f}'
            )
        if name != 'direct' and sample.events:
            line += f'  events/core-s {sample.events / row.cpu_seconds:7.0f}'
        print(line, flush=True)
    own = _own(rows)
    if scenario.stream:
        events = rows['instance'].sample.events
        print(f'  own code: {own / events * 1e6:.1f} us an event above relay')
    else:
        requests = rows['instance'].sample.requests
        print(f'  own code: {own / requests * 1e3:.3f} ms a request')


def _own(rows: dict[str, Row]) -> float:
    return rows['instance'].cpu_seconds - rows['relay'].cpu_seconds


def _start(
    step: float, stack: contextlib.ExitStack
) -> dict[str, list[Server]]:
    def start(*arguments: str) -> Server:
        server = Server(*arguments)
        stack.callback(server.stop)
        return server

    engines = [start('engine', str(step)) for _ in range(ENGINES)]
    ports = [str(engine.port) for engine in engines]
    relay = start('relay', *ports)
    instance = start('instance', *ports)
    return {'direct': engines, 'relay': [relay], 'instance': [instance]}


def main() -> None:
    """Run the scenarios that the command line names, or all."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--only', default='')
    parser.add_argument('--step', type=float, default=0.03)
    options = parser.parse_args()
    for paced, step in ((False, 0.0), (True, options.step)):
        chosen = [
            scenario
            for scenario in SCENARIOS
            if scenario.paced == paced and options.only in scenario.name
        ]
        if not chosen:
            continue
        with contextlib.ExitStack() as stack:
            targets = _start(step, stack)
            for scenario in chosen:
                show(scenario, asyncio.run(measure(scenario, targets)))


if __name__ == '__main__':
    main()
