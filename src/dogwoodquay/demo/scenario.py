"""The phases of the demonstration: requests under failures."""

from __future__ import annotations

import random
import typing

import anyio

from . import requests
from ..standin import examples

if typing.TYPE_CHECKING:
    from collections import abc

    from . import caller as callers
    from . import fleet as fleets
    from ..standin import site as sites
    from . import waiting

__all__ = ['Scenario']

SEED: typing.Final = 7
ROUNDS: typing.Final = 12
LONG_TOKENS: typing.Final = 150
REQUEST_INTERVAL_SECONDS: typing.Final = 0.02
FAILURE_DELAY_SECONDS: typing.Final = 0.7
CUT_AFTER_EVENTS: typing.Final = 20
PLACEMENT_TIMEOUT_SECONDS: typing.Final = 40.0
KILLED_INSTANCE: typing.Final = 1
STOPPED_INSTANCE: typing.Final = 0
DRAINED_ENGINE: typing.Final = 'engine-1'
RESTARTED_ENGINE: typing.Final = 'engine-3'


class Scenario:
    """Sends requests to a running site and injects failures."""

    def __init__(
        self,
        site: sites.StandInSite,
        fleet: fleets.Fleet,
        caller: callers.Caller,
        watcher: waiting.Watcher,
        offset: int,
        print_step: abc.Callable[[str], None],
    ) -> None:
        self._site = site
        self._fleet = fleet
        self._caller = caller
        self._watcher = watcher
        self._offset = offset
        self._print_step = print_step
        self._rng = random.Random(SEED)

    async def run(self) -> None:
        """Run all phases in order."""
        await self._send_mixed('no failure')
        await self._kill_instance()
        await self._drain_server()
        await self._restart_engine()
        await self._stop_instance()

    async def _send_mixed(self, phase: str) -> None:
        async with anyio.create_task_group() as group:
            for request in self._mixed_requests():
                group.start_soon(self._caller.call, phase, request)
                await anyio.sleep(REQUEST_INTERVAL_SECONDS)

    async def _kill_instance(self) -> None:
        member = self._fleet.members[KILLED_INSTANCE]
        phase = f'{member.instance_id} is killed'
        async with anyio.create_task_group() as group:
            for request in self._long_streams():
                group.start_soon(self._caller.call, phase, request)
            for request in self._mixed_requests():
                group.start_soon(self._caller.call, phase, request)
            await anyio.sleep(FAILURE_DELAY_SECONDS)
            await self._fleet.kill(member)
            self._print_step(f'killed {member.instance_id} during streams')

    async def _drain_server(self) -> None:
        phase = f'{DRAINED_ENGINE} is drained'
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_with_lost_connection, phase)
            self._site.drain(DRAINED_ENGINE)
            self._print_step(f'{DRAINED_ENGINE} is leaving')
            group.start_soon(self._send_mixed, phase)
            await self._wait_reachable(
                ignored_servers=frozenset({DRAINED_ENGINE})
            )
        self._print_step(f'all targets are reachable without {DRAINED_ENGINE}')

    async def _restart_engine(self) -> None:
        phase = f'{RESTARTED_ENGINE} restarts empty'
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_mixed, phase)
            await anyio.sleep(FAILURE_DELAY_SECONDS / 2)
            await self._site.restart(RESTARTED_ENGINE)
            self._print_step(f'restarted {RESTARTED_ENGINE} with empty memory')
        await self._wait_reachable(ignored_servers=frozenset({DRAINED_ENGINE}))
        self._print_step('all targets are reachable again')

    async def _stop_instance(self) -> None:
        member = self._fleet.members[STOPPED_INSTANCE]
        phase = f'{member.instance_id} stops gracefully'
        async with anyio.create_task_group() as group:
            for request in self._long_streams():
                group.start_soon(self._caller.call, phase, request)
            await anyio.sleep(FAILURE_DELAY_SECONDS)
            await self._fleet.stop(member)
            self._print_step(f'{member.instance_id} has stopped')

    async def _send_with_lost_connection(self, phase: str) -> None:
        """Send a streaming request whose first connection is lost.

        The caller resumes the stream at another instance.
        """
        request = requests.repair_ticket(self._rng, True, LONG_TOKENS)
        await self._caller.call(phase, request, CUT_AFTER_EVENTS)

    async def _wait_reachable(self, ignored_servers: frozenset[str]) -> None:
        await self._watcher.wait_reachable(
            self._offset, PLACEMENT_TIMEOUT_SECONDS, ignored_servers
        )

    def _mixed_requests(self) -> abc.Iterator[requests.Request]:
        for _ in range(ROUNDS):
            yield requests.repair_ticket(self._rng, stream=True)
            yield requests.condition_write_up(self._rng, stream=True)
            yield requests.repair_ticket(self._rng, stream=False)
            yield requests.condition_write_up(self._rng, stream=False)
            yield requests.operation(examples.HEELBRIGHT, self._rng)
            yield requests.operation(examples.GULF, self._rng)

    def _long_streams(self) -> abc.Iterator[requests.Request]:
        for _ in range(ROUNDS):
            yield requests.repair_ticket(self._rng, True, LONG_TOKENS)
            yield requests.condition_write_up(self._rng, True, LONG_TOKENS)
