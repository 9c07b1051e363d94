"""Starts the program from a source checkout, without installing it."""

from __future__ import annotations

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'src'))

from dogwoodquay.commands import main  # noqa: E402

main.run()
