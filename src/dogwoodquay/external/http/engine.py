"""HTTP adapter to model engines."""

from __future__ import annotations

import enum
import typing
import urllib.parse

import expression
import httpx
import msgspec

from .. import api
from . import client
from . import responses
from . import sending
from . import service
from . import wire

__all__ = ['HttpEngine']

_ENCODER: typing.Final = msgspec.json.Encoder()

_Body = typing.TypeVar('_Body')


class _Kind(enum.Enum):
    """The kinds of calls without ids, as their connections know them.

    No value of a header, and thus no attempt's id, ends with a space.
    """

    LOAD = service.LOAD_KIND
    STATE = 'state '
    FENCE = 'fence '
    ORDER = 'order '
    CANCEL = 'cancel '
    EVENTS = 'events '
    EXPORT = 'export '
    IMPORT = 'import '


# Answers that do little harm in place of the next one of their kind.
_POLLS: typing.Final = frozenset({_Kind.STATE, _Kind.CANCEL, _Kind.EVENTS})


class HttpEngine(service.HttpPlainService):
    """Model engines over HTTP/1.1."""

    async def state(
        self, address: str, port: int, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Return the contents of the engine's memory and its load."""
        sent = await self._control(
            _Kind.STATE, address, port, 'GET', wire.STATE_PATH, deadline
        )
        return _decode_body(_check_status(sent), api.EngineState)

    async def raise_fence(
        self, address: str, port: int, fence: int, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Raise the engine's fencing token and return its state."""
        body = _ENCODER.encode(wire.FenceBody(fence))
        sent = await self._control(
            _Kind.FENCE, address, port, 'POST', wire.FENCE_PATH, deadline, body
        )
        return _decode_body(_check_status(sent), api.EngineState)

    async def order(
        self, address: str, port: int, order: api.Order, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Send an order and return the state after it has been carried out."""
        headers = ((wire.DEADLINE_HEADER, f'{deadline:.3f}'),)
        sent = await self._control(
            _Kind.ORDER,
            address,
            port,
            'POST',
            wire.ORDERS_PATH,
            deadline,
            _ENCODER.encode(order),
            headers,
        )
        return _decode_body(_check_status(sent), api.EngineState)

    async def cancel(
        self, address: str, port: int, attempt_id: str, deadline: float
    ) -> expression.Result[None, api.EngineError]:
        """Cancel an attempt."""
        name = urllib.parse.quote(attempt_id, safe='')
        path = f'{wire.ENGINE_ATTEMPTS_PATH}/{name}'
        sent = await self._control(
            _Kind.CANCEL, address, port, 'DELETE', path, deadline
        )
        return _check_status(sent).map(lambda _: None)

    async def cache_events(
        self, address: str, port: int, sequence: int, deadline: float
    ) -> expression.Result[api.CacheEvents, api.EngineError]:
        """Return the cache events from a sequence number."""
        path = f'{wire.CACHE_EVENTS_PATH}?from={sequence}'
        sent = await self._control(
            _Kind.EVENTS, address, port, 'GET', path, deadline
        )
        return _decode_body(_check_status(sent), api.CacheEvents)

    async def export_cache(
        self, address: str, port: int, block_hash: int, deadline: float
    ) -> expression.Result[bytes, api.EngineError]:
        """Return the cached blocks of the prefix with a hash."""
        path = f'{wire.CACHE_PATH}/{block_hash}'
        sent = await self._control(
            _Kind.EXPORT, address, port, 'GET', path, deadline
        )
        return _check_status(sent).map(lambda response: response.content)

    async def import_cache(
        self, address: str, port: int, block: bytes, deadline: float
    ) -> expression.Result[None, api.EngineError]:
        """Add exported blocks to the engine's cache."""
        sent = await self._control(
            _Kind.IMPORT,
            address,
            port,
            'PUT',
            wire.CACHE_PATH,
            deadline,
            block,
        )
        return _check_status(sent).map(lambda _: None)

    async def _control(
        self,
        kind: _Kind,
        address: str,
        port: int,
        method: str,
        path: str,
        deadline: float,
        body: bytes = b'',
        headers: client.Headers = (),
    ) -> expression.Result[httpx.Response, sending.SendError]:
        """Send a call that has no id, apart from those that resemble it."""
        return await self._connections.fetch(
            address,
            port,
            method,
            path,
            deadline,
            body,
            headers,
            request_id=kind.value,
            apart_from=tuple(
                other.value
                for other in _Kind
                if other is not kind or kind not in _POLLS
            ),
            foreign_header=wire.ATTEMPT_HEADER,
        )


def _check_status(
    sent: expression.Result[httpx.Response, sending.SendError],
) -> expression.Result[httpx.Response, api.EngineError]:
    """Convert an error status into the error that it stands for."""
    if sent.is_error():
        return expression.Error(sent.error)
    response = sent.ok
    if response.is_success:
        return expression.Ok(response)
    failure = responses.failure(response)
    if response.status_code == httpx.codes.CONFLICT:
        return expression.Error(api.StaleFence(failure.highest_fence))
    not_run = wire.NOT_RUN_HEADER in response.headers
    if not_run and response.is_server_error:
        return expression.Error(api.Unavailable(failure.reason))
    if response.is_client_error:
        return expression.Error(api.Refused(failure.reason))
    return expression.Error(api.Ambiguous(failure.reason))


def _decode_body(
    checked: expression.Result[httpx.Response, api.EngineError],
    kind: type[_Body],
) -> expression.Result[_Body, api.EngineError]:
    if checked.is_error():
        return expression.Error(checked.error)
    decoded = responses.decode(checked.ok, kind)
    if decoded.is_error():
        return expression.Error(decoded.error)
    return expression.Ok(decoded.ok)
