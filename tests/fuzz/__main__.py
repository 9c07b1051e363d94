"""Fuzzes for a given time; prints seeds, rules tried and violations."""

from __future__ import annotations

import argparse
import random
import sys
import time
import traceback

import hypothesis
from hypothesis import stateful

from . import machine
from . import world

_MACHINES = (
    machine.AgreementMachine,
    machine.FencingMachine,
    machine.HidingMachine,
)
_EXAMPLES = 60
_STORMS = 300
_STORM_RULES = 300
_STEPS = 150


def _run(
    kind: type[stateful.RuleBasedStateMachine], seed: int, steps: int
) -> str:
    settings = hypothesis.settings(
        max_examples=_EXAMPLES,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    seeded = hypothesis.seed(seed)(kind)
    try:
        stateful.run_state_machine_as_test(seeded, settings=settings)
    except Exception:
        return traceback.format_exc()
    return ''


def _storm(kind: type[machine.AgreementMachine], seed: int) -> str:
    """Run rules by weight, which comes deeper than even choices do."""
    for number in range(seed * _STORMS, (seed + 1) * _STORMS):
        try:
            subject = kind()
            subject.start(number)
            subject.run_rules(random.Random(number), _STORM_RULES)
        except Exception:
            return f'storm {number}: {traceback.format_exc()}'
    return ''


def main() -> int:
    """Run machines in turn, with rising seeds, until the time is up."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=60.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--steps', type=int, default=_STEPS)
    options = parser.parse_args()
    end = time.monotonic() + options.seconds
    seed = options.seed
    violations = 0
    while time.monotonic() < end:
        for kind in _MACHINES:
            failure = _run(kind, seed, options.steps) or _storm(kind, seed)
            violations += bool(failure)
            verdict = failure or 'no violation'
            print(f'seed {seed} {kind.__name__}: {verdict}', flush=True)
        seed += 1
    tried = sum(world.RULES_TRIED.values())
    for rule, count in sorted(world.RULES_TRIED.items()):
        print(f'{rule}: {count}')
    print(
        f'seeds {options.seed} to {seed - 1}: '
        f'{tried} rules tried, {violations} violations'
    )
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
