"""Answers of the fakes, and the faults common to all upstreams."""

from __future__ import annotations

import typing

from .. import api
from .. import errors
from . import faults

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'JSON',
    'SERVE_FAULTS',
    'SSE',
    'MemoryAnswer',
    'broken_after',
    'crossed_answer',
    'error_answer',
    'injected_error',
    'single_chunk',
]

ATTEMPT_HEADER: typing.Final = 'x-request-id'
JSON: typing.Final = (('content-type', 'application/json'),)
SSE: typing.Final = (('content-type', 'text/event-stream'),)

SERVE_FAULTS: typing.Final = frozenset(
    {
        faults.CallFault.REFUSE,
        faults.CallFault.UNAVAILABLE,
        faults.CallFault.LOSE_CALL,
        faults.CallFault.LOSE_ANSWER,
        faults.CallFault.LATE,
        faults.CallFault.CROSS,
        faults.CallFault.BREAK,
    }
)


class MemoryAnswer:
    """An answer of a fake; its body is generated while it is read."""

    def __init__(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        attempt_id: str,
        chunks: abc.AsyncIterator[bytes],
    ) -> None:
        self._status = status
        kept = [header for header in headers if header[0] != ATTEMPT_HEADER]
        self._headers = (*kept, (ATTEMPT_HEADER, attempt_id))
        self._attempt_id = attempt_id
        self._chunks = chunks

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return self._status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The headers of the answer, with names in lower case."""
        return self._headers

    @property
    def attempt_id(self) -> str:
        """The attempt id that the upstream returned with the answer."""
        return self._attempt_id

    def __aiter__(self) -> abc.AsyncIterator[bytes]:
        """Iterate over the body as it is generated."""
        return self._chunks


async def single_chunk(body: bytes) -> abc.AsyncIterator[bytes]:
    """Iterate over a complete body as a single chunk."""
    yield body


async def broken_after(
    chunks: abc.AsyncIterator[bytes], count: int
) -> abc.AsyncIterator[bytes]:
    """Pass on ``count`` chunks, then fail like a lost connection."""
    async for chunk in chunks:
        if count <= 0:
            break
        count -= 1
        yield chunk
    raise errors.UpstreamBroken('connection')


def crossed_answer(call: api.UpstreamCall) -> MemoryAnswer:
    """Return an answer that belongs to another attempt."""
    body = b'{"error":{"message":"the answer to another request"}}'
    return MemoryAnswer(
        200, JSON, f'{call.attempt_id}-other', single_chunk(body)
    )


def error_answer(
    call: api.UpstreamCall, status: int, reason: str
) -> MemoryAnswer:
    """Return an answer with an error message."""
    body = b'{"error":{"message":"%s"}}' % reason.encode()
    return MemoryAnswer(status, JSON, call.attempt_id, single_chunk(body))


def injected_error(fault: faults.InjectedFault) -> api.EngineError | None:
    """Return the error of a call with this fault, or ``None``."""
    match fault.kind:
        case faults.CallFault.REFUSE:
            return api.Refused('injected')
        case faults.CallFault.UNAVAILABLE:
            return api.Unavailable('injected')
        case faults.CallFault.LOSE_CALL | faults.CallFault.LOSE_ANSWER:
            return api.Ambiguous(fault.kind.value)
        case _:
            return None
