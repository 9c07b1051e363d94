"""The findings of ``KNOWN-RED.txt`` and the tests that they name."""

from __future__ import annotations

import pathlib
import re
import typing

__all__ = ['PATH', 'Verdict', 'judge', 'named_tests']

PATH: typing.Final = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
_TEST: typing.Final = re.compile(r'^ *Test: *(\S+) *$', re.MULTILINE)


class Verdict(typing.NamedTuple):
    """What came of a run: tests by whether they were known to fail."""

    red: tuple[str, ...]
    known: tuple[str, ...]
    mended: tuple[str, ...]


def named_tests(text: str) -> frozenset[str]:
    """Return the tests that lines ``Test: package.module.Class.name`` name."""
    return frozenset(_TEST.findall(text))


def judge(failed: typing.Iterable[str], named: frozenset[str]) -> Verdict:
    """Tell the failures that are known from those that are not.

    :param failed: ids of the tests that failed, once each or more often.
    :param named: ids of the tests that may fail.
    """
    ids = set(failed)
    return Verdict(
        tuple(sorted(ids - named)),
        tuple(sorted(ids & named)),
        tuple(sorted(named - ids)),
    )
