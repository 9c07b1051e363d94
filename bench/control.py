"""Measures what control costs an instance, over real loopback sockets.

``python -m bench.control`` runs 3, 9, 30 and 100 instances in this process,
then the claims of 9 instances at 200 requests a second.
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
STEADY_SECONDS: typing.Final = 4.0
ITEMS: typing.Final = 10
STOPPED: typing.Final = 2
TCP_FRAME_BYTES: typing.Final = 52 + 6
PAGE_BYTES: typing.Final = os.sysconf('SC_PAGE_SIZE')


class Row(typing.TypedDict):
    """The figures of one number of instances; times are in seconds."""

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


def _memory() -> float:
    statm = pathlib.Path('/proc/self/statm').read_text()
    return int(statm.split()[1]) * PAGE_BYTES / 1e6


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


async def _until(condition: typing.Callable[[], bool]) -> float:
    start = time.monotonic()
    with anyio.fail_after(60.0):
        while not condition():
            await anyio.sleep(0.01)
    return time.monotonic() - start


async def _disseminate(nodes: list[control_node.Node]) -> list[float]:
    """Put items at random instances; return when each other got them."""
    put_at: dict[str, float] = {}
    delays: list[float] = []

    def note(item: gossip_api.Item) -> None:
        delays.append(time.monotonic() - put_at[item.key])

    for node in nodes:
        node.replicated_map.watch('bench/', note)
    for number in range(ITEMS):
        key = f'bench/{number}'
        put_at[key] = time.monotonic()
        node = random.Random(number).choice(nodes)
        node.replicated_map.put(
            gossip_api.Item(key, gossip_api.Version(1, 1), bytes(100))
        )
        await anyio.sleep(0.1)
    await _until(lambda: len(delays) == ITEMS * len(nodes))
    return [delay for delay in delays if delay > 1e-3]


async def _steady(nodes: list[control_node.Node], row: Row) -> None:
    """Let nothing happen for a while, and see what that costs."""
    traffic = [node.peers.traffic for node in nodes]
    sent = sum(t.bytes_sent for t in traffic)
    frames = sum(t.frames_sent for t in traffic)
    used, start = time.process_time(), time.monotonic()
    await anyio.sleep(STEADY_SECONDS)
    used, spent = time.process_time() - used, time.monotonic() - start
    sent = sum(t.bytes_sent for t in traffic) - sent
    frames = sum(t.frames_sent for t in traffic) - frames
    each = len(nodes) * spent
    row['sent_bytes_per_second'] = sent / each
    row['frames_per_second'] = frames / each
    row['sent_with_headers_per_second'] = (
        sent + frames * TCP_FRAME_BYTES
    ) / each
    row['core_percent'] = 100 * used / each


async def _detect(nodes: list[control_node.Node]) -> list[float]:
    """End some instances at once; return when each other held them dead."""
    stopped = nodes[:STOPPED]
    others = nodes[STOPPED:]
    names = {node.name for node in stopped}
    delays: list[float] = []
    start = time.monotonic()
    waiting = {(o.name, name) for o in others for name in names}
    for node in stopped:
        node.stop.set()
    with anyio.fail_after(60.0):
        while waiting:
            for other in others:
                gone = names - other.sees()
                found = {(other.name, name) for name in gone} & waiting
                waiting -= found
                delays += [time.monotonic() - start] * len(found)
            await anyio.sleep(0.02)
    return delays


async def _measure(size: int) -> Row:
    row = typing.cast('Row', {'instances': size})
    gc.collect()
    memory = _memory()
    net = control_node.Net()
    nodes = [control_node.Node(net, number) for number in range(size)]
    async with anyio.create_task_group() as tasks:
        for node in nodes:
            await tasks.start(node.run)
            await anyio.sleep(STAGGER_SECONDS)
        row['joined'] = await _until(
            lambda: all(len(node.sees()) == size for node in nodes)
        )
        await anyio.sleep(1.0)
        await _steady(nodes, row)
        row['memory_mb'] = (_memory() - memory) / size
        row['connections'] = (
            sum(n.peers.connection_count for n in nodes) / size
        )
        items = await _disseminate(nodes)
        row['item_p50'] = _quantile(items, 0.5)
        row['item_p99'] = _quantile(items, 0.99)
        deaths = await _detect(nodes)
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
