"""Pages that are read: health, metrics and lists."""

from __future__ import annotations

import typing

from . import asgi
from ..dispatch import reasons
from . import problems

if typing.TYPE_CHECKING:
    from ..dispatch import api
    from . import health as health_module
    from ..observe import metrics as metrics_module
    from . import refusing

__all__ = ['Pages']

_TEXT_HEADERS: typing.Final = (('content-type', 'text/plain'),)


class Pages:
    """Serves pages, for reading only."""

    def __init__(
        self,
        health: health_module.Health,
        registry: metrics_module.Registry,
        refuser: refusing.Refuser,
    ) -> None:
        self._health = health
        self._registry = registry
        self._refuser = refuser

    async def alive(
        self, request: asgi.Request, responder: asgi.Responder
    ) -> None:
        """Say that the process runs."""
        await self._text(request, responder, 200, 'alive')

    async def ready(
        self, request: asgi.Request, responder: asgi.Responder
    ) -> None:
        """Say whether this instance takes requests, and else why not."""
        if self._health.ready:
            await self._text(request, responder, 200, 'ready')
            return
        missing = ' '.join(self._health.waiting_for)
        await self._text(request, responder, 503, f'not ready: {missing}')

    async def metrics(
        self, request: asgi.Request, responder: asgi.Responder
    ) -> None:
        """Show all metrics."""
        page = self._registry.render(request.header(b'accept'))
        headers = (('content-type', page.content_type),)
        await self.show(request, responder, 200, headers, page.body)

    async def show(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        status: int,
        headers: api.Headers,
        body: bytes,
    ) -> None:
        """Send a page to who reads it, and refuse all other methods."""
        if request.method not in ('GET', 'HEAD'):
            refused = problems.refusal(reasons.Reason.METHOD_NOT_ALLOWED)
            await self._refuser.refuse(request, responder, refused)
            return
        await asgi.send_whole(request, responder, status, headers, body)

    async def _text(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        status: int,
        text: str,
    ) -> None:
        body = f'{text}\n'.encode()
        await self.show(request, responder, status, _TEXT_HEADERS, body)
