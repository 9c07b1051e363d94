"""Servers that spoil some of their answers, as of `garble`."""

from __future__ import annotations

import asyncio
import itertools
import re
import time

from standin import servers
from standin import site as sites

GATEWAYS = 3
SERVERS = 4
# Half of the servers spoil 2 in 100 of their answers.
SPOILING_SERVERS = 2
SPOILED_ANSWERS = 50
CLIENTS = 6
SECONDS = 20.0
# So long some servers spoil answers; `garble` lasts 5 s by default.
SPOIL_SECONDS = 5.0
MODEL = 'm0'
EVENTS = 12
# A server sends the events that have gathered since its last piece.
EVENTS_IN_PIECE = 2
EVENT_ID = re.compile(rb'(?:^|\n)id: (\d+)\n')


class Engine(servers.Server):
    """An engine; ``spoils`` makes it spoil an event of some answers."""

    spoils = False
    spoiled = 0

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self._answers = itertools.count(1)

    async def _events(self, last: int):
        spoil = self.spoils and next(self._answers) % SPOILED_ANSWERS == 0
        piece = b''
        for number in range(last + 1, EVENTS + 1):
            text = f'id: {number}\ndata: {self.name} {number}\n\n'.encode()
            if spoil and number == 6:
                self.spoiled += 1
                text = text.replace(b'id: 6', b'id: \xa76')
            piece += text
            if number % EVENTS_IN_PIECE == 0 or number == EVENTS:
                await asyncio.sleep(0.01)
                yield piece
                piece = b''


async def case(site: sites.Site) -> bool:
    servers.Server = Engine
    site.write_manifest(
        sites.manifest(
            1,
            [
                sites.route(
                    '/draft/',
                    'writer',
                    'streaming',
                    TimeoutMs=12000,
                    TargetLatencyMs=250,
                    GapAimMs=150,
                    MaxAttempts=2,
                    Sticky=True,
                    Resumable=True,
                )
            ],
            [sites.engine_service('writer')],
        )
    )
    for number in range(SERVERS):
        await site.add_server(f'engine-{number}', 'writer', {MODEL: set()})
    await site.start_gateways(GATEWAYS)
    await asyncio.sleep(1.0)
    if sites.TROUBLE:
        for server in site.servers[:SPOILING_SERVERS]:
            server.spoils = True
            site.note(f'{server.name} spoils 1 in {SPOILED_ANSWERS} answers')
    until = time.monotonic() + SECONDS
    ending = asyncio.create_task(_end_spoiling(site))
    counts = await asyncio.gather(
        *(_client(site, number, until) for number in range(CLIENTS))
    )
    await ending
    sent = sum(item[0] for item in counts)
    wrong = sum(item[1] for item in counts)
    spoiled = sum(server.spoiled for server in site.servers)
    site.note(
        f'{sent} streams, {spoiled} spoiled answers; {wrong} streams were '
        'complete and lacked an event or had one twice'
    )
    if sites.TROUBLE and not spoiled:
        raise sites.CannotRun('no answer was spoiled')
    return bool(wrong)


async def _end_spoiling(site: sites.Site) -> None:
    await asyncio.sleep(SPOIL_SECONDS)
    for server in site.servers:
        server.spoils = False
    site.note('no more answers are spoiled')


async def _client(
    site: sites.Site, number: int, until: float
) -> tuple[int, int]:
    """Send streams one after the other; count them and the wrong ones."""
    sent = wrong = 0
    while time.monotonic() < until:
        gateway = site.gateways[(number + sent) % GATEWAYS]
        attempt, _, reply = await site.send(
            gateway,
            'POST',
            '/draft/',
            {
                'Model': MODEL,
                'Token-Usage': '543,72',
                'Prompt-Prefix': f'5c1e07a2:172,{sent:04x}{number:04x}:371',
            },
            wait_ms=12000,
        )
        sent += 1
        if reply.status != 200 or not reply.complete:
            continue
        ids = [int(item) for item in EVENT_ID.findall(reply.body)]
        if ids != list(range(1, EVENTS + 1)):
            wrong += 1
            site.note(f'{attempt} is complete with the events {ids}')
    return sent, wrong


if __name__ == '__main__':
    sites.run(case, __file__)
