"""Measures the overhead of the request path over direct calls to an engine.

``python -m bench.path`` compares in alternating rounds the engines called
directly, a bare relay with hypercorn and httpx, and an instance. Processor
time is that of the process of the relay or instance.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import dataclasses
import os
import pathlib
import statistics
import subprocess
import sys
import typing

from bench import path_load
from bench import path_servers

ENGINES = 4
ROUNDS = 3
NANOSECONDS = 1e9


class Scenario(typing.NamedTuple):
    """A kind of load."""

    name: str
    stream: bool
    concurrency: int
    requests: int
    tokens: int
    step_seconds: float = 0.0

    @property
    def ramp_seconds(self) -> float:
        """The duration of one paced stream."""
        return self.tokens * self.step_seconds


SCENARIOS = (
    Scenario('json-1', False, 1, 150, 8),
    Scenario('json-200', False, 200, 800, 8),
    Scenario('stream-1', True, 1, 20, 64),
    Scenario('stream-200', True, 200, 200, 128),
    Scenario('paced-1', True, 1, 2, 50, 0.03),
    Scenario('paced-half-load', True, 60, 120, 100, 0.03),
    Scenario('paced-200', True, 200, 200, 50, 0.06),
)


@dataclasses.dataclass
class Row:
    """The results of one target in one scenario."""

    sample: path_load.Sample
    cpu_seconds: float = 0.0
    cpu_by_round: list[float] = dataclasses.field(default_factory=list)

    def add(self, sample: path_load.Sample, cpu_seconds: float) -> None:
        self.cpu_seconds += cpu_seconds
        units = sample.events or sample.requests
        self.cpu_by_round.append(cpu_seconds / units)
        _add_sample(self.sample, sample)


class Server:
    """A server process of the benchmark."""

    def __init__(self, *arguments: str, tree: str = '') -> None:
        environment = dict(os.environ)
        if tree:
            environment['PYTHONPATH'] = str(pathlib.Path(tree) / 'src')
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'bench.path_servers', *arguments],
            stdout=subprocess.PIPE,
            cwd=tree or None,
            env=environment,
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
    scenario: Scenario, targets: dict[str, list[Server]], rounds: int
) -> dict[str, Row]:
    """Send the load to each target in alternating rounds."""
    rows = {name: Row(path_load.Sample()) for name in targets}
    data = path_load.body(scenario.stream, scenario.tokens)
    for _ in range(rounds):
        for name, servers in targets.items():
            before = sum(server.cpu_seconds for server in servers)
            sample = await path_load.run(
                [server.port for server in servers],
                path_servers.API_KEY,
                data,
                scenario.concurrency,
                scenario.requests,
                scenario.ramp_seconds,
            )
            after = sum(server.cpu_seconds for server in servers)
            rows[name].add(sample, after - before)
    return rows


def _add_sample(total: path_load.Sample, sample: path_load.Sample) -> None:
    total.requests += sample.requests
    total.failures += sample.failures
    total.events += sample.events
    total.seconds += sample.seconds
    total.first_byte += sample.first_byte
    total.complete += sample.complete


def print_results(scenario: Scenario, rows: dict[str, Row]) -> None:
    """Print the results of a scenario."""
    print(f'\n{scenario.name} ({scenario.tokens} tokens each)')
    for name, row in rows.items():
        sample = row.sample
        core_share = row.cpu_seconds / sample.seconds
        line = (
            f'  {name:9}'
            f' first p50 {quantile(sample.first_byte, 0.5) * 1e3:8.2f} ms'
            f' p95 {quantile(sample.first_byte, 0.95) * 1e3:8.2f}'
            f'  complete p50 {quantile(sample.complete, 0.5) * 1e3:8.2f}'
            f' p95 {quantile(sample.complete, 0.95) * 1e3:8.2f}'
            f'  failed {sample.failures}'
        )
        if name != 'direct':
            line += (
                f'  cpu/request {row.cpu_seconds / sample.requests * 1e3:6.3f}'
                f' ms  busy {core_share:4.2f}'
                f'  requests/core-s {sample.requests / row.cpu_seconds:6.0f}'
            )
        if name != 'direct' and sample.events:
            line += f'  events/core-s {sample.events / row.cpu_seconds:7.0f}'
        print(line, flush=True)
    for name in rows:
        if name not in ('direct', 'relay'):
            _print_overhead(scenario, rows, name)


def _print_overhead(
    scenario: Scenario, rows: dict[str, Row], name: str
) -> None:
    pairs = zip(
        rows[name].cpu_by_round, rows['relay'].cpu_by_round, strict=True
    )
    overheads = sorted(
        (target_seconds - relay_seconds) * 1e6
        for target_seconds, relay_seconds in pairs
    )
    extra_seconds = quantile(rows[name].sample.first_byte, 0.5) - quantile(
        rows['direct'].sample.first_byte, 0.5
    )
    unit = 'event' if scenario.stream else 'request'
    print(
        f'  {name} minus relay, median of rounds:'
        f' {statistics.median(overheads):.0f} us per {unit}'
        f' ({overheads[0]:.0f} to {overheads[-1]:.0f});'
        f' first byte minus direct: {extra_seconds * 1e3:.2f} ms',
        flush=True,
    )


def _start(
    step: float, stack: contextlib.ExitStack, other: str
) -> dict[str, list[Server]]:
    def start(*arguments: str, tree: str = '') -> Server:
        server = Server(*arguments, tree=tree)
        stack.callback(server.stop)
        return server

    engines = [start('engine', str(step)) for _ in range(ENGINES)]
    ports = [str(engine.port) for engine in engines]
    relay = start('relay', *ports)
    instance = start('instance', *ports)
    targets = {'direct': engines, 'relay': [relay], 'instance': [instance]}
    if other:
        targets['other'] = [start('instance', *ports, tree=other)]
    return targets


def main() -> None:
    """Run the scenarios selected on the command line, or all."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--only', default='')
    parser.add_argument('--rounds', type=int, default=ROUNDS)
    parser.add_argument(
        '--other',
        default='',
        help='a second worktree whose instance is measured as well',
    )
    options = parser.parse_args()
    chosen = [
        scenario for scenario in SCENARIOS if options.only in scenario.name
    ]
    for step in sorted({scenario.step_seconds for scenario in chosen}):
        with contextlib.ExitStack() as stack:
            targets = _start(step, stack, options.other)
            for scenario in chosen:
                if scenario.step_seconds == step:
                    rows = asyncio.run(
                        measure(scenario, targets, options.rounds)
                    )
                    print_results(scenario, rows)


if __name__ == '__main__':
    main()
