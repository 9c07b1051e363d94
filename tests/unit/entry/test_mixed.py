"""Some hundreds of mixed requests, each compared with its right answer."""

from __future__ import annotations

import unittest

import anyio

from tests.unit.entry import mixed

COUNT = 600
SEEDS = (7, 8)


class MixedTest(unittest.TestCase):
    """Crossed, delayed and cut answers among others."""

    def test_each_answer_is_its_own(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                report = anyio.run(mixed.Mix(seed).run, COUNT)
                self.assertEqual(report.wrong, [])
                self.assertEqual(report.truncated_shown_complete, 0)
                self.assertEqual(report.false_not_run, 0)
                self.assertEqual(report.ran_twice, 0)
                self.assertGreater(report.whole, COUNT // 2)
                self.assertGreater(report.resumed, 0)
