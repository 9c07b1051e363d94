"""Runs gateways by the command of the deploy file before stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import shlex
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

from tests.site import processes
from tests.site import server as servers
from tests.site import store as stores
from tests.site import http

if typing.TYPE_CHECKING:
    from collections import abc

ROOT: typing.Final = pathlib.Path(os.environ['REVIEW_ROOT'])
TROUBLE: typing.Final = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Gateway(processes.Instance):
    """A gateway process, started as the deploy file says."""

    def start(self) -> None:
        """Start the process; until it is ready its ports stay held."""
        if not self._held_ports:
            ports = (self._callers, self._readiness, self._peers)
            self._held_ports = [processes._hold_port(port) for port in ports]
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['DOGWOODQUAY_SETTINGS'] = str(self._settings)
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                shlex.split(deploy['roles']['front']['run']),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )


class Site:
    """A store, servers and gateways on loopback."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.store = stores.Store()
        self.http = http.HttpServer(self.store.handle)
        self.servers: list[servers.Server] = []
        self.gateways: list[Gateway] = []
        self._directory = directory

    @classmethod
    @contextlib.asynccontextmanager
    async def running(
        cls,
        gateways: int,
        configuration: dict[str, object],
        add_servers: abc.Callable[[Site], None],
        zones: tuple[str, ...] = ('zone-1', 'zone-2'),
        more_settings: str = '',
    ) -> abc.AsyncIterator[Site]:
        """Run a site until the block ends; no process is left then."""
        with tempfile.TemporaryDirectory() as name:
            site = cls(pathlib.Path(name))
            add_servers(site)
            await site.http.start()
            site.store.put('keyed.op', 'config', configuration)
            beats = asyncio.create_task(site._beat())
            try:
                for server in site.servers:
                    await server.start()
                for number in range(gateways):
                    gateway = Gateway(
                        f'front-{number}',
                        site.http.address,
                        site._directory,
                        zones[number % len(zones)],
                        more_settings,
                    )
                    site.gateways.append(gateway)
                    gateway.start()
                for gateway in site.gateways:
                    await gateway.wait_ready()
                yield site
            finally:
                beats.cancel()
                for gateway in site.gateways:
                    if gateway.process.poll() is None:
                        gateway.process.kill()
                    gateway.process.wait()
                for server in site.servers:
                    server.http.stop()
                site.http.stop()

    async def _beat(self) -> None:
        """Write the servers' entries; none is written in an outage."""
        while True:
            await asyncio.sleep(1.2)
            for server in self.servers:
                if not server.listed or not server.http.port:
                    continue
                if self.store.unavailable:
                    server._reports += 1
                else:
                    server.register(server._state)

    async def kill_all(self) -> None:
        """Kill all gateways."""
        for gateway in self.gateways:
            gateway.process.kill()
        for gateway in self.gateways:
            await gateway.wait_stopped()

    async def start_all(self) -> None:
        """Start all gateways again."""
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, folder: str) -> None:
        self._file = (ROOT / folder / 'record.txt').open('w')
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the begin."""
        seconds = time.monotonic() - self._began
        line = f'{seconds:7.2f} {text}'
        print(line)
        self._file.write(line + '\n')
        self._file.flush()


def main(
    folder: str, run: abc.Callable[[Record], abc.Awaitable[int]]
) -> typing.NoReturn:
    """Run a case and exit with its result, 2 if it could not run."""
    record = Record(folder)
    record.write(f'trouble: {"yes" if TROUBLE else "no"}')

    async def limited() -> int:
        async with asyncio.timeout(110):
            return await run(record)

    try:
        result = asyncio.run(limited())
    except Exception as error:
        record.write(f'could not run: {type(error).__name__}: {error}')
        result = NOT_RUN
    record.write(f'exit: {result}')
    sys.exit(result)
