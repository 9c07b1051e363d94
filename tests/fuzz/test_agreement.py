"""Short deterministic runs of the fuzzer, also on broken code."""

from __future__ import annotations

import random
import typing
import unittest

import hypothesis
from hypothesis import stateful

from . import machine
from . import mutants
from . import oracle

_EXAMPLES: typing.Final = 25
_STEPS: typing.Final = 60
_MUTANT_SEEDS: typing.Final = 100
_RULES_PER_RUN: typing.Final = 300
_FIXED_RUNS: typing.Final = (
    (machine.AgreementMachine, 53),
    (machine.FencingMachine, 1_500_141),
    (machine.AgreementMachine, 1_501_935),
)


def _settings(examples: int, steps: int) -> hypothesis.settings:
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        derandomize=True,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def _first_violation(mutant: mutants.Mutant) -> str:
    """Return the first violation that the mutant causes."""
    first = mutant.first_seed
    for seed in range(first, first + _MUTANT_SEEDS):
        broken = mutant.kind()
        broken.start(seed)
        try:
            broken.run_rules(random.Random(seed), _RULES_PER_RUN)
        except oracle.Violation as violation:
            return str(violation)
    return 'not caught'


class AgreementFuzzTest(unittest.TestCase):
    """The safety rules hold under all kinds of faults."""

    def test_unmodified_code(self) -> None:
        """No safety rule is broken with any kind of engine."""
        for kind in (
            machine.AgreementMachine,
            machine.FencingMachine,
            machine.UnlistedLoadsMachine,
        ):
            with self.subTest(kind.__name__):
                stateful.run_state_machine_as_test(
                    kind, settings=_settings(_EXAMPLES, _STEPS)
                )

    def test_runs_with_fixed_violations(self) -> None:
        """Runs that once violated a safety rule pass."""
        for kind, seed in _FIXED_RUNS:
            with self.subTest(kind.__name__, seed=seed):
                world = kind()
                world.start(seed)
                world.run_rules(random.Random(seed), _RULES_PER_RUN)


class MutantTest(unittest.TestCase):
    """Code that lacks a safety rule is detected."""

    def test_each_mutant_is_caught(self) -> None:
        """The oracle reports the expected violation for each mutant."""
        for mutant in mutants.MUTANTS:
            with self.subTest(mutant.name), mutant.patch():
                self.assertRegex(_first_violation(mutant), f'^{mutant.rule}')


class ForgottenTokenTest(unittest.TestCase):
    """An engine with two owners restarts and forgets its fencing token.

    Random rules reach this order of events too rarely.
    """

    def _run_with_two_owners(self) -> None:
        world = machine.FencingMachine()
        world.start(0)
        world.take_over(1)
        world.restart_engine(1, forget=True)
        world.refresh(1)
        for artifact in ('m1@1', 'm2@1'):
            world.move(1, 1, artifact, False, '', 'stored')
        world.ask(0, 1, lost=False)
        world.take_answers(0)
        world.move(0, 1, 'm1@2', False, '', 'stored')
        for index in reversed(range(len(world.attempts))):
            world.arrive(index, duplicate=True)
            world.engines_are_safe()

    def test_token_is_sent_again(self) -> None:
        """The old owner's order is refused or included in the memory count."""
        self._run_with_two_owners()

    def test_mutant_is_caught(self) -> None:
        """Without a new token exchange both owners use the same memory."""
        with (
            mutants.without_token_after_restart(),
            self.assertRaisesRegex(oracle.Violation, '^memory'),
        ):
            self._run_with_two_owners()
