"""Runs the command line with ``python -m dogwoodquay``."""

from __future__ import annotations

from .commands import main

if __name__ == '__main__':
    main.run()
