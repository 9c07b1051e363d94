"""Runs the example programs."""

from __future__ import annotations

import contextlib
import io
import pathlib
import runpy
import sys
import unittest
from unittest import mock

_EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'


class ProgramsTest(unittest.TestCase):
    """Every example ends with exit code zero."""

    def test_all(self) -> None:
        """Run each program as a main program, in this process."""
        programs = sorted(_EXAMPLES.glob('*.py'))
        self.assertEqual(2, len(programs))
        for program in programs:
            with self.subTest(program.name):
                self.assertEqual((0, True), _run(program))


def _run(program: pathlib.Path) -> tuple[object, bool]:
    out = io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        mock.patch.object(sys, 'argv', [str(program)]),
    ):
        try:
            runpy.run_path(str(program), run_name='__main__')
        except SystemExit as leaving:
            return leaving.code, bool(out.getvalue())
    return None, bool(out.getvalue())
