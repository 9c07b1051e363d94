"""Tests of streams whose connections are lost, stalled or replaced."""

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
from tests.unit.entry import test_requests as requests

CHAT = requests.CHAT


class RemoteInstance:
    """Access to the streams of another harness, in memory."""

    def __init__(self) -> None:
        self.table: streams_module.StreamTable | None = None

    @contextlib.asynccontextmanager
    async def read(
        self, owner: str, stream_id: str, caller: str, after: int
    ) -> typing.AsyncIterator[typing.Any]:
        if self.table is None or owner != self.table.instance_id:
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

    async def cancel(self, owner: str, stream_id: str, caller: str) -> bool:
        return False


class StreamCase(unittest.TestCase):
    """Helpers for tests of streams."""

    def run_with(
        self,
        scenario: typing.Callable[
            [client.EntryHarness], typing.Awaitable[None]
        ],
        limits: limits_module.Limits | None = None,
    ) -> None:
        async def main() -> None:
            harness = client.EntryHarness(limits)
            await client.run_with_background(
                harness, lambda: scenario(harness)
            )

        anyio.run(main)

    async def interrupted_stream(
        self, harness: client.EntryHarness, disconnect_after_bytes: int = 200
    ) -> client.Response:
        """Start a stream and lose its connection before the end."""
        harness.rig.upstream.delay = 0.002
        connection = client.Connection(requests.chat_body(stream=True))
        connection.disconnect_after_bytes = disconnect_after_bytes
        response = await harness.request(
            'POST', CHAT, connection=connection, body=b''
        )
        self.assertFalse(response.complete)
        return response

    async def resume(
        self,
        harness: client.EntryHarness,
        stream_id: str,
        after: int,
        caller: str = 'counter',
    ) -> client.Response:
        return await harness.request(
            'GET',
            f'/v1/streams/{stream_id}',
            headers={'last-event-id': str(after)},
            caller=caller,
        )


class ResumeTest(StreamCase):
    """Callers resume their streams."""

    def test_resume_after_each_event(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            expected = fakes.words(requests.chat_body(stream=True))
            interrupted = await self.interrupted_stream(harness)
            stream_id = interrupted.headers['x-stream-id']
            for after in range(-1, fakes.EVENTS):
                response = await self.resume(harness, stream_id, after)
                self.assertEqual(response.status, 200)
                self.assertEqual(
                    requests.event_texts(response.body), expected[after + 1 :]
                )
                self.assertTrue(response.body.endswith(b'[DONE]\n\n'))
                self.assertTrue(response.complete)

        self.run_with(scenario)

    def test_other_caller_is_refused(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            interrupted = await self.interrupted_stream(harness)
            stream_id = interrupted.headers['x-stream-id']
            response = await self.resume(harness, stream_id, -1, 'yard')
            self.assertEqual(response.status, 404)
            self.assertIn(b'unknown_stream', response.body)

        self.run_with(scenario)

    def test_resume_while_first_connection_is_stalled(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            connection = client.Connection(requests.chat_body(stream=True))
            connection.stall_after_bytes = 200
            async with anyio.create_task_group() as group:

                async def send_first() -> None:
                    await harness.request(
                        'POST', CHAT, connection=connection, body=b''
                    )

                group.start_soon(send_first)
                await connection.first_part.wait()
                await anyio.sleep(0.02)
                stream_id = connection.response.headers['x-stream-id']
                response = await self.resume(harness, stream_id, 0)
                expected = fakes.words(requests.chat_body(stream=True))
                self.assertEqual(
                    requests.event_texts(response.body), expected[1:]
                )

        self.run_with(scenario)

    def test_resume_at_another_instance(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            interrupted = await self.interrupted_stream(harness)
            stream_id = interrupted.headers['x-stream-id']
            remote = RemoteInstance()
            remote.table = harness.streams
            other = client.EntryHarness(
                remote_streams=remote, instance_id='there'
            )
            response = await self.resume(other, stream_id, 3)
            expected = fakes.words(requests.chat_body(stream=True))
            self.assertEqual(requests.event_texts(response.body), expected[4:])
            lost = await self.resume(other, 'gone.0123', -1)
            self.assertEqual(lost.status, 404)

        self.run_with(scenario)

    def test_unknown_event_or_stream(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            interrupted = await self.interrupted_stream(harness)
            stream_id = interrupted.headers['x-stream-id']
            response = await self.resume(harness, stream_id, 99)
            self.assertEqual(response.status, 410)
            response = await self.resume(harness, f'{stream_id}0', 0)
            self.assertEqual(response.status, 404)

        self.run_with(scenario)

    def test_failed_stream_ends_with_error_for_each_reader(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            faults = [fakes.Fault.CUT, fakes.Fault.REFUSED]
            harness.rig.upstream.faults.extend(faults)
            harness.rig.upstream.rng.seed(5)
            original = await harness.request(
                'POST', CHAT, requests.chat_body(stream=True)
            )
            stream_id = original.headers['x-stream-id']
            again = await self.resume(harness, stream_id, -1)
            for response in (original, again):
                self.assertNotIn(b'[DONE]', response.body)
                self.assertIn(b'event: error\ndata: {"type"', response.body)

        self.run_with(scenario)


class AbandonedTest(StreamCase):
    """Requests whose response cannot be read any more are ended."""

    def test_stream_without_a_reader_expires(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            harness.rig.upstream.delay = 10.0
            connection = client.Connection(requests.chat_body(stream=True))
            connection.disconnect_after_bytes = 1
            harness.rig.upstream.delay = 0.3
            await harness.request(
                'POST', CHAT, connection=connection, body=b''
            )
            self.assertEqual(harness.streams.count, 0)
            self.assertEqual(harness.rig.dispatcher.in_flight, 0)
            expired = reasons.Reason.STREAM_EXPIRED
            count = harness.rig.metrics.refusals(
                expired, reasons.Outcome.UNKNOWN
            )
            self.assertEqual(count, 1)

        self.run_with(scenario, limits_module.Limits(resume_seconds=0.05))

    def test_disconnect_before_response(self) -> None:
        for stream in (False, True):
            with self.subTest(stream=stream):
                self.run_with(
                    lambda harness: self.disconnect_early(harness, stream)
                )

    async def disconnect_early(
        self, harness: client.EntryHarness, stream: bool
    ) -> None:
        harness.rig.upstream.faults.append(fakes.Fault.HUNG)
        connection = client.Connection(requests.chat_body(stream=stream))
        async with anyio.create_task_group() as group:

            async def send_first() -> None:
                await harness.request(
                    'POST', CHAT, connection=connection, body=b''
                )

            group.start_soon(send_first)
            while not harness.rig.upstream.calls:
                await anyio.sleep(0.001)
            connection.disconnect()
        self.assertEqual(harness.rig.upstream.stopped, 1)
        self.assertEqual(harness.streams.count, 0)

    def test_delete_cancels_stream(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            harness.rig.upstream.delay = 0.2
            connection = client.Connection(requests.chat_body(stream=True))
            async with anyio.create_task_group() as group:

                async def send_first() -> None:
                    await harness.request(
                        'POST', CHAT, connection=connection, body=b''
                    )

                group.start_soon(send_first)
                await connection.first_part.wait()
                stream_id = connection.response.headers['x-stream-id']
                path = f'/v1/streams/{stream_id}'
                other = await harness.request('DELETE', path, caller='yard')
                self.assertEqual(other.status, 404)
                response = await harness.request('DELETE', path)
                self.assertEqual(response.status, 204)
            self.assertIn(b'caller_gone', connection.response.body)

        self.run_with(scenario)


class SlowReaderTest(StreamCase):
    """A slow reader delays its own request only."""

    def test_window_limits_undelivered_events(self) -> None:
        limits = limits_module.Limits(
            stream_window_bytes=300, stream_kept_bytes=600
        )

        async def scenario(harness: client.EntryHarness) -> None:
            connection = client.Connection(requests.chat_body(stream=True))
            connection.disconnect_after_bytes = 1
            async with anyio.create_task_group() as group:

                async def send_first() -> None:
                    await harness.request(
                        'POST', CHAT, connection=connection, body=b''
                    )

                group.start_soon(send_first)
                await connection.first_part.wait()
                await anyio.sleep(0.05)
                self.assertLess(harness.streams.kept_bytes, 900)
                body = requests.chat_body('another', stream=True)
                other = await harness.request('POST', CHAT, body)
                self.assertTrue(other.complete)
                stream_id = connection.response.headers['x-stream-id']
                response = await self.resume(harness, stream_id, 0)
                expected = fakes.words(requests.chat_body(stream=True))
                self.assertEqual(
                    requests.event_texts(response.body), expected[1:]
                )

        self.run_with(scenario, limits)

    def test_resume_after_dropped_events_is_refused(self) -> None:
        limits = limits_module.Limits(stream_kept_bytes=300)

        async def scenario(harness: client.EntryHarness) -> None:
            body = requests.chat_body(stream=True)
            response = await harness.request('POST', CHAT, body)
            stream_id = response.headers['x-stream-id']
            late = await self.resume(harness, stream_id, 0)
            self.assertEqual(late.status, 410)
            self.assertIn(b'stream_gap', late.body)

        self.run_with(scenario, limits)

    def test_full_table_refuses_new_streams(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            response = await harness.request(
                'POST', CHAT, requests.chat_body(stream=True)
            )
            self.assertEqual(response.status, 503)
            self.assertIn(b'"outcome":"not_run"', response.body)
            self.assertIn('retry-after', response.headers)

        self.run_with(scenario, limits_module.Limits(max_streams=0))


class DrainTest(StreamCase):
    """Streams during a drain."""

    def test_running_stream_is_finished(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            harness.rig.upstream.delay = 0.01
            connection = client.Connection(requests.chat_body(stream=True))
            async with anyio.create_task_group() as group:

                async def send_first() -> None:
                    await harness.request(
                        'POST', CHAT, connection=connection, body=b''
                    )

                group.start_soon(send_first)
                await connection.first_part.wait()
                group.start_soon(
                    harness.app.drain, harness.rig.clock.now() + 10
                )
                await anyio.sleep(0.005)
                ready = await harness.request('GET', '/readyz')
                self.assertEqual(ready.status, 503)
                late = await harness.request(
                    'POST', CHAT, requests.chat_body()
                )
                self.assertIn(b'"reason":"draining"', late.body)
                self.assertEqual(late.headers['connection'], 'close')
            self.assertTrue(connection.response.body.endswith(b'[DONE]\n\n'))

        self.run_with(scenario)

    def test_deadline_ends_stream_with_error(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            harness.rig.upstream.delay = 1.0
            connection = client.Connection(requests.chat_body(stream=True))
            async with anyio.create_task_group() as group:

                async def send_first() -> None:
                    await harness.request(
                        'POST', CHAT, connection=connection, body=b''
                    )

                group.start_soon(send_first)
                await connection.first_part.wait()
                await harness.app.drain(harness.rig.clock.now() + 0.01)
            self.assertIn(
                b'"reason":"instance_stopping"', (connection.response.body)
            )
            self.assertNotIn(b'[DONE]', connection.response.body)

        self.run_with(scenario)


class EagerTest(unittest.TestCase):
    """Coroutines that are started eagerly."""

    def test_cancel_and_finish_suspended(self) -> None:
        async def main() -> None:
            seen = []

            async def write(event: anyio.Event) -> None:
                seen.append('started')
                try:
                    await event.wait()
                    seen.append('done')
                finally:
                    seen.append('left')

            suspended = eager.start(write(anyio.Event()))
            with anyio.move_on_after(0.01) as scope:
                await suspended.finish()  # type: ignore[union-attr]
            self.assertTrue(scope.cancelled_caught)
            self.assertEqual(seen, ['started', 'left'])
            event = anyio.Event()
            event.set()
            suspended = eager.start(write(event))
            await suspended.finish()  # type: ignore[union-attr]
            self.assertEqual(seen[2:], ['started', 'done', 'left'])

        anyio.run(main)

    def test_completes_without_suspending(self) -> None:
        async def write() -> None:
            pass

        self.assertIsNone(eager.start(write()))

    def test_error_after_suspending(self) -> None:
        async def write() -> None:
            await anyio.sleep(0)
            raise ValueError('late')

        async def main() -> None:
            suspended = eager.start(write())
            with self.assertRaises(ValueError):
                await suspended.finish()  # type: ignore[union-attr]

        anyio.run(main)
