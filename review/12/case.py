"""The key of a requester moves to another tenant while its streams run."""

from __future__ import annotations

import asyncio
import typing

from standin3 import site as sites
from tests.site import processes
from tests.site import server as servers
from tests.site import streams
from tests.site import versions

_GATEWAYS: typing.Final = 3
_STREAMS: typing.Final = 24
_LISTED_SECONDS: typing.Final = 18.0
_APPLY_SECONDS: typing.Final = 2.5
_MOST_MIXED: typing.Final = 2
_KEY: typing.Final = 'counter-key'


def _manifest(version: int, tenant: str) -> dict[str, typing.Any]:
    content = versions._configuration()
    content['Version'] = version
    content['Tenants'] = [{'Name': tenant, 'ApiKeys': [_KEY]}]
    return content


def _add(site: sites.Site) -> None:
    site.servers = [servers.Server(site.store, 'd1', 'desk')]
    for name, version, zone in versions.TWO_OF_EACH:
        engine = servers.Server(
            site.store,
            name,
            'engines',
            'loaded',
            slots=64,
            version=version,
            zone=zone,
        )
        engine.events = 40
        engine.event_seconds = 0.2
        site.servers.append(engine)


class _Stream(streams.Stream):
    """A stream of a requester with a key."""

    async def _exchange(self, port: int, head: bytes, attempt: str) -> None:
        head = head[:-2] + f'Api-Key: {_KEY}\r\n\r\n'.encode()
        await super()._exchange(port, head, attempt)


async def run(record: sites.Record) -> int:
    """Run the case."""
    first = _manifest(1, 'lakeshore')
    async with sites.Site.running(_GATEWAYS, first, _add) as site:
        await asyncio.sleep(_LISTED_SECONDS)
        found = [
            _Stream(f's{number}', '/stream/x', versions.LIMIT_SECONDS)
            for number in range(_STREAMS)
        ]
        for stream in found:
            stream.start(site.gateways[0])
            await asyncio.sleep(0.02)
        await asyncio.gather(*(stream.wait_event() for stream in found))
        record.write('all streams have begun at front-0')
        if sites.TROUBLE:
            site.store.put(
                'keyed.op', 'config', _manifest(2, 'lakeshore-cobblers')
            )
            record.write('version 2: the key belongs to another tenant')
        await asyncio.sleep(_APPLY_SECONDS)
        for stream in found:
            await stream.reset()
        record.write('all requesters lose their connections')
        await asyncio.gather(*(stream.ended() for stream in found))
        for stream in found:
            record.write(stream.story)
        await asyncio.gather(
            *(
                stream.take_up([site.gateways[1 + number % 2]])
                for number, stream in enumerate(found)
            )
        )
        record.write('all streams have been taken up at the others')
        for stream in found:
            record.write(stream.story)
        mixed = [item for item in found if len(item.versions) > 1]
        on = [item for item in found if item.answered]
        record.write(f'went on: {len(on)} of {len(found)}')
        record.write(f'events of two versions: {len(mixed)} (at most 2)')
    return sites.BROKEN if len(mixed) > _MOST_MIXED else sites.HELD


sites.main('review/12', run)
