"""Types of the limits on clients' connections."""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'Close',
    'Effect',
    'Limits',
    'Phase',
    'Reason',
    'Refuse',
    'Released',
]


class Phase(enum.Enum):
    """What a connection does.

    A request that is ``WAITING`` is whole and was sent to no server yet. The
    rest of a request that was ``REFUSED`` is discarded.
    """

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    WAITING = 'waiting'
    RUNNING = 'running'
    ANSWERING = 'answering'
    REFUSED = 'refused'


class Reason(enum.Enum):
    """Why a connection is closed or its request refused."""

    MEMORY = 'memory'
    CONNECTIONS = 'connections'
    HEAD_TIMEOUT = 'head_timeout'
    WRITE_TIMEOUT = 'write_timeout'


class Limits(typing.NamedTuple):
    """Limits on all connections of an instance together.

    ``buffer_bytes`` limits what is held of requests and answers, and
    ``connections`` the open connections by the listener's name.
    """

    buffer_bytes: float
    connections: abc.Mapping[str, float]


class Released(typing.NamedTuple):
    """What is given up with a connection or its request."""

    connection: int
    reason: Reason
    phase: Phase
    held_bytes: int


@dataclasses.dataclass(frozen=True)
class Close:
    """Close a connection at once."""

    released: Released


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Refuse a request that was sent to no server, then close."""

    released: Released


Effect = Close | Refuse
