"""Serves callers' connections with hypercorn's protocols."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import anyio
from hypercorn.asyncio import tcp_server
from hypercorn.asyncio import worker_context
from hypercorn import events
from hypercorn import typing as hypercorn_typing
from hypercorn import utils

from . import protocol
from . import tasks

if typing.TYPE_CHECKING:
    from collections import abc
    import ssl

    from hypercorn import config as hypercorn_config

__all__ = ['Connection', 'serve']

# Turns of the event loop in which bytes that have arrived reach the reader.
READ_TURNS: typing.Final = 4
# The time in which connections that are ended write what they have.
CLOSE_SECONDS: typing.Final = 0.1

_Writers = dict[asyncio.Task[None], asyncio.StreamWriter]


class Connection(tcp_server.TCPServer):
    """A caller's connection.

    Hypercorn closes an idle connection in steps, and serves a request that it
    reads between them, which then gets no answer. Here a request that has
    arrived is read before the connection is closed, and one that arrives
    later is not read. Hypercorn also keeps a connection that its caller has
    closed until it has been idle for long enough; here it is closed at once.
    """

    _closed_idle = False
    _closed_by_caller = False

    def __init__(self, *args: typing.Any) -> None:
        super().__init__(*args)
        self._reading = anyio.CancelScope()

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        endpoint = self.writer.get_extra_info('socket')
        encrypted = self.writer.get_extra_info('ssl_object') is not None
        try:
            client = utils.parse_socket_addr(
                endpoint.family, endpoint.getpeername()
            )
            server = utils.parse_socket_addr(
                endpoint.family, endpoint.getsockname()
            )
            async with tasks.AppTasks(self.loop) as group:
                self._task_group = group
                # Hypercorn's wrapper of it selects between two protocols.
                self.protocol = typing.cast(
                    'typing.Any',
                    protocol.CallerProtocol(
                        self.app,
                        self.config,
                        self.context,
                        group,
                        hypercorn_typing.ConnectionState(self.state),
                        encrypted,
                        client,
                        server,
                        self.protocol_send,
                    ),
                )
                await self.protocol.initiate()
                await self.idle_task.restart(group, self._idle_timeout)
                await self._read_data()
        except OSError:
            pass
        finally:
            await self._close()

    async def protocol_send(self, event: events.Event) -> None:
        """Write what the protocol sends; a failed write ends the reading."""
        match event:
            case events.RawData():
                await self._write(event.data)
            case _:
                await super().protocol_send(event)

    async def _write(self, data: bytes) -> None:
        async with self.send_lock:
            try:
                self.writer.write(data)
                await self.writer.drain()
            except (ConnectionError, RuntimeError):
                await self.protocol.handle(events.Closed())
                self._reading.cancel()

    async def _read_data(self) -> None:
        # The protocol reads no further while a request sent ahead waits for
        # an answer before it; if that cannot be written, it waits for good.
        with self._reading:
            await self._read_until_closed()
        await self.protocol.handle(events.Closed())
        await self.idle_task.stop()

    async def _read_until_closed(self) -> None:
        while not self.reader.at_eof():
            try:
                data = await self.reader.read(tcp_server.MAX_RECV)
            except OSError:
                break
            if self._closed_idle:
                break
            await self.protocol.handle(events.RawData(data))
        self._closed_by_caller = True

    async def _idle_timeout(self) -> None:
        if self._closed_by_caller:
            return
        # Not wait_for(), which drops a cancellation that comes together with
        # the event: the connection would be closed under its request.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.config.keep_alive_timeout):
                await self.context.terminated.wait()
        # The reading task reads what has arrived, and cancels this one if it
        # is a request.
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)
        self._closed_idle = True
        self.writer.close()


async def serve(
    app: object,
    config: hypercorn_config.Config,
    shutdown_trigger: abc.Callable[[], abc.Awaitable[None]],
) -> None:
    """Serve until ``shutdown_trigger`` returns, then let requests end.

    Requests in flight get the graceful timeout of the configuration, as it is
    at that time; idle connections are closed at once.
    """
    loop = asyncio.get_running_loop()
    context = worker_context.WorkerContext(None)
    wrapper = utils.wrap_app(
        typing.cast('typing.Any', app), config.wsgi_max_body_size, 'asgi'
    )
    writers: _Writers = {}

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = typing.cast('asyncio.Task[None]', asyncio.current_task())
        writers[task] = writer
        task.add_done_callback(writers.pop)
        # Cancelled at the end of the graceful timeout.
        with contextlib.suppress(asyncio.CancelledError):
            await Connection(
                wrapper, loop, config, context, {}, reader, writer
            )

    servers = await _listen(config, serve_connection)
    try:
        await shutdown_trigger()
    finally:
        await context.terminated.set()
        await _stop_accepting(servers)
        for server in servers:
            server.close()
            await server.wait_closed()
        await _finish(writers, config.graceful_timeout)


async def _listen(
    config: hypercorn_config.Config,
    serve_connection: abc.Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], abc.Awaitable[None]
    ],
) -> list[asyncio.Server]:
    sockets = config.create_sockets()
    tls: ssl.SSLContext | None = None
    if config.ssl_enabled:
        config.alpn_protocols = list(protocol.ALPN_PROTOCOLS)
        tls = config.create_ssl_context()
    return [
        await asyncio.start_server(
            serve_connection, backlog=config.backlog, sock=sock, ssl=context
        )
        for group, context in (
            (sockets.secure_sockets, tls),
            (sockets.insecure_sockets, None),
        )
        for sock in group
    ]


async def _stop_accepting(servers: list[asyncio.Server]) -> None:
    """Accept no more connections, and let those accepted be served.

    A server that is closed before asyncio has attached an accepted connection
    to it leaves that connection open, and nobody reads it.
    """
    loop = asyncio.get_running_loop()
    for server in servers:
        for listener in server.sockets:
            loop.remove_reader(listener.fileno())
    for _ in range(READ_TURNS):
        await asyncio.sleep(0)


async def _finish(writers: _Writers, seconds: float) -> None:
    """Wait for connections to end, and end those that last longer.

    A caller that does not read keeps its connection from closing, unless the
    connection is aborted.
    """
    await _wait_until_ended(writers, seconds)
    for task in tuple(writers):
        task.cancel()
    await _wait_until_ended(writers, CLOSE_SECONDS)
    for writer in tuple(writers.values()):
        writer.transport.abort()
    await asyncio.gather(*writers, return_exceptions=True)


async def _wait_until_ended(writers: _Writers, seconds: float) -> None:
    """Wait for all connections, also those accepted meanwhile."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            while writers:
                await asyncio.wait(tuple(writers))
