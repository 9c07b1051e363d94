"""Tests of what servers say of their limits."""

from __future__ import annotations

import unittest

from dogwoodquay.ratelimit import api
from dogwoodquay.ratelimit import statements

_SERVER = api.ServerKey('s', 1)


class AnswerTest(unittest.TestCase):
    """Answers name limits, change them and end them."""

    def setUp(self) -> None:
        """Begin with a limit that was heard at 10."""
        self.subject = statements.Statements()
        self.assertTrue(self.subject.on_answer(_SERVER, 2.5, 9.0, 10.0))

    def test_changed(self) -> None:
        """The newest value counts."""
        self.assertFalse(self.subject.on_answer(_SERVER, 2.5, 10.5, 11.0))
        self.assertTrue(self.subject.on_answer(_SERVER, 4.0, 10.6, 11.1))
        self.assertEqual(4.0, self.subject.rate(_SERVER))

    def test_overlapping_answer(self) -> None:
        """An answer to an earlier request does not end the limit."""
        self.assertFalse(self.subject.on_answer(_SERVER, None, 9.9, 12.0))
        self.assertEqual(2.5, self.subject.rate(_SERVER))

    def test_end(self) -> None:
        """An answer to a later request ends it."""
        self.assertTrue(self.subject.on_answer(_SERVER, None, 10.1, 12.0))
        self.assertIsNone(self.subject.rate(_SERVER))

    def test_zero_is_a_limit(self) -> None:
        """A server that takes nothing is limited, and asked rarely."""
        self.assertTrue(self.subject.on_answer(_SERVER, 0.0, 10.5, 11.0))
        self.assertEqual(0.0, self.subject.rate(_SERVER))
        self.assertEqual(api.MIN_RATE, api.effective_rate(0.0))

    def test_another_process(self) -> None:
        """A limit is that of one process."""
        self.assertIsNone(self.subject.rate(api.ServerKey('s', 2)))
        self.subject.keep_only({api.ServerKey('s', 2)})
        self.assertIsNone(self.subject.rate(_SERVER))
        self.assertFalse(self.subject)


class PeerTest(unittest.TestCase):
    """Statements of peers arrive late."""

    def test_late_statement(self) -> None:
        """An older limit does not come back after its end."""
        subject = statements.Statements()
        subject.on_answer(_SERVER, 2.5, 9.0, 10.0)
        subject.on_answer(_SERVER, None, 11.0, 11.5)
        self.assertFalse(subject.merge(api.Statement(_SERVER, 2.5, 10.9)))
        self.assertIsNone(subject.rate(_SERVER))
        self.assertTrue(subject.merge(api.Statement(_SERVER, 3.0, 11.1)))
        self.assertEqual(3.0, subject.rate(_SERVER))

    def test_late_end(self) -> None:
        """An older end does not end a limit."""
        subject = statements.Statements()
        subject.on_answer(_SERVER, 2.5, 9.0, 10.0)
        self.assertFalse(subject.merge(api.Statement(_SERVER, None, 9.9)))
        self.assertEqual(2.5, subject.rate(_SERVER))

    def test_news(self) -> None:
        """Limits are passed on as long as they stand, ends for a time."""
        subject = statements.Statements()
        subject.on_answer(_SERVER, 2.5, 9.0, 10.0)
        subject.expire(100.0)
        self.assertEqual(1, len(subject.known()))
        self.assertEqual([], subject.own())
        subject.on_answer(_SERVER, None, 101.0, 101.5)
        subject.expire(100.0)
        self.assertEqual(1, len(subject.known()))
        self.assertEqual(1, len(subject.own()))
        subject.expire(102.0)
        self.assertFalse(subject)

    def test_bounded(self) -> None:
        """Ended limits are forgotten first."""
        subject = statements.Statements()
        for number in range(statements.MAX_STATEMENTS):
            subject.on_answer(api.ServerKey(f's{number}', 1), 1.0, 0.0, 1.0)
        ended = api.ServerKey('s7', 1)
        subject.on_answer(ended, None, 2.0, 3.0)
        subject.on_answer(api.ServerKey('new', 1), 1.0, 4.0, 5.0)
        limited = {item.server for item in subject.limited()}
        self.assertEqual(statements.MAX_STATEMENTS, len(limited))
        self.assertNotIn(ended, limited)
