"""A request crashes servers that start again under the ids they had."""

from __future__ import annotations

import asyncio
import time
import typing

from standin3 import crasher
from standin3 import site as sites
from tests.site import processes

_DEADLY: typing.Final = b'this body crashes the server'
_DOWN_SECONDS: typing.Final = 2.0
_RUN_SECONDS: typing.Final = 20.0
_CONTACT_SECONDS: typing.Final = 3.0
_MOST_ARRIVALS: typing.Final = 3


async def run(record: sites.Record) -> int:
    """Run the case."""
    desks: list[crasher.Crasher] = []
    sound: list[tuple[int, int]] = []

    def add(site: sites.Site) -> None:
        body = _DEADLY if sites.TROUBLE else b''
        desks.extend(
            crasher.Crasher(
                site.store, name, body, _DOWN_SECONDS, record.write
            )
            for name in ('d1', 'd2')
        )
        site.servers = list(desks)

    async with sites.Site.running(3, processes.manifest(1), add) as site:
        until = time.monotonic() + _RUN_SECONDS

        async def ask_sound() -> None:
            number = 0
            while time.monotonic() < until:
                number += 1
                gateway = site.gateways[number % 3]
                try:
                    answer = await gateway.call(
                        f'/plain/sound-{number}', f'sound-{number}'
                    )
                    sound.append((number, answer.status))
                except (OSError, EOFError):
                    sound.append((number, 0))
                await asyncio.sleep(0.1)

        asking = asyncio.create_task(ask_sound())
        number = 0
        while time.monotonic() < until:
            await asyncio.sleep(1.0)
            number += 1
            name = f'deadly-{number}'
            try:
                answer = await site.gateways[number % 3].call(
                    '/plain/deadly', name, 'POST', body=_DEADLY
                )
                record.write(f'{name}: {answer.status}')
            except (OSError, EOFError) as error:
                record.write(f'{name}: {type(error).__name__}')
        await asking
        runs = sorted(at for desk in desks for at in desk.deadly_runs)
        crashes = sorted(at for desk in desks for at in desk.crashes)
        late: list[float] = []
        if len(crashes) >= 3:
            late = [at for at in runs if at > crashes[2] + _CONTACT_SECONDS]
        served = sum(status == 200 for _, status in sound)
        record.write(f'crashes: {len(crashes)}')
        record.write(
            'arrivals of the request later than ContactMs after the third '
            f'crash: {len(late)} (at most {_MOST_ARRIVALS})'
        )
        record.write(f'sound requests answered 200: {served} of {len(sound)}')
    return sites.BROKEN if len(late) > _MOST_ARRIVALS else sites.HELD


sites.main('review/14', run)
