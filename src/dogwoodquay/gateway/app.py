"""The callers' interface along routes, as an ASGI application."""

from __future__ import annotations

import typing

import anyio

from . import answer as answers
from . import api
from ..entry import asgi
from . import forwarder as forwarders
from ..observe import logs
from . import reading
from ..routes import table

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clocks
    from . import metrics as gateway_metrics
    from ..routes import api as routes_api

__all__ = ['GatewayApp']

_LOG: typing.Final = logs.PartLog('request')

_NOT_FOUND: typing.Final = 404
_UNAVAILABLE: typing.Final = 503
_GATEWAY_TIMEOUT: typing.Final = 504
# Until the store has been read for the first time.
STARTING_RETRY_AFTER_SECONDS: typing.Final = 0.3
# The same when the store does not answer, which lasts for seconds.
STORE_AWAY_RETRY_AFTER_SECONDS: typing.Final = 2.5


_STOPPING = api.Refusal(
    api.RefusalReason.STOPPING, _UNAVAILABLE, api.ELSEWHERE_SECONDS
)
_NO_ROUTE = api.Refusal(api.RefusalReason.NO_ROUTE, _NOT_FOUND)


class GatewayApp:
    """Reads requests, forwards them, and answers."""

    def __init__(
        self,
        forwarder: forwarders.Forwarder,
        codec: answers.CallerCodec,
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
        self._parts = answers.AnswerParts(codec, clock, metrics)
        self._clock = clock
        self._rng = rng
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
        terms = self._parts.codec.caller_terms(request.raw_headers)
        answer = answers.Answer(
            self._parts, terms, send, arrived_at, lambda: self._closing
        )
        routes = self._routes
        refusal = reading.check(request, routes)
        if routes is None:
            await answer.refuse(refusal or self._starting(), close=True)
            return
        if refusal is not None:
            await answer.refuse(refusal, close=True)
            return
        limits = routes.configuration.limits
        body = await reading.read_body(request, limits)
        if body is None:
            self._parts.metrics.caller_gone()
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
            target=reading.target(request),
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
        self, call: api.Call, request: asgi.Request, answer: answers.Answer
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
            self._parts.metrics.caller_gone()
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

    def _timed_out(self, answer: answers.Answer) -> forwarders.Result:
        if answer.started:
            return forwarders.Cut('timeout')
        return api.Refusal(api.RefusalReason.TIMEOUT, _GATEWAY_TIMEOUT)
