"""Fast random walks of the state machine of claims."""

from __future__ import annotations

import random

from . import machine


def walk(seed: int, steps: int = 40) -> None:
    """Take random steps; much faster than a Hypothesis search."""
    rng = random.Random(seed)
    subject = machine.ClaimMachine()
    for _ in range(steps):
        _step(subject, rng)
        subject.runs_at_most_once()
    subject.teardown()


def _step(subject: machine.ClaimMachine, rng: random.Random) -> None:
    process = rng.randrange(machine.INSTANCES)
    caller_key, body = (
        rng.choice(machine.CALLER_KEYS),
        rng.choice(machine.BODY_CHOICES),
    )
    match rng.randrange(10):
        case 0 | 1 | 2:
            subject.serve(process, caller_key, body, rng.randrange(1, 5))
        case 3:
            subject.begin(process, caller_key, body)
        case 4 | 5:
            subject.deliver(
                process, rng.choice(machine.DELIVERY_KINDS), rng.randrange(8)
            )
        case 6:
            subject.proceed(process, rng.choice(machine.REQUEST_STEPS))
        case 7 | 8:
            subject.inject_fault(process, rng.choice(machine.FAULT_KINDS))
        case _:
            subject.advance_time(
                rng.choice(machine.TIME_CHANGES), rng.choice(machine.MINUTES)
            )
