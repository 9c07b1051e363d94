"""Open answers over HTTP."""

from __future__ import annotations

import contextlib
import typing

import anyio
import httpx

from .. import errors
from . import client
from . import steps
from . import wire

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['HttpAnswer', 'joined']


class HttpAnswer:
    """An open answer; its body is read once."""

    def __init__(
        self, response: httpx.Response, chunks: abc.AsyncIterator[bytes]
    ) -> None:
        self._response = response
        self._chunks = chunks
        self._headers = tuple(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
            for name, value in response.headers.raw
        )

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status_code

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The answer's headers, names in lower case."""
        return self._headers

    @property
    def attempt_id(self) -> str:
        """The attempt that the upstream says this answer is for."""
        return str(self._response.headers.get(wire.ATTEMPT_HEADER, ''))

    def __aiter__(self) -> abc.AsyncIterator[bytes]:
        """Iterate over the body as it arrives."""
        return self._chunks


async def chunks(response: httpx.Response) -> abc.AsyncIterator[bytes]:
    """Iterate over a body, with this layer's own errors."""
    try:
        async for chunk in _body(response):
            yield chunk
    except httpx.HTTPError as error:
        raise errors.UpstreamBroken(client.broken_reason(error)) from error


@contextlib.asynccontextmanager
async def joined(
    response: httpx.Response,
) -> abc.AsyncIterator[abc.AsyncIterator[bytes]]:
    """Read a body so that chunks that wait together come as one."""
    reader = _Joined(_body(response))
    try:
        yield reader
    finally:
        await reader.close()


class _Joined:
    """Takes steps of a body until one has to wait.

    A step that waits stays open while the chunks before it are passed on.
    """

    def __init__(self, body: abc.AsyncIterator[bytes]) -> None:
        self._body = body
        self._open: steps.Waiting | None = None
        self._ended = False
        self._error: errors.UpstreamBroken | None = None

    def __aiter__(self) -> _Joined:
        return self

    async def __anext__(self) -> bytes:
        parts: list[bytes] = []
        if self._open is not None:
            await self._finish_open(parts)
        while not self._ended:
            self._start(parts)
            if self._open is None:
                continue
            if parts:
                break
            await self._finish_open(parts)
        if parts:
            return parts[0] if len(parts) == 1 else b''.join(parts)
        if self._error is not None:
            raise self._error
        raise StopAsyncIteration

    async def close(self) -> None:
        """End a step that is still open."""
        waiting, self._open = self._open, None
        if waiting is not None:
            with anyio.CancelScope(shield=True):
                await waiting.abandon()

    def _start(self, parts: list[bytes]) -> None:
        try:
            begun = steps.start(self._body.__anext__())
        except StopAsyncIteration:
            self._ended = True
        except httpx.HTTPError as error:
            self._fail(error)
        else:
            if isinstance(begun, steps.Waiting):
                self._open = begun
            else:
                parts.append(begun)

    async def _finish_open(self, parts: list[bytes]) -> None:
        waiting, self._open = self._open, None
        if waiting is None:
            return
        try:
            parts.append(await waiting.finish())
        except StopAsyncIteration:
            self._ended = True
        except httpx.HTTPError as error:
            self._fail(error)

    def _fail(self, error: httpx.HTTPError) -> None:
        self._ended = True
        self._error = errors.UpstreamBroken(client.broken_reason(error))
        self._error.__cause__ = error


def _body(response: httpx.Response) -> abc.AsyncIterator[bytes]:
    stream = typing.cast('httpx.AsyncByteStream', response.stream)
    return stream.__aiter__()
