"""Tests of servers that stop within the head of an answer and close."""

from __future__ import annotations

import asyncio
import socket
import struct
import typing
import unittest

from . import loopback
from dogwoodquay.routes import api as routes_api

Kind = routes_api.RouteKind

_BODY: typing.Final = b'id: 1\ndata: x\n\n'
_INFORMATIONAL: typing.Final = b'HTTP/1.1 103 Early\r\nLink: x\r\n\r\n'


def _text(
    version: bytes, framing: bytes, body: bytes, before: bytes = b''
) -> bytes:
    """Return the text of an answer; the attempt's id is in its middle."""
    return (
        before + b'HTTP/%s 200 OK\r\nResponse-Stamp: 3e1b\r\n'
        b'Attempt-Id: c0ffee\r\n%s\r\n' % (version, framing) + body
    )


_LENGTH: typing.Final = b'Content-Length: %d\r\n' % len(_BODY)
_CHUNKS: typing.Final = b'%x\r\n%s\r\n0\r\n\r\n' % (len(_BODY), _BODY)

# Bytes between two cuts.
_STEP: typing.Final = 5

# Answers by what frames them.
_ANSWERS: typing.Final = {
    'length': _text(b'1.1', _LENGTH, _BODY),
    'chunks': _text(b'1.1', b'Transfer-Encoding: chunked\r\n', _CHUNKS),
    'unframed': _text(b'1.1', b'', _BODY),
    'http_1_0': _text(b'1.0', _LENGTH, _BODY),
    'http_1_0_unframed': _text(b'1.0', b'', _BODY),
    'informational': _text(b'1.1', _LENGTH, _BODY, _INFORMATIONAL),
}


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    """No cut answer is passed on as a whole one (MIXED, ORDER)."""

    async def _assert_cut(
        self, name: str, kind: routes_api.RouteKind, reset: bool
    ) -> None:
        """Cut an answer at every few bytes, and at each near its head's end.

        The end of an unframed answer is that of its connection, so that it is
        cut within its head alone.
        """
        text = _ANSWERS[name]
        cut = 0

        async def script(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(text[:cut])
            await writer.drain()
            if reset:
                connection = typing.cast(
                    'socket.socket', writer.get_extra_info('socket')
                )
                linger = struct.pack('ii', 1, 0)
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
                await asyncio.sleep(0.001)
                writer.transport.abort()
            return False

        end = len(text)
        head_end = text.index(b'\r\n\r\n', text.index(b'c0ffee')) + 4
        if 'unframed' in name and not reset:
            end = head_end
        cuts = {*range(0, end, _STEP), *range(head_end - 8, head_end + 8)}
        upstream = loopback.Upstream('u1', script)
        site = loopback.Site(upstream)
        async with site.running():
            site.configure(loopback.route(kind=kind, max_attempts=1))
            for cut in sorted(item for item in cuts if item < end):
                upstream.received.clear()
                answer = await site.call('POST', body=b'x')
                self.assertEqual(1, len(upstream.received))
                whole = answer.status == 200 and answer.whole
                self.assertFalse(whole, (name, reset, text[:cut]))

    async def test_closed(self) -> None:
        """The connection is closed in order."""
        for name in _ANSWERS:
            await self._assert_cut(name, Kind.IDEMPOTENT, False)

    async def test_reset(self) -> None:
        """The connection is reset."""
        for name in _ANSWERS:
            await self._assert_cut(name, Kind.IDEMPOTENT, True)

    async def test_stream(self) -> None:
        """The answer of a stream."""
        for name in ('chunks', 'unframed', 'informational'):
            for reset in (False, True):
                await self._assert_cut(name, Kind.STREAMING, reset)
