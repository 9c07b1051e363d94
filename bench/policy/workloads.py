"""The users' deployment sizes and the generated workloads."""

from __future__ import annotations

import math
import random
import typing

import xxhash

from bench.policy import engine
from dogwoodquay.records import api as records

GIGABYTE = 10**9
SECONDS = 150.0
CHANGE_AT = 40.0
INTERACTIVE_SECONDS = 0.98
OVERNIGHT_SECONDS = 120.0
START = 1_000_000.0
CALLERS = 8


class User(typing.NamedTuple):
    """The deployment size and move weight of a user."""

    name: str
    models: int
    adapters: int
    servers: int
    move_weight: float


USERS = {
    'heelbright': User('heelbright', 13, 60, 5, 0.2),
    'gulf': User('gulf', 17, 55, 5, 1.0),
}


class Workload(typing.NamedTuple):
    """The load and faults of a simulation; rates in requests per second.

    Changes begin at ``CHANGE_AT``. ``quiet_burst`` raises the rate of a rarely
    used model tenfold, ``rush`` is a factor for all rates, ``sale`` triples
    the rates of three models and freezes moves later on. ``photo_share`` is
    the share of requests with long prompts, ``load_lag`` the delay of load
    reports in seconds.
    """

    name: str
    rate: float = 45.0
    quiet_burst: bool = False
    rush: float = 1.0
    sale: bool = False
    overnight_rate: float = 0.0
    photo_share: float = 0.0
    slow_engine: bool = False
    domain_lost: bool = False
    cache_events: bool = True
    load_lag: float = 1.0
    rollout: bool = False


WORKLOADS = {
    item.name: item
    for item in (
        Workload('steady'),
        Workload('quiet_burst', rate=35.0, quiet_burst=True),
        Workload('rush', rate=26.0, rush=2.5),
        Workload('sale', rate=34.0, sale=True),
        Workload('overnight', rate=35.0, overnight_rate=20.0),
        Workload('photo', rate=24.0, photo_share=0.3),
        Workload('slow_engine', rate=40.0, slow_engine=True),
        Workload('domain_lost', rate=34.0, domain_lost=True),
        Workload('cache_stopped', cache_events=False),
        Workload('load_lag', load_lag=10.0),
        Workload('rollout', rollout=True),
    )
}


def catalog(user: User, workload: Workload, seed: int) -> records.Catalog:
    """Return the catalog of a user; model sizes depend on the seed."""
    rng = random.Random(f'catalog {user.name} {seed}')
    servers = tuple(
        records.Server(
            f's{index}',
            '127.0.0.1',
            1,
            f'd{index % 3}',
            64 * GIGABYTE,
        )
        for index in range(user.servers)
    )
    models = {
        f'm{index}': records.Model(
            f'm{index}', '1', rng.randint(6, 20) * GIGABYTE, 'pool'
        )
        for index in range(user.models)
    }
    adapters = {
        f'a{index}': records.Adapter(
            f'a{index}',
            '1',
            f'm{rng.randrange(user.models)}',
            GIGABYTE // 5,
        )
        for index in range(user.adapters)
    }
    callers = {
        f'c{index}': records.Caller(f'c{index}', '', requests_per_second=40.0)
        for index in range(CALLERS)
    }
    windows: tuple[records.FreezeWindow, ...] = ()
    if workload.sale:
        at = START + CHANGE_AT + 40.0
        windows = (records.FreezeWindow(at, START + SECONDS),)
    policy = records.Policy(
        move_weight=user.move_weight, freeze_windows=windows
    )
    return records.Catalog(
        0,
        models,
        adapters,
        {},
        {},
        callers,
        {'pool': records.Pool('pool', servers)},
        policy,
    )


class RequestSource:
    """Generates requests with popularity, load ramps and shared prompts."""

    def __init__(
        self, declared: records.Catalog, workload: Workload, seed: int
    ) -> None:
        self._rng = random.Random(f'arrivals {workload.name} {seed}')
        self._workload = workload
        self._number = 0
        models = list(declared.models)
        self._rng.shuffle(models)
        weights = [1.0 / (rank + 1) ** 0.9 for rank in range(len(models))]
        rate = workload.rate / sum(weights)
        self._rates = {m: rate * r for m, r in zip(models, weights)}
        self.quiet_model = models[len(models) // 2]
        if workload.quiet_burst:
            self._rates[self.quiet_model] = 3.0
        self._sale = models[1:4]
        self._adapters: dict[str, list[str]] = {}
        for adapter in declared.adapters.values():
            names = self._adapters.setdefault(adapter.base, [])
            names.append(adapter.name)

    def rates(self, now: float) -> dict[str, float]:
        """Return the requests per second for each model and its adapters."""
        workload = self._workload
        ramp = min(1.0, max(0.0, (now - START - CHANGE_AT) / 60.0))
        rates = dict(self._rates)
        if workload.quiet_burst:
            rates[self.quiet_model] *= 10.0**ramp
        if workload.sale:
            for name in self._sale:
                rates[name] *= 1.0 + 2.0 * ramp
        factor = workload.rush**ramp
        return {name: rate * factor for name, rate in rates.items()}

    def next(self, now: float) -> tuple[str, engine.Request]:
        """Return the name of the next request's target and the request.

        The request has no artifact yet.
        """
        rates = self.rates(now)
        interactive = sum(rates.values())
        total = interactive + self._workload.overnight_rate
        rng = self._rng
        arrival = now + rng.expovariate(total)
        family = rng.choices(list(rates), list(rates.values()))[0]
        overnight = rng.random() * total >= interactive
        return self._request(arrival, family, overnight)

    def _request(
        self, arrival: float, family: str, overnight: bool
    ) -> tuple[str, engine.Request]:
        rng = self._rng
        name = family
        adapters = self._adapters.get(family)
        if adapters and rng.random() < 0.4:
            name = rng.choice(adapters)
        prompt = max(50, int(rng.lognormvariate(math.log(400), 0.5)))
        if rng.random() < self._workload.photo_share:
            prompt += rng.randint(1000, 3000)
        seconds = OVERNIGHT_SECONDS if overnight else INTERACTIVE_SECONDS
        self._number += 1
        topic = min(int(rng.expovariate(0.15)), 40)
        shared_blocks = [_block(name, topic, block) for block in range(5)]
        own_blocks = [_block(name, -self._number, block) for block in range(3)]
        return name, engine.Request(
            f'r{self._number}',
            arrival,
            '',
            f'c{min(int(rng.expovariate(0.5)), CALLERS - 1)}',
            prompt,
            max(4, int(rng.expovariate(1 / 60))),
            0 if overnight else 3,
            arrival + seconds,
            tuple(shared_blocks + own_blocks),
        )


def _block(name: str, text: int, block: int) -> int:
    """Return the hash of a block of a prompt."""
    return xxhash.xxh64_intdigest(f'{name}/{text}/{block}'.encode())
