"""Tests of telling known failures from others."""

from __future__ import annotations

import unittest

from tests import known_red

_TEXT = """Findings.

1. Seen once.
   Test: tests.unit.a.ATest.test_a
   Command: python -m tests
2. No test of CI is red.
   Seen: Test: of a word within a line.
"""


class KnownRedTest(unittest.TestCase):
    """Only tests that the file names may fail."""

    def test_named(self) -> None:
        """A test has a line of its own."""
        named = known_red.named_tests(_TEXT)
        self.assertEqual({'tests.unit.a.ATest.test_a'}, named)

    def test_judged(self) -> None:
        """A known failure that is gone is told as well."""
        verdict = known_red.judge(['b', 'c', 'b'], frozenset('ab'))
        self.assertEqual(('c',), verdict.red)
        self.assertEqual(('b',), verdict.known)
        self.assertEqual(('a',), verdict.mended)

    def test_file(self) -> None:
        """The file of this repository names tests that exist."""
        if not known_red.PATH.exists():
            return
        named = known_red.named_tests(known_red.PATH.read_text('utf-8'))
        for name in named:
            suite = unittest.defaultTestLoader.loadTestsFromName(name)
            self.assertEqual(1, suite.countTestCases(), name)
