"""The application behind hypercorn, over sockets."""

from __future__ import annotations

import socket
import typing
import unittest

import anyio
import anyio.abc

from dogwoodquay.entry import limits as limits_module
from dogwoodquay.entry import server
from tests.unit.dispatch import fakes
from tests.unit.entry import bad_inputs
from tests.unit.entry import client
from tests.unit.entry import test_whole_path as paths

_Work = typing.Callable[['Served'], typing.Awaitable[None]]


class Served:
    """A site that listens on loopback."""

    def __init__(self, limits: limits_module.Limits | None) -> None:
        self.site = client.Site(limits)
        self.settings = server.ServerSettings(
            '127.0.0.1', 0, drain_seconds=5.0, keep_alive_seconds=0.5
        )
        self.stop = anyio.Event()
        self.stopped = anyio.Event()
        self._listener = server.listen(self.settings)
        self.port = server.bound_port(self._listener)

    async def serve(self) -> None:
        await server.serve(
            self.site.app,
            self.settings,
            self._listener,
            self.stop,
            self.site.rig.clock,
        )
        self.stopped.set()

    async def send(self, data: bytes) -> anyio.abc.SocketStream:
        stream = await anyio.connect_tcp('127.0.0.1', self.port)
        await stream.send(data)
        return stream


async def read_until(stream: anyio.abc.SocketStream, end: bytes) -> bytes:
    """Read until some bytes came or the connection ended."""
    data = b''
    try:
        while end not in data:
            data += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        pass
    return data


class ServerTest(unittest.TestCase):
    """Connections that end, stall or outlive the server."""

    def run_with(
        self, work: _Work, limits: limits_module.Limits | None = None
    ) -> None:
        async def main() -> None:
            served = Served(limits)
            async with anyio.create_task_group() as group:
                group.start_soon(served.serve)
                await client.running(served.site, lambda: work(served))
                served.stop.set()
                with anyio.fail_after(20):
                    await served.stopped.wait()
                group.cancel_scope.cancel()

        anyio.run(main)

    def test_stop_finishes_a_stream(self) -> None:
        async def work(served: Served) -> None:
            served.site.rig.upstream.delay = 0.02
            stream = await served.send(
                bad_inputs.request(paths.chat(stream=True))
            )
            async with stream:
                data = await read_until(stream, b'\nid: 1\n')
                served.stop.set()
                data += await read_until(stream, b'0\r\n\r\n')
            self.assertIn(b'data: [DONE]', data)
            await served.stopped.wait()

        self.run_with(work)

    def test_closed_connection_ends_the_work(self) -> None:
        async def work(served: Served) -> None:
            upstream = served.site.rig.upstream
            upstream.faults.append(fakes.Fault.HUNG)
            stream = await served.send(bad_inputs.request(paths.chat()))
            while not upstream.calls:
                await anyio.sleep(0.005)
            await stream.aclose()
            while not upstream.stopped:
                await anyio.sleep(0.005)
            self.assertEqual(served.site.rig.dispatcher.in_flight, 0)

        self.run_with(work)

    def test_large_body_gets_its_answer(self) -> None:
        """A caller that sends all before it reads sees why it is refused."""

        async def work(served: Served) -> None:
            data = bad_inputs.request(b'x' * (8 << 20))
            stream = await served.send(data)
            async with stream:
                answer = await read_until(stream, b'body_too_large')
            self.assertIn(b' 413 ', answer)
            self.assertIn(b'body_too_large', answer)

        self.run_with(work, bad_inputs.LIMITS)

    def test_two_lengths(self) -> None:
        """A request that could be read as two is refused and closed."""

        async def work(served: Served) -> None:
            hidden = b'GET /livez HTTP/1.1\r\nHost: a\r\n\r\n'
            head = (
                b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
                b'Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n'
            ) % (len(hidden) + 5)
            stream = await served.send(head + b'0\r\n\r\n' + hidden)
            async with stream:
                answer = await read_until(stream, b'\x00')
            self.assertIn(b' 400 ', answer)
            self.assertIn(b'connection: close', answer.lower())
            self.assertEqual(1, answer.count(b'HTTP/1.1'))

        self.run_with(work)

    def test_cut_stream_has_no_last_chunk(self) -> None:
        async def work(served: Served) -> None:
            served.site.rig.upstream.delay = 0.02
            first = await served.send(
                bad_inputs.request(paths.chat(stream=True))
            )
            data = await read_until(first, b'\nid: 2\n')
            head = data.partition(b'\r\n\r\n')[0].decode()
            name = 'x-stream-id: '
            stream_id = head[head.index(name) + len(name) :].split('\r\n')[0]
            second = await served.send(
                bad_inputs.request(
                    b'',
                    'GET',
                    f'/v1/streams/{stream_id}',
                    last_event_id='1',
                )
            )
            taken = await read_until(second, b'0\r\n\r\n')
            left = await read_until(first, b'\x00')
            self.assertIn(b'id: 2\n', taken)
            self.assertIn(b'[DONE]', taken)
            self.assertNotIn(b'[DONE]', data + left)
            self.assertFalse(left.endswith(b'0\r\n\r\n'))
            await first.aclose()
            await second.aclose()

        self.run_with(work)

    def test_slow_reader_slows_nobody(self) -> None:
        limits = limits_module.Limits(write_stall_seconds=0.3)

        async def work(served: Served) -> None:
            upstream = served.site.rig.upstream
            upstream.padding = 512 << 10
            slow = socket.create_connection(('127.0.0.1', served.port))
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            slow.sendall(bad_inputs.request(paths.chat(stream=True)))
            while not upstream.calls:
                await anyio.sleep(0.005)
            await anyio.sleep(0.05)
            upstream.padding = 0
            for _ in range(20):
                stream = await served.send(bad_inputs.request(paths.chat()))
                async with stream:
                    await read_until(stream, b'"text"')
            self.assertLess(served.site.streams.held_bytes, 3 << 20)
            self.assertEqual(served.site.rig.dispatcher.in_flight, 1)
            slow.close()

        self.run_with(work, limits)
