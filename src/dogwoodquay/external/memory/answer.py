"""Open answers of the fakes, and what serving them has in common."""

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
    'call_error',
    'crossed',
    'once',
    'problem',
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
    """An open answer; its body is made while it is read."""

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
        """The HTTP status."""
        return self._status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The answer's headers, names in lower case."""
        return self._headers

    @property
    def attempt_id(self) -> str:
        """The attempt that the upstream says this answer is for."""
        return self._attempt_id

    def __aiter__(self) -> abc.AsyncIterator[bytes]:
        """Iterate over the body as it is made."""
        return self._chunks


async def once(body: bytes) -> abc.AsyncIterator[bytes]:
    """Iterate over a body that is whole."""
    yield body


async def broken_after(
    chunks: abc.AsyncIterator[bytes], count: int
) -> abc.AsyncIterator[bytes]:
    """Pass on some chunks, then fail as a lost connection does."""
    async for chunk in chunks:
        if count <= 0:
            break
        count -= 1
        yield chunk
    raise errors.UpstreamBroken('connection')


def crossed(call: api.UpstreamCall) -> MemoryAnswer:
    """Return what belongs to another attempt, as a confused upstream does."""
    body = b'{"error":{"message":"the answer to another request"}}'
    return MemoryAnswer(200, JSON, f'{call.attempt_id}-other', once(body))


def problem(call: api.UpstreamCall, status: int, reason: str) -> MemoryAnswer:
    """Return an answer that only states an error."""
    body = b'{"error":{"message":"%s"}}' % reason.encode()
    return MemoryAnswer(status, JSON, call.attempt_id, once(body))


def call_error(fault: faults.Injected) -> api.EngineError | None:
    """Return the error that a fault means for a call, if it has one."""
    match fault.kind:
        case faults.CallFault.REFUSE:
            return api.Refused('injected')
        case faults.CallFault.UNAVAILABLE:
            return api.Unavailable('injected')
        case faults.CallFault.LOSE_CALL | faults.CallFault.LOSE_ANSWER:
            return api.Ambiguous(fault.kind.value)
        case _:
            return None
