"""An entry of another writer that can't be read, then a planned departure."""

from __future__ import annotations

import asyncio
import signal
import time

from standin import site as sites

GATEWAYS = 3
SERVERS = 7
# Not JSON: it ends within its brackets. About 3 KB of the 256 KB of a record.
UNREADABLE = b'{"Service":"desk","Labels":' + b'[' * 3000
# A server that leaves serves on for DrainMs and a little longer.
SERVES_ON_SECONDS = 8.0
# A machine that is started again is ready within 2 s as a rule.
READY_SECONDS = 15.0


async def case(site: sites.Site) -> bool:
    site.write_manifest(
        sites.manifest(
            1,
            [sites.route('/look/', 'desk', 'idempotent')],
            [sites.plain_service('desk')],
        )
    )
    leaving = await site.add_server('desk-1', 'desk')
    for number in range(2, SERVERS + 1):
        await site.add_server(f'desk-{number}', 'desk')
    await site.start_gateways(GATEWAYS)
    sending = asyncio.create_task(_send(site))
    await asyncio.sleep(4.0)

    if sites.TROUBLE:
        site.store.put('keyed.servers', 'other-1', UNREADABLE)
        site.note('another writer has written the entry other-1')
    await asyncio.sleep(2.0)
    leaving.write_entry('draining')
    acknowledged = time.monotonic()
    site.note('desk-1 has reported draining, acknowledged')
    await asyncio.sleep(SERVES_ON_SECONDS)
    sending.cancel()

    due = acknowledged + sites.DRAIN_SECONDS
    late = [run for run in leaving.runs if run.at > due]
    for run in late[:20]:
        after = run.at - acknowledged
        site.note(f'desk-1 ran {run.attempt}, {after:.1f} s after', run.at)
    site.note(f'desk-1 ran {len(late)} requests later than DrainMs')
    await _restart(site, site.gateways[0])
    return bool(late)


async def _restart(site: sites.Site, gateway: sites.Gateway) -> None:
    """Start a machine again as planned; recorded, but not judged."""
    gateway.signal(signal.SIGTERM)
    while gateway.process.poll() is None:
        await asyncio.sleep(0.02)
    gateway.start()
    try:
        await gateway.wait_ready(READY_SECONDS)
    except sites.CannotRun:
        site.note(f'{gateway.name} is not ready after {READY_SECONDS} s')


async def _send(site: sites.Site) -> None:
    while True:
        for gateway in site.gateways:
            await site.send(gateway, 'GET', '/look/up')
            await asyncio.sleep(0.03)


if __name__ == '__main__':
    sites.run(case, __file__)
