"""Tests that the operators' page on errors lists all reasons."""

from __future__ import annotations

import pathlib
import unittest

from dogwoodquay.dispatch import reasons

PAGE = pathlib.Path(__file__).parents[3] / 'docs/operators/errors.md'


class ErrorsPageTest(unittest.TestCase):
    """The page agrees with the table of reasons."""

    def test_page_has_the_rows_of_the_table(self) -> None:
        rows = set()
        for line in PAGE.read_text(encoding='utf-8').splitlines():
            cells = [cell.strip(' `') for cell in line.split('|')[1:-1]]
            if len(cells) == 4 and cells[1].isdigit():
                rows.add((cells[0], int(cells[1]), cells[2], cells[3]))
        expected = {
            (reason.value, info.status, info.outcome.value, info.title)
            for reason, info in reasons.REASONS.items()
        }
        self.assertEqual(rows, expected)

    def test_table_has_every_reason(self) -> None:
        self.assertEqual(set(reasons.REASONS), set(reasons.Reason))
