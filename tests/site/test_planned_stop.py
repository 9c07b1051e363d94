"""Tests of requests that come while an instance is stopped as planned."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import typing
import unittest

from . import processes
from . import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 60.0
# The stop time of the instances less its margin.
_STOP_SECONDS: typing.Final = 5.0
# Above the bounds on reaching the end of the stop.
_LONG_MS: typing.Final = 20_000


def _manifest() -> dict[str, object]:
    """Return a manifest with plain routes of several times and kinds."""
    return processes.manifest(
        1,
        processes.route(
            '/once/', 'desk', Type='non_idempotent', TimeoutMs=_LONG_MS
        ),
        processes.route(
            '/short/', 'desk', Type='non_idempotent', TimeoutMs=2000
        ),
        processes.route(
            '/once-stream/', 'engines', Type='streaming', TimeoutMs=_LONG_MS
        ),
    )


def _silent(site: processes.Site, attempt: str, seconds: float) -> None:
    """Let the plain server answer an attempt after some time."""
    place = servers.Place.HEAD
    site.desk.silences[attempt] = servers.Silence(place, seconds)


class _StopTest(unittest.IsolatedAsyncioTestCase):
    """One instance of one, which is stopped."""

    @contextlib.asynccontextmanager
    async def _site(
        self,
    ) -> abc.AsyncIterator[tuple[processes.Site, processes.Instance]]:
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(1, _manifest()) as site:
                (instance,) = site.instances
                yield site, instance
                self.assertEqual(0, await instance.wait_stopped())

    async def _call(
        self,
        instance: processes.Instance,
        target: str,
        attempt: str,
        deadline_ms: int = _LONG_MS,
        model: str = '',
    ) -> processes.Answer:
        async with processes.Connection.opened(instance) as connection:
            return await connection.call(
                target, attempt, 'POST', model, deadline_ms
            )

    def _start(
        self, instance: processes.Instance, target: str, attempt: str
    ) -> asyncio.Task[processes.Answer]:
        return asyncio.create_task(self._call(instance, target, attempt))

    async def _wait_executed(self, server: servers.Server, name: str) -> None:
        while name not in server.executed_attempts:
            await asyncio.sleep(0.02)


class TakenInStopTest(_StopTest):
    """No request is taken that may not end before the stop (LOST)."""

    async def test_longer_than_the_stop(self) -> None:
        """It may run once and wait longer than the instance lives."""
        async with self._site() as (site, instance):
            instance.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            _silent(site, 'late', _STOP_SECONDS)
            answer = await self._call(instance, '/once/x', 'late')
            self.assertEqual(503, answer.status)
            self.assertIn('retry-after', answer.headers)
            self.assertEqual('close', answer.headers['connection'])
            self.assertEqual([], site.desk.executed_attempts)

    async def test_body_under_way(self) -> None:
        """It is refused before its body has come, and gets the answer."""
        async with self._site() as (site, instance):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', instance.port
            )
            instance.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            length = 'Content-Length: 90\r\n'
            head = processes.stream_head('/once/x', 'a', '', _LONG_MS, length)
            writer.write(head + b'x')
            answer = await processes.read_answer(reader)
            # Bytes after the close would reset the connection.
            writer.write(b'x' * 89)
            self.assertEqual(b'', await reader.read())
            writer.close()
            self.assertEqual(503, answer.status)
            self.assertEqual('close', answer.headers['connection'])
            self.assertEqual([], site.desk.executed_attempts)

    async def test_body_of_a_request_that_fits(self) -> None:
        """It is read to its end and served."""
        async with self._site() as (_, instance):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', instance.port
            )
            instance.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            length = 'Content-Length: 2\r\n'
            head = processes.stream_head('/short/x', 'a', '', 2000, length)
            writer.write(head + b'x')
            await asyncio.sleep(0.5)
            writer.write(b'x')
            answer = await processes.read_answer(reader)
            writer.close()
            self.assertEqual((200, True), answer[::2])

    async def test_stream_that_may_not_be_repeated(self) -> None:
        """The same for a stream that cannot be resumed."""
        async with self._site() as (site, instance):
            site.engine.hold()
            instance.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            answer = await self._call(
                instance, '/once-stream/x', 'late', model='loaded'
            )
            self.assertEqual(503, answer.status)
            self.assertEqual([], site.engine.executed_attempts)

    async def test_beside_a_stream_in_flight(self) -> None:
        """The stream keeps the instance open until the end of the stop."""
        async with self._site() as (site, instance):
            site.engine.hold()
            stream = asyncio.create_task(
                instance.call('/stream/x', 's', 'POST', 'loaded')
            )
            await self._wait_executed(site.engine, 's')
            instance.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(_STOP_SECONDS - 0.7)
            _silent(site, 'late', 1.6)
            answer = await self._call(instance, '/short/x', 'late', 2000)
            self.assertEqual(503, answer.status)
            self.assertEqual([], site.desk.executed_attempts)
            self.assertFalse((await stream).complete)

    async def test_fits(self) -> None:
        """A request that ends in time is served, also on a kept connection."""
        async with self._site() as (site, instance):
            async with processes.Connection.opened(instance) as kept:
                first = await kept.call('/short/x', 'a', 'POST')
                instance.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.3)
                _silent(site, 'b', 1.5)
                second = await kept.call('/short/x', 'b', 'POST')
            self.assertEqual([(200, True)] * 2, [first[::2], second[::2]])


class EndOfStopTest(_StopTest):
    """What is unfinished at the end of the stop gets a true answer (LOST)."""

    async def test_at_a_server(self) -> None:
        """It may have run: 504, before the process ends."""
        async with self._site() as (site, instance):
            _silent(site, 'long', 2 * _STOP_SECONDS)
            call = self._start(instance, '/once/x', 'long')
            await self._wait_executed(site.desk, 'long')
            instance.process.send_signal(signal.SIGTERM)
            answer = await call
            self.assertEqual(504, answer.status)
            await instance.wait_stopped()
            reasons = [
                line['reason']
                for line in instance.log_lines()
                if line.get('request') == 'long'
                and line['message_type'] == 'request:refused'
            ]
            self.assertEqual(['stopping'], reasons)

    async def test_body_not_whole(self) -> None:
        """It has not run: 503, or no answer, but no other status."""
        async with self._site() as (site, instance):
            site.engine.hold()
            stream = asyncio.create_task(
                instance.call('/stream/x', 's', 'POST', 'loaded')
            )
            await self._wait_executed(site.engine, 's')
            instance.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(_STOP_SECONDS - 0.7)
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', instance.port
            )
            length = 'Content-Length: 9\r\n'
            head = processes.stream_head('/once/x', 'half', '', 2000, length)
            writer.write(head + b'x')
            line = b''
            with contextlib.suppress(OSError):
                line = await reader.readline()
            writer.close()
            self.assertIn(line[:12], (b'', b'HTTP/1.1 503'))
            await stream
            self.assertEqual([], site.desk.executed_attempts)


if __name__ == '__main__':
    unittest.main()
