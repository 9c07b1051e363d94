"""Limits that servers name, and the permits by which they are kept."""

from __future__ import annotations

import typing

__all__ = [
    'CONFIRMED_SECONDS',
    'FOLLOWER_SECONDS',
    'Grant',
    'MEMBER_SECONDS',
    'MIN_RATE',
    'PERMIT_SECONDS',
    'ServerKey',
    'Statement',
    'Want',
    'effective_rate',
]

# The least rate, in requests per second, at which a limited server is asked
# whether it still is: an answer without a limit ends the limit.
MIN_RATE: typing.Final = 0.25
# How long a permit may be used, counted from the call that asked for it.
PERMIT_SECONDS: typing.Final = 0.6
# How long an instance counts as a follower of an owner after its last call.
FOLLOWER_SECONDS: typing.Final = 0.6
# How long it counts as a member, whose share nobody else may give out.
MEMBER_SECONDS: typing.Final = 10.0
# An owner that the store has not confirmed for so long may have been replaced.
# It ends before the next one forgets the members that follow this one.
CONFIRMED_SECONDS: typing.Final = 7.0


class ServerKey(typing.NamedTuple):
    """One process of a server."""

    server_id: str
    started_ms: int


class Statement(typing.NamedTuple):
    """What a server has said of its limit.

    ``rate`` is in requests per second from all instances together, ``None``
    for no limit. It is true as of ``as_of``.
    """

    server: ServerKey
    rate: float | None
    as_of: float


class Want(typing.NamedTuple):
    """Permits that an instance could use; priority zero is most urgent."""

    server: ServerKey
    priority: int
    permits: int


class Grant(typing.NamedTuple):
    """Permits for requests to a server.

    ``waiting`` holds the permits that other instances still want, by priority.
    """

    server: ServerKey
    permits: int
    waiting: tuple[tuple[int, int], ...] = ()


def effective_rate(rate: float) -> float:
    """Return the rate at which permits for a server are given out."""
    return max(rate, MIN_RATE)
