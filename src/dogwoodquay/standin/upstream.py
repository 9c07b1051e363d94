"""Stand-ins for model engines and plain services."""

from __future__ import annotations

import contextlib
import typing

import expression
import msgspec

from . import asgi
from ..external import api
from ..external import errors
from ..external.http import wire
from ..external import memory

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['EngineApp', 'ServiceApp']

DEFAULT_TIMEOUT_SECONDS: typing.Final = 60.0
_BAD_BODY: typing.Final = wire.Failure('bad_body')
_NOT_FOUND: typing.Final = wire.Failure('not_found')

_AnswerContext = contextlib.AbstractAsyncContextManager[
    expression.Result[api.UpstreamAnswer, api.EngineError]
]
_Body = typing.TypeVar('_Body')


class ServiceApp(asgi.App):
    """Serves a fake plain service."""

    def __init__(
        self, fake: memory.FakeService, time: memory.Timeline
    ) -> None:
        self._fake = fake
        self._time = time

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Handle a request or a read of the load."""
        if exchange.path == wire.LOAD_PATH:
            await exchange.reply_json(200, self._fake.load())
            return
        call = _upstream_call(exchange, self._time.now())
        await _relay(exchange, self._fake.open(call))


class EngineApp(asgi.App):
    """Serves a fake engine: completions, orders, state and cache."""

    def __init__(self, fake: memory.FakeEngine, time: memory.Timeline) -> None:
        self._fake = fake
        self._time = time

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Handle a request."""
        path = exchange.path
        if path.startswith('/v1/'):
            call = _upstream_call(exchange, self._time.now())
            await _relay(exchange, self._fake.open(call))
        elif path == wire.LOAD_PATH:
            await exchange.reply_json(200, self._fake.load())
        elif path == wire.STATE_PATH:
            await exchange.reply_json(200, self._fake.state())
        elif path == wire.FENCE_PATH:
            await self._raise_fence(exchange)
        elif path == wire.ORDERS_PATH:
            await self._order(exchange)
        elif path.startswith(f'{wire.ENGINE_ATTEMPTS_PATH}/'):
            self._fake.cancel(path.rpartition('/')[2])
            await exchange.reply(204)
        elif path == wire.CACHE_EVENTS_PATH:
            await self._cache_events(exchange)
        elif path.startswith(wire.CACHE_PATH):
            await self._cache(exchange)
        else:
            await exchange.refuse(404, _NOT_FOUND)

    async def _raise_fence(self, exchange: asgi.Exchange) -> None:
        body = _decode(exchange.body, wire.FenceBody)
        if body is None:
            await exchange.refuse(400, _BAD_BODY)
            return
        result = self._fake.raise_fence(body.fence)
        await _reply_result(exchange, result)

    async def _order(self, exchange: asgi.Exchange) -> None:
        order = _decode(exchange.body, api.Order)
        if order is None:
            await exchange.refuse(400, _BAD_BODY)
            return
        default = self._time.now() + DEFAULT_TIMEOUT_SECONDS
        deadline = exchange.header_number(wire.DEADLINE_HEADER, default)
        async with exchange.cancel_on_disconnect():
            result = await self._fake.order(order, deadline)
            await _reply_result(exchange, result)

    async def _cache_events(self, exchange: asgi.Exchange) -> None:
        first = int(exchange.query_number('from', 0))
        incarnation = self._fake.memory.incarnation
        events = self._fake.cache.events(first, incarnation)
        await exchange.reply_json(200, events)

    async def _cache(self, exchange: asgi.Exchange) -> None:
        if exchange.method == 'PUT':
            if self._fake.cache.import_blocks(exchange.body):
                await exchange.reply(204)
            else:
                await exchange.refuse(400, _BAD_BODY)
            return
        name = exchange.path.rpartition('/')[2]
        number = int(name) if name.isdecimal() else 0
        block = self._fake.cache.export(number)
        if block is None:
            await exchange.refuse(404, wire.Failure('not_cached'))
        else:
            await exchange.reply(200, block)


def _decode(body: bytes, kind: type[_Body]) -> _Body | None:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


async def _reply_result(
    exchange: asgi.Exchange,
    result: expression.Result[api.EngineState, api.EngineError],
) -> None:
    if result.is_error():
        await exchange.reply_error(result.error)
    else:
        await exchange.reply_json(200, result.ok)


def _upstream_call(exchange: asgi.Exchange, now: float) -> api.UpstreamCall:
    deadline = exchange.header_number(
        wire.DEADLINE_HEADER, now + DEFAULT_TIMEOUT_SECONDS
    )
    return api.UpstreamCall(
        attempt_id=exchange.header(wire.ATTEMPT_HEADER),
        method=exchange.method,
        path=exchange.target,
        headers=exchange.headers,
        body=exchange.body,
        deadline=deadline,
        priority=int(exchange.header_number(wire.PRIORITY_HEADER, 0)),
        resume_after=int(exchange.header_number(wire.LAST_EVENT_HEADER, -1)),
    )


async def _relay(
    exchange: asgi.Exchange, answer_context: _AnswerContext
) -> None:
    """Send the answer of a fake; cancel it when the client disconnects."""
    async with exchange.cancel_on_disconnect(), answer_context as served:
        if served.is_error():
            await _refuse(exchange, served.error)
        else:
            await _send_answer(exchange, served.ok)


async def _refuse(exchange: asgi.Exchange, error: api.EngineError) -> None:
    match error:
        case api.Unavailable(reason) | api.Refused(reason):
            await exchange.refuse(503, wire.Failure(reason))
        case _:
            await exchange.reply_error(error)


async def _send_answer(
    exchange: asgi.Exchange, served: api.UpstreamAnswer
) -> None:
    """Send an answer; a broken body ends without its last chunk."""
    await exchange.start(served.status, served.headers)
    chunks: abc.AsyncIterator[bytes] = served.__aiter__()
    try:
        async for chunk in chunks:
            await exchange.write(chunk, more=True)
    except errors.UpstreamBroken:
        return
    await exchange.write(b'', more=False)
