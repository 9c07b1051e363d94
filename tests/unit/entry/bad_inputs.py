"""Generated bad requests, sent over sockets to a real server."""

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
HANG_SECONDS = 20.0
CONCURRENCY = 64
KEEP_ALIVE_SECONDS = 0.5
LIMITS = limits_module.Limits(
    body_bytes=64 << 10, body_seconds=0.5, all_bodies_bytes=8 << 20
)


class Wire(typing.NamedTuple):
    """Bytes to send; ``hold`` keeps the connection open without more."""

    kind: str
    data: bytes
    hold: bool = True
    may_pass: bool = False


@dataclasses.dataclass
class Report:
    """How the server took them."""

    sent: int = 0
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    wrong: list[str] = dataclasses.field(default_factory=list)
    peak_held_bytes: int = 0
    left_held_bytes: int = 0
    left_tasks: int = 0
    runs: int = 0


def request(
    body: bytes,
    method: str = 'POST',
    path: str = CHAT,
    length: int | None = None,
    **headers: str,
) -> bytes:
    """Return a request as bytes."""
    given = {
        'host': 'x',
        'authorization': f'Bearer {fakes.KEYS["counter"]}',
        'content-length': str(len(body) if length is None else length),
        'content-type': 'application/json',
    }
    for name, value in headers.items():
        given[name.replace('_', '-')] = value
    head = ''.join(f'{name}: {value}\r\n' for name, value in given.items())
    line = f'{method} {path} HTTP/1.1\r\n{head}\r\n'
    return line.encode('latin-1') + body


def valid(**fields: typing.Any) -> bytes:
    """Return a valid body, with fields replaced."""
    message = {'role': 'user', 'content': 'a torn welt'}
    values: dict[str, typing.Any] = {'model': 'ticket', 'messages': [message]}
    values.update(fields)
    return json.dumps(values).encode()


def _bad_json(rng: random.Random) -> Wire:
    body = valid()
    return Wire('bad_json', request(body[: rng.randrange(len(body))]))


def _flipped(rng: random.Random) -> Wire:
    body = bytearray(valid())
    for _ in range(rng.randint(1, 6)):
        body[rng.randrange(len(body))] = rng.randrange(256)
    return Wire('flipped', request(bytes(body)), may_pass=True)


def _bad_utf8(rng: random.Random) -> Wire:
    body = valid().replace(b'torn', bytes([rng.randrange(128, 256), 32]))
    return Wire('bad_utf8', request(body))


def _deep(rng: random.Random) -> Wire:
    depth = rng.randint(3000, 20000)
    opening, closing = rng.choice([('[', ']'), ('{"a":', '}')])
    value = opening * depth + '1' + closing * depth
    body = b'{"model":"ticket","messages":%b}' % value.encode()
    return Wire('deep', request(body[: LIMITS.body_bytes]))


def _wrong_type(rng: random.Random) -> Wire:
    value = rng.choice([1, 1.5, True, 'x', [], {}, [[]], [1], [{'a': 1}]])
    field = rng.choice(['model', 'messages', 'stream', 'max_tokens'])
    fits = {'model': str, 'stream': bool, 'max_tokens': int}
    if isinstance(value, fits.get(field, type(None))):
        value = {'a': value}
    return Wire('wrong_type', request(valid(**{field: value})))


def _unknown_model(rng: random.Random) -> Wire:
    name = rng.choice(['', 'nobody', 'ticket@v1', 'x' * 5000, '\u0000'])
    return Wire('unknown_model', request(valid(model=name)))


def _oversize(rng: random.Random) -> Wire:
    size = LIMITS.body_bytes + rng.randint(1, 200_000)
    body = valid(pad='x' * size)
    if rng.random() < 0.5:
        return Wire('oversize', request(body))
    chunks = b''.join(
        b'%x\r\n%b\r\n' % (len(part), part)
        for part in (body[n : n + 9000] for n in range(0, len(body), 9000))
    )
    head = request(b'').replace(
        b'content-length: 0', b'transfer-encoding: chunked'
    )
    return Wire('oversize_chunked', head + chunks + b'0\r\n\r\n')


def _headers(rng: random.Random) -> Wire:
    size = rng.choice([20_000, 60_000, 300_000])
    return Wire('headers', request(valid(), x_pad='y' * size))


def _slow(rng: random.Random) -> Wire:
    body = valid()
    part = request(body[: rng.randrange(len(body))], length=len(body))
    return Wire('slow', part)


def _cut(rng: random.Random) -> Wire:
    body = valid()
    part = request(body[: rng.randrange(len(body))], length=len(body))
    return Wire('cut', part, hold=False)


def _garbage(rng: random.Random) -> Wire:
    return Wire('garbage', rng.randbytes(rng.randint(1, 300)) + b'\r\n\r\n')


def _controls(rng: random.Random) -> Wire:
    name = rng.choice(
        ['x_deadline', 'x_timeout_seconds', 'x_priority', 'idempotency_key']
    )
    value = rng.choice(['nan', 'inf', '-1e999', '1e9', 'x', '\xb2', '9' * 99])
    return Wire('controls', request(valid(), **{name: value}))


def _paths(rng: random.Random) -> Wire:
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
    return Wire('paths', request(valid(), path=path))


def _methods(rng: random.Random) -> Wire:
    method = rng.choice(['GET', 'PUT', 'BREW', 'OPTIONS', 'DELETE'])
    path = rng.choice([CHAT, '/v1/completions'])
    return Wire('methods', request(valid(), method=method, path=path))


def _caller(rng: random.Random) -> Wire:
    value = rng.choice(['', 'Basic eA==', 'Bearer nobody', 'Bearer \xff'])
    return Wire('caller', request(valid(), authorization=value))


def _media(rng: random.Random) -> Wire:
    value = rng.choice(['text/plain', 'multipart/form-data', 'x'])
    return Wire('media', request(valid(), content_type=value))


GENERATORS: typing.Final = (
    _bad_json,
    _flipped,
    _bad_utf8,
    _deep,
    _wrong_type,
    _unknown_model,
    _oversize,
    _headers,
    _slow,
    _cut,
    _garbage,
    _controls,
    _paths,
    _methods,
    _caller,
    _media,
)


async def run(count: int, seed: int) -> Report:
    """Send generated requests and report what came back."""
    rng = random.Random(seed)
    report = Report()
    site = client.Site(LIMITS)
    settings = server.ServerSettings(
        '127.0.0.1', 0, keep_alive_seconds=KEEP_ALIVE_SECONDS
    )
    listener = server.listen(settings)
    port = server.bound_port(listener)
    stop = anyio.Event()
    served = anyio.Event()
    limiter = anyio.Semaphore(CONCURRENCY)

    async def one(wire: Wire) -> None:
        async with limiter:
            await _send(wire, port, report)
            held = site.app.held_body_bytes
            report.peak_held_bytes = max(report.peak_held_bytes, held)

    async def serve() -> None:
        await server.serve(site.app, settings, listener, stop, site.rig.clock)
        served.set()

    async with anyio.create_task_group() as background:
        background.start_soon(site.rig.dispatcher.run_background)
        background.start_soon(site.app.run_background)
        background.start_soon(serve)
        await anyio.sleep(0.1)
        before = len(anyio.get_running_tasks())
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(one, rng.choice(GENERATORS)(rng))
        report.left_held_bytes = site.app.held_body_bytes
        report.runs = sum(site.rig.upstream.runs.values())
        await anyio.sleep(2 * KEEP_ALIVE_SECONDS)
        report.left_tasks = len(anyio.get_running_tasks()) - before
        stop.set()
        await served.wait()
        background.cancel_scope.cancel()
    return report


async def _send(wire: Wire, port: int, report: Report) -> None:
    report.sent += 1
    status = 0
    try:
        with anyio.fail_after(HANG_SECONDS):
            status = await _exchange(wire, port)
    except TimeoutError:
        report.wrong.append(f'{wire.kind}: hang')
        return
    report.statuses[status] += 1
    if not _is_right(wire, status):
        shown = wire.data[:200]
        report.wrong.append(f'{wire.kind}: status {status} for {shown!r}')


def _is_right(wire: Wire, status: int) -> bool:
    if not wire.hold:
        return status == 0
    if wire.may_pass and status == 200:
        return True
    return 400 <= status < 500


async def _exchange(wire: Wire, port: int) -> int:
    stream = await anyio.connect_tcp('127.0.0.1', port)
    async with stream:
        try:
            await stream.send(wire.data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        if not wire.hold:
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
