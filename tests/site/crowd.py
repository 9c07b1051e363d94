"""Clients outside the limits, which connect to an instance at once."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import socket
import subprocess
import typing

import h2.config
import h2.connection
import h2.exceptions

from . import processes

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'Crowd',
    'FILE_DESCRIPTORS',
    'chunk',
    'head',
    'limited_site',
    'open_descriptors',
    'peak_memory_mb',
]

_POLL_SECONDS: typing.Final = 0.25
# A crowd without progress for this long waits for the instance, not for time
# on a processor.
_SETTLED_SECONDS: typing.Final = 2.0
_RECEIVE_BUFFER_BYTES: typing.Final = 64 << 10
_HTTP2_FRAME_BYTES: typing.Final = 16 << 10
_HTTP2_HEADERS: typing.Final = (
    (':method', 'POST'),
    (':path', '/plain/crowd'),
    (':scheme', 'http'),
    (':authority', 'site.example'),
)
# More than an instance without requests needs within the same time.
_TICKS_OF_WORK: typing.Final = 25
# Descriptors that the platform keeps free for files.
FILE_DESCRIPTORS: typing.Final = 200


def head(method: str, path: str, *fields: str) -> bytes:
    """Return the head of a request on one of the site's routes."""
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: site.example',
        'Deadline-Ms: 5000',
        *fields,
    ]
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body without a length."""
    return b'%x\r\n%s\r\n' % (len(data), data)


def limited_site(
    memory_mb: int, max_descriptors: int, configuration: dict[str, object]
) -> contextlib.AbstractAsyncContextManager[processes.Site]:
    """Run a site of one instance with limits on its process."""
    limits = f'[Limits]\nMemoryMb = {memory_mb}\nMaxFds = {max_descriptors}\n'
    return processes.Site.running(1, configuration, more_settings=limits)


class HasProcess(typing.Protocol):
    """What runs in a process of its own."""

    @property
    def process(self) -> subprocess.Popen[typing.Any]:
        """The process."""


class Crowd:
    """Connected clients, each of which sends bytes and reads nothing."""

    def __init__(self, instance: HasProcess, port: int) -> None:
        self._instance = instance
        self._port = port
        self._sockets: list[socket.socket] = []
        self._sent_bytes = 0

    @classmethod
    @contextlib.asynccontextmanager
    async def connected(
        cls, instance: HasProcess, port: int, count: int
    ) -> abc.AsyncIterator[Crowd]:
        """Connect clients, as far as the instance accepts them."""
        crowd = cls(instance, port)
        try:
            for _ in range(count):
                await crowd._connect()
            yield crowd
        finally:
            crowd.close()

    def close(self) -> None:
        """Close all connections."""
        for client in self._sockets:
            client.close()

    async def send(
        self, parts_of: abc.Callable[[int], abc.Iterable[bytes]]
    ) -> None:
        """Send each client's parts until all are sent or nothing is taken.

        :param parts_of: returns the parts that a client with a number sends.
        """
        await self._run(
            [
                self._send(client, parts_of(number))
                for number, client in enumerate(self._sockets)
            ]
        )

    async def _run(
        self, clients: list[abc.Coroutine[typing.Any, typing.Any, None]]
    ) -> None:
        """Run clients until none of them makes progress."""
        tasks = [asyncio.create_task(client) for client in clients]
        try:
            await self._settle()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def send_http2(self, streams: int, data: bytes) -> None:
        """Begin requests with HTTP/2, whose bodies do not end.

        :param streams: the number of requests of each client.
        :param data: what each request sends of its body.
        """
        await self._run(
            [
                self._send_http2(client, streams, data)
                for client in self._sockets
            ]
        )

    async def call(
        self, request_of: abc.Callable[[int], bytes]
    ) -> list[processes.Answer]:
        """Send each client's request, then read the answers.

        :param request_of: returns the request that a client with a number
            sends.
        """

        async def call(client: socket.socket, data: bytes) -> processes.Answer:
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(client, data)
            reader, writer = await asyncio.open_connection(
                sock=client, limit=2 * len(data)
            )
            try:
                return await processes.read_answer(reader)
            finally:
                writer.close()

        return await asyncio.gather(
            *(
                call(client, request_of(number))
                for number, client in enumerate(self._sockets)
            )
        )

    async def _connect(self) -> None:
        client = socket.socket()
        client.setblocking(False)
        client.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._sockets.append(client)
        with contextlib.suppress(OSError):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(client, ('127.0.0.1', self._port))

    async def _send(
        self, client: socket.socket, parts: abc.Iterable[bytes]
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            for part in parts:
                await loop.sock_sendall(client, part)
                self._sent_bytes += len(part)
                await asyncio.sleep(0)

    async def _send_http2(
        self, client: socket.socket, streams: int, data: bytes
    ) -> None:
        loop = asyncio.get_running_loop()
        connection = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True)
        )
        connection.initiate_connection()
        with contextlib.suppress(OSError, h2.exceptions.H2Error):
            for number in range(streams):
                stream = 2 * number + 1
                connection.send_headers(stream, _HTTP2_HEADERS)
                while connection.local_flow_control_window(stream) < len(data):
                    await loop.sock_sendall(client, connection.data_to_send())
                    received = await loop.sock_recv(client, 64 << 10)
                    if not received:
                        return
                    connection.receive_data(received)
                for start in range(0, len(data), _HTTP2_FRAME_BYTES):
                    part = data[start : start + _HTTP2_FRAME_BYTES]
                    connection.send_data(stream, part)
                await loop.sock_sendall(client, connection.data_to_send())
                self._sent_bytes += len(data)

    async def _settle(self) -> None:
        """Wait until nothing more is sent, nor worked on by the instance."""
        polls, progress = 0, (0, -1)
        while polls * _POLL_SECONDS < _SETTLED_SECONDS:
            work = _processor_ticks(self._instance) // _TICKS_OF_WORK
            polls = polls + 1 if progress == (self._sent_bytes, work) else 0
            progress = self._sent_bytes, work
            await asyncio.sleep(_POLL_SECONDS)


def _processor_ticks(instance: HasProcess) -> int:
    """Return the processor time of a process so far."""
    path = pathlib.Path(f'/proc/{instance.process.pid}/stat')
    fields = path.read_text('ascii').rpartition(')')[2].split()
    return int(fields[11]) + int(fields[12])


def open_descriptors(instance: HasProcess) -> int:
    """Return the number of descriptors that a process has open."""
    with os.scandir(f'/proc/{instance.process.pid}/fd') as entries:
        return sum(1 for _ in entries)


def peak_memory_mb(instance: HasProcess) -> float:
    """Return the highest resident memory of a process so far."""
    path = pathlib.Path(f'/proc/{instance.process.pid}/status')
    fields = dict(
        line.split(':', 1) for line in path.read_text('ascii').splitlines()
    )
    return int(fields['VmHWM'].split()[0]) / 1024
