"""A store drill during a rolling restart of the machines."""

from __future__ import annotations

import asyncio
import signal
import time

from standin import site as sites

GATEWAYS = 3
AWAY_SECONDS = 2.0
MODEL = 'm0'
# Only orders that the engine carried out are counted.
CARRIED_OUT = (200, 202)


async def case(site: sites.Site) -> bool:
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
    engine = await site.add_server('engine-1', 'writer', {MODEL: set()})
    engine.events = 3
    await site.start_gateways(GATEWAYS)
    balancer = asyncio.create_task(_check_readiness(site))
    adapters = ['a1', 'a2']
    sending = asyncio.create_task(_send(site, adapters))
    await asyncio.sleep(6.0)
    copy = site.store.copy()
    copied_at = time.monotonic()

    first = _owner(site)
    stopping = asyncio.create_task(_restart(site, first))
    await asyncio.sleep(1.5)
    adapters.append('a3')
    await asyncio.sleep(1.5)
    second = _owner(site)
    if second is first:
        raise sites.CannotRun('the duty has not moved')
    if sites.TROUBLE:
        site.store.web.leave()
        site.note('the store is away')
    stopping_too = asyncio.create_task(_restart(site, second))
    await asyncio.sleep(AWAY_SECONDS)
    if sites.TROUBLE:
        age = time.monotonic() - copied_at
        site.store.come_back(copy)
        site.store.web.away = False
        site.note(f'the store is back from a copy, {age:.1f} s old')
        # What the operator and the servers wrote is written again.
        engine.write_entry()
    await asyncio.sleep(3.0)
    adapters.append('a4')
    await asyncio.sleep(3.0)
    adapters.append('a5')
    await asyncio.sleep(3.0)
    sending.cancel()
    balancer.cancel()
    await asyncio.gather(stopping, stopping_too)

    holders: dict[int, set[str]] = {}
    for order in engine.orders:
        site.note(
            f'order {order.what} of {order.holder} with generation number '
            f'{order.fence}: {order.status}',
            order.at,
        )
        if order.status in CARRIED_OUT:
            holders.setdefault(order.fence, set()).add(order.holder)
    site.note(f'holders by generation number: {holders}')
    if len(engine.orders) < 3 or len(set.union(*holders.values())) < 2:
        raise sites.CannotRun('there were no orders of several machines')
    return any(len(names) > 1 for names in holders.values())


def _owner(site: sites.Site) -> sites.Gateway:
    owner = site.store.owner()
    site.note(f'orders are given by {owner}, {site.store.generation()}')
    for gateway in site.gateways:
        if gateway.member == owner:
            return gateway
    raise sites.CannotRun('nobody gives orders')


async def _restart(site: sites.Site, gateway: sites.Gateway) -> None:
    """Stop a machine as planned, and start it again when it has ended."""
    gateway.signal(signal.SIGTERM)
    while gateway.process.poll() is None:
        await asyncio.sleep(0.02)
    site.note(f'{gateway.name} has ended')
    await asyncio.sleep(0.5)
    gateway.start()


async def _check_readiness(site: sites.Site) -> None:
    """Ask each machine once a second whether it is ready."""
    while True:
        await asyncio.gather(*(item.ready() for item in site.gateways))
        await asyncio.sleep(1.0)


async def _send(site: sites.Site, adapters: list[str]) -> None:
    """Send requests for each adapter; a new one has to be loaded first."""
    while True:
        for adapter in tuple(adapters):
            for gateway in site.gateways:
                asyncio.create_task(_want(site, gateway, adapter))
            await asyncio.sleep(0.25)


async def _want(site: sites.Site, gateway, adapter: str) -> None:
    await site.send(
        gateway,
        'POST',
        '/draft/',
        {
            'Model': f'{MODEL}/{adapter}',
            'Token-Usage': '100,30',
            'Prompt-Prefix': '5c1e07a2:80,91bd3f06:20',
        },
        wait_ms=4000,
    )


if __name__ == '__main__':
    sites.run(case, __file__)
