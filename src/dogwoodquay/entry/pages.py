"""Health and metrics pages of the callers' interface."""

from __future__ import annotations

import typing

from . import asgi
from ..dispatch import reasons
from . import problems

if typing.TYPE_CHECKING:
    from ..dispatch import api
    from . import health as health_module
    from ..observe import metrics as metrics_module
    from . import refusals

__all__ = ['Pages']

_TEXT_HEADERS: typing.Final = (('content-type', 'text/plain'),)


class Pages:
    """Serves read-only pages: GET and HEAD only."""

    def __init__(
        self,
        health: health_module.Health,
        registry: metrics_module.Registry,
        refusal_sender: refusals.RefusalSender,
    ) -> None:
        self._health = health
        self._registry = registry
        self._refusal_sender = refusal_sender

    async def livez(
        self, request: asgi.Request, responder: asgi.Responder
    ) -> None:
        """Report that the process is running."""
        await self._send_text(request, responder, 200, 'alive')

    async def readyz(
        self, request: asgi.Request, responder: asgi.Responder
    ) -> None:
        """Report whether this instance is ready, or which parts are not."""
        if self._health.ready:
            await self._send_text(request, responder, 200, 'ready')
            return
        missing = ' '.join(self._health.waiting_for)
        await self._send_text(request, responder, 503, f'not ready: {missing}')

    async def metrics(
        self, request: asgi.Request, responder: asgi.Responder
    ) -> None:
        """Send all metrics in the format that the caller accepts."""
        page = self._registry.render(request.header(b'accept'))
        headers = (('content-type', page.content_type),)
        await self.send_page(request, responder, 200, headers, page.body)

    async def send_page(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        status: int,
        headers: api.Headers,
        body: bytes,
    ) -> None:
        """Send a page, or refuse the request if it is not GET or HEAD."""
        if request.method not in ('GET', 'HEAD'):
            refusal = problems.make_refusal(reasons.Reason.METHOD_NOT_ALLOWED)
            await self._refusal_sender.send(request, responder, refusal)
            return
        await asgi.respond(request, responder, status, headers, body)

    async def _send_text(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        status: int,
        text: str,
    ) -> None:
        body = f'{text}\n'.encode()
        await self.send_page(request, responder, status, _TEXT_HEADERS, body)
