"""End-to-end tests of servers whose answers do not end."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import time
import typing
import unittest

from . import endless
from . import processes
from . import server as servers

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 180.0
_POLL_SECONDS: typing.Final = 0.02
_DEADLINE_MS: typing.Final = 2000
_ROUTE_SECONDS: typing.Final = 5.0
_AT_ONCE: typing.Final = 8
_STORE_SECONDS: typing.Final = 1.0
_STORE_TEST_TIMEOUT_SECONDS: typing.Final = 60.0
_SLOTS: typing.Final = 64
# The memory that a machine gives to an instance.
_INSTANCE_KILOBYTES: typing.Final = 200_000
_ENDED_BADLY: typing.Final = frozenset({502, 504})


class _Reply(typing.NamedTuple):
    """What a caller got; status 0 for a connection that broke."""

    status: int
    whole: bool
    seconds: float


def _configuration() -> dict[str, object]:
    """Return a configuration with a route and a service for each kind."""
    changes: dict[endless.Kind, dict[str, typing.Any]] = {
        kind: {
            'Service': kind.value,
            'Type': 'idempotent',
            'TimeoutMs': int(_ROUTE_SECONDS * 1000),
        }
        for kind in endless.Kind
    }
    for kind, fields in changes.items():
        if kind.streaming:
            fields.update(Type='streaming', Resumable=False)
    base: typing.Any = processes.manifest(
        1,
        *(
            processes.route(f'/{kind.value}/', **_fields_of(fields))
            for kind, fields in changes.items()
        ),
    )
    engine = base['Services'][1]['Engine']
    for kind in endless.Kind:
        service = {
            'Name': kind.value,
            'HealthPath': '/healthz',
            'MaxConnections': 200,
        }
        if kind.streaming:
            service['Engine'] = engine | {'Slots': _SLOTS}
        base['Services'].append(service)
    return typing.cast('dict[str, object]', base)


def _fields_of(fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the fields as arguments of :func:`processes.route`."""
    rest = dict(fields)
    return {'service': rest.pop('Service'), **rest}


def _add_servers(site: processes.Site) -> None:
    for kind in endless.Kind:
        models = ('loaded',) if kind.streaming else ()
        server = servers.Server(
            site.store, f'x-{kind.value}', kind.value, *models, slots=_SLOTS
        )
        server.endless = kind
        site.servers.append(server)


def _peak_kilobytes(instance: processes.Instance) -> int:
    status = pathlib.Path(f'/proc/{instance.process.pid}/status').read_text()
    (line,) = (
        item for item in status.splitlines() if item.startswith('VmHWM:')
    )
    return int(line.split()[1])


async def _call(
    instance: processes.Instance, target: str, attempt: str, model: str
) -> _Reply:
    began = time.monotonic()
    status, whole = 0, False
    with contextlib.suppress(EOFError, OSError):
        async with processes.Connection.opened(instance) as connection:
            answer = await connection.call(
                target, attempt, model=model, deadline_ms=_DEADLINE_MS
            )
            status, whole = answer.status, answer.complete
    return _Reply(status, whole, time.monotonic() - began)


class EndlessAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Endless answers cost an instance bounded memory and time."""

    async def test_endless_answers(self) -> None:
        """Many at once of each kind, with sound requests beside them."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(
                1, _configuration(), _add_servers
            ) as site:
                for server in site.servers:
                    if server.endless is not None:
                        await self._check(site, server, server.endless)

    async def _check(
        self,
        site: processes.Site,
        server: servers.Server,
        kind: endless.Kind,
    ) -> None:
        (instance,) = site.instances
        model = 'loaded' if kind.streaming else ''
        calls = [
            _call(instance, f'/{kind.value}/x', f'{kind.value}-{n}', model)
            for n in range(_AT_ONCE)
        ]
        sound = [
            _call(instance, '/plain/x', f'sound-{kind.value}-{n}', '')
            for n in range(4)
        ]
        replies = await asyncio.gather(*calls, *sound)
        while server.endless_now:
            await asyncio.sleep(_POLL_SECONDS)
        peak = _peak_kilobytes(instance)
        slowest = max(reply.seconds for reply in replies)
        found = f'peak {peak} kB, slowest {slowest:.2f} s, {replies}'
        with self.subTest(kind=kind.value, found=found):
            self.assertLess(peak, _INSTANCE_KILOBYTES)
            self.assertLess(slowest, _ROUTE_SECONDS)
            for reply in replies[:_AT_ONCE]:
                self.assertFalse(reply.whole and reply.status == 200)
                if kind is not endless.Kind.SMALL_EVENTS:
                    self.assertIn(reply.status, _ENDED_BADLY)
            for reply in replies[_AT_ONCE:]:
                self.assertEqual((200, True), reply[:2])


class EndlessStoreTest(unittest.IsolatedAsyncioTestCase):
    """Endless answers of the store cost as little (CONFIG, LOST).

    The next version is followed as soon as the store is sound again.
    """

    async def test_endless_reads(self) -> None:
        """All calls get them, of one kind after the other."""
        async with asyncio.timeout(_STORE_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(2, linked=False) as site:
                for kind in endless.Kind:
                    site.store.endless = kind
                    until = time.monotonic() + _STORE_SECONDS
                    number = 0
                    while time.monotonic() < until:
                        number += 1
                        instance = site.instances[number % 2]
                        attempt = f'{kind.value}-{number}'
                        reply = await _call(instance, '/plain/x', attempt, '')
                        self.assertEqual((200, True), reply[:2], kind)
                        await asyncio.sleep(_POLL_SECONDS)
                site.store.endless = None
                added = processes.plain_route('/added/')
                site.store.put(
                    'keyed.op', 'config', processes.manifest(2, added)
                )
                for instance in site.instances:
                    while True:
                        answer = await instance.call('/added/x', 'added')
                        if answer.status == 200:
                            break
                        await asyncio.sleep(_POLL_SECONDS)
                    peak = _peak_kilobytes(instance)
                    self.assertLess(peak, _INSTANCE_KILOBYTES)
