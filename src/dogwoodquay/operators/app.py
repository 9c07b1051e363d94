"""The ASGI application for operators.

``GET /status`` and ``GET /in-force?offset=N`` need the operators' token as
bearer; ``/livez``, ``/readyz`` and ``/metrics`` are open.
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

_FAN_OUT_SECONDS: typing.Final = 2.0
_JSON: typing.Final = b'application/json'
_TEXT: typing.Final = b'text/plain; charset=utf-8'

Scope = typing.MutableMapping[str, typing.Any]
Message = typing.MutableMapping[str, typing.Any]


class _Answer(typing.NamedTuple):
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
        self._expected = f'Bearer {token}'.encode()
        self._clock = clock
        self._render_metrics = render_metrics

    async def __call__(
        self,
        scope: Scope,
        receive: abc.Callable[[], abc.Awaitable[Message]],
        send: abc.Callable[[Message], abc.Awaitable[None]],
    ) -> None:
        """Answer one request."""
        if scope['type'] != 'http':
            return
        answer = await self._answer(scope)
        await send(
            {
                'type': 'http.response.start',
                'status': answer.status,
                'headers': [
                    (b'content-type', answer.content_type),
                    (b'content-length', str(len(answer.body)).encode()),
                ],
            }
        )
        await send({'type': 'http.response.body', 'body': answer.body})

    async def _answer(self, scope: Scope) -> _Answer:
        if scope['method'] not in ('GET', 'HEAD'):
            return _Answer(405, b'only GET\n')
        match scope['path']:
            case '/livez':
                return _Answer(200, b'ok\n')
            case '/readyz':
                return self._readiness()
            case '/metrics':
                return _Answer(200, self._render_metrics())
            case '/status' | '/in-force' if not self._allowed(scope):
                return _Answer(401, b'the token is missing or wrong\n')
            case '/status':
                body = msgspec.json.encode(self._source.status())
                return _Answer(200, body, _JSON)
            case '/in-force':
                return await self._in_force(scope)
            case _:
                return _Answer(404, b'no such page\n')

    def _readiness(self) -> _Answer:
        if self._source.ready:
            return _Answer(200, b'ready\n')
        return _Answer(503, b'not ready\n')

    async def _in_force(self, scope: Scope) -> _Answer:
        query = urllib.parse.parse_qs(scope['query_string'].decode('latin-1'))
        try:
            offset = int(query['offset'][0])
        except (KeyError, ValueError):
            return _Answer(400, b'expected offset=N\n')
        deadline = self._clock.now() + _FAN_OUT_SECONDS
        answer = await self._source.in_force(offset, deadline)
        return _Answer(200, msgspec.json.encode(answer), _JSON)

    def _allowed(self, scope: Scope) -> bool:
        for name, value in scope['headers']:
            if name == b'authorization':
                return hmac.compare_digest(value, self._expected)
        return False
