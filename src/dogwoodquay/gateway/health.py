"""Readiness and metrics as an ASGI application."""

from __future__ import annotations

import typing

import anyio

from ..entry import asgi
from ..observe import logs

if typing.TYPE_CHECKING:
    from collections import abc

    from ..observe import metrics

__all__ = ['HealthApp']

_LOG: typing.Final = logs.ComponentLog('health')

READY_PATH: typing.Final = '/readyz'
METRICS_PATH: typing.Final = '/metrics'
# Refusals in a row after which the load balancer sends no new callers.
REFUSALS_BEFORE_REMOVAL: typing.Final = 2


class HealthApp:
    """Serves the readiness of this instance and its metrics.

    :param not_ready: returns why it is not ready, empty if it is.
    """

    def __init__(
        self, not_ready: abc.Callable[[], str], registry: metrics.Registry
    ) -> None:
        self._not_ready = not_ready
        self._registry = registry
        self._logged_reason = 'starting'
        self._refused_in_row = 0
        self._removed = anyio.Event()

    async def removed_from_balancer(self) -> None:
        """Wait for the refusals that make the balancer remove it."""
        await self._removed.wait()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request or the server's lifespan."""
        if scope['type'] == 'lifespan':
            await asgi.serve_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        path = scope['path']
        if path == METRICS_PATH:
            page = self._registry.render()
            await _answer(send, 200, page.content_type, page.body)
            return
        if path != READY_PATH:
            await _answer(send, 404, 'text/plain', b'not found\n')
            return
        reason = self._not_ready()
        if reason != self._logged_reason:
            self._logged_reason = reason
            _LOG.write('readiness', ready=not reason, reason=reason)
        self._count_refused(reason)
        body = reason.encode() or b'ready'
        await _answer(send, 503 if reason else 200, 'text/plain', body)

    def _count_refused(self, reason: str) -> None:
        """Count the refusals in a row."""
        if not reason:
            self._refused_in_row = 0
            self._removed = anyio.Event()
            return
        self._refused_in_row += 1
        if self._refused_in_row >= REFUSALS_BEFORE_REMOVAL:
            self._removed.set()


async def _answer(
    send: asgi.Send, status: int, content_type: str, body: bytes
) -> None:
    headers = [
        (b'content-type', content_type.encode('latin-1')),
        (b'content-length', b'%d' % len(body)),
    ]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': body})
