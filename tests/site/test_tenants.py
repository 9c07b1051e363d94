"""End-to-end tests of tenants and their API keys."""

from __future__ import annotations

import asyncio
import typing
import unittest

from . import processes

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 30.0
# The time for a new version to be in force in the settings of the tests.
_APPLY_SECONDS: typing.Final = 3.0


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
