"""Servers crash under one part of a prompt; what else it holds is refused."""

from __future__ import annotations

import asyncio
import time
import typing

from standin3 import site as sites
from tests.site import crashes
from tests.site import processes
from tests.site import server as servers

_GATEWAYS: typing.Final = 3
_ENGINES: typing.Final = 3
# The first part of all prompts, and the one that crashes servers.
_FIRST_PART: typing.Final = '1c0ffee1'
_DEADLY_PART: typing.Final = 'feedbad2'
_DOWN_SECONDS: typing.Final = 2.0
# Sound requests are sent until the first time and from the second one on.
_QUIET_FROM: typing.Final = 6.0
_QUIET_UNTIL: typing.Final = 68.0
_DEADLY_FROM: typing.Final = 68.5
_DEADLY_UNTIL: typing.Final = 88.0
_DEADLY_PAUSE_SECONDS: typing.Final = 1.0
_END: typing.Final = 90.0
_SOUND_PAUSE_SECONDS: typing.Final = 0.12
_CONTACT_SECONDS: typing.Final = 3.0
_FIFTH: typing.Final = 5


def _manifest() -> dict[str, typing.Any]:
    content = typing.cast('dict[str, typing.Any]', processes.manifest(1))
    content['Services'][1]['Engine'] |= {'Slots': 16, 'KvCapacity': 100_000}
    content['Routes'][1] |= {'MaxAttempts': 2, 'TimeoutMs': 12_000}
    return content


async def run(record: sites.Record) -> int:
    """Run the case."""
    crashes.RESTART_SECONDS = _DOWN_SECONDS
    noted = crashes.CrashRecord(part=_DEADLY_PART if sites.TROUBLE else '')
    engines: list[crashes.CrashingServer] = []
    # Times of sending, and whether the stream began at the first attempt.
    sound: list[tuple[float, bool]] = []
    deadly: list[float] = []

    def add(site: sites.Site) -> None:
        for number in range(_ENGINES):
            engine = crashes.CrashingServer(site.store, f'e{number}', noted)
            engine.events, engine.event_seconds = 20, 0.15
            engines.append(engine)
        site.servers = [servers.Server(site.store, 'd1', 'desk'), *engines]

    async with sites.Site.running(_GATEWAYS, _manifest(), add) as site:
        began = time.monotonic()
        tasks: set[asyncio.Task[None]] = set()

        async def ask(name: str, number: int, parts: str) -> None:
            sent_at = time.monotonic() - began
            prompt = f'Prompt-Prefix: {parts},{number:x}:10\r\n'
            try:
                answer = await site.gateways[number % _GATEWAYS].call(
                    f'/stream/{name}', name, 'POST', 'loaded', prompt
                )
                status = answer.status
            except (OSError, EOFError):
                status = 0
            if name.startswith('sound'):
                sound.append((sent_at, status == 200))
            else:
                deadly.append(sent_at)
            record.write(f'{name} sent at {sent_at:.2f}: {status}')

        async def send(
            kind: str, since: float, until: float, pause: float, parts: str
        ) -> None:
            await asyncio.sleep(since - (time.monotonic() - began))
            number = int(since * 100)
            while time.monotonic() - began < until:
                number += 1
                name = f'{kind}-{number}'
                tasks.add(asyncio.create_task(ask(name, number, parts)))
                await asyncio.sleep(pause)

        first = f'{_FIRST_PART}:100'
        pause = _SOUND_PAUSE_SECONDS
        await asyncio.gather(
            send('sound', 0.0, _QUIET_FROM, pause, first),
            send('sound', _QUIET_UNTIL, _END, pause, first),
            send(
                'deadly',
                _DEADLY_FROM,
                _DEADLY_UNTIL,
                _DEADLY_PAUSE_SECONDS,
                f'{first},{_DEADLY_PART}:50',
            ),
        )
        await asyncio.gather(*tasks)
        for engine in engines:
            await engine.stopped()
        ends = [at - began for at in noted.crashes]
        for at in ends:
            record.write(f'a server crashed at {at:.2f}')
        since = (ends[:_FIFTH] or [_DEADLY_FROM])[-1] + 2 * _CONTACT_SECONDS
        before = [on for at, on in sound if at < _QUIET_FROM]
        later = [on for at, on in sound if since <= at <= max(deadly)]
        record.write(f'sound, before: {sum(before)} of {len(before)} begin')
        record.write(f'sound, from {since:.2f}: {sum(later)} of {len(later)}')
    held = sum(later) / len(later) >= sum(before) / len(before) / 2
    return sites.HELD if held else sites.BROKEN


sites.main('review/11', run)
