"""Stand-in servers that crash on a request or on one part of a prompt."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import itertools
import time
import typing
import unittest

from . import http
from . import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

    from . import processes
    from . import store as stores

__all__ = [
    'CrashCase',
    'CrashPoint',
    'CrashRecord',
    'CrashingServer',
    'prompt_header',
]

RESTART_SECONDS: typing.Final = 0.8


class CrashPoint(enum.Enum):
    """Where in its answer an engine crashes."""

    BEFORE_HEAD = 'before the head'
    BEFORE_FIRST_EVENT = 'before the first event'
    WITHIN_FIRST_EVENT = 'within the first event'
    AFTER_FIRST_EVENT = 'after the first event'


@dataclasses.dataclass
class CrashRecord:
    """What all servers of a site know of the guilty requests.

    These have ``part`` in their prompt, or ``body``. ``arrivals`` are the
    times at which they reached a server, ``crashes`` those at which servers
    ended.
    """

    part: str = ''
    body: bytes = b''
    point: CrashPoint = CrashPoint.BEFORE_FIRST_EVENT
    arrivals: list[float] = dataclasses.field(default_factory=list)
    crashes: list[float] = dataclasses.field(default_factory=list)

    def is_guilty(self, request: http.Request) -> bool:
        """Whether a request has the body, or the part, not as its last."""
        if self.body and request.body == self.body:
            return True
        prompt = request.headers.get('prompt-prefix', '')
        parts = [item.partition(':')[0] for item in prompt.split(',')]
        return bool(self.part) and self.part in parts[:-1]


def prompt_header(*parts: str) -> str:
    """Return the header line of a prompt with these parts."""
    prompt = ','.join(f'{part}:10' for part in parts)
    return f'Prompt-Prefix: {prompt}\r\n'


class CrashingServer(servers.Server):
    """A server that ends on guilty requests and starts again, empty.

    An engine by default; a plain server has no models.
    """

    def __init__(
        self,
        store: stores.Store,
        name: str,
        record: CrashRecord,
        service: str = 'engines',
        models: tuple[str, ...] = ('loaded',),
        keeps_id: bool = False,
    ) -> None:
        """Create a server.

        :param keeps_id: whether it starts again under its id.
        """
        super().__init__(store, name, service, *models, slots=16)
        self._name = name
        self._guilty_attempts: set[str] = set()
        self._record = record
        # Requests with this body are sound and take so long.
        self.slow_body = b''
        self.slow_seconds = 0.0
        self._lives = 1
        self._keeps_id = keeps_id
        self._born = int(time.time() * 1000)
        self._restart: asyncio.Task[None] | None = None

    def register(
        self, state: str = 'ready', reports: int | None = None, **more: int
    ) -> None:
        """Write the entry, with the start of the process if it needs one."""
        if self._keeps_id:
            more = {'born': self._born, **more}
        super().register(state, reports, **more)

    def crash(self) -> None:
        """End without a word: all connections break."""
        if self._restart is not None:
            return
        self._record.crashes.append(time.monotonic())
        self.http.stop()
        self._restart = asyncio.ensure_future(self._start_again())

    async def stopped(self) -> None:
        """Cancel a start that is to come."""
        if self._restart is not None:
            self._restart.cancel()
            await asyncio.wait([self._restart])

    async def _start_again(self) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        if self._keeps_id:
            self._born = int(time.time() * 1000)
        else:
            self._store.put('keyed.servers', self._id, None)
            self._lives += 1
            self._id = f'{self._name}-{self._lives}'
        self._reports = 0
        self.forget_models()
        await self.start()
        self._restart = None

    async def _handle(self, request: http.Request) -> http.Answer | None:
        if request.body and request.body == self.slow_body:
            await asyncio.sleep(self.slow_seconds)
        expected = request.headers.get('expect-instance', self._id)
        if expected == self._id and self._record.is_guilty(request):
            self._record.arrivals.append(time.monotonic())
            self._guilty_attempts.add(request.headers['attempt-id'])
            if self._record.point is CrashPoint.BEFORE_HEAD:
                await asyncio.sleep(self.event_seconds)
                self._end()
        return await super()._handle(request)

    async def _stream(self, request: http.Request) -> abc.AsyncIterator[bytes]:
        guilty = self._record.is_guilty(request)
        pieces = 0
        async for piece in super()._stream(request):
            if guilty and pieces == _PIECES_BEFORE[self._record.point]:
                self._end()
            pieces += 1
            yield piece

    async def _pieces(
        self, attempt: str, body: bytes
    ) -> abc.AsyncIterator[bytes]:
        guilty = attempt in self._guilty_attempts
        pieces = 0
        async for piece in super()._pieces(attempt, body):
            if guilty and pieces == _PIECES_BEFORE[self._record.point]:
                self._end()
            pieces += 1
            yield piece

    def _end(self) -> None:
        self.crash()
        raise ConnectionResetError


# An event comes in two pieces, and so does a plain body.
_PIECES_BEFORE: typing.Final = {
    CrashPoint.BEFORE_HEAD: 0,
    CrashPoint.BEFORE_FIRST_EVENT: 0,
    CrashPoint.WITHIN_FIRST_EVENT: 1,
    CrashPoint.AFTER_FIRST_EVENT: 2,
}


class CrashCase(unittest.IsolatedAsyncioTestCase):
    """What tests of crashing servers record of requests."""

    def setUp(self) -> None:
        """Begin without a crash."""
        self.record = CrashRecord()
        self.numbers = itertools.count()
        # Sending times and results of sound requests.
        self.sound: list[tuple[float, bool]] = []
        # Of the answers to guilty requests.
        self.statuses: list[int] = []

    def served_since(self, time_: float) -> list[bool]:
        """Return whether the sound requests since a time were served."""
        return [served for sent_at, served in self.sound if sent_at >= time_]

    def convictions(self, site: processes.Site) -> list[dict[str, typing.Any]]:
        """Return the log lines of all instances about verdicts."""
        return [
            line
            for instance in site.instances
            for line in instance.log_lines()
            if line['message_type'] == 'quarantine:convicted'
        ]
