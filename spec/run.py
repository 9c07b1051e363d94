"""Checks the specifications with Spin: the true models and their mutants.

Each true model has to be searched whole without an error. Each mutant leaves
one safety rule out and has to be caught by the rule that is named for it.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import pathlib
import re
import subprocess
import sys
import tempfile
import time

_HERE = pathlib.Path(__file__).resolve().parent
_MAX_DEPTH = 400_000
_MAX_MEGABYTES = 3_000
_SEARCH_SECONDS = 100
_CFLAGS = (
    '-w',
    '-DSAFETY',
    '-DCOLLAPSE',
    '-DNOFAIR',
    f'-DMEMLIM={_MAX_MEGABYTES}',
)

# A part of the assertion's text that tells a rule from the others.
_RULES = {
    'claim_names_epoch': '==log_epoch',
    'memory': 'engine_held',
    'last_ready_replica': 'crashed',
    'at_most_once': 'runs<=1',
    'not_run_is_true': 'ran[a]',
    'not_run_is_not_run': 'told[a]!=',
    'answer_is_of_the_run': 'runs==1',
    'number_of_one_instance': 'used_by',
}


@dataclasses.dataclass(frozen=True)
class Check:
    """One search; ``rule`` is what has to catch it, or empty."""

    title: str
    model: str
    flags: tuple[str, ...]
    rule: str = ''


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What Spin said of one search."""

    check: Check
    errors: int
    states: int
    depth: int
    violated: str
    truncated: bool
    seconds: float

    @property
    def passed(self) -> bool:
        """Whether the search ended as it has to."""
        if self.truncated:
            return False
        return self.violated == self.check.rule

    def line(self) -> str:
        """Return the outcome as one line of text."""
        verdict = 'ok' if self.passed else 'FAILED'
        caught = f' caught by {self.violated}' if self.violated else ''
        cut = ' TRUNCATED' if self.truncated else ''
        return (
            f'{verdict:6} {self.check.title}: {self.states} states, '
            f'depth {self.depth}, errors {self.errors}{caught}{cut} '
            f'({self.seconds:.1f} s)'
        )


_FENCING = ('-DFENCING=1', '-DORDERS=2', '-DCLAIMS=2')
_IGNORING = ('-DFENCING=0', '-DORDERS=2')
_FENCING_SPLIT = ('-DFENCING=1', '-DORDERS=2', '-DSPLIT=1')
_IGNORING_SPLIT = ('-DFENCING=0', '-DORDERS=2', '-DSPLIT=1', '-DCLAIMS=0')
_PAIR = ('-DSERVERS=2', '-DARTIFACTS=1', '-DORDERS=2')
_FENCING_PAIR = ('-DFENCING=1', *_PAIR)
_IGNORING_PAIR = ('-DFENCING=0', '-DRESTARTS=0', *_PAIR)
_REPEATED = ('-DFENCING=1', '-DORDERS=3', '-DCLAIMS=0', '-DRESTARTS=0')

_TRUE_MODELS = (
    Check('engines that refuse old numbers', 'orders.pml', _FENCING),
    Check('engines that ignore numbers', 'orders.pml', _IGNORING),
    Check('late answers, refusing', 'orders.pml', _FENCING_SPLIT),
    Check('late answers, ignoring', 'orders.pml', _IGNORING_SPLIT),
    Check('replicas, refusing', 'orders.pml', _FENCING_PAIR),
    Check('replicas, ignoring', 'orders.pml', _IGNORING_PAIR),
    Check('repeated orders', 'orders.pml', _REPEATED),
    Check('at most once', 'once.pml', ('-DATTEMPTS=3',)),
    Check('duty handed on', 'duty.pml', ('-DINSTANCES=3',)),
)

_DEEP_MODELS = (
    Check(
        'refusing, three orders, three claims',
        'orders.pml',
        ('-DFENCING=1', '-DORDERS=3', '-DCLAIMS=2'),
    ),
)


def _mutant(
    flag: str, rule: str, flags: tuple[str, ...], model: str = 'orders.pml'
) -> Check:
    return Check(f'{flag} [{flags[0]}]', model, (*flags, f'-D{flag}'), rule)


def _once_mutant(flag: str, rule: str) -> Check:
    return _mutant(flag, rule, ('-DATTEMPTS=3',), 'once.pml')


def _duty_mutant(flag: str) -> Check:
    return _mutant(
        flag, 'number_of_one_instance', ('-DINSTANCES=3',), 'duty.pml'
    )


_MUTANTS = (
    _mutant('MUT_CLAIM_ANY', 'claim_names_epoch', _FENCING),
    _mutant('MUT_NO_TEACH', 'memory', _FENCING),
    _mutant('MUT_NO_RETEACH', 'memory', _FENCING),
    _mutant('MUT_HIDES_LOADING', 'memory', _FENCING),
    _mutant('MUT_NO_CHARGE', 'memory', _FENCING),
    _mutant('MUT_NO_PROCESS', 'memory', _FENCING),
    _mutant('MUT_NO_ORDER_IDS', 'memory', _REPEATED),
    _mutant('MUT_INTENT_ANY', 'memory', _IGNORING),
    _mutant('MUT_NOT_RUN_ANY', 'memory', _IGNORING),
    _mutant('MUT_NO_READ_BACK', 'memory', _IGNORING),
    _mutant('MUT_NO_RECHECK', 'memory', _IGNORING),
    _mutant('MUT_NO_CHARGE', 'memory', _IGNORING),
    _mutant('MUT_NO_PROCESS', 'memory', _IGNORING),
    _mutant('MUT_STALE_ANSWER', 'memory', _FENCING_SPLIT),
    _mutant('MUT_STALE_ANSWER', 'memory', _IGNORING_SPLIT),
    _mutant('MUT_LAST_REPLICA', 'last_ready_replica', _FENCING_PAIR),
    _mutant('MUT_NO_WITHDRAW', 'last_ready_replica', _FENCING_PAIR),
    _mutant('MUT_NO_TEACH', 'last_ready_replica', _FENCING_PAIR),
    _mutant('MUT_LAST_REPLICA', 'last_ready_replica', _IGNORING_PAIR),
    _mutant('MUT_NO_WITHDRAW', 'last_ready_replica', _IGNORING_PAIR),
    _mutant('MUT_INTENT_ANY', 'last_ready_replica', _IGNORING_PAIR),
    _once_mutant('MUT_NO_READ_BACK', 'at_most_once'),
    _once_mutant('MUT_SEND_LATE', 'not_run_is_not_run'),
    _once_mutant('MUT_WITHDRAW_LOST', 'at_most_once'),
    _once_mutant('MUT_LOST_IS_NOT_RUN', 'not_run_is_true'),
    _once_mutant('MUT_DEAD_HOLDER', 'at_most_once'),
    _once_mutant('MUT_CLAIM_TAKEN', 'at_most_once'),
    _duty_mutant('MUT_SAME_NUMBER'),
    _duty_mutant('MUT_TWO_LETTERS'),
    _duty_mutant('MUT_ORDERS_ON'),
    _duty_mutant('MUT_OLD_MEMBERSHIP'),
    _duty_mutant('MUT_HEIR_HANDS_ON'),
)


def _number(pattern: str, text: str) -> int:
    found = re.search(pattern, text)
    return int(found.group(1)) if found else -1


def _violated(text: str) -> str:
    found = re.search(r'assertion violated (.*) \(at depth', text)
    if found is None:
        return ''
    for rule, part in _RULES.items():
        if part in found.group(1):
            return rule
    return found.group(1)


def _search(check: Check, directory: pathlib.Path) -> str:
    model = directory / check.model
    model.write_bytes((_HERE / check.model).read_bytes())
    subprocess.run(
        ['spin', '-a', *check.flags, check.model],
        cwd=directory,
        check=True,
        capture_output=True,
    )
    # Mutants end early, so that compiling fast gains more.
    optimize = '-O0' if check.rule else '-O2'
    subprocess.run(
        ['gcc', optimize, *_CFLAGS, '-o', 'pan', 'pan.c'],
        cwd=directory,
        check=True,
    )
    searched = subprocess.run(
        ['./pan', f'-m{_MAX_DEPTH}', '-n'],
        cwd=directory,
        check=False,
        capture_output=True,
        text=True,
        timeout=_SEARCH_SECONDS,
    )
    return searched.stdout + searched.stderr


def run_check(check: Check) -> Outcome:
    """Generate, compile and run one search in a directory of its own."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='spec-') as directory:
        try:
            text = _search(check, pathlib.Path(directory))
        except subprocess.TimeoutExpired:
            text = 'Search not completed'
    cut = ('max search depth too small', 'Search not completed', 'memory lim')
    errors = _number(r'errors: (\d+)', text)
    violated = _violated(text)
    truncated = errors < 0 or (
        not violated and any(part in text for part in cut)
    )
    return Outcome(
        check=check,
        errors=errors,
        states=_number(r'(\d+) states, stored', text),
        depth=_number(r'depth reached (\d+)', text),
        violated=violated,
        truncated=truncated,
        seconds=time.monotonic() - started,
    )


def main() -> int:
    """Run all checks.

    :return: zero when every one ended as it has to.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--jobs', type=int, default=3)
    parser.add_argument('--deep', action='store_true')
    options = parser.parse_args()
    checks = [*_TRUE_MODELS, *_MUTANTS]
    if options.deep:
        checks += _DEEP_MODELS
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        outcomes = list(pool.map(run_check, checks))
    for outcome in outcomes:
        print(outcome.line())
    failed = sum(not outcome.passed for outcome in outcomes)
    seconds = time.monotonic() - started
    print(f'{len(outcomes)} searches, {failed} failed, {seconds:.0f} s')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
