"""The store is down as all gateways are killed; one version ever served.

Without the trouble the gateways are killed too, and the store is not down.
"""

from __future__ import annotations

import asyncio
import re
import time

from standin import site as sites
from standin import web

GATEWAYS = 3
STREAMS = 24
MODEL = 'm0'
WAIT_MS = 12000
EVENTS = 60
STORE_DOWN_SECONDS = 4.0
# Streams begin so long after the store has gone.
BEGIN_SECONDS = 0.5
# They have run for so long when the gateways are killed.
RUN_SECONDS = 3.0
DARK_SECONDS = 1.0
# A machine is in touch so long after the last disruption.
IN_TOUCH_SECONDS = sites.CONTACT_SECONDS + 0.5
EVENT = re.compile(rb'id: (\d+)\ndata: v(\d)')


class Stream:
    """A client's stream, and whether it went on when it was taken up."""

    def __init__(self, site: sites.Site, number: int) -> None:
        self._site = site
        self._number = number
        self._first = ''
        self.events: list[int] = []
        self.complete = False
        self.status = 0

    async def send(self, gateway: sites.Gateway, left: float) -> None:
        """Send the request, or take up the stream that has broken off."""
        more = {
            'Model': MODEL,
            'Token-Usage': '543,480',
            'Prompt-Prefix': f'5c1e07a2:172,91bd3f{self._number:02x}:371',
        }
        if self.events:
            more['Last-Event-Id'] = str(self.events[-1])
            more['Resumes'] = self._first
        attempt, _, reply = await self._site.send(
            gateway, 'POST', '/draft/', more, wait_ms=int(left * 1000)
        )
        self._first = self._first or attempt
        self.status = reply.status
        self.complete = reply.status == 200 and reply.complete
        if reply.status == 200:
            found = EVENT.findall(reply.body)
            self.events += [int(event) for event, _ in found]


async def case(site: sites.Site) -> bool:
    site.write_manifest(
        sites.manifest(
            1,
            [
                sites.route(
                    '/draft/',
                    'writer',
                    'streaming',
                    TimeoutMs=WAIT_MS,
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
    for number in range(3):
        engine = await site.add_server(
            f'engine-{number}', 'writer', {MODEL: set()}, slots=64
        )
        engine.events = EVENTS
    await site.start_gateways(GATEWAYS)
    await asyncio.sleep(15.0)

    if sites.TROUBLE:
        site.store.web.leave()
        site.note('the store is down')
    await asyncio.sleep(BEGIN_SECONDS)
    began = time.monotonic()
    streams = [Stream(site, number) for number in range(STREAMS)]
    tasks = [
        asyncio.create_task(
            item.send(site.gateways[number % GATEWAYS], WAIT_MS / 1000)
        )
        for number, item in enumerate(streams)
    ]
    await asyncio.sleep(RUN_SECONDS)
    for gateway in site.gateways:
        gateway.kill()
    await asyncio.gather(*tasks)
    await asyncio.sleep(STORE_DOWN_SECONDS - BEGIN_SECONDS - RUN_SECONDS)
    if sites.TROUBLE:
        site.store.web.away = False
        site.note('the store is back')
        for server in site.servers:
            server.write_entry()
    await asyncio.sleep(DARK_SECONDS)
    for gateway in site.gateways:
        gateway.start()
    for gateway in site.gateways:
        await gateway.wait_ready()
    await asyncio.sleep(IN_TOUCH_SECONDS)

    left = began + WAIT_MS / 1000 - time.monotonic()
    site.note(f'clients take their streams up, {left:.1f} s are left')
    broken = [item for item in streams if item.events and not item.complete]
    new = [Stream(site, 100 + number) for number in range(12)]
    await asyncio.gather(
        *(
            item.send(site.gateways[(number + 1) % GATEWAYS], left)
            for number, item in enumerate([*broken, *new])
        )
    )
    went_on = sum(item.status == 200 for item in broken)
    begun = sum(item.status == 200 for item in new)
    site.note(
        f'of {len(broken)} streams that were taken up {went_on} went on; '
        f'of {len(new)} new ones {begun} began'
    )
    if len(broken) < 12 or not begun:
        raise sites.CannotRun('too few streams')
    return went_on / len(broken) < begun / len(new) / 2


if __name__ == '__main__':
    sites.run(case, __file__)
