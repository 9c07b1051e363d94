"""A store drill, and a manifest that the operator sends as it ends."""

from __future__ import annotations

import asyncio
import os
import time

from standin import site as sites

GATEWAYS = 3
# The copy is older than this when the store comes back from it.
COPY_SECONDS = 4.0
AWAY_SECONDS = 2.0
# The operator sends the next version so long after it has written the newest
# one again. Both have to come before any machine asks the store again.
OPERATOR_SECONDS = float(os.environ.get('OPERATOR_SECONDS', '0.01'))
# Whether the operator writes each lost version again, not just the newest one.
EACH_VERSION = os.environ.get('EACH_VERSION', '0') == '1'
JUDGED_SECONDS = 6.0


def _manifest(version: int, service: str) -> dict:
    return sites.manifest(
        version,
        [sites.route('/book/', service, 'idempotent')],
        [sites.plain_service('old-desk'), sites.plain_service('new-desk')],
    )


async def case(site: sites.Site) -> bool:
    site.write_manifest(_manifest(1, 'old-desk'))
    await site.add_server('old-1', 'old-desk')
    await site.add_server('new-1', 'new-desk')
    await site.start_gateways(GATEWAYS)
    await asyncio.sleep(1.0)

    copy = site.store.copy()
    copied_at = time.monotonic()
    site.write_manifest(_manifest(2, 'old-desk'))
    await asyncio.sleep(1.0)
    site.write_manifest(_manifest(3, 'old-desk'))
    await asyncio.sleep(max(0.0, COPY_SECONDS - AWAY_SECONDS - 1.0))
    for gateway in site.gateways:
        await site.send(gateway, 'GET', '/book/before')

    if sites.TROUBLE:
        site.store.web.leave()
        site.note('the store is away')
        await asyncio.sleep(AWAY_SECONDS)
        age = time.monotonic() - copied_at
        site.store.come_back(copy)
        site.store.web.away = False
        site.note(f'the store is back from a copy, {age:.1f} s old')
        # What the operator and the servers wrote is written again.
        for server in site.servers:
            server.write_entry()
        if EACH_VERSION:
            site.write_manifest(_manifest(2, 'old-desk'))
        site.write_manifest(_manifest(3, 'old-desk'))
        await asyncio.sleep(OPERATOR_SECONDS)
    else:
        await asyncio.sleep(AWAY_SECONDS)
    acknowledged = site.write_manifest(_manifest(4, 'new-desk'))

    bound = sites.CONTACT_SECONDS + sites.CONFIG_APPLY_SECONDS
    await asyncio.sleep(bound + 0.5)
    site.note(f'{bound} s after the acknowledgement: version 4 is due')
    late = []
    until = time.monotonic() + JUDGED_SECONDS
    while time.monotonic() < until:
        for gateway in site.gateways:
            attempt, sent, _ = await site.send(gateway, 'GET', '/book/after')
            assert sent > acknowledged + bound
            late.append(attempt)
        await asyncio.sleep(0.2)
    old, new = (
        set(run.attempt for run in server.runs) for server in site.servers
    )
    by_old = [item for item in late if item in old]
    by_new = [item for item in late if item in new]
    site.note(
        f'of {len(late)} requests the old service ran {len(by_old)}, '
        f'the new one {len(by_new)}'
    )
    return bool(by_old)


if __name__ == '__main__':
    sites.run(case, __file__)
