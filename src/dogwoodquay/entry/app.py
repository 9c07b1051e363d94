"""The callers' HTTP interface as an ASGI application."""

from __future__ import annotations

import random
import secrets
import typing

import anyio
import expression

from . import asgi
from . import bodies
from . import callers
from . import completions
from . import controls
from ..dispatch import api
from ..dispatch import reasons
from . import forwarding
from ..observe import logs
from . import pages
from . import problems
from . import refusals
from . import resumption
from . import runner
from . import targets
from . import watch

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clock_module
    from ..dispatch import dispatcher as dispatcher_module
    from ..dispatch import metrics as request_metrics
    from . import health as health_module
    from . import limits as limits_module
    from ..records import api as records_api
    from . import streams as streams_module

__all__ = ['EntryApp']

REQUEST_ID_BYTES: typing.Final = 12
SWEEP_INTERVAL_SECONDS: typing.Final = 0.5
DRAIN_GRACE_SECONDS: typing.Final = 1.0

_DRAIN_POLL_SECONDS: typing.Final = 0.02
_LOG: typing.Final = logs.ComponentLog('entry')
_JSON: typing.Final = 'application/json'
_JSON_HEADERS: typing.Final = (('content-type', _JSON),)
_STREAMS_PREFIX: typing.Final = '/v1/streams/'


class EntryApp:
    """An ASGI 3 application; ``run_background`` must run alongside it.

    :param remote_streams: reads streams that other instances own.
    """

    def __init__(
        self,
        dispatcher: dispatcher_module.Dispatcher,
        streams: streams_module.StreamTable,
        catalog: abc.Callable[[], records_api.Catalog],
        clock: clock_module.Clock,
        limits: limits_module.Limits,
        metrics: request_metrics.RequestMetrics,
        health: health_module.Health,
        remote_streams: streams_module.RemoteStreams | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._streams = streams
        self._catalog = catalog
        self._clock = clock
        self._limits = limits
        self._metrics = metrics
        self._health = health
        self._refusal_sender = refusals.RefusalSender(metrics, clock)
        self._pages = pages.Pages(
            health, metrics.registry, self._refusal_sender
        )
        self._rng = rng or random.Random()
        self._bodies = bodies.BodyReader(limits)
        self._callers = callers.CallerIndex()
        self._disconnects = watch.DisconnectWatcher()
        self._runner = runner.CallRunner(
            dispatcher, streams, clock, limits, self._disconnects
        )
        self._resumption = resumption.Resumption(
            dispatcher, streams, remote_streams, metrics, limits
        )
        self._active_requests = 0
        self._register_gauges()

    @property
    def active_requests(self) -> int:
        """The number of HTTP requests without a complete response."""
        return self._active_requests

    @property
    def buffered_body_bytes(self) -> int:
        """The size of all request bodies in memory."""
        return self._bodies.buffered_bytes

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one ASGI connection."""
        match scope['type']:
            case 'http':
                await self._handle_request(asgi.Request(scope, receive), send)
            case 'lifespan':
                await asgi.serve_lifespan(receive, send)
            case 'websocket':
                await send({'type': 'websocket.close'})

    async def run_background(self) -> None:
        """Watch for disconnects and sweep the streams, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._disconnects.run)
            await self._sweep()

    def cancel_stream(self, stream_id: str, caller: str) -> bool:
        """Cancel a stream that this instance owns.

        :return: whether the caller has a stream with this id.
        """
        return self._resumption.cancel_local(stream_id, caller)

    def leave(self, ends_at: float) -> None:
        """Begin a planned stop: not ready, and each answer closes.

        :param ends_at: when requests in flight are ended.
        """
        self._health.drain()
        self._dispatcher.stop.leave(ends_at)

    async def drain(self, deadline: float) -> None:
        """Refuse new requests and finish the others until a deadline.

        Requests that are still running at the deadline are ended with an
        error.
        """
        self._health.drain()
        self._bodies.stop()
        await self._dispatcher.drain(deadline)
        while self._streams.unfinished_count and self._clock.now() < deadline:
            await anyio.sleep(_DRAIN_POLL_SECONDS)
        with anyio.move_on_after(DRAIN_GRACE_SECONDS):
            while self._active_requests:
                await anyio.sleep(_DRAIN_POLL_SECONDS)

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_INTERVAL_SECONDS)
            for stream in self._streams.sweep():
                self._dispatcher.end(
                    stream.request_id, reasons.Reason.STREAM_EXPIRED
                )

    def _register_gauges(self) -> None:
        dispatcher = self._dispatcher
        streams = self._streams
        for name, description, get_value in (
            ('in_flight', 'Requests in flight.', lambda: dispatcher.in_flight),
            (
                'queued',
                'Requests waiting in the queue.',
                lambda: dispatcher.queued,
            ),
            ('streams', 'Streams in memory.', lambda: streams.count),
            (
                'stream_bytes',
                'Stream events in memory.',
                lambda: streams.kept_bytes,
            ),
            (
                'body_bytes',
                'Request bodies in memory.',
                lambda: self._bodies.buffered_bytes,
            ),
        ):
            self._metrics.registry.gauge(
                f'dogwoodquay_{name}', description, get_value
            )

    async def _handle_request(
        self, request: asgi.Request, send: asgi.Send
    ) -> None:
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        echoed_id = controls.caller_request_id(request) or request_id
        responder = asgi.Responder(send, echoed_id)
        if self._dispatcher.stop.begun:
            responder.close_connection_after()
        self._active_requests += 1
        try:
            await self._route(request, responder, request_id)
        except Exception as error:
            _LOG.failure('request', error)
            if not responder.started:
                refusal = problems.make_refusal(reasons.Reason.INTERNAL)
                await self._refusal_sender.send(request, responder, refusal)
        finally:
            self._active_requests -= 1

    async def _route(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        request_id: str,
    ) -> None:
        if request.has_conflicting_lengths:
            # Request smuggling: a proxy on the connection may have read the
            # other length and found a second request in this body.
            responder.close_connection_after()
            detail = 'conflicting body lengths'
            refusal = problems.make_refusal(reasons.Reason.BAD_HEADER, detail)
            await self._refusal_sender.send(request, responder, refusal)
            return
        match request.path:
            case completions.CHAT_PATH | completions.COMPLETION_PATH:
                await self._serve_completion(request, responder, request_id)
            case '/v1/models':
                await self._serve_models(request, responder)
            case '/livez':
                await self._pages.livez(request, responder)
            case '/readyz':
                await self._pages.readyz(request, responder)
            case '/metrics':
                await self._pages.metrics(request, responder)
            case path if path.startswith(targets.SERVICES_PREFIX):
                await self._serve_call(request, responder, request_id)
            case path if path.startswith(_STREAMS_PREFIX):
                await self._serve_stream(request, responder)
            case path:
                refusal = problems.make_refusal(
                    reasons.Reason.UNKNOWN_PATH, path
                )
                await self._refusal_sender.send(request, responder, refusal)

    async def _serve_completion(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        request_id: str,
    ) -> None:
        refusal = _check_completion_headers(request)
        if refusal is not None:
            await self._refusal_sender.send(request, responder, refusal)
            return
        await self._serve_call(request, responder, request_id)

    async def _serve_call(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        request_id: str,
    ) -> None:
        context = self._make_context(request, request_id)
        if isinstance(context, api.Refusal):
            await self._refusal_sender.send(request, responder, context)
            return
        await self._read_body_and_run(request, responder, context)

    async def _read_body_and_run(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        context: forwarding.RequestContext,
    ) -> None:
        body = await self._bodies.read(request, self._clock.now())
        if isinstance(body, api.Refusal):
            if self._dispatcher.stop.draining:
                responder.close_connection_after()
            await self._refusal_sender.send(request, responder, body)
            return
        try:
            call = self._make_call(request, context, body)
            if isinstance(call, api.Refusal):
                await self._refusal_sender.send(request, responder, call)
                return
            await self._runner.run(request, responder, call)
        finally:
            self._bodies.release(body)

    def _make_call(
        self,
        request: asgi.Request,
        context: forwarding.RequestContext,
        body: bytes,
    ) -> api.Call | api.Refusal:
        if request.path.startswith(targets.SERVICES_PREFIX):
            return forwarding.service_call(context, request, body)
        return forwarding.completion_call(
            context,
            request.path,
            body,
            self._rng,
            self._dispatcher.is_reachable,
        )

    def _make_context(
        self, request: asgi.Request, request_id: str
    ) -> forwarding.RequestContext | api.Refusal:
        """Identify the caller and parse the control headers."""
        if request.header_bytes > self._limits.header_bytes:
            return problems.make_refusal(reasons.Reason.HEADERS_TOO_LARGE)
        catalog = self._catalog()
        authenticated = self._authenticate(catalog, request)
        if authenticated.is_error():
            return authenticated.error
        parsed = controls.parse(
            request,
            authenticated.ok,
            catalog.policy,
            self._limits,
            self._clock.now(),
        )
        if isinstance(parsed, api.Refusal):
            return parsed
        return forwarding.RequestContext(
            catalog, authenticated.ok, parsed, request_id
        )

    def _authenticate(
        self, catalog: records_api.Catalog, request: asgi.Request
    ) -> expression.Result[records_api.Caller, api.Refusal]:
        if catalog.offset < 0:
            refusal = problems.make_refusal(reasons.Reason.NOT_READY)
            return expression.Error(refusal)
        return self._callers.authenticate(catalog, request)

    async def _serve_models(
        self, request: asgi.Request, responder: asgi.Responder
    ) -> None:
        catalog = self._catalog()
        authenticated = self._authenticate(catalog, request)
        if authenticated.is_error():
            await self._refusal_sender.send(
                request, responder, authenticated.error
            )
            return
        names = [
            name
            for name in (*catalog.models, *catalog.adapters)
            if callers.may_use(authenticated.ok, name)
        ]
        page = targets.encode_model_list(names)
        await self._pages.send_page(
            request, responder, 200, _JSON_HEADERS, page
        )

    async def _serve_stream(
        self, request: asgi.Request, responder: asgi.Responder
    ) -> None:
        authenticated = self._authenticate(self._catalog(), request)
        if authenticated.is_error():
            await self._refusal_sender.send(
                request, responder, authenticated.error
            )
            return
        stream_id = request.path[len(_STREAMS_PREFIX) :]
        refusal = await self._resumption.serve(
            request, responder, stream_id, authenticated.ok.name
        )
        if refusal is not None:
            await self._refusal_sender.send(request, responder, refusal)


def _check_completion_headers(request: asgi.Request) -> api.Refusal | None:
    if request.method != 'POST':
        return problems.make_refusal(reasons.Reason.METHOD_NOT_ALLOWED)
    content_type = request.header(b'content-type').lower()
    if content_type and not content_type.startswith(_JSON):
        return problems.make_refusal(reasons.Reason.UNSUPPORTED_MEDIA_TYPE)
    return None
