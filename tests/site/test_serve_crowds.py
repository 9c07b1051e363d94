"""Process tests of `serve` and clients that do not keep to the limits."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import typing
import unittest

from . import crowd as crowds

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 60.0
_MEMORY_MB: typing.Final = 128
_SECRET: typing.Final = 'at-least-sixteen-characters'
_LISTEN: typing.Final = {'address': '127.0.0.1'}
_NOWHERE: typing.Final = {'address': '127.0.0.1', 'port': 1}
_PORTS: typing.Final = re.compile(
    r'callers on port (\d+), .*operators on (\d+)'
)


class _Instance(typing.NamedTuple):
    """A process of ``serve`` without a platform, and its ports."""

    process: subprocess.Popen[str]
    callers: int
    operators: int

    @classmethod
    @contextlib.contextmanager
    def running(cls) -> abc.Iterator[_Instance]:
        """Run an instance."""
        names = ('log', 'instance_list', 'weight_store')
        settings = {
            'instance': {
                'instance_id': 'entry-1',
                'failure_domain': 'domain-1',
                'region': 'region-1',
            },
            'callers': {
                'listen': _LISTEN,
                'max_memory_bytes': _MEMORY_MB << 20,
            },
            'peers': {'listen': _LISTEN, 'secrets': [_SECRET]},
            'operators': {'listen': _LISTEN, 'token': _SECRET},
            'platform': dict.fromkeys(names, _NOWHERE),
        }
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, 'settings.json')
            path.write_text(json.dumps(settings), 'utf-8')
            command = [sys.executable, '-m', 'dogwoodquay', 'serve']
            with subprocess.Popen(
                [*command, '--settings', str(path)],
                env=dict(os.environ),
                text=True,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            ) as process:
                assert process.stdout is not None
                ports = _PORTS.search(process.stdout.readline())
                assert ports is not None
                try:
                    yield cls(process, int(ports[1]), int(ports[2]))
                finally:
                    process.kill()


class UnfinishedHeadsTest(unittest.IsolatedAsyncioTestCase):
    """Heads of requests that do not end, of 90 kB each."""

    async def _assert_bounded(self, operators: bool) -> None:
        with _Instance.running() as instance:
            port = instance.operators if operators else instance.callers
            async with (
                asyncio.timeout(_TEST_TIMEOUT_SECONDS),
                crowds.Crowd.connected(instance, port, 1500) as crowd,
            ):
                start = crowds.head('GET', '/livez')[:-2]
                fields = [b'X: %s\r\n' % (b'x' * 9000)] * 10
                await crowd.send(lambda _: [start, *fields])
                self.assertIsNone(instance.process.poll())
                self.assertLess(crowds.peak_memory_mb(instance), _MEMORY_MB)
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', instance.callers
                )
                writer.write(crowds.head('GET', '/livez'))
                status = await reader.readline()
                self.assertTrue(status.startswith(b'HTTP/1.1 200'), status)
                writer.close()

    async def test_callers(self) -> None:
        """At the port for callers."""
        await self._assert_bounded(False)

    async def test_operators(self) -> None:
        """At the port for operators."""
        await self._assert_bounded(True)
