"""Requesters that read streams and take them up again."""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing

from . import http
from . import processes

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Stream']

_EVENT_END: typing.Final = b'\n\n'
_MODEL: typing.Final = 'loaded'
_OK: typing.Final = 200


class Stream:
    """A stream as its requester reads it, over one or several attempts.

    ``events`` are the numbers of the events and the versions that wrote them.
    ``status``, ``complete`` and ``seconds`` tell of the newest attempt.
    """

    def __init__(
        self,
        name: str,
        target: str,
        limit_seconds: float,
        headers: str = '',
    ) -> None:
        """Create a stream that is not requested yet.

        :param headers: further header lines of each attempt.
        """
        self.headers = headers
        self.attempts: list[str] = []
        self.events: list[tuple[int, str]] = []
        self.status = 0
        self.complete = False
        self.seconds = 0.0
        self.resumes = ''
        self._name = name
        self._target = target
        self._limit_seconds = limit_seconds
        self._retry_after = 0.0
        self._task: asyncio.Task[None] | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def versions(self) -> set[str]:
        """The versions that wrote events of this stream."""
        return {version for _, version in self.events}

    @property
    def answered(self) -> bool:
        """Whether the newest attempt ended with all events."""
        return self.status == _OK and self.complete

    @property
    def in_order(self) -> bool:
        """Whether no event is missing or repeated."""
        numbers = [number for number, _ in self.events]
        first = numbers[0] if numbers else 0
        return numbers == list(range(first, first + len(numbers)))

    @property
    def story(self) -> str:
        """What the requester saw."""
        events = ' '.join(f'{number}:{name}' for number, name in self.events)
        return (
            f'{self._name}: attempts {self.attempts}, resumes '
            f'{self.resumes!r}, status {self.status}, complete '
            f'{self.complete}, {self.seconds:.2f} s, events {events}'
        )

    def hold_events(self, resumes: str, *events: tuple[int, str]) -> None:
        """Have events of an earlier attempt, made elsewhere."""
        self.resumes = resumes
        self.events = list(events)

    def start(self, instance: processes.Instance) -> None:
        """Send a new attempt and read its events."""
        self._task = asyncio.ensure_future(self._read(instance))

    async def wait_event(self) -> None:
        """Wait until the newest attempt has brought an event or ended."""
        assert self._task is not None
        count = len(self.events)
        while len(self.events) == count and not self._task.done():
            await asyncio.sleep(0.005)

    async def ended(self) -> None:
        """Wait until the newest attempt has ended."""
        assert self._task is not None
        await self._task

    async def reset(self) -> None:
        """Reset the connection of the newest attempt unless it has ended."""
        assert self._task is not None
        if self._writer is not None and not self._task.done():
            http.reset(self._writer)
        await self.ended()

    async def take_up(
        self, instances: abc.Iterable[processes.Instance]
    ) -> None:
        """Take the stream up, at the next instance if it was refused."""
        for instance in instances:
            self.start(instance)
            await self.ended()
            if self.status == _OK:
                return
            await asyncio.sleep(
                min(self._retry_after, self._limit_seconds / 3)
            )

    async def _read(self, instance: processes.Instance) -> None:
        attempt = f'{self._name}-{len(self.attempts)}'
        self.attempts.append(attempt)
        self.status, self.complete, self._retry_after = 0, False, 0.0
        more = self.headers
        if self.events:
            more += f'Last-Event-Id: {self.events[-1][0]}\r\n'
            more += f'Resumes: {self.resumes}\r\n'
        head = processes.stream_head(
            self._target,
            attempt,
            _MODEL,
            int(self._limit_seconds * 1000),
            more,
        )
        started_at = time.monotonic()
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(self._limit_seconds):
                await self._exchange(instance.port, head, attempt)
        self.seconds = time.monotonic() - started_at

    async def _exchange(self, port: int, head: bytes, attempt: str) -> None:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        self._writer = writer
        try:
            writer.write(head)
            lines = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            self.status = int(lines.split(' ')[1])
            self._retry_after = _retry_after(lines)
            if self.status == _OK:
                await self._read_events(reader, attempt)
        finally:
            writer.close()

    async def _read_events(
        self, reader: asyncio.StreamReader, attempt: str
    ) -> None:
        data = b''
        while size := int(await reader.readuntil(b'\r\n'), 16):
            data += (await reader.readexactly(size + 2))[:-2]
            *events, data = data.split(_EVENT_END)
            for event in events:
                if not self.events:
                    self.resumes = attempt
                self.events.append(_parse(event))
        self.complete = not data


def _parse(event: bytes) -> tuple[int, str]:
    """Return the number of an event and the version that wrote it."""
    lines = event.decode().split('\n')
    fields = dict(line.split(': ', 1) for line in lines)
    return int(fields['id']), fields['data'].partition(' ')[2]


def _retry_after(head: str) -> float:
    for line in head.lower().split('\r\n'):
        name, _, value = line.partition(': ')
        if name == 'retry-after':
            return float(value)
    return 0.0
