"""Measures idle cost, configuration changes and takeover of instances.

Run as ``python -m bench.instances --instances 3 6 9``. Stand-ins and
instances share one process, so the cost of one instance is the slope over
the number of instances. Results are printed as JSON lines.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import random
import resource
import statistics
import time
import typing

import anyio
import httpx

from dogwoodquay import clock as clocks
from dogwoodquay.demo import fleet as fleets
from dogwoodquay.demo import site as demo_site
from dogwoodquay.demo import waiting
from dogwoodquay.external.http import client as http_client
from dogwoodquay.external.http import log as http_log
from dogwoodquay.observe import loop
from dogwoodquay.operators import api as operators_api
from dogwoodquay.operators import client
from dogwoodquay.operators import publisher
from dogwoodquay.standin import examples

IDLE_SECONDS: typing.Final = 15.0
CHANGES: typing.Final = 40
TIMEOUT_SECONDS: typing.Final = 120.0
POLL_SECONDS: typing.Final = 0.02


async def _read_metric(member: fleets.Member, name: str) -> float:
    async with httpx.AsyncClient(trust_env=False) as http:
        page = await http.get(f'{member.operators_url}/metrics')
    return sum(
        float(line.rpartition(' ')[2])
        for line in page.text.splitlines()
        if line.startswith(name)
    )


async def _read_traffic(fleet: fleets.Fleet) -> list[float]:
    return [
        await _read_metric(member, 'dogwoodquay_peer_bytes_sent_total')
        + await _read_metric(member, 'dogwoodquay_peer_bytes_received_total')
        for member in fleet.live
    ]


async def measure_idle(fleet: fleets.Fleet, site: typing.Any) -> None:
    """Measure control traffic, processor time and appends when idle."""
    before = await _read_traffic(fleet)
    appends = site.log.appends
    cpu_start = time.process_time()
    start = time.monotonic()
    await anyio.sleep(IDLE_SECONDS)
    seconds = time.monotonic() - start
    cpu_seconds = time.process_time() - cpu_start
    after = await _read_traffic(fleet)
    rates = [(b - a) / seconds for a, b in zip(before, after, strict=True)]
    usage = resource.getrusage(resource.RUSAGE_SELF)
    _report(
        'idle',
        instances=len(fleet.live),
        bytes_per_second_mean=round(statistics.fmean(rates)),
        bytes_per_second_max=round(max(rates)),
        process_cpu_share=round(cpu_seconds / seconds, 4),
        process_peak_mib=usage.ru_maxrss // 1024,
        appends_per_second=round((site.log.appends - appends) / seconds, 2),
    )


async def measure_changes(
    fleet: fleets.Fleet,
    record_publisher: publisher.Publisher,
    clock: clocks.Clock,
) -> None:
    """Measure the time until a change is active on all instances."""
    times = []
    base = record_publisher.state.catalog.policy
    member = fleet.live[0]
    async with client.OperatorsClient(
        member.operators_url, fleets.TOKEN
    ) as operators:
        for number in range(CHANGES):
            record = {
                'schema_version': 1,
                'kind': 'policy',
                'name': 'default',
                'move_weight': base.move_weight + number / 1000,
            }
            start = time.monotonic()
            decision = await record_publisher.publish(
                json.dumps(record).encode(), clock.now() + 10.0
            )
            if not isinstance(decision, publisher.Published):
                raise SystemExit(f'a change was not decided: {decision}')
            await _wait_until_active(operators, decision.outcome.offset)
            times.append(time.monotonic() - start)
    times.sort()
    _report(
        'changes',
        instances=len(fleet.live),
        changes=len(times),
        p50_ms=round(times[len(times) // 2] * 1000, 1),
        p99_ms=round(times[int(len(times) * 0.99)] * 1000, 1),
        max_ms=round(times[-1] * 1000, 1),
    )


async def measure_takeover(
    fleet: fleets.Fleet, watcher: waiting.Watcher
) -> None:
    """Kill a pool's owner and measure the time until another takes over."""
    pool = (await watcher.statuses())[0].pools[0]
    owner = next(
        member for member in fleet.live if member.instance_id == pool.owner
    )
    await fleet.kill(owner)
    start = time.monotonic()
    with anyio.fail_after(TIMEOUT_SECONDS):
        while not await _taken_over(watcher, pool):
            await anyio.sleep(POLL_SECONDS)
    seconds = round(time.monotonic() - start, 2)
    _report('takeover', instances=len(fleet.live), seconds=seconds)


async def _taken_over(
    watcher: waiting.Watcher, before: operators_api.PoolStatus
) -> bool:
    return all(
        item.epoch > before.epoch
        for status in await watcher.statuses()
        for item in status.pools
        if item.pool == before.pool
    )


async def _wait_until_active(
    operators: client.OperatorsClient, offset: int
) -> None:
    while True:
        result = await operators.in_force(offset)
        if result.is_ok() and not (result.ok.behind or result.ok.silent):
            return
        await anyio.sleep(POLL_SECONDS)


async def run(count: int) -> None:
    """Run all measurements with a number of instances."""
    loop.log_loop_errors()
    clock = clocks.SystemClock()
    site = demo_site.make()
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(site.running())
        connections = await stack.enter_async_context(
            http_client.Connections(clock)
        )
        group = await stack.enter_async_context(anyio.create_task_group())
        fleet = fleets.Fleet(site, group)
        await fleet.start(count)
        offset = await waiting.publish_examples(
            site, clock, examples.HEELBRIGHT, examples.GULF
        )
        start = time.monotonic()
        watcher = await stack.enter_async_context(
            waiting.Watcher(fleet).running()
        )
        await watcher.wait_reachable(offset, TIMEOUT_SECONDS)
        seconds = round(time.monotonic() - start, 1)
        _report('placed', instances=count, seconds=seconds)
        await measure_idle(fleet, site)
        log = http_log.HttpLog(connections, clock, *site.log_address)
        record_publisher = publisher.Publisher(log, clock, random.Random(1))
        group.start_soon(record_publisher.run)
        await record_publisher.wait_caught_up(clock.now() + 10.0)
        await measure_changes(fleet, record_publisher, clock)
        await measure_takeover(fleet, watcher)
        await fleet.kill_all()
        group.cancel_scope.cancel()


def _report(name: str, **figures: object) -> None:
    print(json.dumps({'measure': name, **figures}), flush=True)


def main() -> None:
    """Run the measurements for each number of instances."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--instances', type=int, nargs='+', default=[3, 6, 9])
    for count in parser.parse_args().instances:
        anyio.run(run, count)


if __name__ == '__main__':
    main()
