"""The callers' HTTP interface as an ASGI application."""

from __future__ import annotations

import random
import secrets
import typing

import anyio
import expression

from . import answers
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
from . import refusing
from . import resumption
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
SWEEP_SECONDS: typing.Final = 0.5
DRAIN_GRACE_SECONDS: typing.Final = 1.0

_DRAIN_POLL_SECONDS: typing.Final = 0.02
_LOG: typing.Final = logs.ComponentLog('entry')
_JSON: typing.Final = 'application/json'
_JSON_HEADERS: typing.Final = (('content-type', _JSON),)
_STREAMS_PREFIX: typing.Final = '/v1/streams/'


class EntryApp:
    """An ASGI 3 application; ``run_background`` has to run beside it.

    :param finder: reaches the streams of other instances.
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
        finder: streams_module.StreamFinder | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._streams = streams
        self._catalog = catalog
        self._clock = clock
        self._limits = limits
        self._metrics = metrics
        self._health = health
        self._refuser = refusing.Refuser(metrics, clock)
        self._pages = pages.Pages(health, metrics.registry, self._refuser)
        self._rng = rng or random.Random()
        self._bodies = bodies.BodyReader(limits)
        self._callers = callers.CallerIndex()
        self._watches = watch.Watches()
        self._answers = answers.Answers(
            dispatcher, streams, clock, limits, self._watches
        )
        self._resumption = resumption.Resumption(
            dispatcher, streams, finder, metrics, limits
        )
        self._active = 0
        self._add_gauges()

    @property
    def active(self) -> int:
        """How many HTTP requests are being answered."""
        return self._active

    @property
    def held_body_bytes(self) -> int:
        """The size of all request bodies that are held now."""
        return self._bodies.held_bytes

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one ASGI connection."""
        match scope['type']:
            case 'http':
                await self._serve(asgi.Request(scope, receive), send)
            case 'lifespan':
                await asgi.serve_lifespan(receive, send)
            case 'websocket':
                await send({'type': 'websocket.close'})

    async def run_background(self) -> None:
        """Notice lost callers and end their work, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watches.run)
            await self._sweep()

    def end_stream(self, stream_id: str, caller: str) -> bool:
        """End the work for a stream that this instance holds.

        :return: whether the caller has such a stream.
        """
        return self._resumption.end(stream_id, caller)

    async def drain(self, deadline: float) -> None:
        """Refuse new requests and finish the others until a deadline.

        At the deadline each caller that is left is told how its request
        ended.
        """
        self._health.drain()
        await self._dispatcher.drain(deadline)
        while self._streams.unread and self._clock.now() < deadline:
            await anyio.sleep(_DRAIN_POLL_SECONDS)
        with anyio.move_on_after(DRAIN_GRACE_SECONDS):
            while self._active:
                await anyio.sleep(_DRAIN_POLL_SECONDS)

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_SECONDS)
            for stream in self._streams.sweep():
                self._dispatcher.end(
                    stream.request_id, reasons.Reason.STREAM_EXPIRED
                )

    def _add_gauges(self) -> None:
        dispatcher = self._dispatcher
        streams = self._streams
        for name, doc, read in (
            ('in_flight', 'Requests under way.', lambda: dispatcher.in_flight),
            ('queued', 'Requests in the queue.', lambda: dispatcher.queued),
            ('streams', 'Streams kept.', lambda: streams.count),
            ('stream_bytes', 'Events kept.', lambda: streams.held_bytes),
            ('body_bytes', 'Bodies held.', lambda: self._bodies.held_bytes),
        ):
            self._metrics.registry.gauge(f'dogwoodquay_{name}', doc, read)

    async def _serve(self, request: asgi.Request, send: asgi.Send) -> None:
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        shown = controls.caller_request_id(request) or request_id
        responder = asgi.Responder(send, shown)
        if self._dispatcher.draining:
            responder.close_after()
        self._active += 1
        try:
            await self._route(request, responder, request_id)
        except Exception as error:
            _LOG.failure('request', error)
            if not responder.started:
                refused = problems.refusal(reasons.Reason.INTERNAL)
                await self._refuser.refuse(request, responder, refused)
        finally:
            self._active -= 1

    async def _route(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        request_id: str,
    ) -> None:
        if request.two_lengths:
            # Another reader of the connection could see two requests.
            responder.close_after()
            detail = 'two lengths'
            refused = problems.refusal(reasons.Reason.BAD_HEADER, detail)
            await self._refuser.refuse(request, responder, refused)
            return
        match request.path:
            case completions.CHAT_PATH | completions.COMPLETION_PATH:
                await self._completion(request, responder, request_id)
            case '/v1/models':
                await self._models(request, responder)
            case '/livez':
                await self._pages.alive(request, responder)
            case '/readyz':
                await self._pages.ready(request, responder)
            case '/metrics':
                await self._pages.metrics(request, responder)
            case path if path.startswith(targets.SERVICES_PREFIX):
                await self._run(request, responder, request_id)
            case path if path.startswith(_STREAMS_PREFIX):
                await self._stream(request, responder)
            case path:
                refused = problems.refusal(reasons.Reason.UNKNOWN_PATH, path)
                await self._refuser.refuse(request, responder, refused)

    async def _completion(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        request_id: str,
    ) -> None:
        refused = _check_completion(request)
        if refused is not None:
            await self._refuser.refuse(request, responder, refused)
            return
        await self._run(request, responder, request_id)

    async def _run(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        request_id: str,
    ) -> None:
        context = self._context(request, request_id)
        if isinstance(context, api.Refusal):
            await self._refuser.refuse(request, responder, context)
            return
        await self._read_and_run(request, responder, context)

    async def _read_and_run(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        context: forwarding.Context,
    ) -> None:
        body = await self._bodies.read(request, self._clock.now())
        if isinstance(body, api.Refusal):
            await self._refuser.refuse(request, responder, body)
            return
        try:
            call = self._call(request, context, body)
            if isinstance(call, api.Refusal):
                await self._refuser.refuse(request, responder, call)
                return
            await self._answers.give(request, responder, call)
        finally:
            self._bodies.release(body)

    def _call(
        self,
        request: asgi.Request,
        context: forwarding.Context,
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

    def _context(
        self, request: asgi.Request, request_id: str
    ) -> forwarding.Context | api.Refusal:
        """Find the caller and what it asks for in headers."""
        if request.header_bytes > self._limits.header_bytes:
            return problems.refusal(reasons.Reason.HEADERS_TOO_LARGE)
        catalog = self._catalog()
        found = self._find_caller(catalog, request)
        if found.is_error():
            return found.error
        parsed = controls.parse(
            request,
            found.ok,
            catalog.policy,
            self._limits,
            self._clock.now(),
        )
        if isinstance(parsed, api.Refusal):
            return parsed
        return forwarding.Context(catalog, found.ok, parsed, request_id)

    def _find_caller(
        self, catalog: records_api.Catalog, request: asgi.Request
    ) -> expression.Result[records_api.Caller, api.Refusal]:
        if catalog.offset < 0:
            refused = problems.refusal(reasons.Reason.NOT_READY)
            return expression.Error(refused)
        return self._callers.find(catalog, request)

    async def _models(
        self, request: asgi.Request, responder: asgi.Responder
    ) -> None:
        catalog = self._catalog()
        found = self._find_caller(catalog, request)
        if found.is_error():
            await self._refuser.refuse(request, responder, found.error)
            return
        names = [
            name
            for name in (*catalog.models, *catalog.adapters)
            if callers.may_use(found.ok, name)
        ]
        page = targets.models_page(names)
        await self._pages.show(request, responder, 200, _JSON_HEADERS, page)

    async def _stream(
        self, request: asgi.Request, responder: asgi.Responder
    ) -> None:
        found = self._find_caller(self._catalog(), request)
        if found.is_error():
            await self._refuser.refuse(request, responder, found.error)
            return
        stream_id = request.path[len(_STREAMS_PREFIX) :]
        refused = await self._resumption.serve(
            request, responder, stream_id, found.ok.name
        )
        if refused is not None:
            await self._refuser.refuse(request, responder, refused)


def _check_completion(request: asgi.Request) -> api.Refusal | None:
    if request.method != 'POST':
        return problems.refusal(reasons.Reason.METHOD_NOT_ALLOWED)
    content_type = request.header(b'content-type').lower()
    if content_type and not content_type.startswith(_JSON):
        return problems.refusal(reasons.Reason.UNSUPPORTED_MEDIA_TYPE)
    return None
