"""Reads requests and refuses malformed or too large ones."""

from __future__ import annotations

import math
import typing

import anyio

from . import api
from ..entry import asgi
from ..inbound import parts

if typing.TYPE_CHECKING:
    from ..routes import api as routes_api
    from ..routes import table

__all__ = ['check', 'host', 'memory_full', 'read_body', 'target']

_BAD_REQUEST: typing.Final = 400
_REQUEST_TIMEOUT: typing.Final = 408
_TOO_LARGE: typing.Final = 413
_HEADERS_TOO_LARGE: typing.Final = 431
_UNAVAILABLE: typing.Final = 503
# The least time for a body, also where the limit for headers is shorter.
BODY_TIMEOUT_SECONDS: typing.Final = 3.0


def check(
    request: asgi.Request, routes: table.RouteTable | None
) -> api.Refusal | None:
    """Return the refusal of a request before its body is read, if any."""
    if request.has_conflicting_lengths:
        return _bad_request('two_lengths')
    names = [name for name, _ in request.raw_headers]
    if names.count(b'host') != 1:
        return _bad_request('host')
    if routes is None:
        return None
    limits = routes.configuration.limits
    if request.header_bytes > limits.max_header_bytes:
        return api.Refusal(
            api.RefusalReason.HEADERS_TOO_LARGE, _HEADERS_TOO_LARGE
        )
    length = request.header(b'content-length')
    if length and int(length) > limits.max_body_bytes:
        return _too_large()
    return None


def _bad_request(detail: str) -> api.Refusal:
    return api.Refusal(
        api.RefusalReason.BAD_REQUEST, _BAD_REQUEST, 0.0, detail
    )


def _too_large() -> api.Refusal:
    return api.Refusal(api.RefusalReason.BODY_TOO_LARGE, _TOO_LARGE)


def memory_full(request: asgi.Request) -> api.Refusal:
    """Return the refusal of a request as clients hold too much."""
    return api.Refusal(
        api.RefusalReason.MEMORY_FULL,
        _UNAVAILABLE,
        api.OTHER_INSTANCE_RETRY_SECONDS,
        f'client {request.holding.client}',
    )


async def read_body(
    request: asgi.Request, limits: routes_api.CallerLimits
) -> parts.Body | api.Refusal | None:
    """Return a body, its refusal, or ``None`` if the caller left."""
    body = parts.Parts()
    length = request.header(b'content-length')
    if length and not request.holding.expect(int(length)):
        return memory_full(request)
    timeout = max(limits.header_timeout_seconds, BODY_TIMEOUT_SECONDS)
    with anyio.move_on_after(timeout if request.has_unread_body else math.inf):
        while True:
            message = await request.receive()
            if message['type'] == asgi.DISCONNECT:
                return None
            body.add(message['body'])
            if body.size > limits.max_body_bytes:
                return _too_large()
            if not message.get('more_body', False):
                return body.body()
    return api.Refusal(api.RefusalReason.REQUEST_TIMEOUT, _REQUEST_TIMEOUT)


def target(request: asgi.Request) -> str:
    """Return a request's target as the caller sent it."""
    return f'{request.path}?{request.query}' if request.query else request.path


def host(request: asgi.Request) -> str:
    """Return the host that a request names, without its port."""
    parts = request.header(b'host').rpartition(':')
    return parts[0] or parts[2]
