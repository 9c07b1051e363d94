"""The common part of the stand-ins' ASGI applications."""

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

# The ASGI specification defines these as maps without fixed keys.
Scope = typing.MutableMapping[str, typing.Any]
Message = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[Message]]
Send = typing.Callable[[Message], typing.Awaitable[None]]

_ENCODER: typing.Final = msgspec.json.Encoder()


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request with methods to answer it."""

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    _receive: Receive
    _send: Send

    @property
    def target(self) -> str:
        """The path and query as received."""
        return f'{self.path}?{self.query}' if self.query else self.path

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        for found, value in self.headers:
            if found == name:
                return value
        return ''

    def header_number(self, name: str, default: float) -> float:
        """Return the value of a header as a number, or the default."""
        return _parse_number(self.header(name), default)

    def query_number(self, name: str, default: float) -> float:
        """Return a query parameter as a number, or the default."""
        pairs = dict(urllib.parse.parse_qsl(self.query))
        return _parse_number(pairs.get(name, ''), default)

    async def start(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Send the status and the headers."""
        raw = [(name.encode(), value.encode()) for name, value in headers]
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': raw,
            }
        )

    async def write(self, body: bytes, more: bool) -> None:
        """Send a part of the body."""
        await self._send(
            {'type': 'http.response.body', 'body': body, 'more_body': more}
        )

    async def reply(
        self,
        status: int,
        body: bytes = b'',
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a complete answer."""
        length = ('content-length', str(len(body)))
        await self.start(status, (*headers, length))
        await self.write(body, more=False)

    async def reply_json(
        self,
        status: int,
        content: object,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a complete answer in JSON."""
        kind = ('content-type', 'application/json')
        await self.reply(status, _ENCODER.encode(content), (*headers, kind))

    async def refuse(
        self, status: int, failure: wire.Failure, not_run: bool = True
    ) -> None:
        """Send an error answer, marked as not run by default."""
        headers = ((wire.NOT_RUN_HEADER, '1'),) if not_run else ()
        await self.reply_json(status, failure, headers)

    async def drop_answer(self) -> None:
        """Hang, then send an incomplete answer and close the connection."""
        with anyio.move_on_after(LOST_ANSWER_SECONDS):
            await self.wait_for_disconnect()
        await self.start(200, (('content-length', '1'),))

    async def wait_for_disconnect(self) -> None:
        """Wait until the client disconnects."""
        while (await self._receive())['type'] != 'http.disconnect':
            pass

    @contextlib.asynccontextmanager
    async def cancel_on_disconnect(self) -> abc.AsyncIterator[None]:
        """Cancel the body of the context when the client disconnects."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_disconnect, group.cancel_scope)
            yield
            group.cancel_scope.cancel()

    async def _watch_disconnect(self, scope: anyio.CancelScope) -> None:
        await self.wait_for_disconnect()
        scope.cancel()

    async def reply_error(
        self,
        error: api.Unavailable
        | api.Ambiguous
        | api.LogError
        | api.EngineError,
    ) -> None:
        """Send the answer that an adapter converts back to this error."""
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
                await self.drop_answer()


class App:
    """Base of the ASGI applications; reads a request before handling it."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve a request or the lifespan protocol."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        await self.serve(await _read_request(scope, receive, send))

    async def serve(self, exchange: Exchange) -> None:
        """Handle a request."""
        raise NotImplementedError


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        kind = message['type']
        await send({'type': f'{kind}.complete'})
        if kind == 'lifespan.shutdown':
            return


async def _read_request(
    scope: Scope, receive: Receive, send: Send
) -> Exchange:
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


def _parse_number(text: str, default: float) -> float:
    try:
        number = float(text)
    except ValueError:
        return default
    return number if math.isfinite(number) else default
