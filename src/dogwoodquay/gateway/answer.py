"""The one answer that a caller gets to its request."""

from __future__ import annotations

import typing

from . import api
from . import events
from . import forwarder
from ..observe import logs
from . import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..entry import asgi
    from . import metrics as gateway_metrics

__all__ = ['Answer', 'AnswerParts', 'CallerCodec']

_LOG: typing.Final = logs.PartLog('request')


class CallerCodec(typing.Protocol):
    """Reads callers' headers and writes those of their answers."""

    def caller_terms(
        self, headers: abc.Iterable[tuple[bytes, bytes]]
    ) -> api.CallerTerms:
        """Read what a caller's headers say."""

    def for_caller(
        self, headers: abc.Iterable[tuple[bytes, bytes]]
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers with which an answer goes to its caller."""


class AnswerParts(typing.NamedTuple):
    """What all answers of an instance need."""

    codec: CallerCodec
    clock: clocks.Clock
    metrics: gateway_metrics.GatewayMetrics


class Answer:
    """The one answer to a request; takes the events of a stream."""

    def __init__(
        self,
        parts: AnswerParts,
        terms: api.CallerTerms,
        send: asgi.Send,
        arrived_at: float,
        closing: abc.Callable[[], bool],
    ) -> None:
        """Make the answer to a request.

        :param closing: whether callers are to reconnect after an answer.
        """
        self._parts = parts
        self._closing = closing
        self._terms = terms
        self._send = send
        self._arrived_at = arrived_at
        self._cutter = events.EventCutter(api.NO_EVENT)
        self._started = False
        self._status = 0
        self._first_byte_seconds = 0.0
        self._sent_at = 0.0
        self._longest_pause = 0.0

    @property
    def cutter(self) -> events.EventCutter:
        """Checks the events of all attempts together."""
        return self._cutter

    @property
    def started(self) -> bool:
        """Whether the caller has had a part of the answer."""
        return self._started

    def follow(self, last_event: int) -> None:
        """Expect the events after the last one that the caller has."""
        self._cutter = events.EventCutter(last_event)

    async def start(
        self, status: int, headers: abc.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Send the head of the answer; later heads are left out."""
        if self._started:
            return
        self._started = True
        self._status = status
        elapsed = self._parts.clock.now() - self._arrived_at
        self._parts.metrics.first_byte(elapsed)
        self._first_byte_seconds = elapsed
        kept = self._parts.codec.for_caller(headers)
        await self._head(status, kept)

    async def send(self, data: bytes) -> None:
        """Send whole events."""
        now = self._parts.clock.now()
        if self._sent_at:
            pause = now - self._sent_at
            self._longest_pause = max(self._longest_pause, pause)
        self._sent_at = now
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self, call: api.Call, result: forwarder.Result) -> None:
        """End the answer; a cut stream ends without its last chunk."""
        elapsed = self._parts.clock.now() - self._arrived_at
        match result:
            case api.Refusal():
                await self.refuse(result)
            case outcomes.Whole(status, headers, body):
                await self._whole(status, headers, body)
                self._answered(call, status, elapsed)
            case outcomes.Streamed():
                await self._end()
                self._answered(call, self._status, elapsed)
            case forwarder.Cut(reason):
                self._parts.metrics.cut(reason)
                _LOG.write(
                    'cut',
                    request=call.request_id,
                    reason=reason,
                    last_event=self._cutter.last_event,
                    seconds=round(elapsed, 3),
                )

    async def refuse(self, refusal: api.Refusal, close: bool = False) -> None:
        """Answer in this instance's own name."""
        self._parts.metrics.refused(refusal.reason.value)
        _LOG.write(
            'refused',
            request=self._terms.attempt_id,
            reason=refusal.reason.value,
            status=refusal.status,
            detail=refusal.detail,
            retry_after=round(refusal.retry_after, 3),
            seconds=round(self._parts.clock.now() - self._arrived_at, 3),
        )
        headers = [(b'content-length', b'0')]
        if refusal.retry_after:
            text = f'{refusal.retry_after:.3f}'
            headers.append((b'retry-after', text.encode('ascii')))
        await self._head(refusal.status, headers, close)
        await self._end()

    async def _whole(
        self,
        status: int,
        headers: abc.Iterable[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        kept = [
            (name, value)
            for name, value in self._parts.codec.for_caller(headers)
            if name != b'content-length'
        ]
        kept.append((b'content-length', b'%d' % len(body)))
        await self._head(status, kept)
        await self._end(body)

    async def _head(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        close: bool = False,
    ) -> None:
        if close or self._closing():
            headers.append((b'connection', b'close'))
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def _end(self, body: bytes = b'') -> None:
        await self._send({'type': 'http.response.body', 'body': body})

    def _answered(self, call: api.Call, status: int, elapsed: float) -> None:
        self._parts.metrics.answered(status, elapsed)
        _LOG.write(
            'answered',
            request=call.request_id,
            status=status,
            first=round(self._first_byte_seconds, 3),
            pause=round(self._longest_pause, 3),
            seconds=round(elapsed, 3),
        )
