"""Connections to other sides, and what a failed call means.

A failure before the first byte of a request was written is ``Unavailable``;
after it, and without an answer, it is ``Ambiguous``.
"""

from __future__ import annotations

import contextlib
import typing

import anyio
import expression
import httpx
import msgspec

from ... import clock
from .. import api
from . import pool
from . import wire

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Connections', 'Headers', 'broken_reason', 'decode']

CONNECT_SECONDS: typing.Final = 1.0
CONNECT_SHARE: typing.Final = 0.9
IDLE_SECONDS: typing.Final = 30.0
KEEP_ALIVE_SECONDS: typing.Final = 2.0

Headers = tuple[tuple[str, str], ...]
SendError = api.Unavailable | api.Ambiguous

_Body = typing.TypeVar('_Body')

_NO_CONNECTION: typing.Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)
_STOPPED_BEFORE_SEND: typing.Final = api.Unavailable('deadline')


class Connections:
    """Connections kept open for each address.

    They are dropped earlier than the other side drops them, so that a
    request is seldom written to a connection that is just being closed.
    """

    def __init__(
        self,
        time: clock.Clock,
        connect_seconds: float = CONNECT_SECONDS,
        idle_seconds: float = IDLE_SECONDS,
        keep_alive_seconds: float = KEEP_ALIVE_SECONDS,
    ) -> None:
        self._time = time
        self._connect_seconds = connect_seconds
        self._idle_seconds = idle_seconds
        self._pool = pool.TransportPool(time, keep_alive_seconds)
        self._urls: dict[tuple[str, int], httpx.URL] = {}

    async def __aenter__(self) -> Connections:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.close()

    async def forget(self, address: str, port: int) -> None:
        """Close the unused connections to an address that is gone."""
        await self._pool.forget(address, port)

    @contextlib.asynccontextmanager
    async def open(
        self,
        address: str,
        port: int,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        deadline: float,
    ) -> abc.AsyncIterator[expression.Result[httpx.Response, SendError]]:
        """Send a request and give its open response.

        :param deadline: the headers of the answer have to come before it.
        """
        remaining = deadline - self._time.now()
        if remaining <= 0:
            yield expression.Error(_STOPPED_BEFORE_SEND)
            return
        request = self._request(
            address, port, method, path, headers, body, remaining
        )
        transport = self._pool.take(address, port)
        try:
            sent = await _send(transport, request, remaining)
            try:
                yield sent
            finally:
                if sent.is_ok():
                    with anyio.CancelScope(shield=True):
                        await sent.ok.aclose()
        finally:
            with anyio.CancelScope(shield=True):
                await self._pool.put_back(address, port, transport)

    async def fetch(
        self,
        address: str,
        port: int,
        method: str,
        path: str,
        deadline: float,
        body: bytes = b'',
        headers: Headers = (),
    ) -> expression.Result[httpx.Response, SendError]:
        """Send a request and read its whole answer before the deadline."""
        with anyio.move_on_after(deadline - self._time.now()):
            async with self.open(
                address, port, method, path, headers, body, deadline
            ) as sent:
                if sent.is_ok():
                    try:
                        await sent.ok.aread()
                    except httpx.HTTPError as error:
                        reason = broken_reason(error)
                        return expression.Error(api.Ambiguous(reason))
                return sent
        return expression.Error(api.Ambiguous('timeout'))

    def _request(
        self,
        address: str,
        port: int,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        remaining: float,
    ) -> httpx.Request:
        """Make a request whose path goes out exactly as it is given."""
        raw_headers = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers
        ]
        connect_seconds = remaining * CONNECT_SHARE
        connect_seconds = min(self._connect_seconds, connect_seconds)
        timeout = {
            'connect': connect_seconds,
            'pool': connect_seconds,
            'read': self._idle_seconds,
            'write': self._idle_seconds,
        }
        return httpx.Request(
            method,
            self._url(address, port),
            headers=raw_headers,
            content=body,
            extensions={'timeout': timeout, 'target': path.encode('latin-1')},
        )

    def _url(self, address: str, port: int) -> httpx.URL:
        url = self._urls.get((address, port))
        if url is None:
            host = f'[{address}]' if ':' in address else address
            url = httpx.URL(f'http://{host}:{port}/')
            self._urls[address, port] = url
        return url


async def _send(
    transport: httpx.AsyncHTTPTransport,
    request: httpx.Request,
    remaining: float,
) -> expression.Result[httpx.Response, SendError]:
    try:
        with anyio.fail_after(remaining):
            response = await transport.handle_async_request(request)
    except _NO_CONNECTION:
        return expression.Error(api.Unavailable('connect'))
    except httpx.LocalProtocolError:
        return expression.Error(api.Unavailable('bad_request'))
    except TimeoutError:
        return expression.Error(api.Ambiguous('timeout'))
    except httpx.HTTPError as error:
        return expression.Error(api.Ambiguous(broken_reason(error)))
    response.request = request
    return expression.Ok(response)


def broken_reason(error: httpx.HTTPError) -> str:
    """Return the counter's label for a failed exchange."""
    match error:
        case httpx.TimeoutException():
            return 'idle'
        case httpx.RemoteProtocolError():
            return 'protocol'
        case _:
            return 'connection'


def decode(
    response: httpx.Response, kind: type[_Body]
) -> expression.Result[_Body, api.Ambiguous]:
    """Decode a whole JSON body; one that is none was not understood."""
    try:
        return expression.Ok(msgspec.json.decode(response.content, type=kind))
    except (msgspec.DecodeError, UnicodeDecodeError):
        return expression.Error(api.Ambiguous('bad_answer'))


def failure(response: httpx.Response) -> wire.Failure:
    """Return the reason that an answer gives for its refusal."""
    decoded = decode(response, wire.Failure)
    if decoded.is_ok():
        return decoded.ok
    return wire.Failure(f'status_{response.status_code}')
