"""Streams of which nothing is written, when all gateways are killed."""

from __future__ import annotations

import asyncio
import typing

from standin3 import site as sites
from tests.site import processes
from tests.site import server as servers
from tests.site import streams
from tests.site import versions

_GATEWAYS: typing.Final = 3
_STREAMS: typing.Final = 60
_LISTED_SECONDS: typing.Final = 17.0
_PAUSE_SECONDS: typing.Final = 3
_MOST_MIXED: typing.Final = 2


def _add(site: sites.Site) -> None:
    site.servers = [servers.Server(site.store, 'd1', 'desk')]
    for name, version, zone in (
        ('a1', 'v1', 'zone-1'),
        ('a2', 'v1', 'zone-2'),
        ('b1', 'v2', 'zone-1'),
    ):
        engine = servers.Server(
            site.store,
            name,
            'engines',
            'loaded',
            slots=64,
            version=version,
            zone=zone,
        )
        engine.events = 20
        engine.event_seconds = 0.2
        site.servers.append(engine)


async def run(record: sites.Record) -> int:
    """Run the case."""
    manifest = versions._configuration()
    async with sites.Site.running(_GATEWAYS, manifest, _add) as site:
        await asyncio.sleep(_LISTED_SECONDS)
        if sites.TROUBLE:
            site.store.unavailable = True
            record.write('the store is down')
        await asyncio.sleep(0.5)
        new = site.servers[-1]
        new.pause = str(_PAUSE_SECONDS)
        paused_until = asyncio.get_running_loop().time() + _PAUSE_SECONDS
        record.write('b1 (v2) answers 503 with Retry-After: 3')
        found = [
            streams.Stream(f's{number}', '/stream/x', versions.LIMIT_SECONDS)
            for number in range(_STREAMS)
        ]
        for number, stream in enumerate(found):
            stream.start(site.gateways[number % _GATEWAYS])
            await asyncio.sleep(0.025)
        await asyncio.gather(*(stream.wait_event() for stream in found))
        record.write('all streams have begun')
        if sites.TROUBLE:
            await asyncio.sleep(0.3)
            await site.kill_all()
            record.write('all gateways are killed')
        else:
            for stream in found:
                await stream.reset()
            record.write('all requesters lose their connections')
        await asyncio.gather(*(stream.ended() for stream in found))
        for stream in found:
            record.write(stream.story)
        site.store.unavailable = False
        record.write('the store is back')
        await asyncio.sleep(paused_until - asyncio.get_running_loop().time())
        new.pause = None
        record.write('b1 takes requests, as its pause has ended')
        if sites.TROUBLE:
            await site.start_all()
            record.write('all gateways are ready again')
        await asyncio.gather(
            *(
                stream.take_up([site.gateways[(number + 1) % _GATEWAYS]])
                for number, stream in enumerate(found)
            )
        )
        record.write('all streams have been taken up')
        for stream in found:
            record.write(stream.story)
        mixed = [item for item in found if len(item.versions) > 1]
        on = [item for item in found if item.answered]
        record.write(f'went on: {len(on)} of {len(found)}')
        record.write(f'events of two versions: {len(mixed)} (at most 2)')
    return sites.BROKEN if len(mixed) > _MOST_MIXED else sites.HELD


sites.main('review/13', run)
