"""Response bodies and heads with limits, and the errors of reading them."""

from __future__ import annotations

import asyncio
import typing

import httpcore
import httpx

from . import network

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'AnswerTooLarge',
    'BodyStream',
    'CONNECTION_ERRORS',
    'MAX_ANSWER_BYTES',
    'MAX_DOWNLOAD_BYTES',
    'broken_reason',
    'limit',
    'stream_error',
]

# Bodies of whole answers; as large as the bodies of callers' requests.
MAX_ANSWER_BYTES: typing.Final = 4 << 20
# Pages and reads of the store, which are large by right; their contents are
# held three times over while they are decoded.
MAX_DOWNLOAD_BYTES: typing.Final = 32 << 20
# Chunks of a body that are parsed before others run.
MAX_CHUNKS_AT_ONCE: typing.Final = 256
# The status that h11 gives for an event that is larger than its buffer.
_BUFFER_FULL: typing.Final = 431
CONNECTION_ERRORS: typing.Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class AnswerTooLarge(httpx.RemoteProtocolError):
    """A part of an answer is larger than its limit.

    :param reason: the label value in the failure metric.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class BodyStream(httpx.AsyncByteStream):
    """A response body that raises the errors of httpx, not of httpcore."""

    def __init__(self, response: httpcore.Response) -> None:
        self._response = response
        self.max_bytes = 0

    async def __aiter__(self) -> abc.AsyncIterator[bytes]:
        stream = typing.cast('abc.AsyncIterable[bytes]', self._response.stream)
        size = 0
        chunks = 0
        try:
            async for chunk in stream:
                size += len(chunk)
                if self.max_bytes and size > self.max_bytes:
                    raise AnswerTooLarge('answer_too_large')
                chunks += 1
                if chunks % MAX_CHUNKS_AT_ONCE == 0:
                    await asyncio.sleep(0)
                yield chunk
        except CONNECTION_ERRORS as error:
            raise stream_error(error, 'answer_too_large') from error

    async def aclose(self) -> None:
        await self._response.aclose()


def broken_reason(error: httpx.HTTPError) -> str:
    """Return the label value of an error in the failure metric."""
    match error:
        case AnswerTooLarge():
            return error.reason
        case httpx.TimeoutException():
            return 'idle'
        case httpx.RemoteProtocolError():
            return 'protocol'
        case _:
            return 'connection'


def limit(response: httpx.Response, max_bytes: int) -> None:
    """Limit the size of a body that has not been read yet.

    :raises AnswerTooLarge: if a larger body is announced; reading more than
        the limit raises it as well.
    """
    length = response.headers.get('content-length', '')
    if length.isdigit() and int(length) > max_bytes:
        raise AnswerTooLarge('answer_too_large')
    if isinstance(response.stream, BodyStream):
        response.stream.max_bytes = max_bytes


def stream_error(error: Exception, too_large: str) -> httpx.HTTPError:
    """Return the error of httpx for one of httpcore.

    :param too_large: the reason if a part of the answer has no end.
    """
    if isinstance(error, network.HeadTooLarge):
        return AnswerTooLarge(too_large)
    hint = getattr(error.__cause__, 'error_status_hint', None)
    if hint == _BUFFER_FULL:
        return AnswerTooLarge(too_large)
    match error:
        case httpcore.TimeoutException():
            return httpx.ReadTimeout(str(error))
        case httpcore.ProtocolError():
            return httpx.RemoteProtocolError(str(error))
        case _:
            return httpx.ReadError(str(error))
