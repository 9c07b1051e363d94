"""What happens in the demonstration, one phase after the other."""

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
SPACING_SECONDS: typing.Final = 0.02
INTO_STREAMS_SECONDS: typing.Final = 0.7
CUT_AFTER_EVENTS: typing.Final = 20
PLACED_SECONDS: typing.Final = 40.0
KILLED: typing.Final = 1
STOPPED: typing.Final = 0
DRAINED: typing.Final = 'engine-1'
RESTARTED: typing.Final = 'engine-3'


class Scenario:
    """Drives requests and failures through a running site."""

    def __init__(
        self,
        site: sites.StandInSite,
        fleet: fleets.Fleet,
        caller: callers.Caller,
        watcher: waiting.Watcher,
        offset: int,
        tell: abc.Callable[[str], None],
    ) -> None:
        self._site = site
        self._fleet = fleet
        self._caller = caller
        self._watcher = watcher
        self._offset = offset
        self._tell = tell
        self._rng = random.Random(SEED)

    async def run(self) -> None:
        """Run all phases."""
        await self._steady('all is well')
        await self._kill_instance()
        await self._drain_server()
        await self._restart_engine()
        await self._stop_instance()

    async def _steady(self, phase: str) -> None:
        async with anyio.create_task_group() as group:
            for request in self._mixed():
                group.start_soon(self._caller.call, phase, request)
                await anyio.sleep(SPACING_SECONDS)

    async def _kill_instance(self) -> None:
        victim = self._fleet.members[KILLED]
        phase = f'{victim.instance_id} is killed'
        async with anyio.create_task_group() as group:
            for request in self._long_streams():
                group.start_soon(self._caller.call, phase, request)
            for request in self._mixed():
                group.start_soon(self._caller.call, phase, request)
            await anyio.sleep(INTO_STREAMS_SECONDS)
            await self._fleet.kill(victim)
            self._tell(f'killed {victim.instance_id} in the middle of streams')

    async def _drain_server(self) -> None:
        phase = f'{DRAINED} is drained'
        async with anyio.create_task_group() as group:
            group.start_soon(self._lose_a_phone, phase)
            self._site.drain(DRAINED)
            self._tell(f'{DRAINED} is leaving')
            group.start_soon(self._steady, phase)
            await self._reachable(without=frozenset({DRAINED}))
        self._tell(f'all is reachable without {DRAINED}')

    async def _restart_engine(self) -> None:
        phase = f'{RESTARTED} restarts empty'
        async with anyio.create_task_group() as group:
            group.start_soon(self._steady, phase)
            await anyio.sleep(INTO_STREAMS_SECONDS / 2)
            await self._site.restart(RESTARTED)
            self._tell(f'restarted {RESTARTED}, which forgot its models')
        await self._reachable(without=frozenset({DRAINED}))
        self._tell('all is reachable again')

    async def _stop_instance(self) -> None:
        leaving = self._fleet.members[STOPPED]
        phase = f'{leaving.instance_id} stops as planned'
        async with anyio.create_task_group() as group:
            for request in self._long_streams():
                group.start_soon(self._caller.call, phase, request)
            await anyio.sleep(INTO_STREAMS_SECONDS)
            await self._fleet.stop(leaving)
            self._tell(f'{leaving.instance_id} has stopped')

    async def _lose_a_phone(self, phase: str) -> None:
        """Cut a phone's connection; the stream goes on elsewhere."""
        request = requests.repair_ticket(self._rng, True, LONG_TOKENS)
        await self._caller.call(phase, request, CUT_AFTER_EVENTS)

    async def _reachable(self, without: frozenset[str]) -> None:
        await self._watcher.wait_reachable(
            self._offset, PLACED_SECONDS, without
        )

    def _mixed(self) -> abc.Iterator[requests.Request]:
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
