"""End-to-end tests of clients that do not keep to the limits."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import typing
import unittest

from . import crowd as crowds
from . import processes

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 60.0
_MEMORY_MB: typing.Final = 96
_MAX_DESCRIPTORS: typing.Final = 4100
_BODY_BYTES: typing.Final = 4 << 20
_LARGE_BYTES: typing.Final = 39 * _BODY_BYTES // 40
_PART: typing.Final = b'x' * (64 << 10)
_POST: typing.Final = ('POST', '/plain/crowd')
_CHUNKED: typing.Final = 'Transfer-Encoding: chunked'
_ONE_GB: typing.Final = 'Content-Length: 1000000000'
# What clients that are not refused send at most.
_MANY_BYTES: typing.Final = 1_000_000_000
# Longer than any test takes, so that no time of a limit ends what clients do.
_PATIENT: typing.Final = {'HeaderTimeoutMs': 600_000, 'IdleTimeoutMs': 600_000}


class _CrowdTest(unittest.IsolatedAsyncioTestCase):
    """The base of tests with a crowd at one instance."""

    max_descriptors = _MAX_DESCRIPTORS
    limits: typing.ClassVar[dict[str, int]] = _PATIENT

    @contextlib.asynccontextmanager
    async def _crowd(
        self,
        count: int,
        port_of: abc.Callable[[processes.Instance], int] = lambda instance: (
            instance.port
        ),
    ) -> abc.AsyncIterator[tuple[processes.Site, crowds.Crowd]]:
        """Connect a crowd, and check the instance after what it has sent."""
        configuration = processes.manifest(1) | {'Limits': self.limits}
        async with (
            asyncio.timeout(_TEST_TIMEOUT_SECONDS),
            crowds.limited_site(
                _MEMORY_MB, self.max_descriptors, configuration
            ) as site,
        ):
            (instance,) = site.instances
            async with crowds.Crowd.connected(
                instance, port_of(instance), count
            ) as crowd:
                yield site, crowd
                await self._assert_sound(instance)

    async def _assert_sound(self, instance: processes.Instance) -> None:
        """Fail unless the process lives within its limits and serves."""
        self.assertIsNone(instance.process.poll())
        self.assertLess(crowds.peak_memory_mb(instance), _MEMORY_MB)
        self.assertLess(
            crowds.open_descriptors(instance),
            self.max_descriptors - crowds.FILE_DESCRIPTORS,
        )
        answer = await instance.call('/plain/after', 'after')
        self.assertEqual(200, answer.status)


class UnfinishedBodiesTest(_CrowdTest):
    """Bodies within the limit that stop just short of their end."""

    async def test_with_a_length(self) -> None:
        """All but the last byte arrives."""
        async with self._crowd(30) as (_, crowd):
            length = f'Content-Length: {_BODY_BYTES}'
            parts = [crowds.head(*_POST, length), *[_PART] * 63, _PART[1:]]
            await crowd.send(lambda _: parts)

    async def test_in_large_chunks(self) -> None:
        """Chunks of 64 KiB, one short of the limit."""
        async with self._crowd(30) as (_, crowd):
            parts = [
                crowds.head(*_POST, _CHUNKED),
                *[crowds.chunk(_PART)] * 63,
            ]
            await crowd.send(lambda _: parts)

    async def test_in_small_chunks(self) -> None:
        """Chunks of 1 KiB, one short of the limit."""
        async with self._crowd(30) as (_, crowd):
            part = crowds.chunk(_PART[:1024]) * 64
            parts = [crowds.head(*_POST, _CHUNKED), *[part] * 63]
            await crowd.send(lambda _: parts)

    async def test_in_one_chunk_over_the_limit(self) -> None:
        """The chunk is announced as 256 MiB, and 3.9 MiB of it arrive."""
        async with self._crowd(30) as (_, crowd):
            start = crowds.head(*_POST, _CHUNKED) + b'10000000\r\n'
            parts = [start, *[_PART] * 62]
            await crowd.send(lambda _: parts)

    async def test_in_tiny_chunks(self) -> None:
        """Chunks of 2 bytes; the time for a body lets all of them arrive."""
        async with self._crowd(40) as (_, crowd):
            part = crowds.chunk(b'xx') * 2000
            parts = [crowds.head(*_POST, _CHUNKED), *[part] * 15]
            await crowd.send(lambda _: parts)


class OversizedBodiesTest(_CrowdTest):
    """Bodies over the limit, whose clients go on sending."""

    def _parts(self, field: str, part: bytes) -> abc.Iterator[bytes]:
        yield crowds.head(*_POST, field) + part
        yield from itertools.repeat(part, _MANY_BYTES // len(part))

    async def test_without_a_length(self) -> None:
        """Chunks go on without end."""
        async with self._crowd(40) as (_, crowd):
            part = crowds.chunk(_PART)
            await crowd.send(lambda _: self._parts(_CHUNKED, part))

    async def test_announced(self) -> None:
        """The length is announced; refused connections are closed."""
        async with self._crowd(600) as (site, crowd):
            (instance,) = site.instances
            await crowd.send(lambda _: self._parts(_ONE_GB, _PART))
            while crowds.open_descriptors(instance) > 100:
                await asyncio.sleep(0.1)


class UnfinishedHeadsTest(_CrowdTest):
    """Heads of requests that do not end, of 60 kB each."""

    async def _assert_bounded(
        self, port_of: abc.Callable[[processes.Instance], int]
    ) -> None:
        async with self._crowd(1000, port_of) as (_, crowd):
            start = crowds.head(*_POST)[:-2]
            fields = [b'X-%d: %s\r\n' % (n, b'x' * 6000) for n in range(10)]
            await crowd.send(lambda _: [start, *fields])

    async def test_callers(self) -> None:
        """At the port for callers."""
        await self._assert_bounded(lambda instance: instance.port)

    async def test_readiness(self) -> None:
        """At the port of readiness and metrics."""
        await self._assert_bounded(lambda instance: instance.readiness_port)


class ShortFieldsTest(_CrowdTest):
    """Whole heads of 4,500 short fields, in 31 kB."""

    async def test_callers(self) -> None:
        """All arrive at once."""
        async with self._crowd(300) as (_, crowd):
            fields = b''.join(b'%d:\r\n' % number for number in range(4500))
            data = crowds.head(*_POST)[:-2] + fields + b'\r\n'
            await crowd.send(lambda _: [data])


class SentAheadTest(_CrowdTest):
    """Requests sent ahead on a few connections, their answers unread."""

    async def test_large_bodies(self) -> None:
        """Each of the answers has the body of its request."""
        async with self._crowd(20) as (_, crowd):
            length = f'Content-Length: {_LARGE_BYTES}'
            body = b'x' * _LARGE_BYTES

            def requests(client: int) -> abc.Iterator[bytes]:
                for number in range(6):
                    attempt = f'Attempt-Id: ahead-{client}-{number}'
                    yield crowds.head(*_POST, length, attempt)
                    yield body

            await crowd.send(requests)

    async def test_large_answers(self) -> None:
        """Short requests, each with an answer of 3.9 MB."""
        async with self._crowd(20) as (site, crowd):
            site.desk.padding = b'x' * _LARGE_BYTES
            await crowd.send(
                lambda client: [
                    crowds.head('GET', '/plain/crowd', f'Attempt-Id: {client}')
                    * 50
                ]
            )
            while len(site.desk.executed_attempts) < 20:
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.0)
            site.desk.padding = b''


class SilentConnectionsTest(_CrowdTest):
    """More connections than an instance has descriptors for."""

    max_descriptors = 400

    async def _assert_bounded(
        self, port_of: abc.Callable[[processes.Instance], int]
    ) -> None:
        async with self._crowd(300, port_of) as (site, _):
            (instance,) = site.instances
            for _ in range(20):
                await asyncio.sleep(0.1)
                self.assertLess(
                    crowds.open_descriptors(instance),
                    self.max_descriptors - crowds.FILE_DESCRIPTORS,
                )

    async def test_callers(self) -> None:
        """Nothing is sent to the port for callers."""
        await self._assert_bounded(lambda instance: instance.port)

    async def test_readiness(self) -> None:
        """Nothing is sent to the port of readiness and metrics."""
        await self._assert_bounded(lambda instance: instance.readiness_port)

    async def test_peers(self) -> None:
        """Nothing is sent to the port for other instances."""
        await self._assert_bounded(lambda instance: instance.peers_port)


class OtherProtocolsTest(_CrowdTest):
    """HTTP/2, which no page asks for, takes nothing beyond the limits."""

    async def test_http2(self) -> None:
        """Each connection has 90 streams with unfinished bodies of 16 kB."""
        async with self._crowd(80) as (_, crowd):
            await crowd.send_http2(90, _PART[: 16 << 10])


class WithinTheLimitsTest(_CrowdTest):
    """Clients within the limits get answers."""

    def _post(self, attempt: str, size: int) -> bytes:
        fields = (f'Attempt-Id: {attempt}', f'Content-Length: {size}')
        return crowds.head(*_POST, *fields) + bytes(size)

    async def test_many_large_bodies(self) -> None:
        """Each is answered; a refusal says that the request did not run."""
        async with self._crowd(30) as (site, crowd):
            site.desk.echoes = False
            answers = await crowd.call(
                lambda client: self._post(f'{client}', _BODY_BYTES)
            )
            served = [item for item in answers if item.status == 200]
            refused = [item for item in answers if item.status == 503]
            self.assertEqual(len(answers), len(served) + len(refused))
            self.assertEqual(len(served), len(site.desk.executed_attempts))
            self.assertTrue(served)
            self.assertTrue(all('retry-after' in a.headers for a in refused))

    async def test_one_after_the_other(self) -> None:
        """A lone client is not refused, also after others were."""
        async with self._crowd(30) as (site, crowd):
            (instance,) = site.instances
            site.desk.echoes = False
            length = f'Content-Length: {_BODY_BYTES}'
            parts = [crowds.head(*_POST, length), *[_PART] * 63]
            await crowd.send(lambda _: parts)
            crowd.close()
            for number in range(4):
                answer = await instance.call(
                    '/plain/after',
                    f'{number}',
                    'POST',
                    body=bytes(_BODY_BYTES),
                )
                self.assertEqual(200, answer.status)


class PlannedStopTest(_CrowdTest):
    """A planned stop does not wait for clients that do not go on."""

    async def test_ends(self) -> None:
        """Some have sent half a request, some do not read their answer."""
        async with (
            asyncio.timeout(_TEST_TIMEOUT_SECONDS),
            crowds.limited_site(
                _MEMORY_MB,
                self.max_descriptors,
                processes.manifest(1) | {'Limits': self.limits},
            ) as site,
        ):
            (instance,) = site.instances
            site.desk.padding = b'x' * _LARGE_BYTES
            async with crowds.Crowd.connected(
                instance, instance.port, 12
            ) as crowd:
                requests = (
                    crowds.head(*_POST, _ONE_GB[:-3]) + _PART,
                    crowds.head(*_POST)[:-2],
                    crowds.head('GET', '/plain/crowd', 'Attempt-Id: 1') * 20,
                )
                await crowd.send(lambda client: [requests[client % 3]])
                instance.process.send_signal(signal.SIGTERM)
                self.assertEqual(0, await instance.wait_stopped())
