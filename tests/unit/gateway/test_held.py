"""Tests of the memory that answers hold together."""

from __future__ import annotations

import unittest

from dogwoodquay.external.http import bodies
from dogwoodquay.gateway import held

LIMIT_BYTES = 10 * held.FREE_BYTES


class HeldAnswersTest(unittest.TestCase):
    """Large answers share a limit, and small ones are free."""

    def setUp(self) -> None:
        self.held = held.HeldAnswers(LIMIT_BYTES)

    def test_sum(self) -> None:
        with self.held.share() as one, self.held.share() as two:
            one.resize(LIMIT_BYTES // 2)
            two.resize(LIMIT_BYTES // 2)
            with self.assertRaises(bodies.AnswerTooLarge) as caught:
                two.resize(LIMIT_BYTES // 2 + 1)
        self.assertEqual('answers_too_large', caught.exception.reason)
        self.assertEqual(0, self.held.bytes)

    def test_small_answer_beside_large_ones(self) -> None:
        with self.held.share() as large, self.held.share() as small:
            large.resize(LIMIT_BYTES)
            small.resize(held.FREE_BYTES)
            self.assertEqual(LIMIT_BYTES, self.held.bytes)

    def test_release(self) -> None:
        """An answer that is passed on makes room for others."""
        with self.held.share() as share:
            share.resize(LIMIT_BYTES)
        with self.held.share() as share:
            share.resize(LIMIT_BYTES)
            share.resize(0)
            self.assertEqual(0, self.held.bytes)
