"""Sends requests over kept connections and decides which are kept.

A failure before the first byte of the request was written is ``Unavailable``;
a later one without an answer is ``Ambiguous``.
"""

from __future__ import annotations

import contextlib
import typing

import anyio
import expression
import httpcore
import httpx

from ... import clock
from .. import api
from . import earlier_answers
from . import findings
from . import marks
from . import network
from . import pool
from . import sending
from . import uses

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'Headers',
    'RequestSender',
]

CONNECT_TIMEOUT_SECONDS: typing.Final = 1.0
READ_TIMEOUT_SECONDS: typing.Final = 30.0
KEEP_ALIVE_SECONDS: typing.Final = 2.0

Headers = tuple[tuple[str, str], ...]
_DEADLINE_PASSED: typing.Final = api.Unavailable('deadline')


class _Identity(typing.NamedTuple):
    """What tells the answer to a request, and until when it may be sent."""

    request_id: str
    method: str
    deadline: float
    id_header: str


class _SentRequest(typing.NamedTuple):
    """A request that was sent over a connection."""

    address: str
    port: int
    identity: _Identity
    use: uses.Use
    earlier: earlier_answers.EarlierAnswers


def _ignore(_: typing.Any) -> None:
    """Do nothing."""


class RequestSender:
    """Sends requests over connections that are reused.

    Idle connections are closed before the server closes them, so that a
    request is rarely written to a connection that is being closed.
    """

    def __init__(
        self,
        time: clock.Clock,
        connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
        read_timeout_seconds: float = READ_TIMEOUT_SECONDS,
        keep_alive_seconds: float = KEEP_ALIVE_SECONDS,
    ) -> None:
        self._on_finding: abc.Callable[[findings.Finding], None] = _ignore
        self._time = time
        self._connect_seconds = connect_seconds
        self._read_timeout_seconds = read_timeout_seconds
        self._pool = pool.ConnectionPool(time, keep_alive_seconds)

    @property
    def in_use(self) -> int:
        """The number of connections that requests use, or are opening."""
        return self._pool.in_use

    @property
    def idle(self) -> int:
        """The number of idle connections."""
        return self._pool.idle

    async def __aenter__(self) -> typing.Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all idle connections."""
        await self._pool.close()

    def on_finding(
        self, notify: abc.Callable[[findings.Finding], None]
    ) -> None:
        """Set what is called with answers and bytes that came unasked."""
        self._on_finding = notify

    async def keep_only(
        self, endpoints: abc.Container[tuple[str, int]]
    ) -> None:
        """Close the idle connections to all other addresses."""
        await self._pool.keep_only(endpoints)

    def now(self) -> float:
        """Return the time on the clock of the deadlines."""
        return self._time.now()

    @contextlib.asynccontextmanager
    async def open(
        self,
        address: str,
        port: int,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        deadline: float,
        read_timeout_seconds: float = 0.0,
        request_id: str = '',
        apart_from: tuple[str, ...] = (),
        id_header: str = '',
    ) -> abc.AsyncIterator[
        expression.Result[httpx.Response, sending.SendError]
    ]:
        """Send a request and yield the response with its body unread.

        :param deadline: time by which the response headers are due.

        The other parameters are those of ``open_raw``.
        """
        host = f'[{address}]' if ':' in address else address
        raw_headers = [(b'host', f'{host}:{port}'.encode('latin-1'))]
        raw_headers.extend(
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers
        )
        async with self.open_raw(
            address,
            port,
            method,
            path,
            raw_headers,
            body,
            deadline,
            read_timeout_seconds,
            request_id,
            apart_from,
            id_header=id_header,
        ) as sent:
            yield sent

    @contextlib.asynccontextmanager
    async def open_raw(
        self,
        address: str,
        port: int,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: sending.Content,
        deadline: float,
        read_timeout_seconds: float = 0.0,
        request_id: str = '',
        apart_from: tuple[str, ...] = (),
        on_use: abc.Callable[[uses.Use], None] = _ignore,
        id_header: str = '',
    ) -> abc.AsyncIterator[
        expression.Result[httpx.Response, sending.SendError]
    ]:
        """Send a request with the given headers and a content length.

        :param deadline: time by which the response headers are due.
        :param read_timeout_seconds: timeout of each read of the body; zero
            for the default of this client.
        :param request_id: identifies the request, or its kind.
        :param apart_from: the request does not go over a connection that
            remembers one of these ids.
        :param on_use: called with the connection over which it goes.
        :param id_header: the header of answers that has the id of their
            request, in lower case; empty for any one.
        """
        remaining = deadline - self._time.now()
        if remaining <= 0:
            yield expression.Error(_DEADLINE_PASSED)
            return
        request = sending.build_request(
            address,
            port,
            method,
            target,
            headers,
            body,
            remaining,
            self._connect_seconds,
        )
        acquired, sent_request, sent = await self._send(
            address,
            port,
            request,
            remaining,
            _Identity(request_id, method, deadline, id_header),
            apart_from,
            on_use,
        )
        extensions: dict[str, typing.Any] = {}
        try:
            try:
                if sent.is_ok():
                    extensions = sent.ok.extensions
                    # httpcore reads the timeout again for the body.
                    read_timeout_seconds = (
                        read_timeout_seconds or self._read_timeout_seconds
                    )
                    request.extensions['timeout']['read'] = (
                        read_timeout_seconds
                    )
                yield sent
            finally:
                if sent.is_ok():
                    with anyio.CancelScope(shield=True):
                        await sent.ok.aclose()
        finally:
            with anyio.CancelScope(shield=True):
                await self._end_use(sent_request, acquired, extensions)

    async def _send(
        self,
        address: str,
        port: int,
        request: httpcore.Request,
        remaining: float,
        identity: _Identity,
        apart_from: tuple[str, ...],
        on_use: abc.Callable[[uses.Use], None],
    ) -> tuple[
        pool.Acquired,
        _SentRequest,
        expression.Result[httpx.Response, sending.SendError],
    ]:
        """Send a request over a connection that is open when it is sent."""
        while True:
            acquired = await self._pool.acquire(address, port, apart_from)
            use = acquired.uses.begin()
            on_use(use)
            earlier = earlier_answers.EarlierAnswers(
                identity.request_id,
                acquired.uses.method_of,
                identity.id_header,
            )
            if acquired.stream is not None:
                acquired.stream.drop_answers(earlier)
            sent_request = _SentRequest(address, port, identity, use, earlier)
            try:
                sent = await sending.send(
                    acquired.connection, request, remaining
                )
            except network.LostBeforeSent:
                await self._pool.discard(acquired)
            except BaseException:
                with anyio.CancelScope(shield=True):
                    await self._end_use(sent_request, acquired, {})
                raise
            else:
                return acquired, sent_request, sent

    async def _end_use(
        self,
        sent: _SentRequest,
        acquired: pool.Acquired,
        extensions: dict[str, typing.Any],
    ) -> None:
        """Keep the connection of a request, or close it.

        :param extensions: those of the answer, empty without one.
        """
        stream: network.Stream | None = extensions.get(sending.STREAM_KEY)
        # What follows a part of an answer is the rest of it.
        answered = acquired.connection.is_idle()
        unread = _unread_bytes(acquired.connection) if answered else 0
        if stream is not None:
            stream.expect_nothing(
                lambda size: (
                    self._record_unsolicited(sent, size) if answered else None
                )
            )
        if unread or extensions.get(marks.DISCARD_KEY):
            await self._pool.discard(acquired)
        else:
            acquired.uses.add(
                sent.identity.request_id,
                sent.identity.method,
                extensions.get(marks.BARRED_KEY, False),
                sent.identity.deadline,
                self._time.now(),
            )
            await self._pool.release(
                sent.address,
                sent.port,
                acquired._replace(stream=stream),
                extensions.get(marks.KEEP_ALIVE_KEY),
            )
        if unread:
            self._record_unsolicited(sent, unread)
        if sent.earlier.dropped:
            self._on_finding(
                findings.ExtraAnswers(
                    sent.address,
                    sent.port,
                    sent.use.connection,
                    sent.identity.request_id,
                    sent.earlier.dropped,
                )
            )

    def _record_unsolicited(self, sent: _SentRequest, size: int) -> None:
        self._on_finding(
            findings.Unsolicited(
                sent.address,
                sent.port,
                sent.use.connection,
                sent.use.earlier + 1,
                sent.identity.request_id,
                size,
            )
        )


def _unread_bytes(connection: httpcore.AsyncHTTPConnection) -> int:
    """Return the number of received bytes behind the end of an answer.

    httpcore keeps them, with no public way to see them, and would take them
    for the begin of the next answer.
    """
    inner = getattr(connection, '_connection', None)
    if not isinstance(inner, httpcore.AsyncHTTP11Connection):
        return 0
    return len(inner._h11_state.trailing_data[0])
