"""Sends a request over a connection and reads the head of its answer."""

from __future__ import annotations

import re
import typing

import anyio
import expression
import httpcore
import httpx

from .. import api
from . import bodies
from . import network

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Content', 'STREAM_KEY', 'SendError', 'build_request', 'send']

MAX_CONNECT_FRACTION: typing.Final = 0.9
# A key in the extensions of a response.
STREAM_KEY: typing.Final = 'network_stream'


class SizedBlocks(typing.Protocol):
    """A body in blocks."""

    def __len__(self) -> int:
        """Return the number of bytes in all blocks."""

    def __aiter__(self) -> abc.AsyncIterator[bytes]:
        """Iterate over the blocks."""


Content = bytes | SizedBlocks
SendError = api.Unavailable | api.Ambiguous

_CONNECT_ERRORS: typing.Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
)
_METHODS_WITH_LENGTH: typing.Final = frozenset({'PATCH', 'POST', 'PUT'})
_STATUS_LINE: typing.Final = re.compile(rb'HTTP/1\.[01] [0-9]{3}\b')
# RFC 9110, section 15: others are invalid, and processed as a server's error.
# No request asks for a change of protocol (101).
_FINAL_STATUSES: typing.Final = range(200, 600)


def build_request(
    address: str,
    port: int,
    method: str,
    path: str,
    headers: list[tuple[bytes, bytes]],
    body: Content,
    remaining: float,
    max_connect_seconds: float,
) -> httpcore.Request:
    """Build a request whose path is sent without any normalization.

    :param remaining: the time until the head of the answer is due.
    """
    raw_headers = list(headers)
    if body or method in _METHODS_WITH_LENGTH:
        raw_headers.append((b'content-length', b'%d' % len(body)))
    connect_seconds = remaining * MAX_CONNECT_FRACTION
    connect_seconds = min(max_connect_seconds, connect_seconds)
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


async def send(
    connection: httpcore.AsyncHTTPConnection,
    request: httpcore.Request,
    remaining: float,
) -> expression.Result[httpx.Response, SendError]:
    """Send a request and return its answer with the body unread.

    :raises network.LostBeforeSent: if nothing was sent, as the connection was
        closed while it was idle.
    """
    try:
        with anyio.fail_after(remaining):
            response = await connection.handle_async_request(request)
    except network.LostBeforeSent:
        raise
    except _CONNECT_ERRORS:
        return expression.Error(api.Unavailable('connect'))
    except httpcore.LocalProtocolError:
        return expression.Error(api.Unavailable('bad_request'))
    except TimeoutError:
        return expression.Error(api.Ambiguous('timeout'))
    except bodies.CONNECTION_ERRORS as error:
        return expression.Error(
            api.Ambiguous(
                bodies.broken_reason(
                    bodies.stream_error(error, 'head_too_large')
                )
            )
        )
    if response.status not in _FINAL_STATUSES:
        return expression.Error(api.Ambiguous('invalid_status'))
    if _holds_another(response):
        return expression.Error(api.Ambiguous('protocol'))
    stream = response.extensions[STREAM_KEY]
    if isinstance(stream, network.Stream):
        stream.end_head()
    else:
        stream = None
    return expression.Ok(
        httpx.Response(
            response.status,
            headers=response.headers,
            stream=bodies.BodyStream(response),
            extensions={STREAM_KEY: stream},
        )
    )


def _holds_another(response: httpcore.Response) -> bool:
    """Whether another head begins within the head of an answer.

    A server may break an answer off in its head and go on with the next one.
    The status is then that of the first, and all else that of the second.
    """
    values = [value for _, value in response.headers]
    values.append(response.extensions.get('reason_phrase', b''))
    return any(_STATUS_LINE.search(value) for value in values)
