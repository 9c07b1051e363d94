"""Callers, a balancer and planned stops for a soak of real instances."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import signal
import subprocess
import time
import typing

from . import processes
from . import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

    from . import http

__all__ = [
    'BODY',
    'END_SECONDS',
    'GRACE_SECONDS',
    'Balancer',
    'Caller',
    'Kind',
    'Ledger',
    'Record',
    'RecordingServer',
    'Stop',
    'Stopper',
]

# The stop time of the instances, and its margin at the end.
GRACE_SECONDS: typing.Final = 6.0
END_SECONDS: typing.Final = GRACE_SECONDS - 1.0
_ASK_SECONDS: typing.Final = 1.0
_MISSES: typing.Final = 2
BODY: typing.Final = b'0123456789' * 40


class Kind(typing.NamedTuple):
    """A kind of request.

    ``work_seconds`` is the longest time that its server needs, and
    ``pieces`` the number of parts in which its body is sent.
    """

    route: str
    timeout_ms: int
    work_seconds: float
    repeatable: bool = False
    streaming: bool = False
    pieces: int = 1
    chunked: bool = False
    service: str = 'desk'

    @property
    def place(self) -> servers.Place:
        """Where its server is slow, besides before the head."""
        if self.streaming:
            return servers.Place.BETWEEN_EVENTS
        return servers.Place.BODY


@dataclasses.dataclass
class Record:
    """A request and its end, as its caller and the servers saw it.

    ``status`` is zero without an answer, and ``used`` the number of requests
    before it on its connection.
    """

    attempt: str
    kind: Kind
    instance: str
    started_at: float
    used: int = 0
    last_sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False
    body: bytes = b''
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    runs: list[float] = dataclasses.field(default_factory=list)

    @property
    def deadline(self) -> float:
        """When its answer is due."""
        return self.started_at + self.kind.timeout_ms / 1000


class Stop(typing.NamedTuple):
    """A planned stop of one process, by the monotonic clock."""

    instance: str
    started_at: float
    ended_at: float
    exit_status: int


class Ledger:
    """Keeps all requests by attempt."""

    def __init__(self, prefix: str) -> None:
        self.records: dict[str, Record] = {}
        self._prefix = prefix

    def begin(self, kind: Kind, instance: str) -> Record:
        """Add a request that is about to be sent."""
        attempt = f'{self._prefix}-{len(self.records)}'
        now = time.monotonic()
        self.records[attempt] = Record(attempt, kind, instance, now)
        return self.records[attempt]

    def on_run(self, attempt: str) -> None:
        """Record that a server began to work on a request."""
        self.records[attempt].runs.append(time.monotonic())


class RecordingServer(servers.Server):
    """A server that tells a ledger what it runs."""

    ledger: Ledger

    async def _execute(
        self, request: http.Request, attempt: str, model: str
    ) -> http.Answer:
        self.ledger.on_run(attempt)
        return await super()._execute(request, attempt, model)


class Balancer:
    """Asks for readiness and says which instances get new connections."""

    def __init__(self, site: processes.Site, zones: int) -> None:
        self._site = site
        self._zones = zones
        self._misses = [0] * len(site.instances)

    def instances(self, zone: int) -> list[processes.Instance]:
        """Return the instances of a zone that get new connections."""
        numbers = range(zone, len(self._site.instances), self._zones)
        used = [item for item in numbers if self._misses[item] < _MISSES]
        if 2 * len(used) < len(numbers):
            used = list(numbers)
        return [self._site.instances[item] for item in used]

    async def run(self) -> None:
        """Ask all instances until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in range(len(self._misses)):
                group.create_task(self._ask(number))

    async def _ask(self, number: int) -> None:
        instance = self._site.instances[number]
        while True:
            due = time.monotonic() + _ASK_SECONDS
            ready = False
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                async with asyncio.timeout(_ASK_SECONDS):
                    ready = await instance.readiness_status() == 200
            self._misses[number] = 0 if ready else self._misses[number] + 1
            await asyncio.sleep(max(0.0, due - time.monotonic()))


class Caller:
    """Sends one request after another, on one connection while it lasts."""

    def __init__(
        self,
        rng: random.Random,
        ledger: Ledger,
        choose: abc.Callable[[], abc.Sequence[processes.Instance]],
        slow: abc.Callable[[str, servers.Silence], None],
        kinds: abc.Sequence[Kind],
    ) -> None:
        self._rng = rng
        self._ledger = ledger
        self._choose = choose
        self._slow = slow
        self._kinds = kinds
        self._instance = ''
        self._used = 0
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def run(self, over: asyncio.Event) -> None:
        """Send requests until the end of the soak."""
        while not over.is_set():
            if self._streams is None or self._rng.random() < 0.2:
                await self._connect()
            if self._streams is not None:
                await self._call(*self._streams)
            await asyncio.sleep(self._rng.uniform(0.0, 0.15))
        self._close()

    async def _connect(self) -> None:
        self._close()
        instance = self._rng.choice(self._choose())
        with contextlib.suppress(OSError):
            self._streams = await asyncio.open_connection(
                '127.0.0.1', instance.port
            )
            self._instance = instance.member
            self._used = 0

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def _call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        kind = self._rng.choice(self._kinds)
        record = self._ledger.begin(kind, self._instance)
        record.used = self._used
        self._used += 1
        self._slow(record.attempt, self._silence(kind))
        try:
            async with asyncio.timeout(kind.timeout_ms / 1000 + 5.0):
                await self._send(writer, record)
                record.last_sent_at = time.monotonic()
                answer = await processes.read_answer(reader)
            record.status, record.body, record.complete, fields = answer
            record.headers = fields
        except (OSError, EOFError, TimeoutError):
            record.complete = False
        record.ended_at = time.monotonic()
        if not record.complete or 'connection' in record.headers:
            self._close()

    def _silence(self, kind: Kind) -> servers.Silence:
        place = self._rng.choice([servers.Place.HEAD, kind.place])
        seconds = self._rng.uniform(0.0, kind.work_seconds)
        return servers.Silence(place, seconds)

    async def _send(
        self, writer: asyncio.StreamWriter, record: Record
    ) -> None:
        kind = record.kind
        model = 'loaded' if kind.streaming else ''
        length = f'Content-Length: {len(BODY)}\r\n'
        more = 'Transfer-Encoding: chunked\r\n' if kind.chunked else length
        target = f'/{kind.route}/x'
        writer.write(
            processes.stream_head(
                target, record.attempt, model, kind.timeout_ms, more
            )
        )
        size = len(BODY) // kind.pieces
        for start in range(0, len(BODY), size):
            if kind.pieces > 1:
                await asyncio.sleep(self._rng.uniform(0.0, 0.5))
            piece = BODY[start : start + size]
            if kind.chunked:
                piece = b'%x\r\n%s\r\n' % (len(piece), piece)
            writer.write(piece)
        if kind.chunked:
            writer.write(b'0\r\n\r\n')
        await writer.drain()


class Stopper:
    """Stops instances as planned and starts them again."""

    def __init__(self, site: processes.Site, rng: random.Random) -> None:
        self.stops: list[Stop] = []
        self._site = site
        self._rng = rng
        self._stopping: set[int] = set()
        self._last = False

    async def stop_all(self) -> None:
        """Stop all instances at once and start none again."""
        self._last = True
        await self.stop(range(len(self._site.instances)))

    async def stop(self, numbers: abc.Iterable[int]) -> None:
        """Stop several instances at once, each if it is running."""
        async with asyncio.TaskGroup() as group:
            for number in set(numbers) - self._stopping:
                group.create_task(self._stop(number))

    async def _stop(self, number: int) -> None:
        self._stopping.add(number)
        instance = self._site.instances[number]
        hang_ups = self._rng.choice([(), (-1,), (0,), (1,), (-1, 0, 1)])
        if -1 in hang_ups:
            instance.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        if 0 in hang_ups:
            instance.process.send_signal(signal.SIGHUP)
        started_at = time.monotonic()
        instance.process.send_signal(signal.SIGTERM)
        if 1 in hang_ups:
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))
            instance.process.send_signal(signal.SIGHUP)
        exit_status, ended_at = await asyncio.to_thread(_wait, instance)
        stop = Stop(instance.member, started_at, ended_at, exit_status)
        self.stops.append(stop)
        if self._last:
            return
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        self._site.start_again(instance)
        await instance.wait_ready()
        self._stopping.discard(number)


def _wait(instance: processes.Instance) -> tuple[int, float]:
    """Return a process's exit status and end, also if the loop is late."""
    try:
        status = instance.process.wait(GRACE_SECONDS + 5.0)
    except subprocess.TimeoutExpired:
        instance.process.kill()
        status = instance.process.wait()
    return status, time.monotonic()
