"""Tests of streams that are broken within the bytes of one read."""

from __future__ import annotations

import asyncio
import typing
import unittest

import anyio

from . import loopback
from dogwoodquay import clock as clocks
from dogwoodquay.gateway import attempt as attempts
from dogwoodquay.gateway import origin_appends
from dogwoodquay.gateway import origins
from dogwoodquay.routes import api as routes_api

_LAST: typing.Final = 6


def _event(number: int) -> bytes:
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


_WHOLE: typing.Final = b''.join(_event(item) for item in range(1, _LAST + 1))


def _head(request: loopback.Received) -> bytes:
    return (
        f'HTTP/1.1 200 OK\r\nAttempt-Id: {request.headers["attempt-id"]}\r\n'
        'Response-Stamp: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n'
    ).encode()


async def _sound(
    request: loopback.Received, writer: asyncio.StreamWriter
) -> bool:
    """Send the events after the last one that the caller has."""
    first = int(request.headers.get('last-event-id', '0')) + 1
    parts = [_event(number) for number in range(first, _LAST + 1)]
    writer.write(_head(request) + loopback.chunked(*parts))
    await writer.drain()
    return True


class SpoiledEventTest(unittest.IsolatedAsyncioTestCase):
    """A stream lacks no event that came in one piece with a broken one."""

    async def test_goes_on_after_the_sound_events(self) -> None:
        """The events of all servers are complete and in order."""
        broken = (b'id: \xa73\ndata: x\n\n', _event(2), _event(9))
        for spoiled in broken:
            piece = _event(1) + _event(2) + spoiled

            async def script(
                request: loopback.Received,
                writer: asyncio.StreamWriter,
                piece: bytes = piece,
            ) -> bool:
                if 'last-event-id' in request.headers:
                    return await _sound(request, writer)
                writer.write(_head(request) + loopback.chunked(piece))
                await writer.drain()
                return True

            upstreams = [
                loopback.Upstream(name, script) for name in ('u1', 'u2')
            ]
            site = loopback.Site(*upstreams)
            async with site.running():
                site.configure(
                    loopback.route(
                        kind=routes_api.RouteKind.STREAMING, resumable=True
                    )
                )
                answer = await site.call('POST', body=b'x')
            self.assertEqual((200, True), (answer.status, answer.whole))
            self.assertEqual(_WHOLE, answer.body)
            self.assertEqual(2, sum(len(item.received) for item in upstreams))


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    """A stream lacks no event that was read as its attempt was ended."""

    async def test_first_events_are_recorded(self) -> None:
        """The hand-over comes while the stream's origin is recorded."""
        upstreams = [loopback.Upstream(name, _sound) for name in ('u1', 'u2')]
        site = loopback.Site(*upstreams)
        watched: list[attempts.Attempt] = []
        add = site.silence.add

        def watch(attempt: attempts.Attempt) -> None:
            watched.append(attempt)
            add(attempt)

        async def record(
            stream_id: str,
            origin: origins.Origin,
            lifetime_seconds: float,
            confirmed: bool = False,
        ) -> origin_appends.Confirmation:
            if len(watched) == 1:
                (attempt,) = watched
                scheduler = site.scheduler
                other = scheduler._choose(
                    scheduler._need(attempt.call, attempt.avoid, None)
                )
                assert other is not None
                other.begin()
                scheduler._counts.begin(attempt.call, other)
                assert attempt.retries.take_move(clocks.SteadyClock().now())
                attempt.hand_over(other)
                await anyio.sleep(0.01)
            return site.origins.confirmation

        site.silence.add = watch  # type: ignore[method-assign]
        site.origins.record = record  # type: ignore[method-assign]
        async with site.running():
            site.configure(
                loopback.route(
                    kind=routes_api.RouteKind.STREAMING, resumable=True
                )
            )
            answer = await site.call('POST', body=b'x')
        self.assertEqual(2, len(watched))
        self.assertEqual((200, True), (answer.status, answer.whole))
        self.assertEqual(_WHOLE, answer.body)
