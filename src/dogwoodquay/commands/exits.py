"""Exit codes and error output of the commands."""

from __future__ import annotations

import enum
import sys

__all__ = ['Exit', 'fail']


class Exit(enum.IntEnum):
    """Exit codes of all commands; argparse also exits with 2."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNAVAILABLE = 3
    UNDECIDED = 4


def fail(code: Exit, message: str) -> Exit:
    """Print an error message to standard error and return the code."""
    print(f'dogwoodquay: {message}', file=sys.stderr)
    return code
