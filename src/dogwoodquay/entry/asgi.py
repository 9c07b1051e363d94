"""The parts of ASGI that the callers' interface uses."""

from __future__ import annotations

import typing

import anyio

from . import holdings

if typing.TYPE_CHECKING:
    from collections import abc

    from ..dispatch import api

__all__ = [
    'Receive',
    'Request',
    'Responder',
    'Scope',
    'Send',
    'respond',
    'serve_lifespan',
]

Scope = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[typing.Any]]
Send = typing.Callable[[typing.Any], typing.Awaitable[None]]

DISCONNECT: typing.Final = 'http.disconnect'
REQUEST_ID_HEADER: typing.Final = b'x-request-id'
DISCARD_SECONDS: typing.Final = 2.0

_DROPPED_RESPONSE_HEADERS: typing.Final = frozenset(
    {
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'proxy-authenticate',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-request-id',
    }
)


class Request:
    """An HTTP request whose body is read with ``receive``."""

    def __init__(self, scope: Scope, receive: Receive) -> None:
        self._receive = receive
        self._headers: dict[bytes, bytes] = dict(scope['headers'])
        self._raw_headers: list[tuple[bytes, bytes]] = scope['headers']
        self._method: str = scope['method']
        self._path: str = scope['raw_path'].decode('latin-1')
        self._query: str = scope['query_string'].decode('latin-1')
        self._body_received = False
        self._holding = holdings.of_scope(scope)

    @property
    def holding(self) -> holdings.Holding:
        """What the connection of the request holds."""
        return self._holding

    @property
    def method(self) -> str:
        """The method in upper case."""
        return self._method

    @property
    def path(self) -> str:
        """The percent-encoded path as received, without the query."""
        return self._path

    @property
    def query(self) -> str:
        """The query string, without the question mark."""
        return self._query

    @property
    def raw_headers(self) -> abc.Sequence[tuple[bytes, bytes]]:
        """All headers in the order received, names in lower case."""
        return self._raw_headers

    @property
    def header_bytes(self) -> int:
        """The total size of the headers and the request target."""
        size = len(self._path) + len(self._query)
        for name, value in self._raw_headers:
            size += len(name) + len(value)
        return size

    @property
    def has_conflicting_lengths(self) -> bool:
        """Whether the headers give the length of the body more than once."""
        names = [name for name, _ in self._raw_headers]
        lengths = names.count(b'content-length')
        return lengths > 1 or (lengths > 0 and b'transfer-encoding' in names)

    @property
    def has_unread_body(self) -> bool:
        """Whether a part of the body has not been received yet."""
        if self._body_received:
            return False
        length = self._headers.get(b'content-length', b'0')
        return length != b'0' or b'transfer-encoding' in self._headers

    def header(self, name: bytes) -> str:
        """Return the value of a header, or an empty string."""
        return self._headers.get(name, b'').decode('latin-1')

    async def receive(self) -> typing.Any:
        """Return the next ASGI message of the request."""
        message = await self._receive()
        if not message.get('more_body', False):
            self._body_received = True
        return message

    async def discard_unread_body(self) -> None:
        """Receive and discard the rest of the body."""
        while self.has_unread_body:
            if (await self.receive())['type'] == DISCONNECT:
                return

    async def wait_disconnected(self) -> None:
        """Wait until the caller disconnects; discards the rest of the body."""
        while (await self._receive())['type'] != DISCONNECT:
            pass


class Responder:
    """Sends the response to one request."""

    def __init__(self, send: Send, request_id: str) -> None:
        self._send = send
        self._request_id = request_id.encode('latin-1')
        self._close_connection = False
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the head of the response was sent."""
        return self._started

    @property
    def request_id(self) -> str:
        """The request id that the response carries."""
        return self._request_id.decode('latin-1')

    def close_connection_after(self) -> None:
        """Send ``Connection: close`` with the response."""
        self._close_connection = True

    async def send_complete(
        self, status: int, headers: api.Headers, body: bytes
    ) -> None:
        """Send a complete response."""
        await self._send_head(status, headers, body)
        await self.finish(body)

    async def send_unfinished(
        self, status: int, headers: api.Headers, body: bytes
    ) -> None:
        """Send head and body, but not the message that ends the response."""
        await self._send_head(status, headers, body)
        await self.send_part(body)

    async def _send_head(
        self, status: int, headers: api.Headers, body: bytes
    ) -> None:
        encoded = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers
            if name not in _DROPPED_RESPONSE_HEADERS
        ]
        encoded.append((b'content-length', b'%d' % len(body)))
        await self._start(status, encoded)

    async def start_stream(self, stream_id: str) -> None:
        """Send the head of a response of server-sent events."""
        await self._start(
            200,
            [
                (b'content-type', b'text/event-stream'),
                (b'cache-control', b'no-store'),
                (b'x-stream-id', stream_id.encode('ascii')),
            ],
        )

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self, data: bytes = b'') -> None:
        """Send the last part of the body."""
        await self._send({'type': 'http.response.body', 'body': data})

    async def _start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        headers.append((REQUEST_ID_HEADER, self._request_id))
        if self._close_connection:
            headers.append((b'connection', b'close'))
        self._started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )


async def respond(
    request: Request,
    responder: Responder,
    status: int,
    headers: api.Headers,
    body: bytes,
) -> None:
    """Send a complete response and discard the rest of the request."""
    if not request.has_unread_body:
        await responder.send_complete(status, headers, body)
        return
    # The server closes the connection after the final message. Closing with
    # unread bytes resets it, and the caller would lose the response.
    await responder.send_unfinished(status, headers, body)
    with anyio.move_on_after(DISCARD_SECONDS):
        await request.discard_unread_body()
    await responder.finish()


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the lifespan events of the server."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
