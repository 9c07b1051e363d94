"""Runs the fuzzer for a time; prints seeds, rule counts and violations."""

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
    machine.UnlistedLoadsMachine,
)
_EXAMPLES = 60
_RUNS_PER_SEED = 300
_RULES_PER_RUN = 300
_STEPS = 150


def _run_hypothesis(
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


def _run_weighted(kind: type[machine.AgreementMachine], seed: int) -> str:
    """Run weighted random rules, which reach deeper states than uniform ones.

    :return: the traceback of the first failure, or an empty string.
    """
    for number in range(seed * _RUNS_PER_SEED, (seed + 1) * _RUNS_PER_SEED):
        try:
            state_machine = kind()
            state_machine.start(number)
            state_machine.run_rules(random.Random(number), _RULES_PER_RUN)
        except Exception:
            return f'run {number}: {traceback.format_exc()}'
    return ''


def main() -> int:
    """Run all machines with increasing seeds until the time is up.

    :return: one if there was a violation, else zero.
    """
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
            failure = _run_hypothesis(
                kind, seed, options.steps
            ) or _run_weighted(kind, seed)
            violations += bool(failure)
            verdict = failure or 'no violation'
            print(f'seed {seed} {kind.__name__}: {verdict}', flush=True)
        seed += 1
    rules_run = sum(world.RULE_COUNTS.values())
    for rule, count in sorted(world.RULE_COUNTS.items()):
        print(f'{rule}: {count}')
    print(
        f'seeds {options.seed} to {seed - 1}: '
        f'{rules_run} rules run, {violations} violations'
    )
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
