"""A release, and all gateways killed at once as its old servers have left."""

from __future__ import annotations

import asyncio
import re
import time

from standin import site as sites
from standin import web

GATEWAYS = 3
STREAMS = 12
MODEL = 'm0'
WAIT_MS = 12000
# A process that was killed is started again after this time.
RESTART_SECONDS = 0.3
# A client tries again this long after its stream broke off: three times.
PAUSES = (0.5, 1.0, 2.0)
EVENT = re.compile(rb'id: (\d+)\ndata: v(\d)')


class Stream:
    """A client's stream: all events of all its attempts."""

    def __init__(self, site: sites.Site, number: int) -> None:
        self._site = site
        self._number = number
        self.events: list[tuple[int, int]] = []
        self.complete = False
        self.answers: list[int] = []

    async def run(self) -> None:
        """Read the stream; take it up at other machines if it breaks off."""
        until = time.monotonic() + WAIT_MS / 1000
        for retry, pause in enumerate((*PAUSES, 0.0)):
            left = until - time.monotonic()
            place = (self._number + retry) % GATEWAYS
            reply = await self._attempt(self._site.gateways[place], left)
            if reply.status:
                self.answers.append(reply.status)
            if reply.status == 200 and reply.complete:
                self.complete = True
                return
            if 'retry-after' in reply.headers:
                pause = min(float(reply.headers['retry-after']), left / 3)
            await asyncio.sleep(pause)

    async def _attempt(self, gateway, left: float) -> web.Reply:
        more = {
            'Model': MODEL,
            'Token-Usage': '543,480',
            'Prompt-Prefix': f'5c1e07a2:172,91bd3f{self._number:02x}:371',
        }
        if self.events:
            more['Last-Event-Id'] = str(self.events[-1][0])
        _, _, reply = await self._site.send(
            gateway, 'POST', '/draft/', more, wait_ms=int(left * 1000)
        )
        if reply.status == 200:
            found = EVENT.findall(reply.body)
            self.events += [(int(event), int(item)) for event, item in found]
        return reply


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
    models = {MODEL: set()}
    old = await site.add_server(
        'old-1', 'writer', dict(models), version='1', slots=STREAMS
    )
    old.events = 60
    await site.start_gateways(GATEWAYS)
    await asyncio.sleep(3.0)

    streams = [Stream(site, number) for number in range(STREAMS)]
    tasks = [asyncio.create_task(stream.run()) for stream in streams]
    await asyncio.sleep(1.0)
    # The release: the new server starts, then the old one leaves.
    new = await site.add_server(
        'new-1', 'writer', dict(models), version='2', slots=STREAMS
    )
    new.events = 60
    await asyncio.sleep(1.0)
    old.remove_entry()
    site.note('the entry of old-1 is removed; it serves on')
    await asyncio.sleep(1.0)
    if sites.TROUBLE:
        for gateway in site.gateways:
            gateway.kill()
        await asyncio.sleep(RESTART_SECONDS)
        for gateway in site.gateways:
            gateway.start()
    await asyncio.gather(*tasks)

    joined = 0
    for number, stream in enumerate(streams):
        versions = sorted({version for _, version in stream.events})
        ids = [event for event, _ in stream.events]
        whole = ids == list(range(1, 61)) and stream.complete
        site.note(
            f'stream {number}: answers {stream.answers}, {len(ids)} events, '
            f'of versions {versions}, {"complete" if whole else "incomplete"}'
        )
        joined += len(versions) > 1
    site.note(f'{joined} of {STREAMS} streams are joined from two versions')
    return bool(joined)


if __name__ == '__main__':
    sites.run(case, __file__)
