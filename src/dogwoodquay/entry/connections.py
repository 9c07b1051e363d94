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

from . import guard as guards
from . import holdings
from . import protocol
from . import tasks

if typing.TYPE_CHECKING:
    from collections import abc
    import ssl

    from hypercorn import config as hypercorn_config

__all__ = ['Connection', 'serve']

# Turns of the event loop in which bytes that have arrived reach the reader.
READ_TURNS: typing.Final = 4
# What one read takes from a socket. All connections may be read in one turn
# of the event loop, before any of them is closed for what it holds.
READ_BYTES: typing.Final = 16 << 10
# Of what arrives, up to twice as much waits to be parsed.
READ_BUFFER_BYTES: typing.Final = 16 << 10
# The time in which connections that are ended write what they have.
CLOSE_SECONDS: typing.Final = 0.1

_Writers = dict[asyncio.Task[None], asyncio.StreamWriter]


class CountingReader(asyncio.StreamReader):
    """Counts what arrives on a connection."""

    fed_bytes = 0
    _holding: holdings.Holding | None = None

    def count(self, holding: holdings.Holding) -> None:
        """Count from now on what arrives."""
        self._holding = holding

    def feed_data(self, data: typing.Any) -> None:
        """Take bytes that have arrived."""
        if self._holding is None or self._holding.receive(data):
            self.fed_bytes += len(data)
            super().feed_data(data)


class Connection(tcp_server.TCPServer):
    """A caller's connection.

    Hypercorn closes an idle connection in steps, and serves a request that it
    reads between them, which then gets no answer. Here a request that has
    arrived is read before the connection is closed, and one that arrives
    later is not read. Hypercorn also keeps a connection that its caller has
    closed until it has been idle for long enough; here it is closed at once.
    """

    _closed_idle = False
    _reading_ended = False

    def __init__(
        self,
        app: hypercorn_typing.AppWrapper,
        config: hypercorn_config.Config,
        context: worker_context.WorkerContext,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        guard: guards.ConnectionGuard,
        listener: str,
    ) -> None:
        """Create the connection; ``run`` serves it.

        :param listener: the name under which the guard counts it.
        """
        self._reading: anyio.CancelScope | None = None
        self._taken_bytes = 0
        self._counting_reader = reader
        self._client = str(writer.get_extra_info('peername', ('',))[0])
        state: typing.Any = {}
        loop = asyncio.get_running_loop()
        super().__init__(app, loop, config, context, state, reader, writer)
        self._holding = guard.open(listener, self)
        state[holdings.STATE_KEY] = self._holding
        # An attribute of the transports of sockets, not of TLS.
        typing.cast('typing.Any', writer.transport).max_size = READ_BYTES
        reader.count(self._holding)

    @property
    def client(self) -> str:
        """The address of the client."""
        return self._client

    @property
    def unwritten_bytes(self) -> int:
        """What is written and was not sent to the client yet."""
        return self.writer.transport.get_write_buffer_size()

    @property
    def _unread_bytes(self) -> int:
        """What has arrived of the next request."""
        trailing = self._protocol.connection.trailing_data[0]
        taken = self._counting_reader.fed_bytes - self._taken_bytes
        return taken + len(trailing)

    def abort(self) -> None:
        """Close the connection without sending what is left."""
        self.writer.transport.abort()
        self._end_reading()

    def _end_reading(self) -> None:
        if self._reading is not None:
            self._reading.cancel()

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
                self._protocol = protocol.CallerProtocol(
                    self._holding,
                    self.app,
                    self.config,
                    self.context,
                    group,
                    hypercorn_typing.ConnectionState(self.state),
                    encrypted,
                    client,
                    server,
                    self.protocol_send,
                )
                # Hypercorn's wrapper of it selects between two protocols.
                self.protocol = typing.cast('typing.Any', self._protocol)
                await self.protocol.initiate()
                await self.idle_task.restart(group, self._idle_timeout)
                await self._read_data()
        except OSError:
            pass
        finally:
            await self._close()

    async def serve(self) -> None:
        """Serve the connection and count it until then."""
        try:
            # Cancelled at the end of the graceful timeout.
            with contextlib.suppress(asyncio.CancelledError):
                await self.run()
        finally:
            self._holding.forget()

    async def _close(self) -> None:
        # Waits for what is left to be written.
        self._holding.on_written()
        await super()._close()

    async def protocol_send(self, event: events.Event) -> None:
        """Write what the protocol sends; a failed write ends the reading."""
        match event:
            case events.RawData():
                await self._write(event.data)
            case events.Updated(idle=True):
                self._holding.finish(self._unread_bytes)
                await super().protocol_send(event)
            case _:
                await super().protocol_send(event)

    async def _write(self, data: bytes) -> None:
        async with self.send_lock:
            try:
                self.writer.write(data)
                self._holding.on_written()
                await self.writer.drain()
            except (ConnectionError, RuntimeError):
                await self.protocol.handle(events.Closed())
                self._end_reading()

    async def _read_data(self) -> None:
        # The protocol reads no further while a request sent ahead waits for
        # an answer before it; if that cannot be written, it waits for good.
        with anyio.CancelScope() as self._reading:
            await self._read_until_closed()
        self._reading_ended = True
        await self.protocol.handle(events.Closed())
        await self.idle_task.stop()

    async def _read_until_closed(self) -> None:
        while not self.reader.at_eof():
            try:
                data = await self.reader.read(READ_BYTES)
            except OSError:
                break
            if self._closed_idle or self._holding.is_closed:
                break
            self._taken_bytes += len(data)
            await self.protocol.handle(events.RawData(data))

    async def _idle_timeout(self) -> None:
        if self._reading_ended:
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
    guard: guards.ConnectionGuard | None = None,
    listener: str = guards.CALLERS,
) -> None:
    """Serve until ``shutdown_trigger`` returns, then let requests end.

    Requests in flight get the graceful timeout of the configuration, as it is
    at that time; idle connections are closed at once.

    :param guard: limits what connections hold; no limits if not given.
    :param listener: the name under which the guard counts them.
    """
    context = worker_context.WorkerContext(None)
    wrapper = utils.wrap_app(
        typing.cast('typing.Any', app), config.wsgi_max_body_size, 'asgi'
    )
    guard = guard or guards.ConnectionGuard(guards.GuardSettings())
    writers: _Writers = {}

    async def serve_connection(
        connection: Connection, writer: asyncio.StreamWriter
    ) -> None:
        task = typing.cast('asyncio.Task[None]', asyncio.current_task())
        writers[task] = writer
        task.add_done_callback(writers.pop)
        await connection.serve()

    def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> abc.Coroutine[typing.Any, typing.Any, None]:
        connection = Connection(
            wrapper,
            config,
            context,
            typing.cast('CountingReader', reader),
            writer,
            guard,
            listener,
        )
        return serve_connection(connection, writer)

    servers = await _listen(config, accept)
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
    accept: abc.Callable[
        [asyncio.StreamReader, asyncio.StreamWriter],
        abc.Coroutine[typing.Any, typing.Any, None],
    ],
) -> list[asyncio.Server]:
    loop = asyncio.get_running_loop()
    sockets = config.create_sockets()
    tls: ssl.SSLContext | None = None
    if config.ssl_enabled:
        config.alpn_protocols = list(protocol.ALPN_PROTOCOLS)
        tls = config.create_ssl_context()

    def connect() -> asyncio.StreamReaderProtocol:
        reader = CountingReader(limit=READ_BUFFER_BYTES, loop=loop)
        return asyncio.StreamReaderProtocol(reader, accept, loop=loop)

    return [
        await loop.create_server(
            connect, backlog=config.backlog, sock=sock, ssl=context
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
