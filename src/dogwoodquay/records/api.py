"""The internal form of declared records, independent of schema versions.

Records of every schema version are converted to these classes when they are
read. Times are seconds since the Unix epoch, sizes are bytes.
"""

from __future__ import annotations

import typing

import msgspec

__all__ = [
    'ALL',
    'Adapter',
    'Caller',
    'Catalog',
    'FreezeWindow',
    'Model',
    'Operation',
    'Policy',
    'Pool',
    'Rollout',
    'Server',
    'Service',
    'artifact_id',
]

# Stands for all targets of a caller or all models of a freeze window.
ALL: typing.Final = '*'


def artifact_id(name: str, version: str) -> str:
    """Return the id of one version of a model or adapter."""
    return f'{name}@{version}'


class Model(msgspec.Struct, frozen=True):
    """A declared model; ``version`` is the one served without a rollout."""

    name: str
    version: str
    memory_bytes: int
    pool: str
    min_replicas: int = 1
    first_token_seconds: float = 0.98
    tokens_per_second: float = 2000.0


class Adapter(msgspec.Struct, frozen=True):
    """A declared adapter, addressed by callers like a model."""

    name: str
    version: str
    base: str
    memory_bytes: int


class Rollout(msgspec.Struct, frozen=True):
    """A new version of a model or adapter and its share of the requests.

    ``share`` is between 0 and 1; at 1 the earlier version is withdrawn.
    """

    target: str
    version: str
    memory_bytes: int
    share: float = 1.0


class Operation(msgspec.Struct, frozen=True):
    """An operation of a plain service that is not idempotent."""

    method: str
    path: str


class Server(msgspec.Struct, frozen=True):
    """A server of a pool or a plain service."""

    server_id: str
    address: str
    port: int
    failure_domain: str
    capacity_bytes: int = 0
    accelerators: int = 1


class Service(msgspec.Struct, frozen=True):
    """A plain service with its servers."""

    name: str
    servers: tuple[Server, ...]
    non_idempotent: tuple[Operation, ...] = ()


class Caller(msgspec.Struct, frozen=True):
    """A caller, identified by the hexadecimal SHA-256 digest of its API key.

    ``targets`` lists models, adapters and services, or contains ``ALL``.
    """

    name: str
    key_sha256: str
    targets: tuple[str, ...] = (ALL,)
    requests_per_second: float = 50.0
    max_in_flight: int = 200
    max_priority: int = 5


class Pool(msgspec.Struct, frozen=True):
    """A group of servers on which models are placed together.

    ``fencing`` says whether its engines refuse orders with an outdated
    fencing token. ``order_bound_seconds`` is the time, guaranteed by the
    operator, after which an order can no longer take effect; zero stands
    for no guarantee.
    """

    name: str
    servers: tuple[Server, ...]
    fencing: bool = True
    order_bound_seconds: float = 0.0


class FreezeWindow(msgspec.Struct, frozen=True):
    """A period during which the listed models are not moved."""

    start: float
    end: float
    models: tuple[str, ...] = (ALL,)


class Policy(msgspec.Struct, frozen=True):
    """Parameters of the planner and of the request path."""

    attainment_weight: float = 1.0
    move_weight: float = 0.2
    freeze_windows: tuple[FreezeWindow, ...] = ()
    default_deadline_seconds: float = 30.0
    loads_per_second: float = 1.6
    parallel_loads: int = 6
    key_lifetime_seconds: float = 86_400.0


class Catalog(msgspec.Struct, frozen=True):
    """All active declarations at one log offset.

    Mappings are keyed by name. ``offset`` is the last replayed offset of the
    configuration stream, of an applied or refused record, and -1 before the
    first.
    """

    offset: int = -1
    models: dict[str, Model] = {}
    adapters: dict[str, Adapter] = {}
    rollouts: dict[str, Rollout] = {}
    services: dict[str, Service] = {}
    callers: dict[str, Caller] = {}
    pools: dict[str, Pool] = {}
    policy: Policy = Policy()
