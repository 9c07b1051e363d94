"""Replays arrivals at many instances against servers of unequal speed."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import typing

from dogwoodquay.capacity import api
from dogwoodquay.capacity import core

__all__ = ['Load', 'Result', 'SimulatedServer', 'replay']

VIEW_SECONDS: typing.Final = 0.25
LINK_SECONDS: typing.Final = 0.003
SERVER_QUEUE: typing.Final = 24
PERIOD_SECONDS: typing.Final = 0.6
OTHERS_SECONDS: typing.Final = 1.5
SLOW_PACE: typing.Final = 2.5


@dataclasses.dataclass
class SimulatedServer:
    """A server; beyond ``knee`` requests its work takes longer.

    ``slow_between`` are times at which its work takes 2.5 times as long, in
    addition to the share of all periods.
    """

    speed: float = 1.0
    slots: int = 6
    knee: int = 1_000
    slow_between: tuple[float, float] = (0.0, 0.0)
    states_slowness: bool = True
    started_ms: int = 1
    running: int = 0
    waiting: collections.deque[typing.Any] = dataclasses.field(
        default_factory=collections.deque
    )
    sent: int = 0
    sent_late: int = 0


class Load(typing.NamedTuple):
    """The requests of all instances."""

    rate: float
    instances: int = 60
    seconds: float = 40.0
    service_seconds: float = 0.09
    slow_share: float = 0.15
    warm_seconds: float = 5.0
    view_seconds: float = VIEW_SECONDS
    objective: float = 0.4
    owner_lost_at: float = 1e9


class Result(typing.NamedTuple):
    """Shares of the requests, and how many each server got.

    Of ``sent``, those in ``sent_late`` came after the first seconds.
    """

    late: float
    rejected: float
    sent: list[int]
    sent_late: list[int]


class _Instance:
    def __init__(self, number: int, servers: int) -> None:
        self.capacities = core.Capacities()
        self.in_flight = [0] * servers
        self.others = [(0.0, 0.0)] * servers
        self.rng = random.Random(number)


def replay(
    servers: list[SimulatedServer], load: Load, policy: str, seed: int = 1
) -> Result:
    """Return what becomes of the requests.

    :param policy: ``learned``, ``fixed`` for the choice by equal declared
        slots, or ``oracle``, which knows the present state of all servers.
    """
    rng = random.Random(seed)
    paces = random.Random(seed + 1)
    keys = [
        api.ServerKey(f's{i}', item.started_ms)
        for i, item in enumerate(servers)
    ]
    instances = [_Instance(i, len(servers)) for i in range(load.instances)]
    slow = [
        [
            paces.random() < load.slow_share
            for _ in range(int(load.seconds / PERIOD_SECONDS) + 9)
        ]
        for _ in servers
    ]
    events: list[typing.Any] = []
    order = itertools.count()

    def push(at: float, kind: str, *data: typing.Any) -> None:
        heapq.heappush(events, (at, next(order), kind, data))

    def pace(index: int, now: float, stated: bool = False) -> float:
        item = servers[index]
        shared = slow[index][int(now / PERIOD_SECONDS)]
        begin, end = item.slow_between
        if begin <= now < end and (item.states_slowness or not stated):
            shared = True
        return SLOW_PACE if shared else 1.0

    def start(index: int, job: typing.Any, now: float) -> None:
        item = servers[index]
        item.running += 1
        work = load.service_seconds * rng.uniform(0.8, 1.2) * item.speed
        work *= pace(index, now) * max(1.0, item.running / item.knee)
        push(now + work, 'done', index, job)

    def choose(instance: _Instance, now: float) -> int | None:
        if policy == 'learned':
            return instance.capacities.choose(
                [
                    api.Candidate(key, instance.in_flight[i], item.slots + 2)
                    for i, (key, item) in enumerate(
                        zip(keys, servers, strict=True)
                    )
                ],
                '',
                now,
                instance.rng,
            )
        if policy == 'fixed':
            loads = [
                (count if now - at <= OTHERS_SECONDS else 0) + own
                for (count, at), own in zip(
                    instance.others, instance.in_flight, strict=True
                )
            ]
            costs = [
                load / (item.slots + 2)
                for load, item in zip(loads, servers, strict=True)
            ]
            free = [i for i, cost in enumerate(costs) if cost < 1.0]
            noisy = [cost + instance.rng.random() * 0.02 for cost in costs]
            return min(free, key=noisy.__getitem__, default=None)
        costs = []
        for i, item in enumerate(servers):
            held = item.running + len(item.waiting) + 1
            usable = min(item.slots, item.knee)
            seconds = item.speed * pace(i, now)
            costs.append(seconds * max(1.0, held / usable))
        return min(range(len(costs)), key=costs.__getitem__)

    def try_send(job: typing.Any, now: float) -> None:
        arrived, who = job[0], job[1]
        instance = instances[who]
        index = choose(instance, now)
        if index is None:
            if now - arrived > 1.0:
                results.append((arrived, False, True))
            else:
                push(now + 0.025, 'arrive', job)
            return
        item = servers[index]
        item.sent += 1
        item.sent_late += arrived >= load.warm_seconds
        instance.in_flight[index] += 1
        known = instance.capacities.servers[keys[index]]
        known.on_own(instance.in_flight[index], now)
        push(
            now + LINK_SECONDS,
            'reach',
            index,
            (*job[:2], now, known.pace_at_start(now)),
        )

    def answer(index: int, job: typing.Any, status: int, now: float) -> None:
        item = servers[index]
        figures = (item.running, len(item.waiting), pace(index, now, True))
        push(now + LINK_SECONDS, 'answer', index, job, status, figures)

    results: list[tuple[float, bool, bool]] = []
    at = 0.0
    while at < load.seconds:
        at += rng.expovariate(load.rate)
        push(at, 'arrive', (at, rng.randrange(load.instances)))
    for number in range(load.instances):
        offset = load.view_seconds * number / load.instances
        push(offset, 'view', number)
    owner = core.Capacities()
    reported = [[0] * len(servers) for _ in instances]
    for part in [owner, *(item.capacities for item in instances)]:
        for key, item in zip(keys, servers, strict=True):
            part.server(key, 's', item.slots, 0.0)
    while events:
        now, _, kind, data = heapq.heappop(events)
        if now > load.seconds + 2.0:
            break
        match kind:
            case 'arrive':
                try_send(data[0], now)
            case 'reach':
                index, job = data
                item = servers[index]
                if item.running < item.slots:
                    start(index, job, now)
                elif len(item.waiting) < SERVER_QUEUE:
                    item.waiting.append(job)
                else:
                    answer(index, job, 503, now)
            case 'done':
                index, job = data
                item = servers[index]
                answer(index, job, 200, now)
                item.running -= 1
                if item.waiting:
                    start(index, item.waiting.popleft(), now)
            case 'answer':
                index, job, status, figures = data
                instance = instances[job[1]]
                known = instance.capacities.servers[keys[index]]
                known.on_figures(*figures, now)
                known.add_news(now, 0.0, 0.0)
                total = max(0, sum(figures[:2]) - instance.in_flight[index])
                instance.others[index] = (total, now)
                instance.in_flight[index] -= 1
                known.on_own(instance.in_flight[index], now)
                if status == 200:
                    instance.capacities.on_completed(
                        keys[index],
                        api.Work('r', now - job[2], now - job[2]),
                        job[3],
                        now,
                    )
                late = now - job[0] > load.objective or status != 200
                results.append((job[0], not late, status == 503))
            case 'view':
                number = data[0]
                push(now + load.view_seconds, 'view', number)
                if now < load.owner_lost_at and policy == 'learned':
                    mine = instances[number].capacities
                    rows = mine.load_rows(now)
                    owner.on_load(rows, now)
                    reported[number] = list(instances[number].in_flight)
                    rest = [
                        counts
                        for other, counts in enumerate(reported)
                        if other != number
                    ]
                    others = {
                        key.server_id: sum(counts[i] for counts in rest)
                        for i, key in enumerate(keys)
                    }
                    view = owner.view_rows(now, others.__getitem__)
                    mine.on_view(view, now, now)
    counted = [item for item in results if item[0] >= load.warm_seconds]
    late = sum(not item[1] for item in counted) / len(counted)
    rejected = sum(item[2] for item in counted) / len(counted)
    return Result(
        late,
        rejected,
        [item.sent for item in servers],
        [item.sent_late for item in servers],
    )
