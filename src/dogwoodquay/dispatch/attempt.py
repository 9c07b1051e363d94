"""Sends attempts to an upstream and verifies their answers."""

from __future__ import annotations

import dataclasses
import typing

import anyio

from . import api
from . import bodies
from ..external import api as external_api
from ..external import errors as external_errors
from . import reasons
from ..retry import api as retry_api
from . import sse

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['AttemptFailed', 'Exchange', 'FirstByteListener']

BODY_END_TIMEOUT_SECONDS: typing.Final = 0.1

_EVENT_STREAM: typing.Final = 'text/event-stream'
_SERVER_ERROR: typing.Final = 500
_OK: typing.Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt that gave no valid answer."""

    reason: reasons.Reason
    run_state: retry_api.RunState
    detail: str = ''
    resumable: bool = False


class FirstByteListener(typing.Protocol):
    """Is notified of the first byte that can be sent to the caller.

    An answer that is not streamed is sent once it is complete.
    """

    def on_first_byte(self) -> None:
        """Handle the first byte that can be sent to the caller."""


class Exchange:
    """Sends the attempts of a request and verifies their answers.

    An answer has to be complete and belong to its own attempt.
    """

    def __init__(
        self,
        call: api.Call,
        upstream: external_api.PlainService,
        sink: api.Sink | None,
        max_answer_bytes: int,
    ) -> None:
        self._call = call
        self._upstream = upstream
        self._sink = sink
        self._max_answer_bytes = max_answer_bytes
        self._events = sse.EventChecker()
        self._is_engine = call.kind is api.UpstreamKind.ENGINE

    @property
    def last_event(self) -> int:
        """The number of the last event that passed the checks."""
        return self._events.last_event

    @property
    def delivered(self) -> bool:
        """Whether a part of the stream has passed the checks."""
        return self._events.last_event >= 0

    async def run(
        self,
        attempt_id: str,
        address: str,
        port: int,
        listener: FirstByteListener,
    ) -> api.WholeAnswer | api.StreamedAnswer | AttemptFailed:
        """Run one attempt; cancelling it closes the upstream call."""
        self._events.begin(attempt_id)
        call = self._upstream_call(attempt_id)
        try:
            async with self._upstream.call(address, port, call) as opened:
                if opened.is_error():
                    return self._failed_call(opened.error)
                return await self._read_answer(opened.ok, attempt_id, listener)
        except external_errors.UpstreamBroken as broken:
            return self._may_have_run(
                reasons.Reason.UPSTREAM_BROKEN, broken.reason
            )
        except sse.BrokenAnswer as broken_answer:
            return self._may_have_run(broken_answer.reason)

    def _upstream_call(self, attempt_id: str) -> external_api.UpstreamCall:
        call = self._call
        return external_api.UpstreamCall(
            attempt_id=attempt_id,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            deadline=call.deadline,
            priority=call.priority,
            stream=call.stream,
            resume_after=self._events.last_event,
        )

    async def _read_answer(
        self,
        answer: external_api.UpstreamAnswer,
        attempt_id: str,
        listener: FirstByteListener,
    ) -> api.WholeAnswer | api.StreamedAnswer | AttemptFailed:
        if answer.attempt_id != attempt_id:
            raise sse.BrokenAnswer(reasons.Reason.ANSWER_CROSSED)
        if self._is_engine and answer.status >= _SERVER_ERROR:
            return _upstream_failed(answer.status)
        content_type = bodies.header(answer, 'content-type')
        if self._sink is not None and content_type.startswith(_EVENT_STREAM):
            return await self._relay_events(answer, self._sink, listener)
        if self.delivered:
            raise sse.BrokenAnswer(reasons.Reason.ANSWER_CROSSED)
        whole = await bodies.read_whole(
            answer, self._call.method, self._max_answer_bytes
        )
        listener.on_first_byte()
        self._check_attempt_id(whole, attempt_id)
        return whole

    async def _relay_events(
        self,
        answer: external_api.UpstreamAnswer,
        sink: api.Sink,
        listener: FirstByteListener,
    ) -> api.StreamedAnswer:
        events = self._events
        first = True
        chunks = answer.__aiter__()
        async for chunk in chunks:
            frames = events.feed(chunk)
            if not frames:
                continue
            if first:
                listener.on_first_byte()
                first = False
            await sink.write(frames, events.last_event)
            if events.done:
                break
        if not events.done:
            raise sse.BrokenAnswer(reasons.Reason.ANSWER_CUT)
        await _drain_body(chunks)
        return api.StreamedAnswer(events.last_event)

    def _check_attempt_id(
        self, whole: api.WholeAnswer, attempt_id: str
    ) -> None:
        """Check that an engine's successful body contains the attempt id."""
        if not self._is_engine or whole.status != _OK:
            return
        if attempt_id.encode() not in whole.body:
            raise sse.BrokenAnswer(reasons.Reason.ANSWER_CROSSED)

    def _may_have_run(
        self, reason: reasons.Reason, detail: str = ''
    ) -> AttemptFailed:
        return AttemptFailed(
            reason,
            retry_api.RunState.MAY_HAVE_RUN,
            detail,
            resumable=self.delivered,
        )

    def _failed_call(self, error: external_api.EngineError) -> AttemptFailed:
        not_run = retry_api.RunState.NOT_RUN
        match error:
            case external_api.Unavailable(reason):
                return AttemptFailed(
                    reasons.Reason.UPSTREAM_UNAVAILABLE,
                    not_run,
                    reason,
                    resumable=self.delivered,
                )
            case external_api.Ambiguous(reason):
                return self._may_have_run(
                    reasons.Reason.UPSTREAM_BROKEN, reason
                )
            case external_api.Refused(reason):
                return AttemptFailed(
                    reasons.Reason.UPSTREAM_REFUSED, not_run, reason
                )
            case external_api.StaleFence():
                return AttemptFailed(reasons.Reason.UPSTREAM_REFUSED, not_run)


async def _drain_body(chunks: abc.AsyncIterator[bytes]) -> None:
    """Read a body to its end so that its connection can be reused."""
    with anyio.move_on_after(BODY_END_TIMEOUT_SECONDS):
        try:
            async for _ in chunks:
                pass
        except external_errors.UpstreamBroken:
            return


def _upstream_failed(status: int) -> AttemptFailed:
    return AttemptFailed(
        reasons.Reason.UPSTREAM_FAILED,
        retry_api.RunState.FAILED,
        f'status {status}',
    )
