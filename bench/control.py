"""Measures the control traffic of instances over loopback sockets.

``python -m bench.control`` runs 3, 9, 30 and 100 instances in this process,
then the claims of 9 instances at 200 requests per second.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import math
import os
import pathlib
import random
import sys
import time
import typing

import anyio

from dogwoodquay import clock
from dogwoodquay.gossip import api as gossip_api

from . import control_claims
from . import control_node

SIZES: typing.Final = (3, 9, 30, 100)
STAGGER_SECONDS: typing.Final = 0.05
IDLE_SECONDS: typing.Final = 4.0
ITEMS: typing.Final = 10
STOPPED_NODES: typing.Final = 2
TCP_FRAME_BYTES: typing.Final = 52 + 6
PAGE_BYTES: typing.Final = os.sysconf('SC_PAGE_SIZE')


class Row(typing.TypedDict):
    """The results for a number of instances; times are in seconds."""

    instances: int
    joined: float
    sent_bytes_per_second: float
    sent_with_headers_per_second: float
    frames_per_second: float
    core_percent: float
    memory_mb: float
    connections: float
    item_p50: float
    item_p99: float
    death_p50: float
    death_p99: float


def _resident_megabytes() -> float:
    statm = pathlib.Path('/proc/self/statm').read_text()
    return int(statm.split()[1]) * PAGE_BYTES / 1e6


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


async def _wait_until(condition: typing.Callable[[], bool]) -> float:
    start = time.monotonic()
    with anyio.fail_after(60.0):
        while not condition():
            await anyio.sleep(0.01)
    return time.monotonic() - start


async def _measure_dissemination(
    nodes: list[control_node.Node],
) -> list[float]:
    """Put items at random instances.

    :return: the delays until the other instances received them.
    """
    put_at: dict[str, float] = {}
    delays: list[float] = []

    def record_delay(item: gossip_api.Item) -> None:
        delays.append(time.monotonic() - put_at[item.key])

    for node in nodes:
        node.replicated_map.watch('bench/', record_delay)
    for number in range(ITEMS):
        key = f'bench/{number}'
        put_at[key] = time.monotonic()
        node = random.Random(number).choice(nodes)
        node.replicated_map.put(
            gossip_api.Item(key, gossip_api.Version(1, 1), bytes(100))
        )
        await anyio.sleep(0.1)
    await _wait_until(lambda: len(delays) == ITEMS * len(nodes))
    return [delay for delay in delays if delay > 1e-3]


async def _measure_idle(nodes: list[control_node.Node], row: Row) -> None:
    """Measure traffic and processor time without any changes."""
    traffic = [node.peers.traffic for node in nodes]
    sent = sum(t.bytes_sent for t in traffic)
    frames = sum(t.frames_sent for t in traffic)
    cpu_seconds, start = time.process_time(), time.monotonic()
    await anyio.sleep(IDLE_SECONDS)
    cpu_seconds, elapsed = (
        time.process_time() - cpu_seconds,
        time.monotonic() - start,
    )
    sent = sum(t.bytes_sent for t in traffic) - sent
    frames = sum(t.frames_sent for t in traffic) - frames
    instance_seconds = len(nodes) * elapsed
    row['sent_bytes_per_second'] = sent / instance_seconds
    row['frames_per_second'] = frames / instance_seconds
    row['sent_with_headers_per_second'] = (
        sent + frames * TCP_FRAME_BYTES
    ) / instance_seconds
    row['core_percent'] = 100 * cpu_seconds / instance_seconds


async def _measure_failure_detection(
    nodes: list[control_node.Node],
) -> list[float]:
    """Stop some instances without notice.

    :return: the delays until the other instances considered them failed.
    """
    stopped = nodes[:STOPPED_NODES]
    others = nodes[STOPPED_NODES:]
    names = {node.name for node in stopped}
    delays: list[float] = []
    start = time.monotonic()
    undetected = {(o.name, name) for o in others for name in names}
    for node in stopped:
        node.stop.set()
    with anyio.fail_after(60.0):
        while undetected:
            for other in others:
                no_longer_listed = names - other.member_names()
                newly_detected = {
                    (other.name, name) for name in no_longer_listed
                } & undetected
                undetected -= newly_detected
                delays += [time.monotonic() - start] * len(newly_detected)
            await anyio.sleep(0.02)
    return delays


async def _measure(size: int) -> Row:
    row = typing.cast('Row', {'instances': size})
    gc.collect()
    memory = _resident_megabytes()
    network = control_node.Network()
    nodes = [control_node.Node(network, number) for number in range(size)]
    async with anyio.create_task_group() as tasks:
        for node in nodes:
            await tasks.start(node.run)
            await anyio.sleep(STAGGER_SECONDS)
        row['joined'] = await _wait_until(
            lambda: all(len(node.member_names()) == size for node in nodes)
        )
        await anyio.sleep(1.0)
        await _measure_idle(nodes, row)
        row['memory_mb'] = (_resident_megabytes() - memory) / size
        row['connections'] = (
            sum(n.peers.connection_count for n in nodes) / size
        )
        items = await _measure_dissemination(nodes)
        row['item_p50'] = _quantile(items, 0.5)
        row['item_p99'] = _quantile(items, 0.99)
        deaths = await _measure_failure_detection(nodes)
        row['death_p50'] = _quantile(deaths, 0.5)
        row['death_p99'] = _quantile(deaths, 0.99)
        tasks.cancel_scope.cancel()
    return row


def _print(rows: list[Row]) -> None:
    names = list(rows[0])
    print('  '.join(names))
    for row in rows:
        figures = typing.cast('dict[str, float]', row)
        cells = [f'{figures[n]:.4g}'.rjust(len(n)) for n in names]
        print('  '.join(cells))


def main() -> int:
    """Run all and print the tables; write JSON where the argument says."""
    rows = []
    for size in SIZES:
        rows.append(asyncio.run(_measure(size)))
        _print(rows[-1:])
    claims = asyncio.run(control_claims.measure(clock.SystemClock()))
    print(json.dumps(claims, indent=1))
    with contextlib.suppress(IndexError):
        result = json.dumps({'control': rows, 'claims': claims}, indent=1)
        pathlib.Path(sys.argv[1]).write_text(result)
    return 0


if __name__ == '__main__':
    sys.exit(main())
