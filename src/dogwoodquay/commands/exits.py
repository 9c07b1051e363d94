"""Exit codes, and the way a command fails."""

from __future__ import annotations

import enum
import sys

__all__ = ['Exit', 'fail']


class Exit(enum.IntEnum):
    """Exit codes of the command line; bad usage exits with 2 as well."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNAVAILABLE = 3
    UNDECIDED = 4


def fail(code: Exit, message: str) -> Exit:
    """Print one sentence to standard error and return the code."""
    print(f'dogwoodquay: {message}', file=sys.stderr)
    return code
