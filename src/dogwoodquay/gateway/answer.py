"""Sends a caller the answer to its request."""

from __future__ import annotations

import enum
import typing

from . import api
from . import closings
from . import events
from ..inbound import api as inbound_api
from ..observe import logs
from . import outcomes
from . import results
from . import trace as traces

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..entry import asgi
    from ..entry import holdings
    from ..inbound import parts
    from . import metrics as gateway_metrics

__all__ = ['Answer', 'AnswerContext', 'CallerCodec']

_LOG: typing.Final = logs.ComponentLog('request')

# Refusals of requests that may have run.
_LOST_STATUSES: typing.Final = frozenset({502, 504})


class Phase(enum.Enum):
    """How far a request was when its connection ended."""

    BODY = 'body'
    WAITING = 'waiting'
    ANSWER = 'answer'


class CallerCodec(typing.Protocol):
    """Parses callers' headers and writes those of their answers."""

    def caller_terms(
        self, headers: abc.Iterable[tuple[bytes, bytes]]
    ) -> api.CallerTerms:
        """Parse a caller's headers."""

    def for_caller(
        self, headers: abc.Iterable[tuple[bytes, bytes]]
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer as sent to its caller."""


class AnswerContext(typing.NamedTuple):
    """Objects that all answers of an instance use."""

    codec: CallerCodec
    clock: clocks.Clock
    metrics: gateway_metrics.GatewayMetrics
    active_version: abc.Callable[[], int]


class Answer:
    """The answer to one request; also receives the events of a stream."""

    def __init__(
        self,
        context: AnswerContext,
        terms: api.CallerTerms,
        send: asgi.Send,
        arrived_at: float,
        closing: abc.Callable[[], bool],
        closed_by: abc.Callable[[], closings.ClosedBy],
        holding: holdings.Holding,
    ) -> None:
        """Create the answer to a request.

        :param closing: whether connections are closed after an answer.
        :param closed_by: who closed the connection.
        :param holding: what the connection holds.
        """
        self._context = context
        self._closing = closing
        self._closed_by = closed_by
        self._holding = holding
        self._terms = terms
        self._send = send
        self._arrived_at = arrived_at
        self._splitter = events.EventSplitter(api.NO_EVENT)
        self._trace = traces.RequestTrace(context.active_version())
        self._phase = Phase.BODY
        self._ended = False
        self._left = False
        self._started = False
        self._status = 0
        self._first_byte_seconds = 0.0
        self._last_sent_at = 0.0
        self._longest_pause = 0.0

    @property
    def splitter(self) -> events.EventSplitter:
        """Checks that event ids are consecutive across all attempts."""
        return self._splitter

    @property
    def started(self) -> bool:
        """Whether a part of the answer was sent to the caller."""
        return self._started

    @property
    def left(self) -> bool:
        """Whether the caller left before the end of the answer."""
        return self._left

    @property
    def trace(self) -> traces.RequestTrace:
        """Records the request's attempts and what ends it."""
        return self._trace

    @property
    def _elapsed(self) -> float:
        return round(self._context.clock.now() - self._arrived_at, 3)

    def on_sent(self) -> None:
        """Record that a server gets the request now."""
        self._holding.advance(inbound_api.Phase.RUNNING)

    def on_body_read(self) -> None:
        """Record that the request was read to its end."""
        self._phase = Phase.WAITING

    def resume_after(self, last_event: int) -> None:
        """Expect the events after the last one that the caller received."""
        self._splitter = events.EventSplitter(last_event)

    async def start(
        self, status: int, headers: abc.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Send the head of the answer; later calls have no effect."""
        if self._started:
            return
        self._started = True
        self._status = status
        elapsed = self._context.clock.now() - self._arrived_at
        self._context.metrics.first_byte(elapsed)
        self._first_byte_seconds = elapsed
        kept = self._context.codec.for_caller(headers)
        await self._send_head(status, kept)

    async def send(self, data: bytes) -> None:
        """Send complete events."""
        now = self._context.clock.now()
        if self._last_sent_at:
            pause = now - self._last_sent_at
            self._longest_pause = max(self._longest_pause, pause)
        self._last_sent_at = now
        await self._send_part(data)

    def hold(self, size: int) -> bool:
        """Count what is held of the answer.

        :return: whether there is room for it.
        """
        return self._holding.hold_answer(size)

    async def finish(self, call: api.Call, result: results.Result) -> None:
        """End the answer.

        A cut stream gets no last chunk, so that its caller can see the cut.
        """
        elapsed = self._context.clock.now() - self._arrived_at
        match result:
            case api.Refusal():
                await self.refuse(result)
            case outcomes.Whole(status, headers, body):
                await self._send_whole(status, headers, body)
                self._record_answered(call, status, elapsed)
            case outcomes.Streamed():
                await self._send_last()
                self._record_answered(call, self._status, elapsed)
            case results.Cut(reason):
                self._context.metrics.cut(
                    reason, self._trace.failure, self._trace.cause.value
                )
                _LOG.write(
                    'cut',
                    request=call.request_id,
                    reason=reason,
                    last_event=self._splitter.last_event,
                    seconds=round(elapsed, 3),
                    **self._ending_fields(),
                )
                self._ended = True

    def record_left(self) -> None:
        """Record that the connection was closed before the answer's end."""
        self._left = True
        phase = self._phase.value
        self._trace.cause = traces.Cause.CALLER
        self._context.metrics.caller_gone(phase)
        _LOG.write(
            'caller_gone',
            request=self._terms.attempt_id,
            phase=phase,
            closed_by=self._closed_by().value,
            last_event=self._splitter.last_event,
            seconds=self._elapsed,
            **self._ending_fields(),
        )

    def record_cancelled(self) -> None:
        """Record that the HTTP server ended the request at its stop."""
        if not self._ended:
            self._record_lost(traces.Cause.STOPPING)

    def record_failed(self, error: Exception) -> None:
        """Record that the request ended with an unexpected exception."""
        leaf: BaseException = error
        while isinstance(leaf, BaseExceptionGroup):
            leaf = leaf.exceptions[0]
        self._record_lost(
            traces.Cause.EXCEPTION,
            error=type(leaf).__name__,
            detail=str(leaf),
        )

    def _record_lost(self, cause: traces.Cause, **fields: typing.Any) -> None:
        self._trace.cause = cause
        phase = self._phase.value
        self._context.metrics.connection_lost(cause.value, phase)
        _LOG.write(
            'connection_lost',
            request=self._terms.attempt_id,
            phase=phase,
            last_event=self._splitter.last_event,
            seconds=self._elapsed,
            **self._ending_fields(),
            **fields,
        )

    def _version_fields(self) -> dict[str, int]:
        return {
            'version': self._trace.version,
            'active_version': self._context.active_version(),
        }

    def _ending_fields(self) -> dict[str, typing.Any]:
        now = self._context.clock.now()
        return {**self._version_fields(), **self._trace.ending_fields(now)}

    async def refuse(
        self,
        refusal: api.Refusal,
        close: bool = False,
        before_end: abc.Callable[[], abc.Awaitable[None]] | None = None,
    ) -> None:
        """Send a refusal of this instance.

        :param before_end: called when the caller has all of the refusal and
            before the connection may be closed.
        """
        self._context.metrics.refused(refusal.reason.value)
        if refusal.reason is api.RefusalReason.UNAUTHORIZED:
            self._context.metrics.unauthorized(refusal.detail)
        if self._trace.attempts or refusal.status in _LOST_STATUSES:
            fields = self._ending_fields()
        else:
            fields = self._version_fields()
        _LOG.write(
            'refused',
            request=self._terms.attempt_id,
            reason=refusal.reason.value,
            status=refusal.status,
            detail=refusal.detail,
            retry_after=round(refusal.retry_after, 3),
            seconds=self._elapsed,
            **fields,
        )
        headers = [(b'content-length', b'0')]
        if refusal.retry_after:
            text = f'{refusal.retry_after:.3f}'
            headers.append((b'retry-after', text.encode('ascii')))
        await self._send_head(refusal.status, headers, close)
        if before_end is not None:
            await before_end()
        await self._send_last()

    async def _send_whole(
        self,
        status: int,
        headers: abc.Iterable[tuple[bytes, bytes]],
        body: parts.Body,
    ) -> None:
        kept = [
            (name, value)
            for name, value in self._context.codec.for_caller(headers)
            if name != b'content-length'
        ]
        kept.append((b'content-length', b'%d' % len(body)))
        await self._send_head(status, kept)
        if isinstance(body, bytes):
            await self._send_last(body)
            return
        for block in body:
            await self._send_part(block)
        await self._send_last()

    async def _send_head(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        close: bool = False,
    ) -> None:
        self._phase = Phase.ANSWER
        if close or self._closing():
            headers.append((b'connection', b'close'))
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def _send_part(self, data: bytes) -> None:
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def _send_last(self, body: bytes = b'') -> None:
        await self._send({'type': 'http.response.body', 'body': body})
        if self._closed_by() is not closings.ClosedBy.NOBODY:
            self.record_left()
        self._ended = True

    def _record_answered(
        self, call: api.Call, status: int, elapsed: float
    ) -> None:
        self._context.metrics.answered(status, elapsed)
        _LOG.write(
            'answered',
            request=call.request_id,
            status=status,
            first=round(self._first_byte_seconds, 3),
            pause=round(self._longest_pause, 3),
            seconds=round(elapsed, 3),
            **self._trace.answer_fields(),
        )
