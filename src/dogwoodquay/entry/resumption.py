"""Resumes and cancels streams, at whichever instance owns them."""

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
    """Serves ``/v1/streams/<id>``: GET resumes, DELETE cancels."""

    def __init__(
        self,
        dispatcher: dispatcher_module.Dispatcher,
        streams: streams_module.StreamTable,
        remote_streams: streams_module.RemoteStreams | None,
        metrics: request_metrics.RequestMetrics,
        limits: limits_module.Limits,
    ) -> None:
        self._dispatcher = dispatcher
        self._streams = streams
        self._remote_streams = remote_streams
        self._metrics = metrics
        self._limits = limits

    async def serve(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        stream_id: str,
        caller: str,
    ) -> api.Refusal | None:
        """Serve a request; return a refusal that is still to be sent."""
        owner = streams_module.owner_of(stream_id)
        is_local = owner == self._streams.instance_id
        match request.method:
            case 'DELETE':
                return await self._handle_delete(
                    responder, stream_id, caller, is_local
                )
            case 'GET':
                pass
            case _:
                return problems.make_refusal(reasons.Reason.METHOD_NOT_ALLOWED)
        after = controls.parse_last_event(request)
        if isinstance(after, api.Refusal):
            return after
        if is_local:
            return await self._send_local(
                request, responder, stream_id, caller, after
            )
        return await self._send_remote(
            request, responder, stream_id, caller, after
        )

    def cancel_local(self, stream_id: str, caller: str) -> bool:
        """Cancel a stream of this instance; return whether it exists."""
        stream = self._streams.find(stream_id, caller)
        if stream is None:
            return False
        self._dispatcher.end(stream.request_id, reasons.Reason.CALLER_GONE)
        if stream.finished:
            self._streams.remove(stream)
        return True

    async def _handle_delete(
        self,
        responder: asgi.Responder,
        stream_id: str,
        caller: str,
        is_local: bool,
    ) -> api.Refusal | None:
        if is_local:
            found = self.cancel_local(stream_id, caller)
        elif self._remote_streams is None:
            found = False
        else:
            owner = streams_module.owner_of(stream_id)
            found = await self._remote_streams.cancel(owner, stream_id, caller)
        if not found:
            return problems.make_refusal(reasons.Reason.UNKNOWN_STREAM)
        await responder.send_complete(204, (), b'')
        return None

    async def _send_local(
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
            await self._send_events(request, responder, stream_id, reader)
        finally:
            self._streams.release(stream_id, reader)
        return None

    async def _send_remote(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        stream_id: str,
        caller: str,
        after: int,
    ) -> api.Refusal | None:
        owner = streams_module.owner_of(stream_id)
        if self._remote_streams is None or not owner:
            return problems.make_refusal(reasons.Reason.UNKNOWN_STREAM)
        async with self._remote_streams.read(
            owner, stream_id, caller, after
        ) as opened:
            if opened.is_error():
                return opened.error
            await self._send_events(request, responder, stream_id, opened.ok)
        return None

    async def _send_events(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        stream_id: str,
        events: abc.AsyncIterator[bytes],
    ) -> None:
        self._metrics.stream_resumed()
        async with anyio.create_task_group() as group:
            group.start_soon(
                _cancel_on_disconnect, request, group.cancel_scope
            )
            await responder.start_stream(stream_id)
            async for data in events:
                with anyio.move_on_after(
                    self._limits.write_stall_seconds
                ) as scope:
                    await responder.send_part(data)
                if scope.cancelled_caught:
                    group.cancel_scope.cancel()
            await responder.finish()
            group.cancel_scope.cancel()


async def _cancel_on_disconnect(
    request: asgi.Request, scope: anyio.CancelScope
) -> None:
    await request.wait_disconnected()
    scope.cancel()
