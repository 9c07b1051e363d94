"""The few parts of ASGI that the callers' interface uses."""

from __future__ import annotations

import typing

import anyio

if typing.TYPE_CHECKING:
    from collections import abc

    from ..dispatch import api

__all__ = [
    'Receive',
    'Request',
    'Responder',
    'Scope',
    'Send',
    'send_whole',
    'serve_lifespan',
]

Scope = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[typing.Any]]
Send = typing.Callable[[typing.Any], typing.Awaitable[None]]

DISCONNECT: typing.Final = 'http.disconnect'
REQUEST_ID: typing.Final = b'x-request-id'
UNREAD_SECONDS: typing.Final = 2.0

_NOT_RELAYED: typing.Final = frozenset(
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
    """An HTTP request whose body was not read yet."""

    def __init__(self, scope: Scope, receive: Receive) -> None:
        self._receive = receive
        self._headers: dict[bytes, bytes] = dict(scope['headers'])
        self._raw_headers: list[tuple[bytes, bytes]] = scope['headers']
        self._method: str = scope['method']
        self._path: str = scope['raw_path'].decode('latin-1')
        self._query: str = scope['query_string'].decode('latin-1')
        self._complete = False

    @property
    def method(self) -> str:
        """The method in upper case."""
        return self._method

    @property
    def path(self) -> str:
        """The path as it came, still percent-encoded, without a query."""
        return self._path

    @property
    def query(self) -> str:
        """What came after the question mark."""
        return self._query

    @property
    def raw_headers(self) -> abc.Sequence[tuple[bytes, bytes]]:
        """All headers in their order, names in lower case."""
        return self._raw_headers

    @property
    def header_bytes(self) -> int:
        """The size of all headers and the target."""
        size = len(self._path) + len(self._query)
        for name, value in self._raw_headers:
            size += len(name) + len(value)
        return size

    @property
    def two_lengths(self) -> bool:
        """Whether it says in two ways how long its body is."""
        names = [name for name, _ in self._raw_headers]
        lengths = names.count(b'content-length')
        return lengths > 1 or (lengths > 0 and b'transfer-encoding' in names)

    @property
    def unread(self) -> bool:
        """Whether the caller still sends a body that nobody has read."""
        if self._complete:
            return False
        length = self._headers.get(b'content-length', b'0')
        return length != b'0' or b'transfer-encoding' in self._headers

    def header(self, name: bytes) -> str:
        """Return a header's value, empty when it is missing."""
        return self._headers.get(name, b'').decode('latin-1')

    async def receive(self) -> typing.Any:
        """Return the next message of the connection."""
        message = await self._receive()
        if not message.get('more_body', False):
            self._complete = True
        return message

    async def drop_unread(self) -> None:
        """Read what the caller still sends of its body, and keep nothing."""
        while self.unread:
            if (await self.receive())['type'] == DISCONNECT:
                return

    async def wait_disconnected(self) -> None:
        """Wait until the caller is gone; drops what it still sends."""
        while (await self._receive())['type'] != DISCONNECT:
            pass


class Responder:
    """Sends one answer over the connection."""

    def __init__(self, send: Send, request_id: str) -> None:
        self._send = send
        self._request_id = request_id.encode('latin-1')
        self._closing = False
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the head of an answer was sent."""
        return self._started

    @property
    def request_id(self) -> str:
        """The id that is echoed to the caller."""
        return self._request_id.decode('latin-1')

    def close_after(self) -> None:
        """Ask the caller to open a new connection for its next request."""
        self._closing = True

    async def whole(
        self, status: int, headers: api.Headers, body: bytes
    ) -> None:
        """Send a complete answer."""
        await self._whole_head(status, headers, body)
        await self.end(body)

    async def all_but_end(
        self, status: int, headers: api.Headers, body: bytes
    ) -> None:
        """Send an answer of which only the last, empty part is left."""
        await self._whole_head(status, headers, body)
        await self.part(body)

    async def _whole_head(
        self, status: int, headers: api.Headers, body: bytes
    ) -> None:
        encoded = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers
            if name not in _NOT_RELAYED
        ]
        encoded.append((b'content-length', b'%d' % len(body)))
        await self._start(status, encoded)

    async def start_stream(self, stream_id: str) -> None:
        """Send the head of a streamed answer."""
        await self._start(
            200,
            [
                (b'content-type', b'text/event-stream'),
                (b'cache-control', b'no-store'),
                (b'x-stream-id', stream_id.encode('ascii')),
            ],
        )

    async def part(self, data: bytes) -> None:
        """Send a part of a streamed answer."""
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def end(self, data: bytes = b'') -> None:
        """Send the last part of an answer."""
        await self._send({'type': 'http.response.body', 'body': data})

    async def _start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        headers.append((REQUEST_ID, self._request_id))
        if self._closing:
            headers.append((b'connection', b'close'))
        self._started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )


async def send_whole(
    request: Request,
    responder: Responder,
    status: int,
    headers: api.Headers,
    body: bytes,
) -> None:
    """Send an answer, dropping what the caller still sends."""
    if not request.unread:
        await responder.whole(status, headers, body)
        return
    # The server closes the connection after the end; bytes that are unread
    # then reset it, and the caller never sees the answer.
    await responder.all_but_end(status, headers, body)
    with anyio.move_on_after(UNREAD_SECONDS):
        await request.drop_unread()
    await responder.end()


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Confirm the start and the stop of the server."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
