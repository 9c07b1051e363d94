"""The key of requesters moves to another tenant while requests wait."""

from __future__ import annotations

import asyncio
import collections
import typing

from standin3 import desk as desks
from standin3 import site as sites
from tests.site import processes

_GATEWAYS: typing.Final = 2
_REQUESTS: typing.Final = 60
_KEY: typing.Final = 'counter-key'
_OWN_4XX: typing.Final = frozenset({401, 403, 404})


def _manifest(version: int, tenant: str) -> dict[str, typing.Any]:
    content = typing.cast('dict[str, typing.Any]', processes.manifest(version))
    content['Tenants'] = [{'Name': tenant, 'ApiKeys': [_KEY]}]
    return content


async def run(record: sites.Record) -> int:
    """Run the case."""
    found: list[desks.Desk] = []

    def add(site: sites.Site) -> None:
        found.extend(
            desks.Desk(site.store, name, 4, 0.25) for name in ('d1', 'd2')
        )
        site.servers = list(found)

    first = _manifest(1, 'lakeshore')
    async with sites.Site.running(_GATEWAYS, first, add) as site:
        await asyncio.sleep(4.0)

        async def ask(number: int) -> int:
            name = f'r{number}'
            gateway = site.gateways[number % _GATEWAYS]
            try:
                answer = await gateway.call(
                    f'/plain/{number}', name, more=f'Api-Key: {_KEY}\r\n'
                )
            except (OSError, EOFError) as error:
                record.write(f'{name}: {type(error).__name__}')
                return 0
            tenant = next(
                (item.tenants[name] for item in found if name in item.tenants),
                'not run',
            )
            record.write(f'{name}: {answer.status}, tenant {tenant}')
            return answer.status

        asking = [
            asyncio.create_task(ask(number)) for number in range(_REQUESTS)
        ]
        record.write(f'{_REQUESTS} requests are sent')
        await asyncio.sleep(0.2)
        if sites.TROUBLE:
            site.store.put(
                'keyed.op', 'config', _manifest(2, 'lakeshore-cobblers')
            )
            record.write('version 2: the key belongs to another tenant')
        statuses = await asyncio.gather(*asking)
        await asyncio.sleep(2.5)
        later = [await ask(_REQUESTS + number) for number in range(4)]
        record.write(f'after the change, the key gets {later}')
        counts = collections.Counter(statuses)
        record.write(f'statuses: {dict(counts)}')
        denied = sum(counts[status] for status in _OWN_4XX)
        most = 5 + (_REQUESTS + len(later)) / 500
        record.write(f'denied: {denied} (at most {most:.2f})')
    return sites.BROKEN if denied > most else sites.HELD


sites.main('review/15', run)
