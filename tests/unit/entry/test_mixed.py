"""Tests of mixed requests under faults, with every response checked."""

from __future__ import annotations

import unittest

import anyio

from tests.unit.entry import mixed

COUNT = 600
SEEDS = (7, 8)


class MixedTest(unittest.TestCase):
    """Faults such as crossed, delayed and truncated responses."""

    def test_each_response_is_correct(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                report = anyio.run(mixed.MixedLoad(seed).run, COUNT)
                self.assertEqual(report.wrong, [])
                self.assertEqual(report.truncated_without_error, 0)
                self.assertEqual(report.false_not_run, 0)
                self.assertEqual(report.ran_twice, 0)
                self.assertGreater(report.correct, COUNT // 2)
                self.assertGreater(report.resumed, 0)
