"""Runs the demonstration and prints its report."""

from __future__ import annotations

import pathlib
import signal
import tempfile
import typing

import anyio
import anyio.abc
import httpx

from .. import clock as clocks
from . import caller as callers
from . import fleet as fleets
from . import hints
from ..observe import loop
from . import outcomes
from . import report
from . import scenario
from . import site as demo_site
from ..standin import examples
from . import waiting

if typing.TYPE_CHECKING:
    from collections import abc

    from ..standin import site as sites

__all__ = ['run']

INSTANCES: typing.Final = 3
PLACEMENT_TIMEOUT_SECONDS: typing.Final = 60.0
_LIMITS: typing.Final = httpx.Limits(
    max_connections=500, max_keepalive_connections=100
)


async def run(keep_running: bool) -> bool:
    """Run the demonstration.

    :param keep_running: keep the site running afterwards and print
        command lines.
    :return: whether the demonstration succeeded.
    """
    loop.log_loop_errors()
    clock = clocks.SystemClock()
    start_time = clock.now()

    def print_step(text: str) -> None:
        print(f'{clock.now() - start_time:5.1f} s  {text}', flush=True)

    async with (
        demo_site.make().running() as site,
        anyio.create_task_group() as group,
    ):
        print_step(demo_site.describe(site))
        fleet = fleets.Fleet(site, group)
        try:
            result = await _run(site, fleet, clock, print_step)
        except waiting.NotReached as error:
            print_step(f'failed: {error}')
            await fleet.kill_all()
            return False
        print_step(
            'passed: all replies are correct' if result.passed else 'FAILED'
        )
        if keep_running:
            await _keep_running(site, fleet)
        await fleet.kill_all()
    return result.passed


async def _run(
    site: sites.StandInSite,
    fleet: fleets.Fleet,
    clock: clocks.Clock,
    print_step: abc.Callable[[str], None],
) -> report.Result:
    await fleet.start(INSTANCES)
    print_step(f'{INSTANCES} entry instances are listening')
    offset = await waiting.publish_examples(
        site, clock, examples.HEELBRIGHT, examples.GULF
    )
    print_step(f'published {offset + 1} records of both users')
    tally = outcomes.Tally()
    async with (
        waiting.Watcher(fleet).running() as watcher,
        httpx.AsyncClient(
            timeout=callers.REQUEST_TIMEOUT_SECONDS,
            limits=_LIMITS,
            trust_env=False,
        ) as http,
    ):
        await watcher.wait_reachable(offset, PLACEMENT_TIMEOUT_SECONDS)
        print_step('all records are active, all targets are reachable')
        initial_loads = site.weights.loads
        caller = callers.Caller(http, fleet.balancer_urls, tally, clock)
        demo_scenario = scenario.Scenario(
            site, fleet, caller, watcher, offset, print_step
        )
        await demo_scenario.run()
        result = report.collect(tally, site, initial_loads)
    print('\n' + report.render(result) + '\n', flush=True)
    return result


async def _keep_running(site: sites.StandInSite, fleet: fleets.Fleet) -> None:
    with tempfile.TemporaryDirectory(prefix='dogwoodquay-') as name:
        folder = pathlib.Path(name)
        hints.write_files(folder)
        print(hints.render(site, fleet, folder), end='\n\n')
        print('Running until interrupted (Ctrl-C).', flush=True)
        await _wait_for_interrupt()


async def _wait_for_interrupt() -> None:
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            return
