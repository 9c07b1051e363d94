"""Requests for models, known in advance so that an optimum can be told."""

from __future__ import annotations

import random
import typing

__all__ = ['SHAPES', 'Request', 'Shape', 'requests']


class Shape(typing.NamedTuple):
    """A deployment and the demand on it.

    ``common`` models take turns in being asked for often: ``now`` of them at
    a time, others after each ``shift_seconds``, at ``common_rate`` requests a
    second together. The other models are asked for at ``rare_rate`` together.
    """

    name: str
    engines: int
    places: int
    models: int
    common: int
    now: int
    common_rate: float
    rare_rate: float
    shift_seconds: float
    load_seconds: float
    disk_seconds: float
    loads_per_second: float
    seconds: float = 60.0
    aim_seconds: float = 1.0
    patience_seconds: float = 10.0
    request_seconds: float = 1.5


class Request(typing.NamedTuple):
    """When a request comes, and for which model."""

    at: float
    model: str


_LONG: typing.Final = Shape(
    'long_loads', 9, 3, 39, 15, 6, 42.0, 2.9, 10.0, 9.0, 2.3, 2.1
)
SHAPES: typing.Final = {
    item.name: item
    for item in (
        _LONG,
        _LONG._replace(name='long_steady', shift_seconds=1000.0),
        _LONG._replace(name='long_rare', rare_rate=12.0),
        _LONG._replace(name='short_loads', load_seconds=4.0, disk_seconds=0.8),
        _LONG._replace(name='roomy', models=27, common=9),
        Shape(
            'many_rare', 45, 2, 107, 45, 18, 300.0, 18.0, 8.0, 1.2, 0.24, 13.0
        ),
        Shape(
            'many_rare_patient',
            *(45, 2, 126, 45, 18, 250.0, 26.0, 8.0, 3.5, 0.7, 13.0),
            aim_seconds=6.0,
            patience_seconds=16.0,
        ),
    )
}


def requests(shape: Shape, seed: int) -> list[Request]:
    """Return the requests of a run, the earliest first."""
    rng = random.Random(f'{shape.name} {seed}')
    names = [f'm{number}' for number in range(shape.models)]
    common, rare = names[: shape.common], names[shape.common :]
    found: list[Request] = []
    now, shift_at = 0.0, 0.0
    often: list[str] = []
    while now < shape.seconds:
        if now >= shift_at:
            often = rng.sample(common, shape.now)
            shift_at += shape.shift_seconds
        now += rng.expovariate(shape.common_rate + shape.rare_rate)
        total = shape.common_rate + shape.rare_rate
        if rng.random() * total < shape.rare_rate:
            model = rng.choice(rare)
        else:
            weights = [1.0 / (rank + 1) for rank in range(len(often))]
            (model,) = rng.choices(often, weights)
        found.append(Request(now, model))
    return found
