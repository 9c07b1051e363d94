"""Keys for the tests of claims."""

from __future__ import annotations

import uuid

START = 1_700_000_000.0


def make_key(number: int, at: float = START) -> str:
    """Return a UUID of version 7 with a time and a number."""
    value = int(at * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))
