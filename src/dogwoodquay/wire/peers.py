"""Connections to the peers of an instance, opened on demand."""

from __future__ import annotations

import contextlib
import typing

import anyio
import expression
import websockets

from . import api
from . import auth
from . import codec
from . import connection
from . import dial
from . import handshake
from . import links
from ..observe import logs
from . import queue
from . import router
from . import traffic

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from websockets.asyncio import connection as ws_connection
    from websockets.asyncio import server as ws_server

    from .. import clock as clocks
    from . import settings
    from . import unauthenticated

__all__ = ['Peers']

# The least time between two lines about refused connections.
LOG_SECONDS: typing.Final = 1.0
_LOG: typing.Final = logs.ComponentLog('peers')


class Peers:
    """Accepts and opens connections; implements ``api.Transport``.

    :param dialler: opens the sockets; tests of partitions replace it.
    """

    def __init__(
        self,
        limits: settings.WireSettings,
        clock: clocks.Clock,
        rng: random.Random,
        dialler: dial.Dialler = dial.open_socket,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._rng = rng
        self._dialler = dialler
        self._secrets = auth.Secrets(limits.secrets)
        self._router = router.Router()
        self._traffic = traffic.Traffic()
        self._links: dict[api.PeerAddress, links.Link] = {}
        self._connections: set[connection.Connection] = set()
        self._handshakes = 0
        self._unlogged = 0
        self._log_at = 0.0
        self._unauthenticated: unauthenticated.Unauthenticated
        self._tasks: anyio.abc.TaskGroup | None = None
        self._address = api.PeerAddress(limits.address, limits.port)

    @property
    def address(self) -> api.PeerAddress:
        """The listening address; its port is known while running."""
        return self._address

    @property
    def traffic(self) -> traffic.Traffic:
        """Counters of frames, bytes, refusals and drops."""
        return self._traffic

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    @contextlib.asynccontextmanager
    async def running(self) -> abc.AsyncIterator[None]:
        """Accept and open connections until the context is left."""
        async with anyio.create_task_group() as tasks:
            server = await self._listen()
            host, port = server.sockets[0].getsockname()[:2]
            self._address = api.PeerAddress(host, port)
            self._tasks = tasks
            tasks.start_soon(self._close_idle)
            try:
                yield
            finally:
                self._tasks = None
                self._close_all()
                await self._stop_listening(server)
                tasks.cancel_scope.cancel()

    def register(
        self,
        message_type: type[api.Message],
        handler: api.Handler | None = None,
        stream: api.StreamHandler | None = None,
    ) -> None:
        """Register a message type and its local handlers, if any."""
        self._router.register(message_type, handler, stream)

    def send(
        self, peer: api.PeerAddress, message: api.Message, coalesce: str = ''
    ) -> bool:
        """Queue a one-way message; return false if it was dropped."""
        link = self._get_link(peer)
        if link.ready is not None:
            return link.ready.send(message, coalesce)
        self._dial(peer, link)
        if link.outgoing is None:
            self._traffic.dropped['backoff'] += 1
            return False
        body = self._router.codec.body(message)
        frame = codec.Frame(codec.FrameKind.ONE_WAY, 0, body)
        return link.outgoing.put(codec.encode(frame), coalesce)

    async def request(
        self,
        peer: api.PeerAddress,
        message: api.Message,
        answer_type: type[api.Answer],
        deadline: float,
    ) -> expression.Result[api.Answer, api.WireError]:
        """Send a message and wait for its answer."""
        conn = await self._get_connection(peer, deadline)
        if isinstance(conn, api.Unreachable):
            return expression.Error(conn)
        return await conn.request(message, answer_type, deadline)

    @contextlib.asynccontextmanager
    async def stream(
        self, peer: api.PeerAddress, message: api.Message, deadline: float
    ) -> abc.AsyncIterator[abc.AsyncIterator[api.Message]]:
        """Open a stream of answers; leaving the context cancels it."""
        conn = await self._get_connection(peer, deadline)
        if isinstance(conn, api.Unreachable):
            yield _UnreachableStream(conn.reason)
            return
        async with conn.stream(message, deadline) as items:
            yield items

    def disconnect(self, peer: api.PeerAddress) -> None:
        """Close the connections to a peer and drop its queued messages."""
        self._links.pop(peer, None)
        for conn in list(self._connections):
            if conn.peer.address == peer:
                conn.close()

    def _get_link(self, peer: api.PeerAddress) -> links.Link:
        link = self._links.get(peer)
        if link is None:
            link = self._links[peer] = links.Link()
        return link

    async def _get_connection(
        self, peer: api.PeerAddress, deadline: float
    ) -> connection.Connection | api.Unreachable:
        link = self._get_link(peer)
        if link.ready is None:
            self._dial(peer, link)
        if link.ready is None and link.dialling:
            remaining = deadline - self._clock.now()
            with anyio.move_on_after(max(0.0, remaining)):
                await link.dial_finished().wait()
        if link.ready is not None:
            return link.ready
        reason = 'deadline' if link.dialling else link.last_failure
        return api.Unreachable(reason)

    def _dial(self, peer: api.PeerAddress, link: links.Link) -> None:
        if self._tasks is None or not link.may_dial(self._clock.now()):
            return
        link.dial_started(queue.SendQueue(self._limits.max_queue_bytes))
        self._tasks.start_soon(self._open_connection, peer, link)

    async def _open_connection(
        self, peer: api.PeerAddress, link: links.Link
    ) -> None:
        outgoing = link.outgoing
        assert outgoing is not None
        conn = None
        try:
            socket = await self._dialler(peer, self._limits)
            conn = await self._authenticate(socket, outgoing)
        except auth.AuthError as error:
            self._record_dial_failure(link, error.reason.value)
        except TimeoutError:
            self._record_dial_failure(link, 'timeout')
        except (OSError, websockets.WebSocketException):
            self._record_dial_failure(link, 'connection_refused')
        if conn is not None:
            link.connected(conn)
        link.dial_ended()
        if conn is not None:
            await self._serve(conn)

    async def _authenticate(
        self, socket: ws_connection.Connection, outgoing: queue.SendQueue
    ) -> connection.Connection:
        own = self._identity()
        try:
            peer = await handshake.initiate(
                socket, own, self._secrets, self._limits
            )
        except auth.AuthError:
            await _close_socket(socket)
            raise
        return self._make_connection(socket, peer, outgoing)

    def _record_dial_failure(self, link: links.Link, reason: str) -> None:
        self._traffic.dial_failures[reason] += 1
        link.dial_failed(reason, self._clock.now(), self._limits, self._rng)

    async def _listen(self) -> ws_server.Server:
        # Imported while the first reads of the store wait for their answers.
        from websockets.asyncio import server as ws_server

        from . import unauthenticated

        self._unauthenticated = unauthenticated.Unauthenticated(
            self._limits.max_unauthenticated, self._record_closed
        )
        return await ws_server.serve(
            self._accept,
            self._limits.address,
            self._limits.port,
            ssl=self._limits.server_tls,
            compression=None,
            server_header=None,
            logger=dial.SILENT_LOGGER,
            max_size=handshake.HANDSHAKE_FRAME_BYTES,
            open_timeout=self._limits.handshake_seconds,
            close_timeout=self._limits.handshake_seconds,
            create_connection=typing.cast(
                'type[ws_server.ServerConnection]',
                self._unauthenticated.create,
            ),
        )

    def _record_closed(self, address: str) -> None:
        """Count and log a connection that was closed for the limit."""
        reason = auth.Refusal.TOO_MANY.value
        self._traffic.refused[reason] += 1
        self._unlogged += 1
        now = self._clock.now()
        if now >= self._log_at:
            _LOG.write(
                'refused', client=address, reason=reason, count=self._unlogged
            )
            self._unlogged = 0
            self._log_at = now + LOG_SECONDS

    async def _stop_listening(self, server: ws_server.Server) -> None:
        with anyio.CancelScope(shield=True):
            server.close()
            with anyio.move_on_after(2 * self._limits.handshake_seconds):
                await server.wait_closed()

    async def _accept(self, socket: ws_server.ServerConnection) -> None:
        if self._is_full():
            self._traffic.refused[auth.Refusal.TOO_MANY.value] += 1
            await _close_socket(socket)
            return
        self._handshakes += 1
        try:
            peer = await handshake.accept(
                socket, self._identity(), self._secrets, self._limits
            )
        except auth.AuthError as error:
            self._traffic.refused[error.reason.value] += 1
            await _close_socket(socket)
            return
        finally:
            self._handshakes -= 1
        self._unauthenticated.discard(socket)
        outgoing = queue.SendQueue(self._limits.max_queue_bytes)
        conn = self._make_connection(socket, peer, outgoing)
        self._get_link(peer.address).connected(conn)
        await self._serve(conn)

    def _is_full(self) -> bool:
        total = len(self._connections) + self._handshakes
        return total >= self._limits.max_connections

    def _make_connection(
        self,
        socket: ws_connection.Connection,
        peer: api.Sender,
        outgoing: queue.SendQueue,
    ) -> connection.Connection:
        return connection.Connection(
            socket,
            peer,
            outgoing,
            self._router,
            self._limits,
            self._clock,
            self._traffic,
        )

    async def _serve(self, conn: connection.Connection) -> None:
        self._connections.add(conn)
        try:
            await conn.run()
        finally:
            self._connections.discard(conn)

    async def _close_idle(self) -> None:
        while True:
            await anyio.sleep(self._limits.idle_seconds / 4)
            oldest = self._clock.now() - self._limits.idle_seconds
            for conn in list(self._connections):
                if conn.last_used_at < oldest and not conn.busy:
                    conn.close()
            self._remove_unused_links()

    def _remove_unused_links(self) -> None:
        now = self._clock.now()
        for peer, link in list(self._links.items()):
            if link.ready is None and link.may_dial(now):
                del self._links[peer]

    def _close_all(self) -> None:
        for conn in list(self._connections):
            conn.close()

    def _identity(self) -> auth.Identity:
        return auth.Identity(
            self._limits.instance_id, self._address.address, self._address.port
        )


class _UnreachableStream:
    """The stream of an unreachable peer, which raises an error."""

    def __init__(self, reason: str) -> None:
        self._reason = reason

    def __aiter__(self) -> abc.AsyncIterator[api.Message]:
        return self

    async def __anext__(self) -> api.Message:
        raise api.StreamBroken(self._reason)


async def _close_socket(socket: ws_connection.Connection) -> None:
    with contextlib.suppress(websockets.ConnectionClosed, TimeoutError):
        with anyio.fail_after(1.0):
            await socket.close()
    socket.transport.abort()
