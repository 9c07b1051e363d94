"""Runs gateway instances as processes, with stand-ins of the platform."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import typing

from . import links
from . import server as servers
from . import store as stores

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'Answer',
    'Connection',
    'Instance',
    'Site',
    'manifest',
    'plain_route',
    'plain_routes',
    'read_answer',
    'route',
    'stream_head',
]

_HOST: typing.Final = 'site.example'
_POLL_SECONDS: typing.Final = 0.02

_SETTINGS: typing.Final = """
NodeName = "{name}"
Role = "front"
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "region-1"
PortRange = [{peers}, {peers}]
[Listen]
Front = "127.0.0.1:{callers}"
Readiness = "127.0.0.1:{readiness}"
[Bounds]
DrainMs = 2000
GraceS = 6
RetryBudgetRatio = 0.2
RetryWindowS = 10
LeaseMs = 3000
FenceChecked = true
CeilingWindowS = 5
[Platform]
Address = "{store}"
TtlMinMs = 1000
"""


class Answer(typing.NamedTuple):
    """A received reply; ``complete`` is false if it was cut off.

    Names and values of headers are in lower case.
    """

    status: int
    body: bytes
    complete: bool
    headers: dict[str, str]


def manifest(version: int, *more: dict[str, typing.Any]) -> dict[str, object]:
    """Return a configuration with a plain and a streaming route."""
    plain = route('/plain/', 'desk', Type='idempotent', MaxAttempts=2)
    stream = route('/stream/', 'engines', Type='streaming', Resumable=True)
    models = [
        {
            'Name': name,
            'WeightsMb': 40.0,
            'LoadTimeS': 0.1,
            'Adapters': 2,
            'AdapterMb': 1.0,
        }
        for name in ('loaded', 'absent')
    ]
    engine = {
        'Slots': 4,
        'KvCapacity': 1000,
        'WeightsMb': 100.0,
        'MaxAdapters': 2,
        'LoadsPerS': 2.0,
        'Models': models,
    }
    return {
        'Version': version,
        'Routes': [plain, stream, *more],
        'Services': [
            {'Name': 'desk', 'HealthPath': '/healthz', 'MaxConnections': 50},
            {
                'Name': 'engines',
                'HealthPath': '/healthz',
                'MaxConnections': 50,
                'Engine': engine,
            },
        ],
        'Limits': {},
    }


def route(
    prefix: str, service: str, **changes: typing.Any
) -> dict[str, typing.Any]:
    """Return a route for :func:`manifest`."""
    fields = {
        'Name': prefix.strip('/'),
        'Host': _HOST,
        'PathPrefix': prefix,
        'Service': service,
        'TimeoutMs': 5000,
        'TargetLatencyMs': 500,
        'Priority': 1,
        'MaxAttempts': 1,
        'GapAimMs': 500,
    }
    return fields | changes


def plain_route(prefix: str) -> dict[str, typing.Any]:
    """Return another plain route for :func:`manifest`."""
    return route(prefix, 'desk', Type='idempotent')


def plain_routes(count: int) -> list[dict[str, typing.Any]]:
    """Return many plain routes; the last one has the highest number."""
    return [plain_route(f'/added-{number}/') for number in range(count)]


class Connection:
    """A caller's connection that is kept for several requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    @contextlib.asynccontextmanager
    async def opened(cls, instance: Instance) -> abc.AsyncIterator[Connection]:
        """Open a connection to an instance's port for callers."""
        streams = await asyncio.open_connection('127.0.0.1', instance.port)
        try:
            yield cls(*streams)
        finally:
            streams[1].close()

    async def call(
        self,
        target: str,
        attempt: str,
        method: str = 'GET',
        model: str = '',
        deadline_ms: int = 5000,
    ) -> Answer:
        """Send a request and read the reply.

        :raises EOFError: if the connection ends before the reply's head, or
            within a body of known length.
        :raises OSError: if the connection is reset.
        """
        extra = _headers(attempt, model, deadline_ms)
        return await _exchange(
            self._reader, self._writer, method, target, extra
        )


class Instance:
    """One ``gateway`` process with its ports, settings and log."""

    def __init__(
        self,
        name: str,
        store: str,
        directory: pathlib.Path,
        zone: str = 'zone-1',
        more_settings: str = '',
    ) -> None:
        self._name = name
        self._held_ports = [_hold_port() for _ in range(3)]
        self._callers, self._readiness, self._peers = (
            int(item.getsockname()[1]) for item in self._held_ports
        )
        self._settings = directory / f'{name}.toml'
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                store=store,
                callers=self._callers,
                readiness=self._readiness,
                peers=self._peers,
                zone=zone,
            )
            + more_settings,
            'utf-8',
        )
        self._log = directory / f'{name}.log'
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The running process."""
        assert self._process is not None
        return self._process

    @property
    def member(self) -> str:
        """The member name in the store's group."""
        return f'{self._name}@127.0.0.1:{self._peers}'

    @property
    def port(self) -> int:
        """The port for callers."""
        return self._callers

    @property
    def readiness_port(self) -> int:
        """The port of readiness and metrics."""
        return self._readiness

    @property
    def peers_port(self) -> int:
        """The port for other instances."""
        return self._peers

    def log_lines(self) -> list[dict[str, typing.Any]]:
        """Return the log lines written so far."""
        text = self._log.read_text('utf-8')
        return [json.loads(line) for line in text.splitlines()]

    def start(self) -> None:
        """Start the process; until it is ready its ports stay held."""
        if not self._held_ports:
            ports = (self._callers, self._readiness, self._peers)
            self._held_ports = [_hold_port(port) for port in ports]
        environment = dict(os.environ)
        environment['DOGWOODQUAY_SETTINGS'] = str(self._settings)
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'dogwoodquay', 'gateway'],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def wait_ready(self) -> None:
        """Wait until the readiness endpoint replies with 200.

        :raises RuntimeError: if the process has ended.
        """
        while True:
            if self.process.poll() is not None:
                raise RuntimeError(self._log.read_text('utf-8')[-2000:])
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                answer = await _send(self._readiness, 'GET', '/readyz', '')
                if answer.status == 200:
                    while self._held_ports:
                        self._held_ports.pop().close()
                    return
            await asyncio.sleep(_POLL_SECONDS)

    async def call(
        self,
        target: str,
        attempt: str,
        method: str = 'GET',
        model: str = '',
        more: str = '',
        body: bytes = b'',
    ) -> Answer:
        """Send a request to the port for callers.

        :param more: further header lines, each with its end.
        """
        extra = _headers(attempt, model, 5000) + more
        return await _send(self._callers, method, target, extra, body)

    async def readiness_status(self) -> int:
        """Return the status of the readiness endpoint."""
        return (await _send(self._readiness, 'GET', '/readyz', '')).status

    async def wait_stopped(self) -> int:
        """Wait until the process exits and return its exit status."""
        while self.process.poll() is None:
            await asyncio.sleep(_POLL_SECONDS)
        return self.process.returncode


class Site:
    """A store, two servers and gateway instances on loopback."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.store = stores.Store()
        self.desk = servers.Server(self.store, 'd1', 'desk')
        self.engine = servers.Server(self.store, 'e1', 'engines', 'loaded')
        self.servers = [self.desk, self.engine]
        self.instances: list[Instance] = []
        self._linked_store = links.LinkedStore(self.store)
        self._linked = True
        self._directory = directory

    @property
    def links(self) -> list[links.Link]:
        """The links of the instances to the store, in the same order."""
        return self._linked_store.links

    async def owner_number(self) -> int:
        """Return the owner's position, as soon as there is one."""
        while not self.store.owner():
            await asyncio.sleep(_POLL_SECONDS)
        members = [instance.member for instance in self.instances]
        return members.index(self.store.owner())

    def start_instance(self, name: str) -> Instance:
        """Start one more instance."""
        instance = Instance(
            name, self._linked_store.http.address, self._directory
        )
        self.instances.append(instance)
        instance.start()
        self._linked_store.add(instance.process.pid)
        return instance

    def start_again(self, instance: Instance) -> None:
        """Start an instance again whose process has ended."""
        instance.start()
        if self._linked:
            self._linked_store.add(instance.process.pid)

    @classmethod
    @contextlib.asynccontextmanager
    async def running(
        cls,
        instances: int,
        configuration: dict[str, object] | None = None,
        add_servers: abc.Callable[[Site], None] = lambda _: None,
        zones: tuple[str, ...] = ('zone-1',),
        linked: bool = True,
        more_settings: str = '',
    ) -> abc.AsyncIterator[Site]:
        """Run a site and wait until all its instances are ready.

        :param configuration: the first one, :func:`manifest` if not given.
        :param add_servers: changes the servers before they start.
        :param zones: the failure domains that the instances take in turn.
        :param linked: whether each instance has a link to the store, which
            is slow where the machine has many connections.
        :param more_settings: further tables of the instances' settings.
        """
        with tempfile.TemporaryDirectory() as directory:
            site = cls(pathlib.Path(directory))
            site._linked = linked
            add_servers(site)
            await site._linked_store.http.start()
            site.store.put('keyed.op', 'config', configuration or manifest(1))
            for server in site.servers:
                await server.start()
            try:
                for number in range(instances):
                    new_instance = Instance(
                        f'front-{number}',
                        site._linked_store.http.address,
                        pathlib.Path(directory),
                        zones[number % len(zones)],
                        more_settings,
                    )
                    site.instances.append(new_instance)
                    new_instance.start()
                    if linked:
                        site._linked_store.add(new_instance.process.pid)
                for instance in site.instances:
                    await instance.wait_ready()
                yield site
            finally:
                for instance in site.instances:
                    if instance.process.poll() is None:
                        instance.process.kill()
                    instance.process.wait()
                for server in site.servers:
                    server.http.stop()
                site._linked_store.http.stop()


def stream_head(
    target: str, attempt: str, model: str, deadline_ms: int, more: str = ''
) -> bytes:
    """Return the head of a request for a stream.

    :param more: further header lines, each with its end.
    """
    extra = _headers(attempt, model, deadline_ms) + more
    return _head('POST', target, extra)


def _hold_port(port: int = 0) -> socket.socket:
    """Return a socket whose port only a process that is told of it binds.

    :param port: zero for any that is free.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(('127.0.0.1', port))
    return held


def _headers(attempt: str, model: str, deadline_ms: int) -> str:
    lines = f'Attempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\n'
    if model:
        lines += f'Model: {model}\r\nToken-Usage: 10,10\r\n'
    return lines


async def _send(
    port: int, method: str, target: str, extra: str, body: bytes = b''
) -> Answer:
    """Send a request on a new connection and read the reply."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        return await _exchange(reader, writer, method, target, extra, body)
    finally:
        writer.close()


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    target: str,
    extra: str,
    body: bytes = b'',
) -> Answer:
    if body:
        extra += f'Content-Length: {len(body)}\r\n'
    writer.write(_head(method, target, extra) + body)
    return await read_answer(reader)


def _head(method: str, target: str, extra: str) -> bytes:
    head = f'{method} {target} HTTP/1.1\r\nHost: {_HOST}\r\n{extra}\r\n'
    return head.encode('latin-1')


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read a reply.

    :raises EOFError: if the connection ends before the reply's head, or
        within a body of known length.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head[:-4].split('\r\n')
    status = int(line.split(' ')[1])
    fields = dict(item.lower().split(': ', 1) for item in rest)
    if 'content-length' in fields:
        body = await reader.readexactly(int(fields['content-length']))
        return Answer(status, body, True, fields)
    parts: list[bytes] = []
    try:
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
            if not size:
                return Answer(status, b''.join(parts), True, fields)
    except (asyncio.IncompleteReadError, OSError):
        return Answer(status, b''.join(parts), False, fields)
