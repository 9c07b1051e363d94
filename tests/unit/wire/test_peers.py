"""Tests of the connections between peers, over loopback sockets."""

from __future__ import annotations

import typing
import unittest

import anyio
import expression

from dogwoodquay.wire import api
from dogwoodquay.wire import codec

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
    for number in range(message.upto):
        if number == message.fail_at:
            raise api.StreamBroken('upstream_broken')
        yield loopback.Echo(str(number))


def _pair(**changes: typing.Any) -> tuple[peers.Peers, peers.Peers]:
    """Return a caller and an answerer of echoes."""
    near = loopback.peer('near', **changes)
    far = loopback.peer('far', **changes)
    for subject in (near, far):
        subject.register(loopback.Echo, _echo)
        subject.register(loopback.Count, stream=_count)
    return near, far


class RequestTest(unittest.IsolatedAsyncioTestCase):
    """Requests and their failures."""

    async def test_answer(self) -> None:
        """An answer comes back, in both directions of one connection."""
        near, far = _pair()
        asked = loopback.Echo('x', b'\x00\xff')
        async with loopback.running(near, far):
            for one, other in ((near, far), (far, near)):
                answer = await one.request(
                    other.address, asked, loopback.Echo, loopback.soon()
                )
                self.assertEqual(expression.Ok(asked), answer)
            self.assertEqual(1, near.connections)

    async def test_crossed_answers(self) -> None:
        """Answers that overtake each other reach their own requests."""
        near, far = _pair()
        gate = anyio.Event()

        async def answer(
            sender: api.Sender, message: loopback.Count, deadline: float
        ) -> api.Message:
            if message.upto == 0:
                await gate.wait()
            gate.set()
            return loopback.Echo(str(message.upto))

        far.register(loopback.Count, answer)
        texts: dict[int, str] = {}

        async def ask(number: int) -> None:
            result = await near.request(
                far.address,
                loopback.Count(number),
                loopback.Echo,
                loopback.soon(),
            )
            texts[number] = result.ok.text

        async with loopback.running(near, far):
            async with anyio.create_task_group() as tasks:
                for number in range(5):
                    tasks.start_soon(ask, number)
        self.assertEqual({n: str(n) for n in range(5)}, texts)

    async def test_nobody_listens(self) -> None:
        """A refused connection is told as certainly not handled."""
        near, far = _pair()
        async with far.running():
            gone = far.address
        async with near.running():
            answer = await near.request(
                gone, loopback.Echo('x'), loopback.Echo, loopback.soon()
            )
        refused = api.Unreachable('connection_refused')
        self.assertEqual(expression.Error(refused), answer)
        self.assertEqual(1, near.traffic.dial_failures['connection_refused'])

    async def test_failing_handler(self) -> None:
        """A handler's exception declines the request and nothing else."""
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
                loopback.soon(),
            )
            self.assertEqual(api.Declined('handler_failed'), answer.error)
            self.assertEqual(1, near.connections)

    async def test_expired_request_is_not_handled(self) -> None:
        """What a stalled peer finds after its deadline is dropped."""
        near, far = _pair()
        handled: list[api.Message] = []

        async def note(
            sender: api.Sender, message: api.Message, deadline: float
        ) -> None:
            handled.append(message)

        far.register(loopback.Echo, note)
        async with loopback.running(near, far):
            await near.request(
                far.address,
                loopback.Count(1),
                loopback.Echo,
                loopback.soon(),
            )
            body = loopback.Echo('late')
            opened = next(iter(near._open))
            frame = codec.Frame(
                codec.FrameKind.REQUEST,
                99,
                near._router.codec.body(body),
                loopback.soon() - 60.0,
            )
            opened._put(frame)
            await loopback.until(lambda: far.traffic.dropped['expired'] == 1)
        self.assertEqual([], handled)

    async def test_peer_stops_before_answering(self) -> None:
        """A request that may have been handled is not told as unsent."""
        near, far = _pair()
        reached = anyio.Event()

        async def hang(
            sender: api.Sender, message: api.Message, deadline: float
        ) -> None:
            reached.set()
            await anyio.sleep_forever()

        far.register(loopback.Echo, hang)
        async with near.running():
            async with anyio.create_task_group() as tasks:

                async def stop() -> None:
                    async with far.running():
                        started.set()
                        await reached.wait()

                started = anyio.Event()
                tasks.start_soon(stop)
                await started.wait()
                answer = await near.request(
                    far.address,
                    loopback.Echo('x'),
                    loopback.Echo,
                    loopback.soon(),
                )
        self.assertIsInstance(answer.error, api.NoAnswer)


class SendTest(unittest.IsolatedAsyncioTestCase):
    """One-way messages."""

    async def test_queue_is_bounded_while_peer_is_stalled(self) -> None:
        """A peer that does not read costs bounded memory and is dropped."""
        near, far = _pair(max_queue_bytes=300_000, send_seconds=0.2)
        async with loopback.running(near, far):
            await near.request(
                far.address,
                loopback.Echo('x'),
                loopback.Echo,
                loopback.soon(),
            )
            stalled = next(iter(far._open))._socket
            stalled.transport.pause_reading()
            await self._send_until_closed(near, far)
            stalled.transport.resume_reading()
            answer = await near.request(
                far.address,
                loopback.Echo('woken'),
                loopback.Echo,
                loopback.soon(),
            )
            self.assertTrue(answer.is_ok())

    async def test_large_message_opens_the_connection(self) -> None:
        """What waits for the handshake is not held to its frame limit."""
        near, far = _pair()
        sizes: list[int] = []

        async def note(
            sender: api.Sender, message: loopback.Echo, deadline: float
        ) -> None:
            sizes.append(len(message.data))

        far.register(loopback.Echo, note)
        async with loopback.running(near, far):
            near.send(far.address, loopback.Echo('x', bytes(500_000)))
            await loopback.until(lambda: bool(sizes))
        self.assertEqual([500_000], sizes)

    async def _send_until_closed(
        self, near: peers.Peers, far: peers.Peers
    ) -> None:
        """Send more than sockets hold; the queue has to turn some away."""
        message = loopback.Echo('x', bytes(50_000))
        with anyio.fail_after(10.0):
            while not near.traffic.closed['send_timeout']:
                near.send(far.address, message)
                await anyio.sleep(0)
        self.assertGreater(near.traffic.dropped['queue_full'], 0)

    async def test_waiting_message_is_replaced(self) -> None:
        """Of messages with one word only the newest goes out."""
        near, far = _pair()
        seen: list[str] = []

        async def note(
            sender: api.Sender, message: loopback.Echo, deadline: float
        ) -> None:
            seen.append(message.text)

        far.register(loopback.Echo, note)
        async with loopback.running(near, far):
            for text in 'abc':
                near.send(far.address, loopback.Echo(text), coalesce='word')
            near.send(far.address, loopback.Echo('last'))
            await loopback.until(lambda: 'last' in seen)
        self.assertEqual(['c', 'last'], seen)


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """Streams of answers."""

    async def test_whole_stream(self) -> None:
        """All items come in order, far beyond the window."""
        near, far = _pair(stream_window=4)
        async with loopback.running(near, far):
            async with near.stream(
                far.address, loopback.Count(100), loopback.soon()
            ) as items:
                texts = [item.text async for item in items]
        self.assertEqual([str(n) for n in range(100)], texts)

    async def test_producer_waits_for_consumer(self) -> None:
        """An idle consumer holds the producer back at the window."""
        near, far = _pair(stream_window=4)
        made: list[int] = []

        async def produce(
            sender: api.Sender, message: api.Message, deadline: float
        ) -> abc.AsyncIterator[api.Message]:
            for number in range(100):
                made.append(number)
                yield loopback.Echo(str(number))

        far.register(loopback.Count, stream=produce)
        async with loopback.running(near, far):
            async with near.stream(
                far.address, loopback.Count(100), loopback.soon()
            ) as items:
                await items.__anext__()
                await near.request(
                    far.address,
                    loopback.Echo('x'),
                    loopback.Echo,
                    loopback.soon(),
                )
                self.assertLessEqual(len(made), 6)

    async def test_broken_by_producer(self) -> None:
        """A producer's failure is not taken for the end."""
        near, far = _pair()
        texts = []
        async with loopback.running(near, far):
            async with near.stream(
                far.address, loopback.Count(9, 3), loopback.soon()
            ) as items:
                with self.assertRaises(api.StreamBroken) as caught:
                    async for item in items:
                        texts.append(item.text)
        self.assertEqual('upstream_broken', caught.exception.reason)
        self.assertEqual(['0', '1', '2'], texts)

    async def test_connection_cut(self) -> None:
        """A cut in the middle is told, and a new stream can be opened."""
        near, far = _pair(stream_window=4)
        async with loopback.running(near, far):
            async with near.stream(
                far.address, loopback.Count(100), loopback.soon()
            ) as items:
                await items.__anext__()
                next(iter(far._open))._socket.transport.abort()
                with self.assertRaises(api.StreamBroken):
                    async for _ in items:
                        pass
            await loopback.until(lambda: near.connections == 0)
            async with near.stream(
                far.address, loopback.Count(3), loopback.soon()
            ) as items:
                self.assertEqual(3, len([item async for item in items]))

    async def test_leaving_cancels_the_producer(self) -> None:
        """The producer stops when the consumer has left."""
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
                far.address, loopback.Count(1), loopback.soon()
            ) as items:
                await items.__anext__()
            with anyio.fail_after(5.0):
                await stopped.wait()
