"""Measures idempotency claims: appends per second and added latency."""

from __future__ import annotations

import itertools
import math
import random
import time
import typing
import uuid

import anyio

from dogwoodquay import clock as clocks
from dogwoodquay.external.memory import log
from dogwoodquay.external.memory import timeline
from dogwoodquay.idempotency import api
from dogwoodquay.idempotency import shell
from dogwoodquay.membership import api as membership_api

if typing.TYPE_CHECKING:
    from collections import abc

    from dogwoodquay.wire import api as wire_api

__all__ = ['ClaimFigures', 'measure']

CLAIMANTS: typing.Final = 9
REQUESTS_PER_SECOND: typing.Final = 200.0
SECONDS: typing.Final = 6.0
LOG_SECONDS: typing.Final = 0.005
UPSTREAM_SECONDS: typing.Final = 0.05


class ClaimFigures(typing.TypedDict):
    """The results of the run; ``log_ms`` is the delay of the log."""

    claimants: int
    requests: int
    granted: int
    requests_per_second: float
    appends_per_second: float
    log_ms: float
    claim_p50_ms: float
    claim_p99_ms: float
    core_percent_each: float


class _Members:
    def __init__(self, number: int) -> None:
        self._all = tuple(_member(n) for n in range(CLAIMANTS))
        self.own = self._all[number]
        self.trusted = True

    def members(self) -> tuple[membership_api.Member, ...]:
        return self._all

    def live(self) -> tuple[membership_api.Member, ...]:
        return self._all

    def is_dead(self, instance_id: str, incarnation: int) -> bool:
        return False

    def watch(
        self, callback: abc.Callable[[membership_api.Member], None]
    ) -> None:
        return


class _NoTransport:
    def register(self, *handlers: object) -> None:
        return


def _member(number: int) -> membership_api.Member:
    live = membership_api.MemberState.LIVE
    name = f'instance-{number}'
    return membership_api.Member(name, 1, '127.0.0.1', number, '', live)


def _key(now: float, number: int) -> str:
    value = int(now * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[math.ceil(share * len(ordered)) - 1]


async def measure(clock: clocks.Clock) -> ClaimFigures:
    """Run the claims of all instances on one shared log."""
    shared_log = log.MemoryLog(
        timeline.SystemTimeline(clock), random.Random(1)
    )
    shared_log.faults.slow_seconds = LOG_SECONDS
    claimants = [
        shell.LogClaims(
            shell.ClaimSettings(),
            shared_log,
            _Members(number),
            typing.cast('wire_api.Transport', _NoTransport()),
            clock,
            random.Random(number),
        )
        for number in range(CLAIMANTS)
    ]
    latencies: list[float] = []
    cpu_seconds = time.process_time()
    async with anyio.create_task_group() as tasks:
        for claims in claimants:
            tasks.start_soon(claims.run)
        start = time.monotonic()
        await _send_requests(claimants, clock, latencies)
        elapsed = time.monotonic() - start
        appends = shared_log.appends
        tasks.cancel_scope.cancel()
    cpu_seconds = time.process_time() - cpu_seconds
    requests = int(REQUESTS_PER_SECOND * SECONDS)
    return ClaimFigures(
        claimants=CLAIMANTS,
        requests=requests,
        granted=len(latencies),
        requests_per_second=requests / elapsed,
        appends_per_second=appends / elapsed,
        log_ms=LOG_SECONDS * 1000,
        claim_p50_ms=1000 * _quantile(latencies, 0.5),
        claim_p99_ms=1000 * _quantile(latencies, 0.99),
        core_percent_each=100 * cpu_seconds / elapsed / CLAIMANTS,
    )


async def _send_requests(
    claimants: list[shell.LogClaims],
    clock: clocks.Clock,
    latencies: list[float],
) -> None:
    next_claimant = itertools.cycle(claimants)
    start = clock.now()
    async with anyio.create_task_group() as tasks:
        for number in range(int(REQUESTS_PER_SECOND * SECONDS)):
            due = start + number / REQUESTS_PER_SECOND
            await anyio.sleep(max(0.0, due - clock.now()))
            tasks.start_soon(
                _claim_once, next(next_claimant), clock, number, latencies
            )


async def _claim_once(
    claims: shell.LogClaims,
    clock: clocks.Clock,
    number: int,
    latencies: list[float],
) -> None:
    start = clock.now()
    answer = await claims.claim(
        'bench', _key(start, number), bytes(16), start + 5.0
    )
    if isinstance(answer, api.Granted):
        latencies.append(clock.now() - start)
        await anyio.sleep(UPSTREAM_SECONDS)
        stored = api.StoredAnswer(201, (), b'ticket')
        await claims.settle(answer.claim, stored, clock.now() + 5.0)
