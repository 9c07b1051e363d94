"""What the stand-ins' ASGI applications have in common."""

from __future__ import annotations

import contextlib
import dataclasses
import math
import typing
import urllib.parse

import anyio
import msgspec

from ..external import api
from ..external.http import wire

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['App', 'Exchange', 'Message', 'Receive', 'Scope', 'Send']

LOST_ANSWER_SECONDS: typing.Final = 2.0

# The ASGI specification fixes these as open maps.
Scope = typing.MutableMapping[str, typing.Any]
Message = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[Message]]
Send = typing.Callable[[Message], typing.Awaitable[None]]

_ENCODER: typing.Final = msgspec.json.Encoder()


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request and the means to answer it."""

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    _receive: Receive
    _send: Send

    @property
    def target(self) -> str:
        """The path and query as they came."""
        return f'{self.path}?{self.query}' if self.query else self.path

    def header(self, name: str) -> str:
        """Return a header's value, or nothing."""
        for found, value in self.headers:
            if found == name:
                return value
        return ''

    def header_number(self, name: str, default: float) -> float:
        """Return a header's value as a number."""
        return _number(self.header(name), default)

    def query_number(self, name: str, default: float) -> float:
        """Return a query parameter as a number."""
        pairs = dict(urllib.parse.parse_qsl(self.query))
        return _number(pairs.get(name, ''), default)

    async def start(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Send the head of the answer."""
        raw = [(name.encode(), value.encode()) for name, value in headers]
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': raw,
            }
        )

    async def write(self, body: bytes, more: bool) -> None:
        """Send a part of the answer's body."""
        await self._send(
            {'type': 'http.response.body', 'body': body, 'more_body': more}
        )

    async def reply(
        self,
        status: int,
        body: bytes = b'',
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a whole answer."""
        length = ('content-length', str(len(body)))
        await self.start(status, (*headers, length))
        await self.write(body, more=False)

    async def reply_json(
        self,
        status: int,
        content: object,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a whole answer in JSON."""
        kind = ('content-type', 'application/json')
        await self.reply(status, _ENCODER.encode(content), (*headers, kind))

    async def refuse(
        self, status: int, failure: wire.Failure, not_run: bool = True
    ) -> None:
        """Say that a call had no effect."""
        headers = ((wire.NOT_RUN_HEADER, '1'),) if not_run else ()
        await self.reply_json(status, failure, headers)

    async def lose(self) -> None:
        """Give no whole answer: hang, then break the connection."""
        with anyio.move_on_after(LOST_ANSWER_SECONDS):
            await self.disconnected()
        await self.start(200, (('content-length', '1'),))

    async def disconnected(self) -> None:
        """Wait until the other side is gone."""
        while (await self._receive())['type'] != 'http.disconnect':
            pass

    @contextlib.asynccontextmanager
    async def while_connected(self) -> abc.AsyncIterator[None]:
        """Cancel what is done in the context once the other side is gone."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_on_disconnect, group.cancel_scope)
            yield
            group.cancel_scope.cancel()

    async def _cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        await self.disconnected()
        scope.cancel()

    async def fail(
        self,
        error: api.Unavailable
        | api.Ambiguous
        | api.LogError
        | api.EngineError,
    ) -> None:
        """Answer with what an adapter's error stands for."""
        match error:
            case api.Unavailable(reason):
                await self.refuse(503, wire.Failure(reason))
            case api.Refused(reason):
                await self.refuse(422, wire.Failure(reason))
            case api.StaleFence(fence):
                failure = wire.Failure('stale_fence', highest_fence=fence)
                await self.refuse(409, failure)
            case api.Trimmed(offset):
                failure = wire.Failure('trimmed', first_offset=offset)
                await self.refuse(410, failure)
            case api.Ambiguous():
                await self.lose()


class App:
    """An ASGI application that answers one request at a time."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request, or the server's start and stop."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        await self.serve(await _read(scope, receive, send))

    async def serve(self, exchange: Exchange) -> None:
        """Answer a request."""
        raise NotImplementedError


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        kind = message['type']
        await send({'type': f'{kind}.complete'})
        if kind == 'lifespan.shutdown':
            return


async def _read(scope: Scope, receive: Receive, send: Send) -> Exchange:
    parts: list[bytes] = []
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            break
        parts.append(message.get('body', b''))
        more = message.get('more_body', False)
    return Exchange(
        scope['method'],
        scope['raw_path'].decode('latin-1'),
        scope['query_string'].decode('latin-1'),
        _headers(scope['headers']),
        b''.join(parts),
        receive,
        send,
    )


def _headers(
    raw: abc.Iterable[tuple[bytes, bytes]],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode('latin-1').lower(), value.decode('latin-1'))
        for name, value in raw
    )


def _number(text: str, default: float) -> float:
    try:
        number = float(text)
    except ValueError:
        return default
    return number if math.isfinite(number) else default
