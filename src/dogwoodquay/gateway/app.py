"""The callers' interface along routes, as an ASGI application."""

from __future__ import annotations

import math
import typing

import anyio

from . import api
from ..entry import asgi
from . import events
from . import forwarder as forwarders
from ..observe import logs
from . import outcomes
from ..routes import table

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clocks
    from . import metrics as gateway_metrics
    from ..routes import api as routes_api

__all__ = ['CallerCodec', 'GatewayApp']

_LOG: typing.Final = logs.PartLog('request')

_BAD_REQUEST: typing.Final = 400
_NOT_FOUND: typing.Final = 404
_REQUEST_TIMEOUT: typing.Final = 408
_TOO_LARGE: typing.Final = 413
_HEADERS_TOO_LARGE: typing.Final = 431
_UNAVAILABLE: typing.Final = 503
_GATEWAY_TIMEOUT: typing.Final = 504
# Until the store has been read for the first time.
STARTING_RETRY_AFTER_SECONDS: typing.Final = 0.3
# The same when the store does not answer, which lasts for seconds.
STORE_AWAY_RETRY_AFTER_SECONDS: typing.Final = 2.5
# Another instance can take the request at once.
ELSEWHERE_SECONDS: typing.Final = 0.02
# A configuration that is not there yet bounds nothing; until then this does.
BODY_TIMEOUT_SECONDS: typing.Final = 3.0


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


class GatewayApp:
    """Reads requests, forwards them, and answers."""

    def __init__(
        self,
        forwarder: forwarders.Forwarder,
        codec: CallerCodec,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: gateway_metrics.GatewayMetrics,
        store_away: abc.Callable[[], bool] = lambda: False,
    ) -> None:
        """Make the application.

        :param store_away: whether a first configuration will be long in
            coming, as the store does not answer.
        """
        self._store_away = store_away
        self._forwarder = forwarder
        self._codec = codec
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._routes: table.RouteTable | None = None
        self._in_flight = 0
        self._streams: set[anyio.CancelScope] = set()
        self._closing = False
        self._draining = False

    @property
    def in_flight(self) -> int:
        """How many requests are under way."""
        return self._in_flight

    @property
    def configured(self) -> bool:
        """Whether a configuration is in force."""
        return self._routes is not None

    def configure(self, configuration: routes_api.Configuration) -> None:
        """Put a configuration in force for the requests that follow."""
        self._routes = table.RouteTable(configuration)

    @property
    def streams(self) -> int:
        """How many streamed requests are under way."""
        return len(self._streams)

    def drain(self) -> None:
        """Take no streams any more, as they last too long to finish."""
        self._draining = True

    def end_streams(self) -> None:
        """Cut the streams that are still under way."""
        for scope in tuple(self._streams):
            scope.cancel()

    def close_connections(self) -> None:
        """Ask callers to open new connections, from now on."""
        self._closing = True

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request or the server's lifespan."""
        if scope['type'] == 'lifespan':
            await asgi.serve_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        self._in_flight += 1
        try:
            await self._serve(asgi.Request(scope, receive), send)
        finally:
            self._in_flight -= 1

    async def _serve(self, request: asgi.Request, send: asgi.Send) -> None:
        arrived_at = self._clock.now()
        terms = self._codec.caller_terms(request.raw_headers)
        answer = _Answer(self, terms, send, arrived_at)
        routes = self._routes
        refusal = _check(request, routes)
        if routes is None:
            await answer.refuse(refusal or self._starting(), close=True)
            return
        if refusal is not None:
            await answer.refuse(refusal, close=True)
            return
        limits = routes.configuration.limits
        body = await _read_body(request, limits)
        if body is None:
            self._metrics.caller_gone()
            return
        if isinstance(body, api.Refusal):
            await answer.refuse(body, close=True)
            return
        host = request.header(b'host').rpartition(':')
        route = routes.match(host[0] or host[2], request.path)
        if route is None:
            await answer.refuse(_NO_ROUTE)
            return
        if self._draining and route.streaming:
            await answer.refuse(_STOPPING, close=True)
            return
        span = min(terms.wait_seconds, route.timeout_seconds)
        call = api.Call(
            request_id=terms.attempt_id,
            method=request.method,
            target=_target(request),
            headers=tuple(request.raw_headers),
            body=body,
            terms=terms,
            route=route,
            service=table.pick_service(route, self._rng),
            arrived_at=arrived_at,
            deadline=arrived_at + span,
        )
        answer.follow(terms.last_event)
        await self._forward(call, request, answer)

    async def _forward(
        self, call: api.Call, request: asgi.Request, answer: _Answer
    ) -> None:
        """Run a request while its caller is there and its time lasts."""
        gone = False
        result: forwarders.Result | None = None

        async def watch() -> None:
            nonlocal gone
            await request.wait_disconnected()
            if result is None:
                gone = True
                group.cancel_scope.cancel()

        left = max(0.0, call.deadline - self._clock.now())
        async with anyio.create_task_group() as group:
            group.start_soon(watch)
            with anyio.move_on_after(left) as scope:
                if call.route.streaming:
                    self._streams.add(scope)
                try:
                    result = await self._forwarder.run(call, answer)
                finally:
                    self._streams.discard(scope)
            if not gone:
                result = result or self._timed_out(answer)
                await answer.finish(call, result)
            group.cancel_scope.cancel()
        if gone:
            self._metrics.caller_gone()
            _LOG.write('caller_gone', request=call.request_id)

    def _starting(self) -> api.Refusal:
        """Refuse a request before there is a configuration."""
        pause = STARTING_RETRY_AFTER_SECONDS
        if self._store_away():
            pause = STORE_AWAY_RETRY_AFTER_SECONDS
        pause *= self._rng.uniform(0.75, 1.25)
        return api.Refusal(
            api.RefusalReason.NO_CONFIGURATION, _UNAVAILABLE, pause
        )

    def _timed_out(self, answer: _Answer) -> forwarders.Result:
        if answer.started:
            return forwarders.Cut('timeout')
        return api.Refusal(api.RefusalReason.TIMEOUT, _GATEWAY_TIMEOUT)

    @property
    def codec(self) -> CallerCodec:
        """Writes the headers of answers."""
        return self._codec

    @property
    def metrics(self) -> gateway_metrics.GatewayMetrics:
        """Counts answers."""
        return self._metrics

    @property
    def clock(self) -> clocks.Clock:
        """Tells how long an answer took."""
        return self._clock

    @property
    def closing(self) -> bool:
        """Whether answers ask their callers to reconnect."""
        return self._closing


class _Answer:
    """The one answer to a request; takes the events of a stream."""

    def __init__(
        self,
        app: GatewayApp,
        terms: api.CallerTerms,
        send: asgi.Send,
        arrived_at: float,
    ) -> None:
        self._app = app
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
        elapsed = self._app.clock.now() - self._arrived_at
        self._app.metrics.first_byte(elapsed)
        self._first_byte_seconds = elapsed
        kept = self._app.codec.for_caller(headers)
        await self._head(status, kept)

    async def send(self, data: bytes) -> None:
        """Send whole events."""
        now = self._app.clock.now()
        if self._sent_at:
            pause = now - self._sent_at
            self._longest_pause = max(self._longest_pause, pause)
        self._sent_at = now
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self, call: api.Call, result: forwarders.Result) -> None:
        """End the answer; a cut stream ends without its last chunk."""
        elapsed = self._app.clock.now() - self._arrived_at
        match result:
            case api.Refusal():
                await self.refuse(result)
            case outcomes.Whole(status, headers, body):
                await self._whole(status, headers, body)
                self._answered(call, status, elapsed)
            case outcomes.Streamed():
                await self._end()
                self._answered(call, self._status, elapsed)
            case forwarders.Cut(reason):
                self._app.metrics.cut(reason)
                _LOG.write(
                    'cut',
                    request=call.request_id,
                    reason=reason,
                    last_event=self._cutter.last_event,
                    seconds=round(elapsed, 3),
                )

    async def refuse(self, refusal: api.Refusal, close: bool = False) -> None:
        """Answer in this instance's own name."""
        self._app.metrics.refused(refusal.reason.value)
        _LOG.write(
            'refused',
            request=self._terms.attempt_id,
            reason=refusal.reason.value,
            status=refusal.status,
            detail=refusal.detail,
            retry_after=round(refusal.retry_after, 3),
            seconds=round(self._app.clock.now() - self._arrived_at, 3),
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
            for name, value in self._app.codec.for_caller(headers)
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
        if close or self._app.closing:
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
        self._app.metrics.answered(status, elapsed)
        _LOG.write(
            'answered',
            request=call.request_id,
            status=status,
            first=round(self._first_byte_seconds, 3),
            pause=round(self._longest_pause, 3),
            seconds=round(elapsed, 3),
        )


_STOPPING = api.Refusal(
    api.RefusalReason.STOPPING, _UNAVAILABLE, ELSEWHERE_SECONDS
)
_NO_ROUTE = api.Refusal(api.RefusalReason.NO_ROUTE, _NOT_FOUND)


def _check(
    request: asgi.Request, routes: table.RouteTable | None
) -> api.Refusal | None:
    """Return why a request is refused before its body is read."""
    names = [name for name, _ in request.raw_headers]
    framed = b'content-length' in names and b'transfer-encoding' in names
    if framed or names.count(b'content-length') > 1:
        return _bad('two_lengths')
    if names.count(b'host') != 1:
        return _bad('host')
    if routes is None:
        return None
    limits = routes.configuration.limits
    if request.header_bytes > limits.max_header_bytes:
        return api.Refusal(
            api.RefusalReason.BAD_REQUEST, _HEADERS_TOO_LARGE, 0.0, 'headers'
        )
    length = request.header(b'content-length')
    if length and int(length) > limits.max_body_bytes:
        return _too_large()
    return None


def _bad(detail: str) -> api.Refusal:
    return api.Refusal(
        api.RefusalReason.BAD_REQUEST, _BAD_REQUEST, 0.0, detail
    )


def _too_large() -> api.Refusal:
    return api.Refusal(api.RefusalReason.BODY_TOO_LARGE, _TOO_LARGE)


async def _read_body(
    request: asgi.Request, limits: routes_api.CallerLimits
) -> bytes | api.Refusal | None:
    """Return a body, why it is refused, or nothing when the caller left."""
    parts: list[bytes] = []
    size = 0
    timeout = max(limits.header_timeout_seconds, BODY_TIMEOUT_SECONDS)
    with anyio.move_on_after(timeout if request.unread else math.inf):
        while True:
            message = await request.receive()
            if message['type'] == asgi.DISCONNECT:
                return None
            size += len(message['body'])
            if size > limits.max_body_bytes:
                return _too_large()
            parts.append(message['body'])
            if not message.get('more_body', False):
                return b''.join(parts)
    return api.Refusal(api.RefusalReason.REQUEST_TIMEOUT, _REQUEST_TIMEOUT)


def _target(request: asgi.Request) -> str:
    return f'{request.path}?{request.query}' if request.query else request.path
