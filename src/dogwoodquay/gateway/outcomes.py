"""How an attempt at a server ended."""

from __future__ import annotations

import dataclasses

__all__ = [
    'Broken',
    'NotRun',
    'Outcome',
    'Streamed',
    'Whole',
]


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run at the server.

    ``arrived`` tells whether it reached the server; ``absent`` that the
    server does not hold the model or adapter, or is another one.
    """

    reason: str
    arrived: bool
    absent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """There is no whole answer, and the request may have run."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """The server's whole answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Streamed:
    """The caller has had the stream up to its end."""


Outcome = NotRun | Broken | Whole | Streamed
