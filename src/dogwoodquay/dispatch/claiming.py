"""Conversions between claims on idempotency keys and results of requests.

A key is claimed before the first byte is sent to an upstream. The end of the
request is recorded in the background, so that no answer waits for the log.
"""

from __future__ import annotations

import hashlib
import typing

from . import api
from ..idempotency import api as idempotency_api
from . import reasons

__all__ = [
    'RecordingSink',
    'body_digest',
    'refusal_for',
    'replay',
    'stored_answer',
]

ATTEMPT_ONLY_DETAIL: typing.Final = (
    'this attempt did not run, but an earlier one with the key may have run;'
    ' retry with the same key'
)
RUNNING_RETRY_SECONDS: typing.Final = 1.0
MAX_STORED_BYTES: typing.Final = 64 * 1024
_EVENT_STREAM: typing.Final = 'text/event-stream'
_EVENT_STREAM_HEADERS: typing.Final = (('content-type', _EVENT_STREAM),)
_EVENT_END: typing.Final = b'\n\n'
_STORED_HEADERS: typing.Final = frozenset(
    {'content-type', 'content-language', 'location', 'etag'}
)
_OK: typing.Final = 200


def body_digest(call: api.Call) -> bytes:
    """Return a digest of the method, path and body of a request."""
    digest = hashlib.sha256()
    digest.update(call.method.encode())
    digest.update(b'\n')
    digest.update(call.path.encode())
    digest.update(b'\n')
    digest.update(call.body)
    return digest.digest()


class RecordingSink:
    """Passes events to a sink and copies streams that are short enough."""

    def __init__(self, sink: api.Sink) -> None:
        self._sink = sink
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def last_event(self) -> int:
        """The number of the last event received, -1 before the first."""
        return self._sink.last_event

    async def write(self, frames: bytes, last_event: int) -> None:
        """Copy the events if they fit, then write them to the sink."""
        self._size += len(frames)
        if self._size <= MAX_STORED_BYTES:
            self._parts.append(frames)
        await self._sink.write(frames, last_event)

    def stored(self) -> idempotency_api.StoredAnswer:
        """Return the stream as an answer to store under the key."""
        truncated = self._size > MAX_STORED_BYTES
        body = b'' if truncated else b''.join(self._parts)
        return idempotency_api.StoredAnswer(
            _OK, _EVENT_STREAM_HEADERS, body, truncated
        )


def stored_answer(answer: api.WholeAnswer) -> idempotency_api.StoredAnswer:
    """Return an answer in the form that is stored under its key."""
    headers = tuple(
        item for item in answer.headers if item[0] in _STORED_HEADERS
    )
    truncated = len(answer.body) > MAX_STORED_BYTES
    body = b'' if truncated else answer.body
    return idempotency_api.StoredAnswer(
        answer.status, headers, body, truncated
    )


def refusal_for(
    answer: idempotency_api.Running
    | idempotency_api.Unknown
    | idempotency_api.Conflict
    | idempotency_api.KeyRefused,
    now: float,
) -> api.Refusal:
    """Return the refusal for a claim that was not granted."""
    unknown = reasons.Outcome.UNKNOWN
    not_run = reasons.Outcome.NOT_RUN
    match answer:
        case idempotency_api.Running():
            return api.Refusal(
                reasons.Reason.KEY_RUNNING,
                unknown,
                retry_at=now + RUNNING_RETRY_SECONDS,
            )
        case idempotency_api.Unknown():
            return api.Refusal(reasons.Reason.KEY_OUTCOME_UNKNOWN, unknown)
        case idempotency_api.Conflict():
            return api.Refusal(reasons.Reason.KEY_CONFLICT, not_run)
        case idempotency_api.KeyRefused():
            return _key_refusal(answer)


def _key_refusal(refused: idempotency_api.KeyRefused) -> api.Refusal:
    reason = reasons.from_label(refused.reason, reasons.Reason.CLAIM_UNDECIDED)
    retry_at = refused.retry_at or 0.0
    if not refused.attempt_only:
        not_run = reasons.Outcome.NOT_RUN
        return api.Refusal(reason, not_run, refused.reason, retry_at)
    return api.Refusal(
        reason, reasons.Outcome.UNKNOWN, ATTEMPT_ONLY_DETAIL, retry_at
    )


async def replay(
    answer: idempotency_api.StoredAnswer, sink: api.Sink | None
) -> api.WholeAnswer | api.StreamedAnswer | api.Refusal:
    """Return or stream the stored answer of an earlier request."""
    if answer.truncated:
        return api.Refusal(
            reasons.Reason.KEY_ANSWER_NOT_KEPT, reasons.Outcome.UNKNOWN
        )
    headers = dict(answer.headers)
    streamed = headers.get('content-type', '').startswith(_EVENT_STREAM)
    if sink is not None and streamed:
        last_event = answer.body.count(_EVENT_END) - 1
        await sink.write(answer.body, last_event)
        return api.StreamedAnswer(last_event)
    return api.WholeAnswer(answer.status, answer.headers, answer.body)
