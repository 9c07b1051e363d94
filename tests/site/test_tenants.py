"""End-to-end tests of tenants and their API keys."""

from __future__ import annotations

import asyncio
import typing
import unittest

from . import http
from . import processes
from . import server as servers

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 30.0
# The time for a new version to be in force in the settings of the tests.
_APPLY_SECONDS: typing.Final = 3.0


_INSTANCES: typing.Final = 2
_REQUESTS: typing.Final = 60
_SLOTS: typing.Final = 4
_WORK_SECONDS: typing.Final = 0.25


def _keys(version: int, **keys: str) -> dict[str, object]:
    """Return a manifest whose tenants have a key each."""
    tenants = [{'Name': name, 'ApiKeys': [key]} for name, key in keys.items()]
    return {**processes.manifest(version), 'Tenants': tenants}


def _manifest(version: int, *names: str) -> dict[str, object]:
    tenants = [
        {'Name': name, 'ApiKeys': [f'key-of-{name}'], 'Priority': 1}
        for name in names
    ]
    return {**processes.manifest(version), 'Tenants': tenants}


class TenantsTest(unittest.IsolatedAsyncioTestCase):
    """Keys are valid while they are in the configuration (KEYS)."""

    async def test_valid_unknown_and_revoked_keys(self) -> None:
        """A server knows the tenant; no key is forwarded or logged."""
        statuses: dict[str, set[int]] = {}

        async def call(instance: processes.Instance, key: str) -> int:
            line = f'Api-Key: key-of-{key}\r\nTenant: forged\r\n'
            answer = await instance.call('/plain/x', f'a-{key}', more=line)
            return answer.status

        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(
                2, _manifest(1, 'one', 'two')
            ) as site:
                for name in ('one', 'two', 'none'):
                    statuses[name] = {
                        await call(item, name) for item in site.instances
                    }
                    if name != 'none':
                        headers = site.desk.last_headers
                        self.assertEqual(name, headers['tenant'])
                        self.assertNotIn('api-key', headers)
                site.store.put('keyed.op', 'config', _manifest(2, 'two'))
                await asyncio.sleep(_APPLY_SECONDS)
                for name in ('one', 'two'):
                    statuses[f'{name} later'] = {
                        await call(item, name) for item in site.instances
                    }
                lines = [item.log_lines() for item in site.instances]
        expected = {
            'one': {200},
            'two': {200},
            'none': {401},
            'one later': {401},
            'two later': {200},
        }
        self.assertEqual(expected, statuses)
        self.assertNotIn('key-of-', repr(lines))


class _Desk(servers.Server):
    """A plain server that takes some time for each request."""

    def __init__(self, site: processes.Site, name: str) -> None:
        super().__init__(site.store, name, 'desk', slots=_SLOTS)
        self.tenants: list[str] = []
        self._turns = asyncio.Semaphore(_SLOTS)

    async def _execute(
        self, request: http.Request, attempt: str, model: str
    ) -> http.Answer:
        self.tenants.append(request.headers.get('tenant', ''))
        async with self._turns:
            await asyncio.sleep(_WORK_SECONDS)
            return await super()._execute(request, attempt, model)


class MovedKeyTest(unittest.IsolatedAsyncioTestCase):
    """Manifests move keys while requests wait (DENIED).

    Each version allows the key, and so each request.
    """

    async def _serve(self, *versions: dict[str, object]) -> list[str]:
        """Send requests, and a version after the other while they wait.

        :return: the tenants in whose name they ran.
        """
        desks: list[_Desk] = []

        def add(site: processes.Site) -> None:
            desks.extend(_Desk(site, name) for name in ('d1', 'd2'))
            site.servers = list(desks)

        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(
                _INSTANCES, versions[0], add
            ) as site:
                tasks = [
                    asyncio.ensure_future(
                        site.instances[number % _INSTANCES].call(
                            f'/plain/{number}',
                            f'r{number}',
                            more='Api-Key: key-1\r\n',
                        )
                    )
                    for number in range(_REQUESTS)
                ]
                for version in versions[1:]:
                    await asyncio.sleep(0.2)
                    site.store.put('keyed.op', 'config', version)
                answers = await asyncio.gather(*tasks)
        statuses = [answer.status for answer in answers]
        self.assertEqual([200] * _REQUESTS, statuses)
        return [name for desk in desks for name in desk.tenants]

    async def test_refused_after_a_move(self) -> None:
        """The key's tenant gets another name; both names run requests."""
        found = await self._serve(_keys(1, one='key-1'), _keys(2, two='key-1'))
        self.assertEqual({'one', 'two'}, set(found))

    async def test_refused_after_an_exchange(self) -> None:
        """Two tenants exchange their keys."""
        found = await self._serve(
            _keys(1, one='key-1', two='key-2'),
            _keys(2, one='key-2', two='key-1'),
        )
        self.assertEqual({'one', 'two'}, set(found))

    async def test_refused_after_two_moves(self) -> None:
        """The key is back soon."""
        found = await self._serve(
            _keys(1, one='key-1'), _keys(2, two='key-1'), _keys(3, one='key-1')
        )
        self.assertIn('one', found)
