"""Routes, services and limits, independent of the configuration's format.

Sizes of weights are in megabytes and times in seconds.
"""

from __future__ import annotations

import enum
import typing

if typing.TYPE_CHECKING:
    from ..tenants import api as tenants_api

__all__ = [
    'CallerLimits',
    'Configuration',
    'EngineSpec',
    'ModelSpec',
    'Route',
    'RouteKind',
    'Service',
    'WeightedService',
]


class RouteKind(enum.Enum):
    """Whether the requests of a route may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


class WeightedService(typing.NamedTuple):
    """A service of a route and its weight when requests are split."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """The services and limits for the requests of a host and path prefix.

    ``priority`` zero is the most urgent. ``max_attempts`` limits the servers
    that may run one request. ``objective_seconds`` is the target latency of
    the first event of a stream or of a complete plain answer, and
    ``gap_objective_seconds`` that of the next event in a stream. Requests on
    a ``public`` route need no API key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_seconds: float
    objective_seconds: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    resumable: bool
    gap_objective_seconds: float
    public: bool = False

    @property
    def streaming(self) -> bool:
        """Whether the answers are event streams."""
        return self.kind is RouteKind.STREAMING

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class ModelSpec(typing.NamedTuple):
    """A declared model.

    ``load_seconds`` is the time of a load from the weight store; loads from
    the server's own memory or disk take ``memory_load_seconds`` or
    ``disk_load_seconds``.
    """

    name: str
    megabytes: float
    load_seconds: float
    memory_load_seconds: float
    disk_load_seconds: float
    adapters: int
    adapter_megabytes: float


class EngineSpec(typing.NamedTuple):
    """The capacity of each server of an engine service, and its models.

    ``slots`` is the number of requests that a server runs at a time,
    ``megabytes`` its memory for weights and adapters together.
    """

    slots: int
    cache_tokens: int
    megabytes: float
    max_adapters: int
    loads_per_second: float
    models: dict[str, ModelSpec]


class Service(typing.NamedTuple):
    """A group of servers; ``engine`` is ``None`` for plain services."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None


class CallerLimits(typing.NamedTuple):
    """Limits on callers' requests and connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


class Configuration(typing.NamedTuple):
    """One complete version of the operators' configuration.

    Where no tenants are declared no request needs an API key.
    ``dropped_tenants`` tells what is not used of the tenants' records.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    tenants: tuple[tenants_api.Tenant, ...] = ()
    dropped_tenants: tuple[tenants_api.Dropped, ...] = ()

    @property
    def tenants_declared(self) -> bool:
        """Whether tenants are declared, also if no record is of use."""
        return bool(self.tenants or self.dropped_tenants)
