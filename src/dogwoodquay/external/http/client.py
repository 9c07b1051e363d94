"""Connections to other sides, and what a failed call means.

A failure before the first byte of a request was written is ``Unavailable``;
after it, and without an answer, it is ``Ambiguous``.
"""

from __future__ import annotations

import contextlib
import typing

import anyio
import expression
import httpcore
import httpx
import msgspec

from ... import clock
from .. import api
from . import pool
from . import wire

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'Connections',
    'Headers',
    'broken_reason',
    'decode',
    'discard',
    'keep_idle',
]

CONNECT_SECONDS: typing.Final = 1.0
CONNECT_SHARE: typing.Final = 0.9
IDLE_SECONDS: typing.Final = 30.0
KEEP_ALIVE_SECONDS: typing.Final = 2.0

Headers = tuple[tuple[str, str], ...]
SendError = api.Unavailable | api.Ambiguous

_Body = typing.TypeVar('_Body')

_NO_CONNECTION: typing.Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
)
_BROKEN: typing.Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_WITH_LENGTH: typing.Final = frozenset({'PATCH', 'POST', 'PUT'})
# Words of a response's extensions.
_DISCARD: typing.Final = 'discard_connection'
_IDLE: typing.Final = 'idle_seconds'
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
        self._pool = pool.ConnectionPool(time, keep_alive_seconds)

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
        host = f'[{address}]' if ':' in address else address
        raw_headers = [(b'host', f'{host}:{port}'.encode('latin-1'))]
        raw_headers.extend(
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers
        )
        async with self.open_raw(
            address, port, method, path, raw_headers, body, deadline
        ) as sent:
            yield sent

    @contextlib.asynccontextmanager
    async def open_raw(
        self,
        address: str,
        port: int,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        deadline: float,
        idle_seconds: float = 0.0,
    ) -> abc.AsyncIterator[expression.Result[httpx.Response, SendError]]:
        """Send a request with exactly these headers and a length.

        :param deadline: the headers of the answer have to come before it.
        :param idle_seconds: how long a later part of the answer may take,
            zero for the time that was set for all requests.
        """
        remaining = deadline - self._time.now()
        if remaining <= 0:
            yield expression.Error(_STOPPED_BEFORE_SEND)
            return
        request = self._request(
            address,
            port,
            method,
            target,
            headers,
            body,
            remaining,
        )
        connection = await self._pool.take(address, port)
        extensions: dict[str, typing.Any] = {}
        try:
            sent = await _send(connection, request, remaining)
            try:
                if sent.is_ok():
                    extensions = sent.ok.extensions
                    # The library reads this anew for the body.
                    idle_seconds = idle_seconds or self._idle_seconds
                    request.extensions['timeout']['read'] = idle_seconds
                yield sent
            finally:
                if sent.is_ok():
                    with anyio.CancelScope(shield=True):
                        await sent.ok.aclose()
        finally:
            with anyio.CancelScope(shield=True):
                if extensions.get(_DISCARD):
                    await connection.aclose()
                else:
                    await self._pool.put_back(
                        address, port, connection, extensions.get(_IDLE)
                    )

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
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        remaining: float,
    ) -> httpcore.Request:
        """Make a request whose path goes out exactly as it is given."""
        raw_headers = list(headers)
        if body or method in _WITH_LENGTH:
            raw_headers.append((b'content-length', b'%d' % len(body)))
        connect_seconds = remaining * CONNECT_SHARE
        connect_seconds = min(self._connect_seconds, connect_seconds)
        timeout = {
            'connect': connect_seconds,
            'pool': connect_seconds,
            'read': remaining,
            'write': remaining,
        }
        url = httpcore.URL(
            scheme=b'http',
            host=address.encode('ascii'),
            port=port,
            target=path.encode('latin-1'),
        )
        return httpcore.Request(
            method,
            url,
            headers=raw_headers,
            content=body,
            extensions={'timeout': timeout},
        )


class _BodyStream(httpx.AsyncByteStream):
    """The body of an open answer."""

    def __init__(self, response: httpcore.Response) -> None:
        self._response = response

    async def __aiter__(self) -> abc.AsyncIterator[bytes]:
        stream = typing.cast('abc.AsyncIterable[bytes]', self._response.stream)
        try:
            async for chunk in stream:
                yield chunk
        except _BROKEN as error:
            raise _stream_error(error) from error

    async def aclose(self) -> None:
        await self._response.aclose()


async def _send(
    connection: httpcore.AsyncHTTPConnection,
    request: httpcore.Request,
    remaining: float,
) -> expression.Result[httpx.Response, SendError]:
    try:
        with anyio.fail_after(remaining):
            response = await connection.handle_async_request(request)
    except _NO_CONNECTION:
        return expression.Error(api.Unavailable('connect'))
    except httpcore.LocalProtocolError:
        return expression.Error(api.Unavailable('bad_request'))
    except TimeoutError:
        return expression.Error(api.Ambiguous('timeout'))
    except _BROKEN as error:
        return expression.Error(
            api.Ambiguous(broken_reason(_stream_error(error)))
        )
    return expression.Ok(
        httpx.Response(
            response.status,
            headers=response.headers,
            stream=_BodyStream(response),
        )
    )


def _stream_error(error: Exception) -> httpx.HTTPError:
    match error:
        case httpcore.TimeoutException():
            return httpx.ReadTimeout(str(error))
        case httpcore.ProtocolError():
            return httpx.RemoteProtocolError(str(error))
        case _:
            return httpx.ReadError(str(error))


def discard(response: httpx.Response) -> None:
    """Close a response's connection instead of using it again."""
    response.extensions[_DISCARD] = True


def keep_idle(response: httpx.Response, seconds: float) -> None:
    """Use a response's connection again only within a time."""
    response.extensions[_IDLE] = seconds


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
