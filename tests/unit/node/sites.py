"""A small deployment of instances and upstreams for integration tests."""

from __future__ import annotations

import contextlib
import hashlib
import json
import random
import time
import typing

import anyio
import httpx

from dogwoodquay import clock as clocks
from dogwoodquay.demo import fleet as fleets
from dogwoodquay.external.http import client as http_client
from dogwoodquay.external.http import log as http_log
from dogwoodquay.observe import loop
from dogwoodquay.operators import client
from dogwoodquay.operators import publisher
from dogwoodquay.standin import SiteOptions
from dogwoodquay.standin import StandInSite

API_KEY = 'a-key-of-the-shop'
GIB = 2**30
GUARD_SECONDS = 45.0
OPTIONS = SiteOptions(
    engines=3,
    service_servers=2,
    loads_per_second=40.0,
    load_bytes_per_second=64.0 * GIB,
    list_lag_seconds=0.0,
)


def records(site: StandInSite) -> list[dict[str, typing.Any]]:
    """Return a pool, two models, an adapter, a service and a caller."""
    return [
        {
            'schema_version': 1,
            'kind': 'pool',
            'name': 'lakes',
            'servers': [
                _server(item) | {'capacity_bytes': 80 * GIB}
                for item in site.engines
            ],
        },
        model('tickets', 16),
        model('pickup', 12),
        {
            'schema_version': 1,
            'kind': 'adapter',
            'name': 'boots',
            'version': '1',
            'base': 'tickets',
            'memory_bytes': GIB,
        },
        {
            'schema_version': 1,
            'kind': 'service',
            'name': 'counter',
            'servers': [_server(item) for item in site.services],
            'non_idempotent': [{'method': 'POST', 'path': '/charges'}],
        },
        {
            'schema_version': 1,
            'kind': 'caller',
            'name': 'shop',
            'key_sha256': hashlib.sha256(API_KEY.encode()).hexdigest(),
            'requests_per_second': 5000.0,
        },
    ]


def model(name: str, gib: int, version: str = '1') -> dict[str, typing.Any]:
    """Return the record of a model."""
    return {
        'schema_version': 2,
        'kind': 'model',
        'name': name,
        'version': version,
        'memory_bytes': gib * GIB,
        'pool': 'lakes',
    }


def idempotency_key(seed: int) -> str:
    """Return a UUID of version 7 for the current time."""
    rng = random.Random(seed)
    number = int(time.time() * 1000) << 80 | 7 << 76
    number |= rng.getrandbits(12) << 64 | 2 << 62 | rng.getrandbits(62)
    text = f'{number:032x}'
    parts = (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    return '-'.join(parts)


class Deployment:
    """A stand-in site with its instances, and helpers to use them."""

    def __init__(
        self,
        site: StandInSite,
        fleet: fleets.Fleet,
        http: httpx.AsyncClient,
        records_publisher: publisher.Publisher,
    ) -> None:
        self.site = site
        self.fleet = fleet
        self.http = http
        self.publisher = records_publisher
        self.clock = clocks.SystemClock()

    async def publish(self, record: dict[str, typing.Any]) -> typing.Any:
        """Publish a record and return the publisher's result."""
        payload = json.dumps(record).encode()
        return await self.publisher.publish(payload, self.clock.now() + 10.0)

    async def status(self, member: fleets.Member) -> typing.Any:
        """Return an instance's status, or ``None`` if it does not answer."""
        url = member.operators_url
        async with client.OperatorsClient(url, fleets.TOKEN) as operators:
            result = await operators.status()
        return result.default_value(None)

    async def until(
        self,
        member: fleets.Member,
        condition: typing.Callable[[typing.Any], bool],
    ) -> typing.Any:
        """Wait until an instance's status meets a condition, and return it.

        Fails after ``GUARD_SECONDS``.
        """
        status = None
        with anyio.move_on_after(GUARD_SECONDS):
            while True:
                status = await self.status(member)
                if status is not None and condition(status):
                    return status
                await anyio.sleep(0.1)
        raise AssertionError(f'not reached; the last status was {status}')

    async def until_placed(self) -> None:
        """Wait until every instance has a replica for each target."""
        for member in self.fleet.live:
            await self.until(member, placed)

    async def chat(
        self, member: fleets.Member, target: str = 'tickets', tokens: int = 4
    ) -> httpx.Response:
        """Request a chat completion that is not streamed."""
        return await self.http.post(
            f'{member.callers_url}/v1/chat/completions',
            json=chat_body(target, tokens),
        )

    async def charge(self, member: fleets.Member, key: str) -> httpx.Response:
        """Send a charge, which must not run twice, under a key."""
        return await self.http.post(
            f'{member.callers_url}/services/counter/charges',
            json={'amount': 3},
            headers={'idempotency-key': key},
        )


def chat_body(target: str, tokens: int) -> dict[str, typing.Any]:
    """Return the body of a request for a chat completion."""
    return {
        'model': target,
        'max_tokens': tokens,
        'messages': [{'role': 'user', 'content': 'welted boots, new heel'}],
    }


def placed(status: typing.Any) -> bool:
    """Whether each declared target has a ready replica."""
    return bool(status.targets) and all(
        target.ready_on for target in status.targets
    )


@contextlib.asynccontextmanager
async def deployed(
    instances: int = 3,
) -> typing.AsyncIterator[Deployment]:
    """Run a site with instances, and wait until all targets are placed."""
    loop.log_loop_errors()
    site = StandInSite(OPTIONS)
    clock = clocks.SystemClock()
    async with (
        site.running(),
        http_client.Connections(clock) as connections,
        httpx.AsyncClient(
            headers={'authorization': f'Bearer {API_KEY}'}, timeout=30.0
        ) as http,
        anyio.create_task_group() as group,
    ):
        fleet = fleets.Fleet(site, group)
        log = http_log.HttpLog(connections, clock, *site.log_address)
        records_publisher = publisher.Publisher(log, clock, random.Random(1))
        group.start_soon(records_publisher.run)
        await fleet.start(instances)
        deployment = Deployment(site, fleet, http, records_publisher)
        for record in records(site):
            decision = await deployment.publish(record)
            assert isinstance(decision, publisher.Published), decision
        await deployment.until_placed()
        try:
            yield deployment
        finally:
            with anyio.CancelScope(shield=True):
                await fleet.kill_all()
            group.cancel_scope.cancel()


def _server(item: typing.Any) -> dict[str, typing.Any]:
    return {
        'server_id': item.server_id,
        'address': item.address.host,
        'port': item.address.port,
        'failure_domain': item.failure_domain,
    }
