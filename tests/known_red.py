"""Reads the tests with known failures from ``KNOWN-RED.txt``."""

from __future__ import annotations

import pathlib
import re
import typing

__all__ = ['PATH', 'Verdict', 'classify', 'named_tests']

PATH: typing.Final = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
_TEST: typing.Final = re.compile(r'^ *Test: *(\S+) *$', re.MULTILINE)


class Verdict(typing.NamedTuple):
    """The failed tests of a run, compared with the known failures."""

    unknown: tuple[str, ...]
    known: tuple[str, ...]
    unseen: tuple[str, ...]


def named_tests(text: str) -> frozenset[str]:
    """Return the test ids in lines ``Test: package.module.Class.name``."""
    return frozenset(_TEST.findall(text))


def classify(failed: typing.Iterable[str], named: frozenset[str]) -> Verdict:
    """Separate known failures from unknown ones.

    :param failed: ids of the failed tests, possibly with duplicates.
    :param named: ids of the tests with known failures.
    """
    ids = set(failed)
    return Verdict(
        tuple(sorted(ids - named)),
        tuple(sorted(ids & named)),
        tuple(sorted(named - ids)),
    )
