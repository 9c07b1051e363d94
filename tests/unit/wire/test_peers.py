"""Tests of the connections between peers, over loopback sockets."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

import anyio
import expression
from websockets.asyncio import connection as ws_connection

from dogwoodquay.wire import api
from dogwoodquay.wire import codec
from dogwoodquay.wire import connection

from . import loopback

if typing.TYPE_CHECKING:
    from collections import abc

    from dogwoodquay.wire import peers


async def _echo(
    sender: api.Sender, message: loopback.Echo, deadline: float
) -> loopback.Echo:
    return message


async def _count(
    sender: api.Sender, message: loopback.Count, deadline: float
) -> abc.AsyncIterator[api.Message]:
    for number in range(message.stop_at):
        if number == message.fail_at:
            raise api.StreamBroken('upstream_broken')
        yield loopback.Echo(str(number))


def _pair(**changes: typing.Any) -> tuple[peers.Peers, peers.Peers]:
    """Return two instances with handlers of all messages."""
    near = loopback.make_peer('near', **changes)
    far = loopback.make_peer('far', **changes)
    for subject in (near, far):
        subject.register(loopback.Echo, _echo)
        subject.register(loopback.Count, stream=_count)
    return near, far


class RequestTest(unittest.IsolatedAsyncioTestCase):
    """Requests, their answers and failures."""

    async def test_request_in_both_directions(self) -> None:
        """Both sides can send requests on one connection."""
        near, far = _pair()
        sent = loopback.Echo('x', b'\x00\xff')
        async with loopback.running(near, far):
            for one, other in ((near, far), (far, near)):
                answer = await one.request(
                    other.address, sent, loopback.Echo, loopback.new_deadline()
                )
                self.assertEqual(expression.Ok(sent), answer)
            self.assertEqual(1, near.connection_count)

    async def test_answers_out_of_order(self) -> None:
        """Answers in another order are matched to their requests."""
        near, far = _pair()
        first_received = anyio.Event()

        async def answer(
            sender: api.Sender, message: loopback.Count, deadline: float
        ) -> api.Message:
            if message.stop_at == 0:
                await first_received.wait()
            first_received.set()
            return loopback.Echo(str(message.stop_at))

        far.register(loopback.Count, answer)
        texts: dict[int, str] = {}

        async def ask(number: int) -> None:
            result = await near.request(
                far.address,
                loopback.Count(number),
                loopback.Echo,
                loopback.new_deadline(),
            )
            texts[number] = result.ok.text

        async with loopback.running(near, far):
            async with anyio.create_task_group() as tasks:
                for number in range(5):
                    tasks.start_soon(ask, number)
        self.assertEqual({n: str(n) for n in range(5)}, texts)

    async def test_connection_refused(self) -> None:
        """A refused connection is reported as ``Unreachable``."""
        near, far = _pair()
        async with far.running():
            closed_address = far.address
        async with near.running():
            answer = await near.request(
                closed_address,
                loopback.Echo('x'),
                loopback.Echo,
                loopback.new_deadline(),
            )
        refused = api.Unreachable('connection_refused')
        self.assertEqual(expression.Error(refused), answer)
        self.assertEqual(1, near.traffic.dial_failures['connection_refused'])

    async def test_failing_handler(self) -> None:
        """An exception in a handler declines only its request."""
        near, far = _pair()

        async def fail(
            sender: api.Sender, message: api.Message, deadline: float
        ) -> api.Message:
            raise ValueError('a bug')

        far.register(loopback.Echo, fail)
        async with loopback.running(near, far):
            answer = await near.request(
                far.address,
                loopback.Echo('x'),
                loopback.Echo,
                loopback.new_deadline(),
            )
            self.assertEqual(api.Declined('handler_failed'), answer.error)
            self.assertEqual(1, near.connection_count)

    async def test_expired_request_is_not_handled(self) -> None:
        """A request that is read after its deadline is dropped."""
        near, far = _pair()
        handled: list[api.Message] = []

        async def record(
            sender: api.Sender, message: api.Message, deadline: float
        ) -> None:
            handled.append(message)

        far.register(loopback.Echo, record)
        async with loopback.running(near, far):
            await near.request(
                far.address,
                loopback.Count(1),
                loopback.Echo,
                loopback.new_deadline(),
            )
            body = loopback.Echo('late')
            conn = next(iter(near._connections))
            frame = codec.Frame(
                codec.FrameKind.REQUEST,
                99,
                near._router.codec.body(body),
                loopback.new_deadline() - 60.0,
            )
            conn._enqueue(frame)
            await loopback.wait_until(
                lambda: far.traffic.dropped['expired'] == 1
            )
        self.assertEqual([], handled)

    async def test_peer_stops_before_answering(self) -> None:
        """A request that may have been handled is reported as ``NoAnswer``."""
        near, far = _pair()
        handler_started = anyio.Event()

        async def hang(
            sender: api.Sender, message: api.Message, deadline: float
        ) -> None:
            handler_started.set()
            await anyio.sleep_forever()

        far.register(loopback.Echo, hang)
        async with near.running():
            async with anyio.create_task_group() as tasks:

                async def stop() -> None:
                    async with far.running():
                        started.set()
                        await handler_started.wait()

                started = anyio.Event()
                tasks.start_soon(stop)
                await started.wait()
                answer = await near.request(
                    far.address,
                    loopback.Echo('x'),
                    loopback.Echo,
                    loopback.new_deadline(),
                )
        self.assertIsInstance(answer.error, api.NoAnswer)


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    """Connections that carry nothing any more, without an error."""

    async def _ask(self, near: peers.Peers, far: peers.Peers) -> bool:
        """Send a request and return whether it was answered."""
        deadline = loopback.new_deadline() - 4.9
        answer = await near.request(
            far.address, loopback.Echo('x'), loopback.Echo, deadline
        )
        return answer.is_ok()

    async def test_silent_connection(self) -> None:
        """A connection without an answer to a ping is replaced."""
        near, far = _pair()
        async with loopback.running(near, far):
            self.assertTrue(await self._ask(near, far))
            with mock.patch.object(
                ws_connection.Connection, 'data_received', _ignore
            ):
                self.assertFalse(await self._ask(near, far))
                await loopback.wait_until(
                    lambda: near.traffic.closed['silent'] == 1
                )
            with anyio.fail_after(10.0):
                while not await self._ask(near, far):
                    pass

    async def test_slow_handler(self) -> None:
        """A connection is kept while the other side answers a ping."""
        near, far = _pair()

        async def hang(
            sender: api.Sender, message: loopback.Echo, deadline: float
        ) -> loopback.Echo:
            await anyio.sleep_forever()
            return message

        far.register(loopback.Echo, hang)
        async with loopback.running(near, far):
            for _ in range(3):
                self.assertFalse(await self._ask(near, far))
            await anyio.sleep(2 * connection.SILENT_SECONDS)
            self.assertEqual(0, near.traffic.closed['silent'])
            self.assertEqual(1, near.connection_count)


def _ignore(self: ws_connection.Connection, data: bytes) -> None:
    """Lose what has been received."""


class SendTest(unittest.IsolatedAsyncioTestCase):
    """One-way messages."""

    async def test_queue_is_bounded_while_peer_is_stalled(self) -> None:
        """A peer that does not read fills a bounded queue, then is closed."""
        near, far = _pair(max_queue_bytes=300_000, send_seconds=0.2)
        async with loopback.running(near, far):
            await near.request(
                far.address,
                loopback.Echo('x'),
                loopback.Echo,
                loopback.new_deadline(),
            )
            stalled = next(iter(far._connections))._socket
            stalled.transport.pause_reading()
            await self._send_until_closed(near, far)
            stalled.transport.resume_reading()
            answer = await near.request(
                far.address,
                loopback.Echo('woken'),
                loopback.Echo,
                loopback.new_deadline(),
            )
            self.assertTrue(answer.is_ok())

    async def test_large_message_queued_before_the_handshake(self) -> None:
        """The handshake's frame limit does not apply to queued messages."""
        near, far = _pair()
        sizes: list[int] = []

        async def record(
            sender: api.Sender, message: loopback.Echo, deadline: float
        ) -> None:
            sizes.append(len(message.data))

        far.register(loopback.Echo, record)
        async with loopback.running(near, far):
            near.send(far.address, loopback.Echo('x', bytes(500_000)))
            await loopback.wait_until(lambda: bool(sizes))
        self.assertEqual([500_000], sizes)

    async def _send_until_closed(
        self, near: peers.Peers, far: peers.Peers
    ) -> None:
        """Send until the connection is closed; some messages are dropped."""
        message = loopback.Echo('x', bytes(50_000))
        with anyio.fail_after(10.0):
            while not near.traffic.closed['send_timeout']:
                near.send(far.address, message)
                await anyio.sleep(0)
        self.assertGreater(near.traffic.dropped['queue_full'], 0)

    async def test_queued_message_is_replaced(self) -> None:
        """Of queued messages with one key only the newest is sent."""
        near, far = _pair()
        seen: list[str] = []

        async def record(
            sender: api.Sender, message: loopback.Echo, deadline: float
        ) -> None:
            seen.append(message.text)

        far.register(loopback.Echo, record)
        async with loopback.running(near, far):
            for text in 'abc':
                near.send(far.address, loopback.Echo(text), coalesce='key')
            near.send(far.address, loopback.Echo('last'))
            await loopback.wait_until(lambda: 'last' in seen)
        self.assertEqual(['c', 'last'], seen)


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """Streams of answers."""

    async def test_complete_stream(self) -> None:
        """All items arrive in order, for more items than the window."""
        near, far = _pair(stream_window=4)
        async with loopback.running(near, far):
            async with near.stream(
                far.address, loopback.Count(100), loopback.new_deadline()
            ) as items:
                texts = [item.text async for item in items]
        self.assertEqual([str(n) for n in range(100)], texts)

    async def test_flow_control(self) -> None:
        """The producer stops at the window while the consumer is idle."""
        near, far = _pair(stream_window=4)
        produced: list[int] = []

        async def produce(
            sender: api.Sender, message: api.Message, deadline: float
        ) -> abc.AsyncIterator[api.Message]:
            for number in range(100):
                produced.append(number)
                yield loopback.Echo(str(number))

        far.register(loopback.Count, stream=produce)
        async with loopback.running(near, far):
            async with near.stream(
                far.address, loopback.Count(100), loopback.new_deadline()
            ) as items:
                await items.__anext__()
                await near.request(
                    far.address,
                    loopback.Echo('x'),
                    loopback.Echo,
                    loopback.new_deadline(),
                )
                self.assertLessEqual(len(produced), 6)

    async def test_stream_broken_by_producer(self) -> None:
        """A failure of the producer raises an error at the consumer."""
        near, far = _pair()
        texts = []
        async with loopback.running(near, far):
            async with near.stream(
                far.address, loopback.Count(9, 3), loopback.new_deadline()
            ) as items:
                with self.assertRaises(api.StreamBroken) as caught:
                    async for item in items:
                        texts.append(item.text)
        self.assertEqual('upstream_broken', caught.exception.reason)
        self.assertEqual(['0', '1', '2'], texts)

    async def test_connection_lost_during_stream(self) -> None:
        """A lost connection raises an error; a new stream can be opened."""
        near, far = _pair(stream_window=4)
        async with loopback.running(near, far):
            async with near.stream(
                far.address, loopback.Count(100), loopback.new_deadline()
            ) as items:
                await items.__anext__()
                next(iter(far._connections))._socket.transport.abort()
                with self.assertRaises(api.StreamBroken):
                    async for _ in items:
                        pass
            await loopback.wait_until(lambda: near.connection_count == 0)
            async with near.stream(
                far.address, loopback.Count(3), loopback.new_deadline()
            ) as items:
                self.assertEqual(3, len([item async for item in items]))

    async def test_leaving_the_context_cancels_the_producer(self) -> None:
        """The producer is cancelled when the consumer leaves the context."""
        near, far = _pair()
        stopped = anyio.Event()

        async def produce(
            sender: api.Sender, message: api.Message, deadline: float
        ) -> abc.AsyncIterator[api.Message]:
            try:
                yield loopback.Echo('first')
                await anyio.sleep_forever()
            finally:
                stopped.set()

        far.register(loopback.Count, stream=produce)
        async with loopback.running(near, far):
            async with near.stream(
                far.address, loopback.Count(1), loopback.new_deadline()
            ) as items:
                await items.__anext__()
            with anyio.fail_after(5.0):
                await stopped.wait()
