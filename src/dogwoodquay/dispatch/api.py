"""The requests that dispatch takes and the results that it returns."""

from __future__ import annotations

import dataclasses
import enum
import typing

from . import reasons

__all__ = [
    'Call',
    'Refusal',
    'Sink',
    'StreamedAnswer',
    'UpstreamKind',
    'WholeAnswer',
]

Headers = tuple[tuple[str, str], ...]


class UpstreamKind(enum.Enum):
    """The kind of upstream that serves a request."""

    ENGINE = 'engine'
    SERVICE = 'service'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A completely read and validated request.

    ``artifact`` is ``name@version`` or the name of a plain service.
    ``request_id`` is a random id from this instance, never from the caller.
    ``key`` is the idempotency key, or empty. ``deadline`` is in seconds since
    the Unix epoch.
    """

    request_id: str
    caller: str
    kind: UpstreamKind
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
class WholeAnswer:
    """A complete answer that was not streamed."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """The sink has received the complete stream, terminator included."""

    last_event: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An error for the caller; ``retry_at`` is zero when unknown."""

    reason: reasons.Reason
    outcome: reasons.Outcome
    detail: str = ''
    retry_at: float = 0.0


class Sink(typing.Protocol):
    """Receives the events of a streamed answer."""

    @property
    def last_event(self) -> int:
        """The number of the last event received, -1 before the first."""

    async def write(self, frames: bytes, last_event: int) -> None:
        """Write complete, verified events; blocking slows the engine.

        :param last_event: the number of the last event in ``frames``.
        """
