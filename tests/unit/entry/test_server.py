"""Tests of the application behind hypercorn, over sockets."""

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
from tests.unit.entry import test_requests as requests

_Scenario = typing.Callable[['RunningServer'], typing.Awaitable[None]]


class RunningServer:
    """An entry application served on loopback."""

    def __init__(self, limits: limits_module.Limits | None) -> None:
        self.harness = client.EntryHarness(limits)
        self.settings = server.ServerSettings(
            '127.0.0.1', 0, drain_seconds=5.0, keep_alive_seconds=0.5
        )
        self.stop = anyio.Event()
        self.stopped = anyio.Event()
        self._listener = server.listen(self.settings)
        self.port = server.bound_port(self._listener)

    async def serve(self) -> None:
        await server.serve(
            self.harness.app,
            self.settings,
            self._listener,
            self.stop,
            self.harness.rig.clock,
        )
        self.stopped.set()

    async def send(self, data: bytes) -> anyio.abc.SocketStream:
        stream = await anyio.connect_tcp('127.0.0.1', self.port)
        await stream.send(data)
        return stream


async def read_until(stream: anyio.abc.SocketStream, end: bytes) -> bytes:
    """Read until ``end`` is received or the connection has ended."""
    data = b''
    try:
        while end not in data:
            data += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        pass
    return data


class ServerTest(unittest.TestCase):
    """Connections that are closed, stalled or open at shutdown."""

    def run_with(
        self, scenario: _Scenario, limits: limits_module.Limits | None = None
    ) -> None:
        async def main() -> None:
            running = RunningServer(limits)
            async with anyio.create_task_group() as group:
                group.start_soon(running.serve)
                await client.run_with_background(
                    running.harness,
                    lambda: scenario(running),
                )
                running.stop.set()
                with anyio.fail_after(20):
                    await running.stopped.wait()
                group.cancel_scope.cancel()

        anyio.run(main)

    def test_shutdown_finishes_streams(self) -> None:
        async def scenario(running: RunningServer) -> None:
            running.harness.rig.upstream.delay = 0.02
            stream = await running.send(
                bad_inputs.raw_request(requests.chat_body(stream=True))
            )
            async with stream:
                data = await read_until(stream, b'\nid: 1\n')
                running.stop.set()
                data += await read_until(stream, b'0\r\n\r\n')
            self.assertIn(b'data: [DONE]', data)
            await running.stopped.wait()

        self.run_with(scenario)

    def test_shutdown_refuses_unfinished_bodies(self) -> None:
        """A request whose body does not come gets an answer of ours."""

        async def scenario(running: RunningServer) -> None:
            stream = await running.send(
                bad_inputs.raw_request(b'{', length=1000)
            )
            async with stream:
                while not running.harness.app.buffered_body_bytes:
                    await anyio.sleep(0.005)
                running.stop.set()
                response = await read_until(stream, b'\x00')
            self.assertIn(b' 503 ', response)
            self.assertIn(b'"reason":"draining","outcome":"not_run"', response)
            self.assertIn(b'connection: close', response.lower())
            self.assertEqual(0, running.harness.app.buffered_body_bytes)

        self.run_with(scenario)

    def test_closed_connection_cancels_request(self) -> None:
        async def scenario(running: RunningServer) -> None:
            upstream = running.harness.rig.upstream
            upstream.faults.append(fakes.Fault.HUNG)
            stream = await running.send(
                bad_inputs.raw_request(requests.chat_body())
            )
            while not upstream.calls:
                await anyio.sleep(0.005)
            await stream.aclose()
            while not upstream.stopped:
                await anyio.sleep(0.005)
            self.assertEqual(running.harness.rig.dispatcher.in_flight, 0)

        self.run_with(scenario)

    def test_large_body_gets_error_response(self) -> None:
        """A caller that sends the whole body before it reads gets the error.

        Closing the connection with unread bytes would reset it.
        """

        async def scenario(running: RunningServer) -> None:
            data = bad_inputs.raw_request(b'x' * (8 << 20))
            stream = await running.send(data)
            async with stream:
                response = await read_until(stream, b'body_too_large')
            self.assertIn(b' 413 ', response)
            self.assertIn(b'body_too_large', response)

        self.run_with(scenario, bad_inputs.LIMITS)

    def test_conflicting_body_lengths(self) -> None:
        """A request that could be parsed as two is refused.

        The connection closes after the response.
        """

        async def scenario(running: RunningServer) -> None:
            hidden = b'GET /livez HTTP/1.1\r\nHost: a\r\n\r\n'
            head = (
                b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
                b'Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n'
            ) % (len(hidden) + 5)
            stream = await running.send(head + b'0\r\n\r\n' + hidden)
            async with stream:
                response = await read_until(stream, b'\x00')
            self.assertIn(b' 400 ', response)
            self.assertIn(b'connection: close', response.lower())
            self.assertEqual(1, response.count(b'HTTP/1.1'))

        self.run_with(scenario)

    def test_replaced_reader_gets_no_last_chunk(self) -> None:
        async def scenario(running: RunningServer) -> None:
            running.harness.rig.upstream.delay = 0.02
            first = await running.send(
                bad_inputs.raw_request(requests.chat_body(stream=True))
            )
            data = await read_until(first, b'\nid: 2\n')
            head = data.partition(b'\r\n\r\n')[0].decode()
            name = 'x-stream-id: '
            stream_id = head[head.index(name) + len(name) :].split('\r\n')[0]
            second = await running.send(
                bad_inputs.raw_request(
                    b'',
                    'GET',
                    f'/v1/streams/{stream_id}',
                    last_event_id='1',
                )
            )
            resumed = await read_until(second, b'0\r\n\r\n')
            rest = await read_until(first, b'\x00')
            self.assertIn(b'id: 2\n', resumed)
            self.assertIn(b'[DONE]', resumed)
            self.assertNotIn(b'[DONE]', data + rest)
            self.assertFalse(rest.endswith(b'0\r\n\r\n'))
            await first.aclose()
            await second.aclose()

        self.run_with(scenario)

    def test_slow_reader_does_not_delay_others(self) -> None:
        limits = limits_module.Limits(write_stall_seconds=0.3)

        async def scenario(running: RunningServer) -> None:
            upstream = running.harness.rig.upstream
            upstream.padding = 512 << 10
            slow = socket.create_connection(('127.0.0.1', running.port))
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            slow.sendall(
                bad_inputs.raw_request(requests.chat_body(stream=True))
            )
            while not upstream.calls:
                await anyio.sleep(0.005)
            await anyio.sleep(0.05)
            upstream.padding = 0
            for _ in range(20):
                stream = await running.send(
                    bad_inputs.raw_request(requests.chat_body())
                )
                async with stream:
                    await read_until(stream, b'"text"')
            self.assertLess(running.harness.streams.kept_bytes, 3 << 20)
            self.assertEqual(running.harness.rig.dispatcher.in_flight, 1)
            slow.close()

        self.run_with(scenario, limits)
