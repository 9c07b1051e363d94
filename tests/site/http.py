"""A minimal HTTP/1.1 server for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
import typing
import urllib.parse

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Answer', 'HttpServer', 'Request', 'Reset', 'reset']


_UNUSED_PORT: typing.Final = 1


class Reset(Exception):
    """Raised by the parts of an answer to reset its connection."""


class Request(typing.NamedTuple):
    """A received request; header names are in lower case.

    ``peer_port`` is the port of the client's end of the connection.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer_port: int

    def json(self) -> dict[str, typing.Any]:
        """Return the fields of the JSON body."""
        return typing.cast('dict[str, typing.Any]', json.loads(self.body))


class Answer(typing.NamedTuple):
    """A reply; with ``parts`` it is a chunked stream.

    With ``pieces`` the body is sent in these pieces, with its length.
    With ``raw`` these bytes are sent instead of a reply. An ``unframed``
    reply has neither a length nor chunks and ends with its connection. A
    reply that is ``sent`` was written by the handler.
    """

    status: int = 200
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    parts: abc.AsyncIterator[bytes] | None = None
    pieces: abc.AsyncIterator[bytes] | None = None
    raw: abc.AsyncGenerator[bytes, None] | None = None
    unframed: bool = False
    sent: bool = False

    @classmethod
    def of(cls, fields: typing.Any, status: int = 200) -> Answer:
        """Return a reply with a JSON body."""
        kind = (('Content-Type', 'application/json'),)
        return cls(status, json.dumps(fields).encode(), kind)


# The end of a test cancels connections that are still open.
_ENDED: typing.Final = (
    OSError,
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
)


class HttpServer:
    """Serves on a loopback port.

    If the handler returns ``None``, no reply is sent and the connection stays
    open until the client closes it.
    """

    def __init__(
        self,
        handle: abc.Callable[[Request], abc.Awaitable[Answer | None]],
    ) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: dict[int, asyncio.StreamWriter] = {}
        self._readers: dict[int, asyncio.StreamReader] = {}
        self._port = 0

    @property
    def address(self) -> str:
        """The address and port of the listener.

        Before the start it is one at which nobody listens.
        """
        return f'127.0.0.1:{self._port or _UNUSED_PORT}'

    @property
    def port(self) -> int:
        """The port of the listener, zero before the start."""
        return self._port

    def is_closed(self, peer_port: int) -> bool:
        """Whether a client has closed its end of a connection.

        :param peer_port: the port of the client's end.
        """
        reader = self._readers.get(peer_port)
        return reader is None or reader.at_eof() or bool(reader.exception())

    def write(self, peer_port: int, data: bytes) -> bool:
        """Write to a connection, unless it is closed.

        :param peer_port: the port of the client's end.
        """
        if self.is_closed(peer_port):
            return False
        self._writers[peer_port].write(data)
        return True

    async def start(self) -> None:
        """Start listening; after a stop, on the same port as before."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self._port
        )
        self._port = int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening and break all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers.values()):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer_port = int(writer.get_extra_info('peername')[1])
        self._writers[peer_port] = writer
        self._readers[peer_port] = reader
        try:
            with contextlib.suppress(*_ENDED):
                while True:
                    request = await _read(reader, peer_port)
                    answer = await self._handle(request)
                    if answer is None:
                        await reader.read()
                        break
                    if answer.sent:
                        continue
                    await _write(writer, answer)
                    if answer.unframed:
                        break
        except Reset:
            reset(writer)
        finally:
            self._writers.pop(peer_port, None)
            self._readers.pop(peer_port, None)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, not with its regular end."""
    connection = typing.cast('socket.socket', writer.get_extra_info('socket'))
    linger = struct.pack('ii', 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _read(reader: asyncio.StreamReader, peer_port: int) -> Request:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head[:-4].split('\r\n')
    method, target, _ = line.split(' ')
    pairs = (item.split(':', 1) for item in rest)
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    url = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(url.query))
    return Request(method, url.path, query, headers, body, peer_port)


async def _write(writer: asyncio.StreamWriter, answer: Answer) -> None:
    if answer.raw is not None:
        async with contextlib.aclosing(answer.raw) as raw:
            async for part in raw:
                writer.write(part)
                await writer.drain()
    lines = [f'HTTP/1.1 {answer.status} X']
    lines += [f'{name}: {value}' for name, value in answer.headers]
    if answer.unframed:
        pass
    elif answer.parts is None:
        lines.append(f'Content-Length: {len(answer.body)}')
    else:
        lines.append('Transfer-Encoding: chunked')
    writer.write('\r\n'.join([*lines, '', '']).encode('latin-1'))
    if answer.pieces is None or answer.parts is not None:
        writer.write(answer.body)
    else:
        async for piece in answer.pieces:
            writer.write(piece)
            await writer.drain()
    if answer.parts is not None:
        async for part in answer.parts:
            if answer.unframed:
                writer.write(part)
            else:
                writer.write(b'%x\r\n%s\r\n' % (len(part), part))
            await writer.drain()
        if not answer.unframed:
            writer.write(b'0\r\n\r\n')
    await writer.drain()
