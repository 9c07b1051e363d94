"""Lets a caller come back to its stream, at any instance."""

from __future__ import annotations

import typing

import anyio

from . import controls
from ..dispatch import api
from ..dispatch import reasons
from . import problems
from . import streams as streams_module

if typing.TYPE_CHECKING:
    from collections import abc

    from . import asgi
    from ..dispatch import dispatcher as dispatcher_module
    from ..dispatch import metrics as request_metrics
    from . import limits as limits_module

__all__ = ['Resumption']


class Resumption:
    """Serves ``/v1/streams/<id>``: GET reads on, DELETE ends the work."""

    def __init__(
        self,
        dispatcher: dispatcher_module.Dispatcher,
        streams: streams_module.StreamTable,
        finder: streams_module.StreamFinder | None,
        metrics: request_metrics.RequestMetrics,
        limits: limits_module.Limits,
    ) -> None:
        self._dispatcher = dispatcher
        self._streams = streams
        self._finder = finder
        self._metrics = metrics
        self._limits = limits

    async def serve(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        stream_id: str,
        caller: str,
    ) -> api.Refusal | None:
        """Serve one request; the refusal was not sent yet."""
        holder = streams_module.holder_of(stream_id)
        local = holder == self._streams.instance_id
        match request.method:
            case 'DELETE':
                return await self._cancel(responder, stream_id, caller, local)
            case 'GET':
                pass
            case _:
                return problems.refusal(reasons.Reason.METHOD_NOT_ALLOWED)
        after = controls.parse_last_event(request)
        if isinstance(after, api.Refusal):
            return after
        if local:
            return await self._read_here(
                request, responder, stream_id, caller, after
            )
        return await self._read_there(
            request, responder, stream_id, caller, after
        )

    def end(self, stream_id: str, caller: str) -> bool:
        """End the work for a stream that is held here."""
        stream = self._streams.find(stream_id, caller)
        if stream is None:
            return False
        self._dispatcher.end(stream.request_id, reasons.Reason.CALLER_GONE)
        if stream.finished:
            self._streams.forget(stream)
        return True

    async def _cancel(
        self,
        responder: asgi.Responder,
        stream_id: str,
        caller: str,
        local: bool,
    ) -> api.Refusal | None:
        if local:
            ended = self.end(stream_id, caller)
        elif self._finder is None:
            ended = False
        else:
            holder = streams_module.holder_of(stream_id)
            ended = await self._finder.cancel(holder, stream_id, caller)
        if not ended:
            return problems.refusal(reasons.Reason.UNKNOWN_STREAM)
        await responder.whole(204, (), b'')
        return None

    async def _read_here(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        stream_id: str,
        caller: str,
        after: int,
    ) -> api.Refusal | None:
        opened = self._streams.read(stream_id, caller, after)
        if opened.is_error():
            return opened.error
        reader = opened.ok
        try:
            await self._send(request, responder, stream_id, reader)
        finally:
            self._streams.release(stream_id, reader)
        return None

    async def _read_there(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        stream_id: str,
        caller: str,
        after: int,
    ) -> api.Refusal | None:
        holder = streams_module.holder_of(stream_id)
        if self._finder is None or not holder:
            return problems.refusal(reasons.Reason.UNKNOWN_STREAM)
        async with self._finder.read(
            holder, stream_id, caller, after
        ) as opened:
            if opened.is_error():
                return opened.error
            await self._send(request, responder, stream_id, opened.ok)
        return None

    async def _send(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        stream_id: str,
        events: abc.AsyncIterator[bytes],
    ) -> None:
        self._metrics.stream_resumed()
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_when_gone, request, group.cancel_scope)
            await responder.start_stream(stream_id)
            async for data in events:
                with anyio.move_on_after(
                    self._limits.write_stall_seconds
                ) as scope:
                    await responder.part(data)
                if scope.cancelled_caught:
                    group.cancel_scope.cancel()
            await responder.end()
            group.cancel_scope.cancel()


async def _cancel_when_gone(
    request: asgi.Request, scope: anyio.CancelScope
) -> None:
    await request.wait_disconnected()
    scope.cancel()
