"""All model servers crash just after a route with its own prompt began."""

from __future__ import annotations

import asyncio
import time
import typing

from standin3 import engine as engines
from standin3 import site as sites
from tests.site import processes
from tests.site import server as servers

_GATEWAYS: typing.Final = 3
_DOWN_SECONDS: typing.Final = 4.5
# Between two requests of a route.
_PAUSE_SECONDS: typing.Final = 0.06
_STEADY_FROM: typing.Final = 22.0
_STEADY_UNTIL: typing.Final = 32.0
_FIRST: typing.Final = '/stream/'
_ADDED: typing.Final = '/added/'
_PROMPTS: typing.Final = {_FIRST: 'c0ffee01', _ADDED: 'beef0002'}


def _manifest(version: int) -> dict[str, typing.Any]:
    added = processes.route(
        _ADDED, 'engines', Type='streaming', Resumable=True
    )
    more = (added,) if version > 1 else ()
    content = typing.cast(
        'dict[str, typing.Any]', processes.manifest(version, *more)
    )
    content['Services'][1]['Engine'] |= {'Slots': 64, 'KvCapacity': 100_000}
    for route in content['Routes'][1:]:
        route['MaxAttempts'] = 2
    return content


async def run(record: sites.Record) -> int:
    """Run the case."""
    found: list[engines.Engine] = []
    steady: dict[str, list[int]] = {_FIRST: [], _ADDED: []}

    def add(site: sites.Site) -> None:
        for name in ('e1', 'e2', 'e3'):
            engine = engines.Engine(
                site.store,
                name,
                record.write,
                'loaded',
                load_seconds=0.3,
                slots=64,
            )
            engine.events, engine.event_seconds = 10, 0.15
            found.append(engine)
        site.servers = [servers.Server(site.store, 'd1', 'desk'), *found]

    async with sites.Site.running(_GATEWAYS, _manifest(1), add) as site:
        began = time.monotonic()
        tasks: set[asyncio.Task[None]] = set()

        async def ask(prefix: str, number: int) -> None:
            sent_at = time.monotonic() - began
            name = f'{prefix.strip("/")}-{number}'
            prompt = f'Prompt-Prefix: {_PROMPTS[prefix]}:100,{number:x}:10\r\n'
            try:
                answer = await site.gateways[number % _GATEWAYS].call(
                    f'{prefix}{number}', name, 'POST', 'loaded', prompt
                )
                status = answer.status if answer.complete else 0
            except (OSError, EOFError):
                status = 0
            if sent_at >= _STEADY_FROM:
                steady[prefix].append(status)
            record.write(f'{name} sent at {sent_at:.2f}: {status}')

        async def send(prefix: str, since: float) -> None:
            await asyncio.sleep(since - (time.monotonic() - began))
            number = 0
            while time.monotonic() - began < _STEADY_UNTIL:
                number += 1
                tasks.add(asyncio.create_task(ask(prefix, number)))
                await asyncio.sleep(_PAUSE_SECONDS)

        sending = [
            asyncio.create_task(send(_FIRST, 0.0)),
            asyncio.create_task(send(_ADDED, 8.0)),
        ]
        await asyncio.sleep(5.0)
        site.store.put('keyed.op', 'config', _manifest(2))
        record.write('version 2 adds a route')
        await asyncio.sleep(8.8 - (time.monotonic() - began))
        if sites.TROUBLE:
            await asyncio.gather(*(e.crash(_DOWN_SECONDS) for e in found))
        await asyncio.gather(*sending)
        await asyncio.gather(*tasks)
        share = {}
        for prefix, statuses in steady.items():
            served = statuses.count(200)
            share[prefix] = served / len(statuses)
            record.write(
                f'steady state, {prefix}: {served} of {len(statuses)} served'
            )
    first, added = share[_FIRST], share[_ADDED]
    return sites.BROKEN if added < first / 4 else sites.HELD


sites.main('review/11', run)
