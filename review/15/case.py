"""A lost order reaches the next process of a server that was delisted."""

from __future__ import annotations

import asyncio
import typing

from standin3 import engine as engines
from standin3 import site as sites
from tests.site import processes
from tests.site import server as servers

_SIZES: typing.Final = {'small-1': 40.0, 'small-2': 40.0, 'large': 80.0}
_MEMORY: typing.Final = 100.0
_LATE_SECONDS: typing.Final = 11.0
_DOWN_SECONDS: typing.Final = 4.5


def _manifest() -> dict[str, typing.Any]:
    content = typing.cast('dict[str, typing.Any]', processes.manifest(1))
    engine = content['Services'][1]['Engine']
    engine['Models'] = [
        {'Name': name, 'WeightsMb': size, 'LoadTimeS': 0.5}
        for name, size in _SIZES.items()
    ]
    content['Routes'][1]['TimeoutMs'] = 4000
    return content


async def run(record: sites.Record) -> int:
    """Run the case."""
    found: list[engines.Engine] = []

    def add(site: sites.Site) -> None:
        found.append(
            engines.Engine(
                site.store,
                'e1',
                _SIZES,
                _MEMORY,
                record.write,
                load_seconds=0.5,
            )
        )
        site.servers = [servers.Server(site.store, 'd1', 'desk'), *found]

    async with sites.Site.running(2, _manifest(), add) as site:
        engine = found[0]
        numbers = iter(range(1000))

        async def ask(model: str) -> int:
            name = f'{model}-{next(numbers)}'
            try:
                answer = await site.gateways[0].call(
                    '/stream/x', name, 'POST', model
                )
            except (OSError, EOFError) as error:
                record.write(f'{name}: {type(error).__name__}')
                return 0
            record.write(f'{name}: {answer.status}')
            return answer.status

        async def ask_until_served(model: str) -> None:
            while await ask(model) != 200:
                await asyncio.sleep(0.3)

        await ask_until_served('small-1')
        if sites.TROUBLE:
            engine.late, engine.late_seconds = 'small-2', _LATE_SECONDS
        lost_at = asyncio.get_running_loop().time()
        await ask_until_served('small-2')
        await asyncio.sleep(0.5)
        if sites.TROUBLE:
            await engine.crash(_DOWN_SECONDS)
        else:
            await asyncio.sleep(_DOWN_SECONDS)
        while asyncio.get_running_loop().time() < lost_at + 13.5:
            await ask('large')
            await asyncio.sleep(0.25)
        record.write(f'orders beyond the memory: {len(engine.overloads)}')
    return sites.BROKEN if found[0].overloads else sites.HELD


sites.main('review/15', run)
