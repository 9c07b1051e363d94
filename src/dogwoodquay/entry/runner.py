"""Runs calls and sends their results as HTTP responses."""

from __future__ import annotations

import functools
import typing

import anyio

from ..dispatch import api
from ..dispatch import reasons
from . import eager
from . import problems
from . import relay as relay_module

if typing.TYPE_CHECKING:
    from .. import clock as clock_module
    from . import asgi
    from ..dispatch import dispatcher as dispatcher_module
    from . import limits as limits_module
    from . import live
    from . import streams as streams_module
    from . import watch

__all__ = ['CallRunner']


class CallRunner:
    """Runs the calls of connections; ends calls whose caller disconnected."""

    def __init__(
        self,
        dispatcher: dispatcher_module.Dispatcher,
        streams: streams_module.StreamTable,
        clock: clock_module.Clock,
        limits: limits_module.Limits,
        disconnects: watch.DisconnectWatcher,
    ) -> None:
        self._dispatcher = dispatcher
        self._streams = streams
        self._clock = clock
        self._limits = limits
        self._disconnects = disconnects

    async def run(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        call: api.Call,
    ) -> None:
        """Run a call and send its response."""
        if call.stream:
            await self._run_stream(request, responder, call)
            return
        if call.idempotent and not call.key:
            # Any other call runs on: it either has a side effect, or a retry
            # with the same key returns its result.
            self._disconnects.watch(
                request,
                functools.partial(
                    self._dispatcher.end,
                    call.request_id,
                    reasons.Reason.CALLER_GONE,
                ),
            )
        result = await self._dispatcher.run(call)
        await self._send_result(responder, result)

    async def _run_stream(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        call: api.Call,
    ) -> None:
        created = self._streams.create(call.caller, call.request_id)
        if created.is_error():
            await self._send_result(responder, created.error)
            return
        stream = created.ok
        relay = relay_module.Relay(stream, responder, self._clock)
        self._disconnects.watch(
            request, functools.partial(self._on_disconnect, call, relay)
        )
        result = await self._dispatcher.run(call, relay)
        await self._finish(stream, relay, responder, result)

    def _on_disconnect(
        self, call: api.Call, relay: relay_module.Relay
    ) -> None:
        relay.on_disconnect()
        if not relay.started and not call.key:
            # The caller has no stream id yet, so it cannot resume.
            self._dispatcher.end(call.request_id, reasons.Reason.CALLER_GONE)

    async def _finish(
        self,
        stream: live.LiveStream,
        relay: relay_module.Relay,
        responder: asgi.Responder,
        result: api.WholeAnswer | api.StreamedAnswer | api.Refusal,
    ) -> None:
        match result:
            case api.StreamedAnswer():
                await relay.finish(None)
            case api.Refusal() if relay.started:
                await relay.finish(result)
            case api.Refusal() | api.WholeAnswer():
                self._streams.remove(stream)
                await self._send_result(responder, result)

    async def _send_result(
        self,
        responder: asgi.Responder,
        result: api.WholeAnswer | api.StreamedAnswer | api.Refusal,
    ) -> None:
        match result:
            case api.WholeAnswer(status, headers, body):
                writing = responder.send_complete(status, headers, body)
            case api.Refusal():
                writing = self._send_problem(responder, result)
            case api.StreamedAnswer():
                raise TypeError('a streamed result has no complete response')
        suspended = eager.start(writing)
        if suspended is not None:
            with anyio.move_on_after(self._limits.whole_write_seconds):
                await suspended.finish()

    async def _send_problem(
        self, responder: asgi.Responder, refusal: api.Refusal
    ) -> None:
        await responder.send_complete(
            reasons.REASONS[refusal.reason].status,
            problems.headers(refusal, self._clock.now()),
            problems.problem(refusal, responder.request_id),
        )
