"""Answers without end, sent as fast as they are read."""

from __future__ import annotations

import enum
import typing

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Kind', 'parts']

_PART_BYTES: typing.Final = 64 << 10


class Kind(enum.Enum):
    """What does not end."""

    HEAD = 'head'
    INFORMATIONAL = 'informational'
    ANNOUNCED = 'announced'
    UNANNOUNCED = 'unannounced'
    CHUNKED = 'chunked'
    SMALL_CHUNKS = 'small-chunks'
    EXTENSION = 'extension'
    TRAILERS = 'trailers'
    EVENT = 'event'
    SMALL_EVENTS = 'small-events'

    @property
    def streaming(self) -> bool:
        """Whether it is a stream of events."""
        return self in (Kind.EVENT, Kind.SMALL_EVENTS)


_CHUNKED: typing.Final = 'Transfer-Encoding: chunked\r\n\r\n'
# The end of the head and the part that is repeated.
_FORMS: typing.Final[dict[Kind, tuple[str, bytes]]] = {
    Kind.HEAD: ('X-Long: ', b'x'),
    Kind.INFORMATIONAL: ('', b'HTTP/1.1 100 X\r\n\r\n'),
    Kind.ANNOUNCED: (f'Content-Length: {1 << 40}\r\n\r\n', b'x'),
    Kind.UNANNOUNCED: ('\r\n', b'x'),
    Kind.CHUNKED: (_CHUNKED, b'400\r\n' + b'x' * 1024 + b'\r\n'),
    Kind.SMALL_CHUNKS: (_CHUNKED, b'1\r\nx\r\n'),
    Kind.EXTENSION: (_CHUNKED + '1;', b'x'),
    Kind.TRAILERS: (_CHUNKED + '1\r\nx\r\n0\r\n', b'a: b\r\n'),
    Kind.EVENT: (_CHUNKED, b'400\r\n' + b'x' * 1024 + b'\r\n'),
    Kind.SMALL_EVENTS: (_CHUNKED, b'9\r\ndata: x\n\n\r\n'),
}


async def parts(kind: Kind, attempt: str) -> abc.AsyncIterator[bytes]:
    """Return the bytes of an answer, its head included."""
    end, repeated = _FORMS[kind]
    if kind is not Kind.INFORMATIONAL:
        head = 'HTTP/1.1 200 X\r\nResponse-Stamp: stand-in\r\n'
        yield f'{head}Attempt-Id: {attempt}\r\n{end}'.encode('latin-1')
    part = repeated * (_PART_BYTES // len(repeated))
    while True:
        yield part
