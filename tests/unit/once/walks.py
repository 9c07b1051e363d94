"""Quick random walks of the state machine on claims."""

from __future__ import annotations

import random

from . import machine


def walk(seed: int, steps: int = 40) -> None:
    """Take random steps; much faster than a search with shrinking."""
    rng = random.Random(seed)
    world = machine.ClaimMachine()
    for _ in range(steps):
        _step(world, rng)
        world.runs_at_most_once()
    world.teardown()


def _step(world: machine.ClaimMachine, rng: random.Random) -> None:
    process = rng.randrange(machine.INSTANCES)
    name, body = rng.choice(machine.NAMES), rng.choice(machine.OFTEN_BODIES)
    match rng.randrange(10):
        case 0 | 1 | 2:
            world.serve(process, name, body, rng.randrange(1, 5))
        case 3:
            world.begin(process, name, body)
        case 4 | 5:
            world.carry(process, rng.choice(machine.CARRIED), rng.randrange(8))
        case 6:
            world.proceed(process, rng.choice(machine.ENDS))
        case 7 | 8:
            world.disturb(process, rng.choice(machine.FAULTS))
        case _:
            world.age(rng.choice(machine.AGES), rng.choice(machine.MINUTES))
