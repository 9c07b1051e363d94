"""The adapter to model engines."""

from __future__ import annotations

import typing
import urllib.parse

import expression
import httpx
import msgspec

from .. import api
from . import client
from . import service
from . import wire

__all__ = ['HttpEngine']

_ENCODER: typing.Final = msgspec.json.Encoder()

_Body = typing.TypeVar('_Body')


class HttpEngine(service.HttpPlainService):
    """Model engines over HTTP/1.1."""

    async def state(
        self, address: str, port: int, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Return the engine's contents and load."""
        sent = await self._connections.fetch(
            address, port, 'GET', wire.STATE_PATH, deadline
        )
        return _body(_settled(sent), api.EngineState)

    async def teach(
        self, address: str, port: int, fence: int, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Make the engine refuse numbers below a fence; return its state."""
        body = _ENCODER.encode(wire.FenceBody(fence))
        sent = await self._connections.fetch(
            address, port, 'POST', wire.FENCE_PATH, deadline, body
        )
        return _body(_settled(sent), api.EngineState)

    async def order(
        self, address: str, port: int, order: api.Order, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Give an order; the answer comes when it is done."""
        headers = ((wire.DEADLINE_HEADER, f'{deadline:.3f}'),)
        sent = await self._connections.fetch(
            address,
            port,
            'POST',
            wire.ORDERS_PATH,
            deadline,
            _ENCODER.encode(order),
            headers,
        )
        return _body(_settled(sent), api.EngineState)

    async def cancel(
        self, address: str, port: int, attempt_id: str, deadline: float
    ) -> expression.Result[None, api.EngineError]:
        """Stop the work for one attempt."""
        name = urllib.parse.quote(attempt_id, safe='')
        path = f'{wire.ENGINE_ATTEMPTS_PATH}/{name}'
        sent = await self._connections.fetch(
            address, port, 'DELETE', path, deadline
        )
        return _settled(sent).map(lambda _: None)

    async def cache_events(
        self, address: str, port: int, sequence: int, deadline: float
    ) -> expression.Result[api.CacheEvents, api.EngineError]:
        """Return cache events from a sequence number on."""
        path = f'{wire.CACHE_EVENTS_PATH}?from={sequence}'
        sent = await self._connections.fetch(
            address, port, 'GET', path, deadline
        )
        return _body(_settled(sent), api.CacheEvents)

    async def export_cache(
        self, address: str, port: int, block_hash: int, deadline: float
    ) -> expression.Result[bytes, api.EngineError]:
        """Return the cached blocks that end in a prefix hash."""
        path = f'{wire.CACHE_PATH}/{block_hash}'
        sent = await self._connections.fetch(
            address, port, 'GET', path, deadline
        )
        return _settled(sent).map(lambda response: response.content)

    async def import_cache(
        self, address: str, port: int, block: bytes, deadline: float
    ) -> expression.Result[None, api.EngineError]:
        """Put exported blocks into an engine's cache."""
        sent = await self._connections.fetch(
            address, port, 'PUT', wire.CACHE_PATH, deadline, block
        )
        return _settled(sent).map(lambda _: None)


def _settled(
    sent: expression.Result[httpx.Response, client.SendError],
) -> expression.Result[httpx.Response, api.EngineError]:
    """Turn an answer that is a refusal into an error."""
    if sent.is_error():
        return expression.Error(sent.error)
    response = sent.ok
    if response.is_success:
        return expression.Ok(response)
    failure = client.failure(response)
    if response.status_code == httpx.codes.CONFLICT:
        return expression.Error(api.StaleFence(failure.highest_fence))
    not_run = wire.NOT_RUN_HEADER in response.headers
    if not_run and response.is_server_error:
        return expression.Error(api.Unavailable(failure.reason))
    if response.is_client_error:
        return expression.Error(api.Refused(failure.reason))
    return expression.Error(api.Ambiguous(failure.reason))


def _body(
    settled: expression.Result[httpx.Response, api.EngineError],
    kind: type[_Body],
) -> expression.Result[_Body, api.EngineError]:
    if settled.is_error():
        return expression.Error(settled.error)
    decoded = client.decode(settled.ok, kind)
    if decoded.is_error():
        return expression.Error(decoded.error)
    return expression.Ok(decoded.ok)
