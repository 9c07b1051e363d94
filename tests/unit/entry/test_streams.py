"""Streams that lose, stall or change their connection."""

from __future__ import annotations

import contextlib
import typing
import unittest

import anyio
import expression

from dogwoodquay.dispatch import api
from dogwoodquay.dispatch import reasons
from dogwoodquay.entry import eager
from dogwoodquay.entry import limits as limits_module
from dogwoodquay.entry import streams as streams_module
from tests.unit.dispatch import fakes
from tests.unit.entry import client
from tests.unit.entry import test_whole_path as paths

CHAT = paths.CHAT


class Peers:
    """A finder that reaches another site in memory."""

    def __init__(self) -> None:
        self.table: streams_module.StreamTable | None = None

    @contextlib.asynccontextmanager
    async def read(
        self, holder: str, stream_id: str, caller: str, after: int
    ) -> typing.AsyncIterator[typing.Any]:
        if self.table is None or holder != self.table.instance_id:
            yield expression.Error(
                api.Refusal(
                    reasons.Reason.UNKNOWN_STREAM, reasons.Outcome.UNKNOWN
                )
            )
            return
        opened = self.table.read(stream_id, caller, after)
        yield opened
        if opened.is_ok():
            self.table.release(stream_id, opened.ok)

    async def cancel(self, holder: str, stream_id: str, caller: str) -> bool:
        return False


class StreamCase(unittest.TestCase):
    """Helpers for streams over a site."""

    def run_with(
        self,
        work: typing.Callable[[client.Site], typing.Awaitable[None]],
        limits: limits_module.Limits | None = None,
    ) -> None:
        async def main() -> None:
            site = client.Site(limits)
            await client.running(site, lambda: work(site))

        anyio.run(main)

    async def broken_stream(
        self, site: client.Site, vanish_after: int = 200
    ) -> client.Reply:
        """Start a stream whose connection is lost under way."""
        site.rig.upstream.delay = 0.002
        connection = client.Connection(paths.chat(stream=True))
        connection.vanish_after = vanish_after
        reply = await site.request(
            'POST', CHAT, connection=connection, body=b''
        )
        self.assertFalse(reply.complete)
        return reply

    async def resume(
        self,
        site: client.Site,
        stream_id: str,
        after: int,
        caller: str = 'counter',
    ) -> client.Reply:
        return await site.request(
            'GET',
            f'/v1/streams/{stream_id}',
            headers={'last-event-id': str(after)},
            caller=caller,
        )


class ResumeTest(StreamCase):
    """A caller comes back to its stream."""

    def test_from_each_event(self) -> None:
        async def work(site: client.Site) -> None:
            right = fakes.words(paths.chat(stream=True))
            first = await self.broken_stream(site)
            stream_id = first.headers['x-stream-id']
            for after in range(-1, fakes.EVENTS):
                reply = await self.resume(site, stream_id, after)
                self.assertEqual(reply.status, 200)
                self.assertEqual(paths.texts(reply.body), right[after + 1 :])
                self.assertTrue(reply.body.endswith(b'[DONE]\n\n'))
                self.assertTrue(reply.complete)

        self.run_with(work)

    def test_another_caller_finds_nothing(self) -> None:
        async def work(site: client.Site) -> None:
            first = await self.broken_stream(site)
            stream_id = first.headers['x-stream-id']
            reply = await self.resume(site, stream_id, -1, 'yard')
            self.assertEqual(reply.status, 404)
            self.assertIn(b'unknown_stream', reply.body)

        self.run_with(work)

    def test_while_the_first_connection_is_stuck(self) -> None:
        async def work(site: client.Site) -> None:
            connection = client.Connection(paths.chat(stream=True))
            connection.stall_after = 200
            async with anyio.create_task_group() as group:

                async def first() -> None:
                    await site.request(
                        'POST', CHAT, connection=connection, body=b''
                    )

                group.start_soon(first)
                await connection.first_part.wait()
                await anyio.sleep(0.02)
                stream_id = connection.reply.headers['x-stream-id']
                reply = await self.resume(site, stream_id, 0)
                right = fakes.words(paths.chat(stream=True))
                self.assertEqual(paths.texts(reply.body), right[1:])

        self.run_with(work)

    def test_at_another_instance(self) -> None:
        async def work(site: client.Site) -> None:
            first = await self.broken_stream(site)
            stream_id = first.headers['x-stream-id']
            peers = Peers()
            peers.table = site.streams
            other = client.Site(finder=peers, instance_id='there')
            reply = await self.resume(other, stream_id, 3)
            right = fakes.words(paths.chat(stream=True))
            self.assertEqual(paths.texts(reply.body), right[4:])
            lost = await self.resume(other, 'gone.0123', -1)
            self.assertEqual(lost.status, 404)

        self.run_with(work)

    def test_event_that_never_was(self) -> None:
        async def work(site: client.Site) -> None:
            first = await self.broken_stream(site)
            stream_id = first.headers['x-stream-id']
            reply = await self.resume(site, stream_id, 99)
            self.assertEqual(reply.status, 410)
            reply = await self.resume(site, f'{stream_id}0', 0)
            self.assertEqual(reply.status, 404)

        self.run_with(work)

    def test_failed_stream_ends_with_an_error_each_time(self) -> None:
        async def work(site: client.Site) -> None:
            faults = [fakes.Fault.CUT, fakes.Fault.REFUSED]
            site.rig.upstream.faults.extend(faults)
            site.rig.upstream.rng.seed(5)
            first = await site.request('POST', CHAT, paths.chat(stream=True))
            stream_id = first.headers['x-stream-id']
            again = await self.resume(site, stream_id, -1)
            for reply in (first, again):
                self.assertNotIn(b'[DONE]', reply.body)
                self.assertIn(b'event: error\ndata: {"type"', reply.body)

        self.run_with(work)


class AbandonedTest(StreamCase):
    """Work that nobody will read is ended."""

    def test_stream_without_a_reader_expires(self) -> None:
        async def work(site: client.Site) -> None:
            site.rig.upstream.delay = 10.0
            connection = client.Connection(paths.chat(stream=True))
            connection.vanish_after = 1
            site.rig.upstream.delay = 0.3
            await site.request('POST', CHAT, connection=connection, body=b'')
            self.assertEqual(site.streams.count, 0)
            self.assertEqual(site.rig.dispatcher.in_flight, 0)
            expired = reasons.Reason.STREAM_EXPIRED
            count = site.rig.metrics.refusals(expired, reasons.Outcome.UNKNOWN)
            self.assertEqual(count, 1)

        self.run_with(work, limits_module.Limits(resume_seconds=0.05))

    def test_caller_gone_before_the_answer(self) -> None:
        for stream in (False, True):
            with self.subTest(stream=stream):
                self.run_with(lambda site: self.gone_early(site, stream))

    async def gone_early(self, site: client.Site, stream: bool) -> None:
        site.rig.upstream.faults.append(fakes.Fault.HUNG)
        connection = client.Connection(paths.chat(stream=stream))
        async with anyio.create_task_group() as group:

            async def first() -> None:
                await site.request(
                    'POST', CHAT, connection=connection, body=b''
                )

            group.start_soon(first)
            while not site.rig.upstream.calls:
                await anyio.sleep(0.001)
            connection.vanish()
        self.assertEqual(site.rig.upstream.stopped, 1)
        self.assertEqual(site.streams.count, 0)

    def test_delete_ends_the_work(self) -> None:
        async def work(site: client.Site) -> None:
            site.rig.upstream.delay = 0.2
            connection = client.Connection(paths.chat(stream=True))
            async with anyio.create_task_group() as group:

                async def first() -> None:
                    await site.request(
                        'POST', CHAT, connection=connection, body=b''
                    )

                group.start_soon(first)
                await connection.first_part.wait()
                stream_id = connection.reply.headers['x-stream-id']
                path = f'/v1/streams/{stream_id}'
                other = await site.request('DELETE', path, caller='yard')
                self.assertEqual(other.status, 404)
                reply = await site.request('DELETE', path)
                self.assertEqual(reply.status, 204)
            self.assertIn(b'caller_gone', connection.reply.body)

        self.run_with(work)


class SlowReaderTest(StreamCase):
    """A reader that lags slows its own engine only."""

    def test_window_bounds_what_is_unread(self) -> None:
        limits = limits_module.Limits(
            stream_window_bytes=300, stream_kept_bytes=600
        )

        async def work(site: client.Site) -> None:
            connection = client.Connection(paths.chat(stream=True))
            connection.vanish_after = 1
            async with anyio.create_task_group() as group:

                async def first() -> None:
                    await site.request(
                        'POST', CHAT, connection=connection, body=b''
                    )

                group.start_soon(first)
                await connection.first_part.wait()
                await anyio.sleep(0.05)
                self.assertLess(site.streams.held_bytes, 900)
                body = paths.chat('another', stream=True)
                other = await site.request('POST', CHAT, body)
                self.assertTrue(other.complete)
                stream_id = connection.reply.headers['x-stream-id']
                reply = await self.resume(site, stream_id, 0)
                right = fakes.words(paths.chat(stream=True))
                self.assertEqual(paths.texts(reply.body), right[1:])

        self.run_with(work, limits)

    def test_events_no_longer_kept(self) -> None:
        limits = limits_module.Limits(stream_kept_bytes=300)

        async def work(site: client.Site) -> None:
            body = paths.chat(stream=True)
            reply = await site.request('POST', CHAT, body)
            stream_id = reply.headers['x-stream-id']
            late = await self.resume(site, stream_id, 0)
            self.assertEqual(late.status, 410)
            self.assertIn(b'stream_gap', late.body)

        self.run_with(work, limits)

    def test_full_table_refuses(self) -> None:
        async def work(site: client.Site) -> None:
            reply = await site.request('POST', CHAT, paths.chat(stream=True))
            self.assertEqual(reply.status, 503)
            self.assertIn(b'"outcome":"not_run"', reply.body)
            self.assertIn('retry-after', reply.headers)

        self.run_with(work, limits_module.Limits(max_streams=0))


class DrainTest(StreamCase):
    """A planned stop and streams."""

    def test_running_stream_is_finished(self) -> None:
        async def work(site: client.Site) -> None:
            site.rig.upstream.delay = 0.01
            connection = client.Connection(paths.chat(stream=True))
            async with anyio.create_task_group() as group:

                async def first() -> None:
                    await site.request(
                        'POST', CHAT, connection=connection, body=b''
                    )

                group.start_soon(first)
                await connection.first_part.wait()
                group.start_soon(site.app.drain, site.rig.clock.now() + 10)
                await anyio.sleep(0.005)
                ready = await site.request('GET', '/readyz')
                self.assertEqual(ready.status, 503)
                late = await site.request('POST', CHAT, paths.chat())
                self.assertIn(b'"reason":"draining"', late.body)
                self.assertEqual(late.headers['connection'], 'close')
            self.assertTrue(connection.reply.body.endswith(b'[DONE]\n\n'))

        self.run_with(work)

    def test_deadline_ends_it_with_an_error(self) -> None:
        async def work(site: client.Site) -> None:
            site.rig.upstream.delay = 1.0
            connection = client.Connection(paths.chat(stream=True))
            async with anyio.create_task_group() as group:

                async def first() -> None:
                    await site.request(
                        'POST', CHAT, connection=connection, body=b''
                    )

                group.start_soon(first)
                await connection.first_part.wait()
                await site.app.drain(site.rig.clock.now() + 0.01)
            self.assertIn(
                b'"reason":"instance_stopping"', (connection.reply.body)
            )
            self.assertNotIn(b'[DONE]', connection.reply.body)

        self.run_with(work)


class EagerTest(unittest.TestCase):
    """The first step of a coroutine, and the rest of it."""

    def test_waits_and_is_cancelled(self) -> None:
        async def main() -> None:
            seen = []

            async def write(event: anyio.Event) -> None:
                seen.append('started')
                try:
                    await event.wait()
                    seen.append('done')
                finally:
                    seen.append('left')

            waiting = eager.start(write(anyio.Event()))
            with anyio.move_on_after(0.01) as scope:
                await waiting.finish()  # type: ignore[union-attr]
            self.assertTrue(scope.cancelled_caught)
            self.assertEqual(seen, ['started', 'left'])
            event = anyio.Event()
            event.set()
            waiting = eager.start(write(event))
            await waiting.finish()  # type: ignore[union-attr]
            self.assertEqual(seen[2:], ['started', 'done', 'left'])

        anyio.run(main)

    def test_ends_at_once(self) -> None:
        async def write() -> None:
            pass

        self.assertIsNone(eager.start(write()))

    def test_error_after_waiting(self) -> None:
        async def write() -> None:
            await anyio.sleep(0)
            raise ValueError('late')

        async def main() -> None:
            waiting = eager.start(write())
            with self.assertRaises(ValueError):
                await waiting.finish()  # type: ignore[union-attr]

        anyio.run(main)
