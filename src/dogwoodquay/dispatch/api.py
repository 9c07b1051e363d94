"""What the callers' interface hands to dispatch, and what it gets back."""

from __future__ import annotations

import dataclasses
import enum
import typing

from . import reasons

__all__ = [
    'Call',
    'Kind',
    'Refusal',
    'Sink',
    'Streamed',
    'Whole',
]

Headers = tuple[tuple[str, str], ...]


class Kind(enum.Enum):
    """Which sort of upstream a request is for."""

    ENGINE = 'engine'
    SERVICE = 'service'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request that was read whole, checked, and may be dispatched.

    ``artifact`` is ``name@version`` or the name of a plain service.
    ``request_id`` is random, made by this instance and never a caller's.
    ``key`` is the idempotency key, empty for none. ``deadline`` is stored, in
    seconds since the Unix epoch.
    """

    request_id: str
    caller: str
    kind: Kind
    artifact: str
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline: float
    priority: int = 0
    stream: bool = False
    idempotent: bool = True
    key: str = ''
    prompt_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """A complete answer."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Streamed:
    """The sink got the whole answer, its terminator included."""

    last_event: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The request gets an error; ``retry_at`` is zero when unknown."""

    reason: reasons.Reason
    outcome: reasons.Outcome
    detail: str = ''
    retry_at: float = 0.0


class Sink(typing.Protocol):
    """Where the events of a streamed answer go."""

    @property
    def last_event(self) -> int:
        """The number of the last event taken, and -1 before the first."""

    async def write(self, frames: bytes, last_event: int) -> None:
        """Take whole, verified events; waiting here slows the engine.

        :param last_event: the number of the last event of the frames.
        """
