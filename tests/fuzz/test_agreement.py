"""A short derandomized fuzz, and one broken variant for each rule."""

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
_MUTANT_RULES: typing.Final = 300
_FOUND: typing.Final = (
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


def _caught(mutant: mutants.Mutant) -> str:
    """Return the first violation that the variant leads to."""
    first = mutant.first_seed
    for seed in range(first, first + _MUTANT_SEEDS):
        broken = mutant.kind()
        broken.start(seed)
        try:
            broken.run_rules(random.Random(seed), _MUTANT_RULES)
        except oracle.Violation as violation:
            return str(violation)
    return 'not caught'


class AgreementFuzzTest(unittest.TestCase):
    """The promises under faults of every kind."""

    def test_true_code(self) -> None:
        """No rule is broken with any kind of engine."""
        for kind in (
            machine.AgreementMachine,
            machine.FencingMachine,
            machine.HidingMachine,
        ):
            with self.subTest(kind.__name__):
                stateful.run_state_machine_as_test(
                    kind, settings=_settings(_EXAMPLES, _STEPS)
                )

    def test_storms_that_once_broke_a_promise(self) -> None:
        """The runs in which a violation was found end without one."""
        for kind, seed in _FOUND:
            with self.subTest(kind.__name__, seed=seed):
                world = kind()
                world.start(seed)
                world.run_rules(random.Random(seed), _MUTANT_RULES)


class MutantTest(unittest.TestCase):
    """Code with a safety rule left out is caught by the rule named."""

    def test_each_mutant_is_caught(self) -> None:
        """The oracle raises, and names the rule."""
        for mutant in mutants.MUTANTS:
            with self.subTest(mutant.name), mutant.patch():
                self.assertRegex(_caught(mutant), f'^{mutant.rule}')


class ForgetfulEngineTest(unittest.TestCase):
    """Two owners at an engine that restarted and forgot its number.

    Random rules meet this order of events too seldom.
    """

    def _meet(self) -> None:
        world = machine.FencingMachine()
        world.start(0)
        world.take_over(1)
        world.restart_engine(1, forget=True)
        world.refresh(1)
        for artifact in ('m1@1', 'm2@1'):
            world.move(1, 1, artifact, False, '', 'lands')
        world.ask(0, 1, lost=False)
        world.take_answers(0)
        world.move(0, 1, 'm1@2', False, '', 'lands')
        for index in reversed(range(len(world.attempts))):
            world.arrive(index, again=True)
            world.engines_are_safe()

    def test_taught_again_first(self) -> None:
        """The old owner's order is refused or counted."""
        self._meet()

    def test_variant_that_does_not_teach_again_is_caught(self) -> None:
        """Both owners fill the same memory."""
        with (
            mutants.no_teaching_again(),
            self.assertRaisesRegex(oracle.Violation, '^memory'),
        ):
            self._meet()
