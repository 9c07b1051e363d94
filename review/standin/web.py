"""A small HTTP/1.1 server and client on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import typing
import urllib.parse

HOST = '127.0.0.1'


class Request(typing.NamedTuple):
    """A received request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, typing.Any]:
        return json.loads(self.body)


class Answer(typing.NamedTuple):
    """An answer; with ``parts`` its body is sent in chunks."""

    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    parts: typing.AsyncIterator[bytes] | None = None


class Server:
    """Serves one loopback port; ``away`` resets every connection."""

    def __init__(self, handle) -> None:
        self._handle = handle
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0
        self.away = False

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def leave(self) -> None:
        """Reset all connections, and new ones until ``away`` is unset."""
        self.away = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.leave()

    async def _serve(self, reader, writer) -> None:
        if self.away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        ended = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        try:
            with contextlib.suppress(*ended):
                while True:
                    request = await read_request(reader)
                    answer = await self._handle(request)
                    if self.away:
                        break
                    await _write(writer, answer)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head[:-4].split('\r\n')
    method, target, _ = line.split(' ')
    headers = dict(_field(item) for item in rest)
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    url = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
    return Request(method, url.path, query, headers, body)


async def _write(writer: asyncio.StreamWriter, answer: Answer) -> None:
    lines = [f'HTTP/1.1 {answer.status} X']
    lines += [f'{name}: {value}' for name, value in answer.headers]
    if answer.parts is None:
        lines.append(f'Content-Length: {len(answer.body)}')
    else:
        lines.append('Transfer-Encoding: chunked')
    writer.write('\r\n'.join([*lines, '', '']).encode('latin-1'))
    if answer.parts is None:
        writer.write(answer.body)
    else:
        async for part in answer.parts:
            writer.write(b'%x\r\n%s\r\n' % (len(part), part))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
    await writer.drain()


class Reply(typing.NamedTuple):
    """What a client received; status 0 means no head of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


NOTHING = Reply(0, {}, b'', False)


async def call(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    seconds: float = 5.0,
) -> Reply:
    """Send a request on a new connection and read the whole answer."""
    status, fields, parts = 0, {}, []
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                lines = [f'{method} {target} HTTP/1.1']
                lines += [
                    f'{name}: {value}' for name, value in headers.items()
                ]
                if body or method == 'POST':
                    lines.append(f'Content-Length: {len(body)}')
                text = '\r\n'.join([*lines, '', ''])
                writer.write(text.encode('latin-1') + body)
                status, fields = await _read_head(reader)
                async for part in _read_body(reader, fields):
                    parts.append(part)
                return Reply(status, fields, b''.join(parts), True)
            finally:
                writer.transport.abort()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return Reply(status, fields, b''.join(parts), False)


async def _read_head(reader) -> tuple[int, dict[str, str]]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head[:-4].split('\r\n')
    return int(line.split(' ')[1]), dict(_field(item) for item in rest)


async def _read_body(reader, fields) -> typing.AsyncIterator[bytes]:
    if 'content-length' in fields:
        yield await reader.readexactly(int(fields['content-length']))
        return
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        part = (await reader.readexactly(size + 2))[:-2]
        if not size:
            return
        yield part


def _field(line: str) -> tuple[str, str]:
    name, _, value = line.partition(':')
    return name.lower(), value.strip()
