"""Example records of two deployments, generated for the servers of a site.

Models use versions 1 and 2 of the record schema, as happens while operators
migrate their tools.
"""

from __future__ import annotations

import hashlib
import typing

import msgspec

from . import site as sites

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'GULF',
    'HEELBRIGHT',
    'Deployment',
    'ExampleRecord',
    'caller_key',
    'records',
]

GIB: typing.Final = 2**30
MIB: typing.Final = 2**20
POOL: typing.Final = 'engines'


class ExampleModel(typing.NamedTuple):
    """A model, its size and the number of its adapters."""

    name: str
    memory_gib: int
    adapters: int


class Deployment(typing.NamedTuple):
    """The records of one deployment, apart from its servers."""

    caller: str
    service: str
    charge_path: str
    adapter_names: tuple[str, ...]
    models: tuple[ExampleModel, ...]
    attainment_weight: float
    move_weight: float


class ExampleRecord(typing.NamedTuple):
    """A record as an operator publishes it."""

    kind: str
    name: str
    payload: bytes


HEELBRIGHT: typing.Final = Deployment(
    caller='lakeshore-counters',
    service='counter',
    charge_path='/charges',
    adapter_names=(
        'chicago',
        'cleveland',
        'detroit',
        'duluth',
        'erie',
        'milwaukee',
        'toledo',
        'toronto',
    ),
    models=(
        ExampleModel('repair-ticket', 26, 8),
        ExampleModel('repair-photo', 24, 8),
        ExampleModel('pickup-text', 12, 8),
        ExampleModel('odd-jobs', 12, 8),
        ExampleModel('welted-boots', 10, 6),
        ExampleModel('resole-estimate', 10, 6),
        ExampleModel('heel-match', 8, 4),
        ExampleModel('leather-grade', 8, 4),
        ExampleModel('zipper-repair', 6, 2),
        ExampleModel('bag-repair', 6, 2),
        ExampleModel('drop-off-route', 6, 2),
        ExampleModel('note-cleanup', 4, 1),
        ExampleModel('language-detect', 2, 1),
    ),
    attainment_weight=1.0,
    move_weight=0.2,
)

GULF: typing.Final = Deployment(
    caller='member-yards',
    service='bidding',
    charge_path='/bids',
    adapter_names=(
        'barka',
        'muttrah',
        'nizwa',
        'ruwi',
        'salalah',
        'seeb',
        'sohar',
    ),
    models=(
        ExampleModel('lot-write-up', 26, 7),
        ExampleModel('condition-photo', 24, 7),
        ExampleModel('bidder-question', 14, 7),
        ExampleModel('flood-damage', 12, 6),
        ExampleModel('collision-damage', 12, 6),
        ExampleModel('damage-sort', 10, 4),
        ExampleModel('odometer-check', 8, 3),
        ExampleModel('title-summary', 8, 3),
        ExampleModel('parts-estimate', 8, 2),
        ExampleModel('paint-match', 6, 2),
        ExampleModel('tyre-wear', 6, 2),
        ExampleModel('glass-damage', 6, 1),
        ExampleModel('interior-grade', 6, 1),
        ExampleModel('engine-sound', 4, 1),
        ExampleModel('release-check', 4, 1),
        ExampleModel('translate-arabic', 4, 1),
        ExampleModel('plate-blur', 2, 1),
    ),
    attainment_weight=0.4,
    move_weight=1.0,
)


def caller_key(deployment: Deployment) -> str:
    """Return the API key of a deployment's caller."""
    return f'{deployment.caller}-example-key'


def records(
    site: sites.StandInSite, *deployments: Deployment
) -> tuple[ExampleRecord, ...]:
    """Return the records in an order in which each is accepted.

    :param site: a running site, since the records contain its ports.
    :param deployments: one or both; they share the site's engines.
    """
    result = [_pool(site), _policy(site, deployments[0])]
    for deployment in deployments:
        for index, model in enumerate(deployment.models):
            result.append(_model(index, model))
        result.extend(_adapters(deployment))
        result.append(_service(site, deployment))
        result.append(_caller(deployment))
    return tuple(result)


def _record(kind: str, name: str, **fields: object) -> ExampleRecord:
    content = {'schema_version': 1, 'kind': kind, 'name': name, **fields}
    return ExampleRecord(kind, name, msgspec.json.encode(content))


def _pool(site: sites.StandInSite) -> ExampleRecord:
    capacity = site.options.capacity_bytes
    servers = [
        {**_server(found), 'capacity_bytes': capacity, 'accelerators': 8}
        for found in site.engines
    ]
    return _record('pool', POOL, servers=servers, fencing=site.options.fencing)


def _policy(site: sites.StandInSite, deployment: Deployment) -> ExampleRecord:
    return _record(
        'policy',
        'default',
        loads_per_second=site.options.loads_per_second,
        parallel_loads=site.options.parallel_loads,
        attainment_weight=deployment.attainment_weight,
        move_weight=deployment.move_weight,
    )


def _model(index: int, model: ExampleModel) -> ExampleRecord:
    if index % 3 == 0:
        return _record(
            'model',
            model.name,
            version='1',
            memory_gib=model.memory_gib,
            pool=POOL,
        )
    return _record(
        'model',
        model.name,
        schema_version=2,
        version='1',
        memory_bytes=model.memory_gib * GIB - 200 * MIB,
        pool=POOL,
        min_replicas=1,
        first_token_seconds=0.98,
    )


def _adapters(deployment: Deployment) -> abc.Iterator[ExampleRecord]:
    for model in deployment.models:
        for location in deployment.adapter_names[: model.adapters]:
            yield _record(
                'adapter',
                f'{model.name}-{location}',
                version='1',
                base=model.name,
                memory_bytes=128 * MIB,
            )


def _service(site: sites.StandInSite, deployment: Deployment) -> ExampleRecord:
    servers = [
        _server(found)
        for found in site.services
        if found.fake.service == deployment.service
    ]
    operation = {'method': 'POST', 'path': deployment.charge_path}
    return _record(
        'service',
        deployment.service,
        servers=servers,
        non_idempotent=[operation],
    )


def _caller(deployment: Deployment) -> ExampleRecord:
    key = caller_key(deployment).encode()
    return _record(
        'caller',
        deployment.caller,
        key_sha256=hashlib.sha256(key).hexdigest(),
        targets=['*'],
        requests_per_second=500.0,
        max_in_flight=500,
        max_priority=9,
    )


def _server(found: sites.AnyUpstream) -> dict[str, object]:
    return {
        'server_id': found.server_id,
        'address': found.address.host,
        'port': found.address.port,
        'failure_domain': found.failure_domain,
    }
