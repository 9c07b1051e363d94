"""The operators' interface as an ASGI application.

``GET /status`` and ``GET /in-force?offset=N`` require the operators' token as
bearer token; ``/livez``, ``/readyz`` and ``/metrics`` require none.
"""

from __future__ import annotations

import hmac
import typing
import urllib.parse

import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clock_module
    from . import api

__all__ = ['OperatorsApp']

_IN_FORCE_TIMEOUT_SECONDS: typing.Final = 2.0
_JSON: typing.Final = b'application/json'
_TEXT: typing.Final = b'text/plain; charset=utf-8'

Scope = typing.MutableMapping[str, typing.Any]
Message = typing.MutableMapping[str, typing.Any]


class _Response(typing.NamedTuple):
    status: int
    body: bytes
    content_type: bytes = _TEXT


class OperatorsApp:
    """Serves status, health and metrics."""

    def __init__(
        self,
        source: api.StatusSource,
        token: str,
        clock: clock_module.Clock,
        render_metrics: abc.Callable[[], bytes],
    ) -> None:
        self._source = source
        self._expected_authorization = f'Bearer {token}'.encode()
        self._clock = clock
        self._render_metrics = render_metrics

    async def __call__(
        self,
        scope: Scope,
        receive: abc.Callable[[], abc.Awaitable[Message]],
        send: abc.Callable[[Message], abc.Awaitable[None]],
    ) -> None:
        """Respond to one request."""
        if scope['type'] != 'http':
            return
        response = await self._respond(scope)
        await send(
            {
                'type': 'http.response.start',
                'status': response.status,
                'headers': [
                    (b'content-type', response.content_type),
                    (b'content-length', str(len(response.body)).encode()),
                ],
            }
        )
        await send({'type': 'http.response.body', 'body': response.body})

    async def _respond(self, scope: Scope) -> _Response:
        if scope['method'] not in ('GET', 'HEAD'):
            return _Response(405, b'only GET\n')
        match scope['path']:
            case '/livez':
                return _Response(200, b'ok\n')
            case '/readyz':
                return self._readiness()
            case '/metrics':
                return _Response(200, self._render_metrics())
            case '/status' | '/in-force' if not self._is_authorized(scope):
                return _Response(401, b'the token is missing or wrong\n')
            case '/status':
                body = msgspec.json.encode(self._source.status())
                return _Response(200, body, _JSON)
            case '/in-force':
                return await self._in_force(scope)
            case _:
                return _Response(404, b'no such page\n')

    def _readiness(self) -> _Response:
        if self._source.ready:
            return _Response(200, b'ready\n')
        return _Response(503, b'not ready\n')

    async def _in_force(self, scope: Scope) -> _Response:
        query = urllib.parse.parse_qs(scope['query_string'].decode('latin-1'))
        try:
            offset = int(query['offset'][0])
        except (KeyError, ValueError):
            return _Response(400, b'expected offset=N\n')
        deadline = self._clock.now() + _IN_FORCE_TIMEOUT_SECONDS
        response = await self._source.in_force(offset, deadline)
        return _Response(200, msgspec.json.encode(response), _JSON)

    def _is_authorized(self, scope: Scope) -> bool:
        for name, value in scope['headers']:
            if name == b'authorization':
                return hmac.compare_digest(value, self._expected_authorization)
        return False
