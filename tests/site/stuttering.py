"""Plain servers that answer requests twice, and a book of their answers."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import time
import typing

from . import http
from . import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

    from . import store as stores

__all__ = ['Book', 'Run', 'Stutter', 'StutteringServer']

_STAMP: typing.Final = ('Response-Stamp', 'stand-in')
_KEEP_ALIVE: typing.Final = ('Keep-Alive', 'timeout=5')
_NOT_RUN: typing.Final = (421, 503)
_STATUSES: typing.Final = {200: 74, 409: 6, 500: 9, 502: 6, 504: 5}


class Stutter(typing.NamedTuple):
    """How often servers misbehave, as shares of the requests.

    A ``refused`` request is not run. A ``late`` answer comes after the time
    of the route. An extra answer that is ``cut`` ends anywhere, on a
    connection that stays open.
    """

    extra: float = 0.3
    refused: float = 0.08
    slow: float = 0.1
    late: float = 0.06
    cut: float = 0.0


@dataclasses.dataclass
class Run:
    """A request's arrival at a server, and what the server wrote.

    ``earlier`` is how often the server had got the same request before;
    ``written_at`` is zero unless the whole answer was written, and so is
    ``extra_status`` unless an extra answer was.
    """

    server: str
    earlier: int
    arrived_at: float
    executed: bool
    status: int
    body: bytes
    written_at: float = 0.0
    extra_status: int = 0


class _Extra(typing.NamedTuple):
    """An extra answer, empty if there is none."""

    status: int = 0
    data: bytes = b''


class Book:
    """The arrivals of all requests, by the id of the request."""

    def __init__(self) -> None:
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.extra_answers = 0

    def add(
        self, attempt: str, server: str, executed: bool, status: int
    ) -> Run:
        """Record the arrival of a request."""
        known = self.runs[attempt]
        earlier = sum(run.server == server for run in known)
        body = f'{server} {attempt} {len(known)} own '.encode()
        run = Run(server, earlier, time.monotonic(), executed, status, body)
        known.append(run)
        return run


class StutteringServer(servers.Server):
    """A plain server that may answer a request a second time.

    :param seed: what it does with a request depends on this and its id.
    """

    def __init__(
        self,
        store: stores.Store,
        server_id: str,
        service: str,
        book: Book,
        seed: str,
        stutter: Stutter,
    ) -> None:
        super().__init__(store, server_id, service)
        self._book = book
        self._seed = seed
        self._stutter = stutter
        self._turns: dict[int, asyncio.Lock] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start_as(self, server_id: str, unlisted_seconds: float) -> None:
        """End, and begin as another server at the same address.

        :param unlisted_seconds: how long the list still has the old one.
        """
        self.http.stop()
        await self.http.start()
        old, self._id = self._id, server_id
        await asyncio.sleep(unlisted_seconds)
        self._store.put('keyed.servers', old, None)
        self.register()

    async def leave(self, seconds: float) -> None:
        """Drain, and end after some time."""
        self.register('draining')
        await asyncio.sleep(seconds)
        self.http.stop()
        self._store.put('keyed.servers', self._id, None)

    async def _handle(self, request: http.Request) -> http.Answer | None:
        if request.path == '/healthz':
            return http.Answer(200, b'', (('Instance-Id', self._id),))
        if 'attempt-id' not in request.headers:
            return await super()._handle(request)
        attempt = request.headers['attempt-id']
        number = len(self._book.runs[attempt])
        choice = random.Random(f'{self._seed} {attempt} {number}')
        (status,) = choice.choices(tuple(_STATUSES), tuple(_STATUSES.values()))
        if choice.random() < self._stutter.refused:
            status = 503
        if request.headers.get('expect-instance', self._id) != self._id:
            status = 421
        executed = status not in _NOT_RUN
        run = self._book.add(attempt, self._id, executed, status)
        if executed:
            await asyncio.sleep(self._delay(choice))
        run.body += b'x' * choice.choice((0, 10, 3000))
        extra = _Extra()
        if choice.random() < self._stutter.extra:
            extra = self._extra(choice, attempt, run)
        await self._answer(choice, request.peer_port, attempt, run, extra)
        return http.Answer(sent=True)

    def _delay(self, choice: random.Random) -> float:
        kind = choice.random()
        if kind < self._stutter.late:
            return choice.uniform(1.05, 1.6)
        if kind < self._stutter.late + self._stutter.slow:
            return choice.uniform(0.2, 0.9)
        return choice.uniform(0.001, 0.01)

    def _extra(self, choice: random.Random, attempt: str, run: Run) -> _Extra:
        """Return an extra answer, half of them with another status."""
        status = run.status
        if choice.random() < 0.5:
            status = 500 if run.status == 200 else 200
        body = run.body.replace(b' own ', b' extra ')
        data = _bytes(choice, attempt, status, body)
        if choice.random() < self._stutter.cut:
            data = data[: choice.randrange(1, len(data))]
        return _Extra(status, data)

    async def _answer(
        self,
        choice: random.Random,
        peer_port: int,
        attempt: str,
        run: Run,
        extra: _Extra,
    ) -> None:
        own = _bytes(choice, attempt, run.status, run.body)
        together = choice.random() < 0.2
        data = own + extra.data if together else own
        if await self._write(choice, peer_port, data):
            run.written_at = time.monotonic()
            if together:
                self._record_extra(run, extra)
        if together or not extra.data:
            return
        seconds = choice.choice(
            (
                choice.uniform(0.0, 0.002),
                choice.uniform(0.0, 0.02),
                choice.uniform(0.0, 1.1),
                choice.uniform(1.1, 3.0),
            )
        )
        task = asyncio.create_task(
            self._write_later(choice, peer_port, run, extra, seconds)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write_later(
        self,
        choice: random.Random,
        peer_port: int,
        run: Run,
        extra: _Extra,
        seconds: float,
    ) -> None:
        await asyncio.sleep(seconds)
        if await self._write(choice, peer_port, extra.data):
            self._record_extra(run, extra)

    def _record_extra(self, run: Run, extra: _Extra) -> None:
        run.extra_status = extra.status
        self._book.extra_answers += bool(extra.data)

    async def _write(
        self, choice: random.Random, peer_port: int, data: bytes
    ) -> bool:
        """Write an answer, after others on the connection."""
        turn = self._turns.setdefault(peer_port, asyncio.Lock())
        async with turn:
            written = True
            for piece in _pieces(choice, data):
                written = written and self.http.write(peer_port, piece)
                if len(piece) < len(data):
                    await asyncio.sleep(choice.uniform(0.0, 0.02))
            return written


def _pieces(choice: random.Random, data: bytes) -> abc.Iterator[bytes]:
    """Split an answer at random, or leave it whole."""
    cuts = choice.choice((0, 0, 1, 3))
    ends = sorted(choice.randrange(len(data)) for _ in range(cuts))
    start = 0
    for end in (*ends, len(data)):
        yield data[start:end]
        start = end


def _bytes(
    choice: random.Random, attempt: str, status: int, body: bytes
) -> bytes:
    """Return an answer with the length of its body, or in chunks."""
    lines = [f'HTTP/1.1 {status} X', f'Attempt-Id: {attempt}']
    if status in _NOT_RUN:
        lines.append('Not-Executed: 1')
    else:
        lines.append('{}: {}'.format(*_STAMP))
    if choice.random() < 0.5:
        lines.append('{}: {}'.format(*_KEEP_ALIVE))
    if choice.random() < 0.5:
        lines += [f'Content-Length: {len(body)}', '', '']
        return '\r\n'.join(lines).encode() + body
    lines += ['Transfer-Encoding: chunked', '', '']
    head = '\r\n'.join(lines).encode()
    half = len(body) // 2
    chunks = b''.join(
        b'%x\r\n%s\r\n' % (len(part), part)
        for part in (body[:half], body[half:])
    )
    return head + chunks + b'0\r\n\r\n'
