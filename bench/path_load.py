"""A lightweight HTTP client that measures replies, first tokens and events."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time
import typing

PATH = '/v1/chat/completions'
_HEAD_END = b'\r\n\r\n'
_EVENT = b'data: '


@dataclasses.dataclass
class Sample:
    """The results of a run of requests; times in seconds."""

    requests: int = 0
    failures: int = 0
    events: int = 0
    seconds: float = 0.0
    first_byte: list[float] = dataclasses.field(default_factory=list)
    complete: list[float] = dataclasses.field(default_factory=list)


def body(stream: bool, tokens: int) -> bytes:
    """Return the body of a chat request."""
    content = 'Resole a pair of welted boots; the left heel is torn. ' * 4
    fields = {
        'model': 'ticket',
        'stream': stream,
        'max_tokens': tokens,
        'messages': [{'role': 'user', 'content': content}],
    }
    return json.dumps(fields).encode()


def _request(data: bytes, key: str) -> bytes:
    head = (
        f'POST {PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n'
        f'content-type: application/json\r\nx-artifact: ticket@v1\r\n'
        f'x-request-id: bench\r\ncontent-length: {len(data)}\r\n\r\n'
    )
    return head.encode() + data


class _Connection:
    """A keep-alive connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def exchange(self, request: bytes, sample: Sample) -> None:
        start = time.perf_counter()
        self._writer.write(request)
        head = await self._reader.readuntil(_HEAD_END)
        status = int(head[9:12])
        length = _length(head)
        if length is None:
            await self._read_chunks(sample, start)
        else:
            await self._reader.readexactly(length)
            sample.first_byte.append(time.perf_counter() - start)
        sample.complete.append(time.perf_counter() - start)
        sample.requests += 1
        sample.failures += status != 200

    async def _read_chunks(self, sample: Sample, start: float) -> None:
        is_first = True
        while True:
            size = int(await self._reader.readuntil(b'\r\n'), 16)
            data = await self._reader.readexactly(size + 2)
            if not size:
                return
            if is_first:
                sample.first_byte.append(time.perf_counter() - start)
                is_first = False
            sample.events += data.count(_EVENT)

    def close(self) -> None:
        self._writer.close()


def _length(head: bytes) -> int | None:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.partition(b':')[2])
    return None


async def run(
    ports: typing.Sequence[int],
    key: str,
    data: bytes,
    concurrency: int,
    requests: int,
    ramp_seconds: float = 0.0,
) -> Sample:
    """Send requests over ``concurrency`` connections.

    :param ramp_seconds: the time over which the connections are opened.
    """
    sample = Sample()
    request = _request(data, key)
    remaining = iter(range(requests))

    async def worker(number: int) -> None:
        port = ports[number % len(ports)]
        await asyncio.sleep(ramp_seconds * number / concurrency)
        connection = _Connection(
            *await asyncio.open_connection('127.0.0.1', port)
        )
        for _ in remaining:
            try:
                await connection.exchange(request, sample)
            except asyncio.IncompleteReadError:
                sample.failures += 1
                connection.close()
                connection = _Connection(
                    *await asyncio.open_connection('127.0.0.1', port)
                )
        connection.close()

    start = time.perf_counter()
    await asyncio.gather(*map(worker, range(concurrency)))
    sample.seconds = time.perf_counter() - start
    return sample
