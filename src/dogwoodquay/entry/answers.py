"""Gives callers their answers, whole or streamed."""

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

__all__ = ['Answers']


class Answers:
    """Runs calls for connections, and ends those whose caller is gone."""

    def __init__(
        self,
        dispatcher: dispatcher_module.Dispatcher,
        streams: streams_module.StreamTable,
        clock: clock_module.Clock,
        limits: limits_module.Limits,
        watches: watch.Watches,
    ) -> None:
        self._dispatcher = dispatcher
        self._streams = streams
        self._clock = clock
        self._limits = limits
        self._watches = watches

    async def give(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        call: api.Call,
    ) -> None:
        """Run a call and send its answer."""
        if call.stream:
            await self._give_stream(request, responder, call)
            return
        if call.idempotent and not call.key:
            # Else a caller that asks again finds out, so the work goes on.
            self._watches.start(
                request,
                functools.partial(
                    self._dispatcher.end,
                    call.request_id,
                    reasons.Reason.CALLER_GONE,
                ),
            )
        result = await self._dispatcher.run(call)
        await self._send(responder, result)

    async def _give_stream(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        call: api.Call,
    ) -> None:
        created = self._streams.create(call.caller, call.request_id)
        if created.is_error():
            await self._send(responder, created.error)
            return
        stream = created.ok
        relay = relay_module.Relay(stream, responder, self._clock)
        self._watches.start(
            request, functools.partial(self._detach, call, relay)
        )
        result = await self._dispatcher.run(call, relay)
        await self._finish(stream, relay, responder, result)

    def _detach(self, call: api.Call, relay: relay_module.Relay) -> None:
        relay.disconnected()
        if not relay.started and not call.key:
            # Nobody knows the stream's id yet.
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
                self._streams.forget(stream)
                await self._send(responder, result)

    async def _send(
        self,
        responder: asgi.Responder,
        result: api.WholeAnswer | api.StreamedAnswer | api.Refusal,
    ) -> None:
        match result:
            case api.WholeAnswer(status, headers, body):
                sending = responder.whole(status, headers, body)
            case api.Refusal():
                sending = self._send_problem(responder, result)
            case api.StreamedAnswer():
                raise TypeError('a stream has no whole answer')
        waiting = eager.start(sending)
        if waiting is not None:
            with anyio.move_on_after(self._limits.whole_write_seconds):
                await waiting.finish()

    async def _send_problem(
        self, responder: asgi.Responder, refused: api.Refusal
    ) -> None:
        await responder.whole(
            reasons.REASONS[refused.reason].status,
            problems.headers(refused, self._clock.now()),
            problems.problem(refused, responder.request_id),
        )
