"""Answers over HTTP whose bodies are still being received."""

from __future__ import annotations

import contextlib
import typing

import anyio
import httpx

from .. import errors
from . import bodies
from . import steps
from . import wire

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['HttpAnswer', 'coalesced']


class HttpAnswer:
    """An answer of an upstream; its body can be iterated once."""

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
        """The HTTP status code."""
        return self._response.status_code

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The headers of the answer, with names in lower case."""
        return self._headers

    @property
    def attempt_id(self) -> str:
        """The attempt id that the upstream returned with the answer."""
        return str(self._response.headers.get(wire.ATTEMPT_HEADER, ''))

    def __aiter__(self) -> abc.AsyncIterator[bytes]:
        """Iterate over the body as it is received."""
        return self._chunks


async def chunks(response: httpx.Response) -> abc.AsyncIterator[bytes]:
    """Iterate over a body, raising ``UpstreamBroken`` if it is incomplete."""
    try:
        async for chunk in _body(response):
            yield chunk
    except httpx.HTTPError as error:
        raise errors.UpstreamBroken(bodies.broken_reason(error)) from error


@contextlib.asynccontextmanager
async def coalesced(
    response: httpx.Response,
) -> abc.AsyncIterator[abc.AsyncIterator[bytes]]:
    """Iterate over a body, joining chunks that are available together."""
    reader = _CoalescedBody(_body(response))
    try:
        yield reader
    finally:
        await reader.close()


class _CoalescedBody:
    """Joins the chunks of a body that can be read without waiting.

    The first read that has to wait stays pending while the joined chunks are
    returned, and is finished at the next call.
    """

    def __init__(self, body: abc.AsyncIterator[bytes]) -> None:
        self._body = body
        self._pending: steps.PendingStep | None = None
        self._ended = False
        self._error: errors.UpstreamBroken | None = None

    def __aiter__(self) -> _CoalescedBody:
        return self

    async def __anext__(self) -> bytes:
        parts: list[bytes] = []
        if self._pending is not None:
            await self._finish_pending(parts)
        while not self._ended:
            self._start_step(parts)
            if self._pending is None:
                continue
            if parts:
                break
            await self._finish_pending(parts)
        if parts:
            return parts[0] if len(parts) == 1 else b''.join(parts)
        if self._error is not None:
            raise self._error
        raise StopAsyncIteration

    async def close(self) -> None:
        """Cancel a read that is still pending."""
        pending, self._pending = self._pending, None
        if pending is not None:
            with anyio.CancelScope(shield=True):
                await pending.cancel()

    def _start_step(self, parts: list[bytes]) -> None:
        try:
            started = steps.start(self._body.__anext__())
        except StopAsyncIteration:
            self._ended = True
        except httpx.HTTPError as error:
            self._fail(error)
        else:
            if isinstance(started, steps.PendingStep):
                self._pending = started
            else:
                parts.append(started)

    async def _finish_pending(self, parts: list[bytes]) -> None:
        pending, self._pending = self._pending, None
        if pending is None:
            return
        try:
            parts.append(await pending.finish())
        except StopAsyncIteration:
            self._ended = True
        except httpx.HTTPError as error:
            self._fail(error)

    def _fail(self, error: httpx.HTTPError) -> None:
        self._ended = True
        self._error = errors.UpstreamBroken(bodies.broken_reason(error))
        self._error.__cause__ = error


def _body(response: httpx.Response) -> abc.AsyncIterator[bytes]:
    stream = typing.cast('httpx.AsyncByteStream', response.stream)
    return stream.__aiter__()
