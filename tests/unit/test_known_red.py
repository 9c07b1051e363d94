"""Tests of the classification of known failures."""

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
    """Parsing of the file and comparison with failed tests."""

    def test_named(self) -> None:
        """Only whole lines with ``Test:`` name a test."""
        named = known_red.named_tests(_TEXT)
        self.assertEqual({'tests.unit.a.ATest.test_a'}, named)

    def test_classified(self) -> None:
        """Failures are unknown, known, or known but no longer seen."""
        verdict = known_red.classify(['b', 'c', 'b'], frozenset('ab'))
        self.assertEqual(('c',), verdict.unknown)
        self.assertEqual(('b',), verdict.known)
        self.assertEqual(('a',), verdict.unseen)

    def test_file(self) -> None:
        """Each test listed in this repository's file exists."""
        if not known_red.PATH.exists():
            return
        named = known_red.named_tests(known_red.PATH.read_text('utf-8'))
        for name in named:
            suite = unittest.defaultTestLoader.loadTestsFromName(name)
            self.assertEqual(1, suite.countTestCases(), name)
