"""Checks the Promela models and their mutants with Spin.

The search of each model has to complete without an error. Each mutant lacks
one safety rule and has to violate the assertion that is listed for it.
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
_SEARCH_TIMEOUT_SECONDS = 100
_CFLAGS = (
    '-w',
    '-DSAFETY',
    '-DCOLLAPSE',
    '-DNOFAIR',
    f'-DMEMLIM={_MAX_MEGABYTES}',
)

# For each rule a part of the text of its assertion.
_RULES = {
    'claim_names_epoch': '==log_epoch',
    'memory': 'engine_loaded',
    'last_ready_replica': 'crashed',
    'at_most_once': 'runs<=1',
    'not_run_is_true': 'ran[a]',
    'not_run_is_not_run': 'reply[a]!=',
    'answer_is_of_the_run': 'runs==1',
    'token_of_one_instance': 'used_by',
}


@dataclasses.dataclass(frozen=True)
class Check:
    """A search; ``rule`` is the expected violation, or empty for none."""

    title: str
    model: str
    flags: tuple[str, ...]
    rule: str = ''


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The result of a search."""

    check: Check
    errors: int
    states: int
    depth: int
    violated: str
    truncated: bool
    seconds: float

    @property
    def passed(self) -> bool:
        """Whether the search is complete with the expected violation."""
        if self.truncated:
            return False
        return self.violated == self.check.rule

    def line(self) -> str:
        """Format the outcome as a line of text."""
        verdict = 'ok' if self.passed else 'FAILED'
        caught = f' caught by {self.violated}' if self.violated else ''
        cut = ' TRUNCATED' if self.truncated else ''
        return (
            f'{verdict:6} {self.check.title}: {self.states} states, '
            f'depth {self.depth}, errors {self.errors}{caught}{cut} '
            f'({self.seconds:.1f} s)'
        )


_FENCING = ('-DFENCING=1', '-DORDERS=2', '-DCLAIMS=2')
_NO_FENCING = ('-DFENCING=0', '-DORDERS=2')
_FENCING_SPLIT = ('-DFENCING=1', '-DORDERS=2', '-DSPLIT=1')
_NO_FENCING_SPLIT = ('-DFENCING=0', '-DORDERS=2', '-DSPLIT=1', '-DCLAIMS=0')
_PAIR = ('-DSERVERS=2', '-DARTIFACTS=1', '-DORDERS=2')
_FENCING_PAIR = ('-DFENCING=1', *_PAIR)
_NO_FENCING_PAIR = ('-DFENCING=0', '-DRESTARTS=0', *_PAIR)
_RESTORED = ('-DINSTANCES=2', '-DRESTORES=1')
_REPEATED = ('-DFENCING=1', '-DORDERS=3', '-DCLAIMS=0', '-DRESTARTS=0')

_MODELS = (
    Check('engines with fencing', 'orders.pml', _FENCING),
    Check('engines without fencing', 'orders.pml', _NO_FENCING),
    Check('late replies, with fencing', 'orders.pml', _FENCING_SPLIT),
    Check('late replies, without fencing', 'orders.pml', _NO_FENCING_SPLIT),
    Check('replicas, with fencing', 'orders.pml', _FENCING_PAIR),
    Check('replicas, without fencing', 'orders.pml', _NO_FENCING_PAIR),
    Check('repeated orders', 'orders.pml', _REPEATED),
    Check('at most once', 'once.pml', ('-DATTEMPTS=3',)),
    Check('duty handed over', 'duty.pml', ('-DINSTANCES=3',)),
    Check('duty, store restored', 'duty.pml', _RESTORED),
)

_DEEP_MODELS = (
    Check(
        'with fencing, three orders, three claims',
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
        flag, 'token_of_one_instance', ('-DINSTANCES=3',), 'duty.pml'
    )


_MUTANTS = (
    _mutant('MUT_CLAIM_ANY', 'claim_names_epoch', _FENCING),
    _mutant('MUT_NO_TOKEN_SENT', 'memory', _FENCING),
    _mutant('MUT_NO_TOKEN_AFTER_RESTART', 'memory', _FENCING),
    _mutant('MUT_LOADS_NOT_LISTED', 'memory', _FENCING),
    _mutant('MUT_NO_CHARGE', 'memory', _FENCING),
    _mutant('MUT_NO_PROCESS', 'memory', _FENCING),
    _mutant('MUT_NO_ORDER_IDS', 'memory', _REPEATED),
    _mutant('MUT_INTENT_ANY', 'memory', _NO_FENCING),
    _mutant('MUT_NOT_RUN_ANY', 'memory', _NO_FENCING),
    _mutant('MUT_NO_READ_BACK', 'memory', _NO_FENCING),
    _mutant('MUT_NO_RECHECK', 'memory', _NO_FENCING),
    _mutant('MUT_NO_CHARGE', 'memory', _NO_FENCING),
    _mutant('MUT_NO_PROCESS', 'memory', _NO_FENCING),
    _mutant('MUT_STALE_ANSWER', 'memory', _FENCING_SPLIT),
    _mutant('MUT_STALE_ANSWER', 'memory', _NO_FENCING_SPLIT),
    _mutant('MUT_LAST_REPLICA', 'last_ready_replica', _FENCING_PAIR),
    _mutant('MUT_NO_WITHDRAW', 'last_ready_replica', _FENCING_PAIR),
    _mutant('MUT_NO_TOKEN_SENT', 'last_ready_replica', _FENCING_PAIR),
    _mutant('MUT_LAST_REPLICA', 'last_ready_replica', _NO_FENCING_PAIR),
    _mutant('MUT_NO_WITHDRAW', 'last_ready_replica', _NO_FENCING_PAIR),
    _mutant('MUT_INTENT_ANY', 'last_ready_replica', _NO_FENCING_PAIR),
    _once_mutant('MUT_NO_READ_BACK', 'at_most_once'),
    _once_mutant('MUT_SEND_LATE', 'not_run_is_not_run'),
    _once_mutant('MUT_WITHDRAW_LOST', 'at_most_once'),
    _once_mutant('MUT_LOST_IS_NOT_RUN', 'not_run_is_true'),
    _once_mutant('MUT_CLAIMANT_PRESUMED_FAILED', 'at_most_once'),
    _once_mutant('MUT_CLAIM_REPLACED', 'at_most_once'),
    _duty_mutant('MUT_SAME_TOKEN'),
    _duty_mutant('MUT_REPEATED_HAND_OVER'),
    _duty_mutant('MUT_ORDERS_WHILE_STOPPING'),
    _duty_mutant('MUT_OLD_MEMBERSHIP'),
    _duty_mutant('MUT_SUCCESSOR_HANDS_OVER'),
    _mutant('MUT_NO_ERA', 'token_of_one_instance', _RESTORED, 'duty.pml'),
)


def _find_number(pattern: str, text: str) -> int:
    match = re.search(pattern, text)
    return int(match.group(1)) if match else -1


def _find_violated_rule(text: str) -> str:
    match = re.search(r'assertion violated (.*) \(at depth', text)
    if match is None:
        return ''
    for rule, part in _RULES.items():
        if part in match.group(1):
            return rule
    return match.group(1)


def _search(check: Check, directory: pathlib.Path) -> str:
    model = directory / check.model
    model.write_bytes((_HERE / check.model).read_bytes())
    subprocess.run(
        ['spin', '-a', *check.flags, check.model],
        cwd=directory,
        check=True,
        capture_output=True,
    )
    # Mutant searches end early, so compile time matters more than run time.
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
        timeout=_SEARCH_TIMEOUT_SECONDS,
    )
    return searched.stdout + searched.stderr


def run_check(check: Check) -> Outcome:
    """Generate, compile and run a search in a temporary directory."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='spec-') as directory:
        try:
            text = _search(check, pathlib.Path(directory))
        except subprocess.TimeoutExpired:
            text = 'Search not completed'
    cut = ('max search depth too small', 'Search not completed', 'memory lim')
    errors = _find_number(r'errors: (\d+)', text)
    violated = _find_violated_rule(text)
    truncated = errors < 0 or (
        not violated and any(part in text for part in cut)
    )
    return Outcome(
        check=check,
        errors=errors,
        states=_find_number(r'(\d+) states, stored', text),
        depth=_find_number(r'depth reached (\d+)', text),
        violated=violated,
        truncated=truncated,
        seconds=time.monotonic() - started,
    )


def main() -> int:
    """Run all searches.

    :return: zero if all of them passed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--jobs', type=int, default=3)
    parser.add_argument('--deep', action='store_true')
    options = parser.parse_args()
    checks = [*_MODELS, *_MUTANTS]
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
