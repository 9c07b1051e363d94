"""Open answers over HTTP."""

from __future__ import annotations

import contextlib
import typing

import anyio
import httpx

from .. import errors
from . import client
from . import wire

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['HttpAnswer', 'joined']

MAX_BUFFERED_BYTES: typing.Final = 256 * 1024


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
        async for chunk in response.aiter_raw():
            yield chunk
    except httpx.HTTPError as error:
        raise errors.UpstreamBroken(client.broken_reason(error)) from error


@contextlib.asynccontextmanager
async def joined(
    response: httpx.Response,
) -> abc.AsyncIterator[abc.AsyncIterator[bytes]]:
    """Read a body ahead, so that chunks that wait together come as one."""
    reader = _ReadAhead()
    raised: BaseException | None = None
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(reader.fill, response)
            try:
                yield reader
            except Exception as error:
                raised = error
            group.cancel_scope.cancel()
    except BaseExceptionGroup as group_error:
        if raised is None and len(group_error.exceptions) == 1:
            raise group_error.exceptions[0] from None
        raise
    if raised is not None:
        raise raised


class _ReadAhead:
    """A bounded buffer between a connection and the reader of its body."""

    def __init__(self) -> None:
        self._buffer: list[bytes] = []
        self._size = 0
        self._done = False
        self._error: errors.UpstreamBroken | None = None
        self._filled: anyio.Event | None = None
        self._drained: anyio.Event | None = None

    def __aiter__(self) -> _ReadAhead:
        return self

    async def __anext__(self) -> bytes:
        if not self._buffer and not self._done:
            self._filled = anyio.Event()
            await self._filled.wait()
        if self._buffer:
            return self._take()
        if self._error is not None:
            raise self._error
        raise StopAsyncIteration

    async def fill(self, response: httpx.Response) -> None:
        """Read the body until its end, pausing while the buffer is full."""
        try:
            async for chunk in chunks(response):
                self._buffer.append(chunk)
                self._size += len(chunk)
                self._wake()
                if self._size > MAX_BUFFERED_BYTES:
                    self._drained = anyio.Event()
                    await self._drained.wait()
        except errors.UpstreamBroken as error:
            self._error = error
        finally:
            self._done = True
            self._wake()

    def _take(self) -> bytes:
        buffer, self._buffer = self._buffer, []
        self._size = 0
        if self._drained is not None:
            self._drained.set()
            self._drained = None
        return buffer[0] if len(buffer) == 1 else b''.join(buffer)

    def _wake(self) -> None:
        if self._filled is not None:
            self._filled.set()
            self._filled = None
