"""Generates bad requests and sends them over sockets to a real server."""

from __future__ import annotations

import collections
import dataclasses
import json
import random
import typing

import anyio
import anyio.abc

from dogwoodquay.entry import limits as limits_module
from dogwoodquay.entry import server
from tests.unit.dispatch import fakes
from tests.unit.entry import client

CHAT = '/v1/chat/completions'
RESPONSE_TIMEOUT_SECONDS = 20.0
CONCURRENCY = 64
KEEP_ALIVE_SECONDS = 0.5
LIMITS = limits_module.Limits(
    body_bytes=64 << 10, body_seconds=0.5, all_bodies_bytes=8 << 20
)


class GeneratedRequest(typing.NamedTuple):
    """Bytes to send.

    ``keep_open`` keeps the connection open after them until a response.
    ``may_be_valid`` accepts status 200 too.
    """

    kind: str
    data: bytes
    keep_open: bool = True
    may_be_valid: bool = False


@dataclasses.dataclass
class Report:
    """The responses and the resources that the server used."""

    sent: int = 0
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    unexpected: list[str] = dataclasses.field(default_factory=list)
    peak_body_bytes: int = 0
    leaked_body_bytes: int = 0
    leaked_tasks: int = 0
    runs: int = 0


def raw_request(
    body: bytes,
    method: str = 'POST',
    path: str = CHAT,
    length: int | None = None,
    **headers: str,
) -> bytes:
    """Return an HTTP request as bytes."""
    all_headers = {
        'host': 'x',
        'authorization': f'Bearer {fakes.API_KEYS["counter"]}',
        'content-length': str(len(body) if length is None else length),
        'content-type': 'application/json',
    }
    for name, value in headers.items():
        all_headers[name.replace('_', '-')] = value
    head = ''.join(
        f'{name}: {value}\r\n' for name, value in all_headers.items()
    )
    line = f'{method} {path} HTTP/1.1\r\n{head}\r\n'
    return line.encode('latin-1') + body


def valid_body(**fields: typing.Any) -> bytes:
    """Return a valid body with the given fields added or replaced."""
    message = {'role': 'user', 'content': 'a torn welt'}
    values: dict[str, typing.Any] = {'model': 'ticket', 'messages': [message]}
    values.update(fields)
    return json.dumps(values).encode()


def _bad_json(rng: random.Random) -> GeneratedRequest:
    body = valid_body()
    return GeneratedRequest(
        'bad_json', raw_request(body[: rng.randrange(len(body))])
    )


def _corrupted(rng: random.Random) -> GeneratedRequest:
    body = bytearray(valid_body())
    for _ in range(rng.randint(1, 6)):
        body[rng.randrange(len(body))] = rng.randrange(256)
    return GeneratedRequest(
        'flipped', raw_request(bytes(body)), may_be_valid=True
    )


def _bad_utf8(rng: random.Random) -> GeneratedRequest:
    body = valid_body().replace(b'torn', bytes([rng.randrange(128, 256), 32]))
    return GeneratedRequest('bad_utf8', raw_request(body))


def _deeply_nested(rng: random.Random) -> GeneratedRequest:
    depth = rng.randint(3000, 20000)
    opening, closing = rng.choice([('[', ']'), ('{"a":', '}')])
    value = opening * depth + '1' + closing * depth
    body = b'{"model":"ticket","messages":%b}' % value.encode()
    return GeneratedRequest('deep', raw_request(body[: LIMITS.body_bytes]))


def _wrong_type(rng: random.Random) -> GeneratedRequest:
    value = rng.choice([1, 1.5, True, 'x', [], {}, [[]], [1], [{'a': 1}]])
    field = rng.choice(['model', 'messages', 'stream', 'max_tokens'])
    fits = {'model': str, 'stream': bool, 'max_tokens': int}
    if isinstance(value, fits.get(field, type(None))):
        value = {'a': value}
    return GeneratedRequest(
        'wrong_type', raw_request(valid_body(**{field: value}))
    )


def _unknown_model(rng: random.Random) -> GeneratedRequest:
    name = rng.choice(['', 'nobody', 'ticket@v1', 'x' * 5000, '\u0000'])
    return GeneratedRequest(
        'unknown_model', raw_request(valid_body(model=name))
    )


def _oversize(rng: random.Random) -> GeneratedRequest:
    size = LIMITS.body_bytes + rng.randint(1, 200_000)
    body = valid_body(pad='x' * size)
    if rng.random() < 0.5:
        return GeneratedRequest('oversize', raw_request(body))
    chunks = b''.join(
        b'%x\r\n%b\r\n' % (len(part), part)
        for part in (body[n : n + 9000] for n in range(0, len(body), 9000))
    )
    head = raw_request(b'').replace(
        b'content-length: 0', b'transfer-encoding: chunked'
    )
    return GeneratedRequest('oversize_chunked', head + chunks + b'0\r\n\r\n')


def _large_headers(rng: random.Random) -> GeneratedRequest:
    size = rng.choice([20_000, 60_000, 300_000])
    return GeneratedRequest(
        'headers', raw_request(valid_body(), x_pad='y' * size)
    )


def _incomplete_body(rng: random.Random) -> GeneratedRequest:
    body = valid_body()
    part = raw_request(body[: rng.randrange(len(body))], length=len(body))
    return GeneratedRequest('slow', part)


def _disconnect_during_body(rng: random.Random) -> GeneratedRequest:
    body = valid_body()
    part = raw_request(body[: rng.randrange(len(body))], length=len(body))
    return GeneratedRequest('cut', part, keep_open=False)


def _garbage(rng: random.Random) -> GeneratedRequest:
    return GeneratedRequest(
        'garbage', rng.randbytes(rng.randint(1, 300)) + b'\r\n\r\n'
    )


def _bad_control_headers(rng: random.Random) -> GeneratedRequest:
    name = rng.choice(
        ['x_deadline', 'x_timeout_seconds', 'x_priority', 'idempotency_key']
    )
    value = rng.choice(['nan', 'inf', '-1e999', '1e9', 'x', '\xb2', '9' * 99])
    return GeneratedRequest(
        'controls', raw_request(valid_body(), **{name: value})
    )


def _bad_paths(rng: random.Random) -> GeneratedRequest:
    path = rng.choice(
        [
            '/',
            '/v2/nothing',
            '/services/',
            '/services/none/x',
            '/services/counter/../x',
            '/services/counter/%2e%2e/x',
            '/services/counter/a%2Fb',
            '/services/counter/a;b',
            '/v1/streams/',
            '/v1/streams/here.00',
            '/%ff%fe',
        ]
    )
    return GeneratedRequest('paths', raw_request(valid_body(), path=path))


def _bad_methods(rng: random.Random) -> GeneratedRequest:
    method = rng.choice(['GET', 'PUT', 'BREW', 'OPTIONS', 'DELETE'])
    path = rng.choice([CHAT, '/v1/completions'])
    return GeneratedRequest(
        'methods', raw_request(valid_body(), method=method, path=path)
    )


def _bad_api_key(rng: random.Random) -> GeneratedRequest:
    value = rng.choice(['', 'Basic eA==', 'Bearer nobody', 'Bearer \xff'])
    return GeneratedRequest(
        'caller', raw_request(valid_body(), authorization=value)
    )


def _bad_media_type(rng: random.Random) -> GeneratedRequest:
    value = rng.choice(['text/plain', 'multipart/form-data', 'x'])
    return GeneratedRequest(
        'media', raw_request(valid_body(), content_type=value)
    )


GENERATORS: typing.Final = (
    _bad_json,
    _corrupted,
    _bad_utf8,
    _deeply_nested,
    _wrong_type,
    _unknown_model,
    _oversize,
    _large_headers,
    _incomplete_body,
    _disconnect_during_body,
    _garbage,
    _bad_control_headers,
    _bad_paths,
    _bad_methods,
    _bad_api_key,
    _bad_media_type,
)


async def run(count: int, seed: int) -> Report:
    """Send generated requests and report the responses."""
    rng = random.Random(seed)
    report = Report()
    harness = client.EntryHarness(LIMITS)
    settings = server.ServerSettings(
        '127.0.0.1', 0, keep_alive_seconds=KEEP_ALIVE_SECONDS
    )
    listener = server.listen(settings)
    port = server.bound_port(listener)
    stop = anyio.Event()
    stopped = anyio.Event()
    limiter = anyio.Semaphore(CONCURRENCY)

    async def send_limited(generated: GeneratedRequest) -> None:
        async with limiter:
            await _send(generated, port, report)
            buffered = harness.app.buffered_body_bytes
            report.peak_body_bytes = max(report.peak_body_bytes, buffered)

    async def serve() -> None:
        await server.serve(
            harness.app, settings, listener, stop, harness.rig.clock
        )
        stopped.set()

    async with anyio.create_task_group() as background:
        background.start_soon(harness.rig.dispatcher.run_background)
        background.start_soon(harness.app.run_background)
        background.start_soon(serve)
        await anyio.sleep(0.1)
        tasks_before = len(anyio.get_running_tasks())
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(send_limited, rng.choice(GENERATORS)(rng))
        report.leaked_body_bytes = harness.app.buffered_body_bytes
        report.runs = sum(harness.rig.upstream.runs.values())
        await anyio.sleep(2 * KEEP_ALIVE_SECONDS)
        report.leaked_tasks = len(anyio.get_running_tasks()) - tasks_before
        stop.set()
        await stopped.wait()
        background.cancel_scope.cancel()
    return report


async def _send(
    generated: GeneratedRequest, port: int, report: Report
) -> None:
    report.sent += 1
    status = 0
    try:
        with anyio.fail_after(RESPONSE_TIMEOUT_SECONDS):
            status = await _exchange(generated, port)
    except TimeoutError:
        report.unexpected.append(f'{generated.kind}: no response')
        return
    report.statuses[status] += 1
    if not _is_expected(generated, status):
        shown = generated.data[:200]
        report.unexpected.append(
            f'{generated.kind}: status {status} for {shown!r}'
        )


def _is_expected(generated: GeneratedRequest, status: int) -> bool:
    if not generated.keep_open:
        return status == 0
    if generated.may_be_valid and status == 200:
        return True
    return 400 <= status < 500


async def _exchange(generated: GeneratedRequest, port: int) -> int:
    stream = await anyio.connect_tcp('127.0.0.1', port)
    async with stream:
        try:
            await stream.send(generated.data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        if not generated.keep_open:
            return 0
        return await _status(stream)


async def _status(stream: anyio.abc.ByteStream) -> int:
    data = b''
    try:
        while b'\r\n' not in data:
            data += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        pass
    words = data.split(b' ', 2)
    return int(words[1]) if len(words) > 1 else -1
