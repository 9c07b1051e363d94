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
    """Each example program exits with code zero."""

    def test_all(self) -> None:
        """Each program prints output and exits with zero."""
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
        except SystemExit as error:
            return error.code, bool(out.getvalue())
    return None, bool(out.getvalue())
