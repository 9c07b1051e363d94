"""What the system tells of this process."""

from __future__ import annotations

import pathlib
import resource
import typing

__all__ = [
    'descriptor_limit',
    'release_free_memory',
    'resident_bytes',
]

_STATM: typing.Final = pathlib.Path('/proc/self/statm')


def resident_bytes() -> int | None:
    """Return the resident memory, ``None`` where the system does not tell."""
    try:
        pages = int(_STATM.read_text('ascii').split()[1])
    except (OSError, IndexError, ValueError):
        return None
    return pages * resource.getpagesize()


def descriptor_limit() -> int:
    """Return how many descriptors may be open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def release_free_memory() -> None:
    """Return memory to the system that the allocator keeps for later."""
    # Takes long to import, and is needed by few processes.
    import ctypes

    trim = getattr(ctypes.CDLL(None), 'malloc_trim', None)
    if trim is not None:
        trim(0)
