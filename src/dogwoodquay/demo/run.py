"""Runs the demonstration from the empty site to the report."""

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
from . import waiting

if typing.TYPE_CHECKING:
    from collections import abc

    from ..standin import site as sites

__all__ = ['run']

INSTANCES: typing.Final = 3
PLACED_SECONDS: typing.Final = 60.0
_LIMITS: typing.Final = httpx.Limits(
    max_connections=500, max_keepalive_connections=100
)


async def run(keep_up: bool) -> bool:
    """Run the demonstration.

    :param keep_up: leave the site up afterwards and print command lines.
    :return: whether every answer was right.
    """
    loop.log_loop_errors()
    clock = clocks.SystemClock()
    began = clock.now()

    def tell(text: str) -> None:
        print(f'{clock.now() - began:5.1f} s  {text}', flush=True)

    async with (
        demo_site.make().running() as site,
        anyio.create_task_group() as group,
    ):
        tell(demo_site.describe(site))
        fleet = fleets.Fleet(site, group)
        try:
            result = await _run(site, fleet, clock, tell)
        except waiting.NotReached as error:
            tell(f'not reached: {error}')
            await fleet.kill_all()
            return False
        tell('every answer was right' if result.right else 'NOT AS IT MUST BE')
        if keep_up:
            await _keep_up(site, fleet)
        await fleet.kill_all()
    return result.right


async def _run(
    site: sites.StandInSite,
    fleet: fleets.Fleet,
    clock: clocks.Clock,
    tell: abc.Callable[[str], None],
) -> report.Result:
    await fleet.start(INSTANCES)
    tell(f'{INSTANCES} entry instances listen')
    offset = await waiting.publish_examples(site, clock)
    tell(f'published {offset + 1} records of both users')
    tally = outcomes.Tally()
    async with (
        waiting.Watcher(fleet).running() as watcher,
        httpx.AsyncClient(
            timeout=callers.TIMEOUT_SECONDS, limits=_LIMITS, trust_env=False
        ) as http,
    ):
        await watcher.wait_reachable(offset, PLACED_SECONDS)
        tell('all records are in force, all that is declared is reachable')
        placed = site.weights.loads
        caller = callers.Caller(http, fleet.balanced, tally, clock)
        course = scenario.Scenario(site, fleet, caller, watcher, offset, tell)
        await course.run()
        result = report.collect(tally, site, placed)
    print('\n' + report.render(result) + '\n', flush=True)
    return result


async def _keep_up(site: sites.StandInSite, fleet: fleets.Fleet) -> None:
    with tempfile.TemporaryDirectory(prefix='dogwoodquay-') as name:
        folder = pathlib.Path(name)
        hints.write_files(folder)
        print(hints.render(site, fleet, folder), end='\n\n')
        print('Kept up until interrupted (Ctrl-C).', flush=True)
        await _interrupted()


async def _interrupted() -> None:
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            return
