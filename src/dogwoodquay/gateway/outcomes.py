"""The outcomes of an attempt at a server."""

from __future__ import annotations

import typing

import msgspec

if typing.TYPE_CHECKING:
    from ..inbound import parts

__all__ = [
    'Broken',
    'NotRun',
    'Outcome',
    'Streamed',
    'Whole',
]


class NotRun(msgspec.Struct, frozen=True):
    """The request is known not to have run at the server.

    ``arrived`` is whether it reached the server. ``absent`` is set if the
    server has not loaded the model or adapter, or is not the expected one.
    """

    reason: str
    arrived: bool
    absent: bool = False


class Broken(msgspec.Struct, frozen=True):
    """There is no complete answer, and the request may have run."""

    reason: str


class Whole(msgspec.Struct, frozen=True):
    """The server's complete answer.

    ``framed`` is whether its end was marked, by a length or a last chunk.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: parts.Body
    framed: bool = True


class Streamed(msgspec.Struct, frozen=True):
    """The stream was sent to the caller up to its end.

    ``framed`` is whether that was marked, not just the connection's end.
    ``events`` came in ``seconds``, from the end of the first one on.
    """

    framed: bool = True
    events: int = 0
    seconds: float = 0.0


Outcome = NotRun | Broken | Whole | Streamed
