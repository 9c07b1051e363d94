"""Routes, services and limits, in the words of this project.

Sizes of weights are megabytes, as operators declare them; all times are
seconds.
"""

from __future__ import annotations

import enum
import typing

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
    """What may be repeated of a route's requests."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


class WeightedService(typing.NamedTuple):
    """A service of a route with its share of the route's requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where the requests of a host and path prefix go, and on what terms.

    ``priority`` zero is the most urgent. ``max_attempts`` bounds the servers
    that may run one request.
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

    @property
    def streaming(self) -> bool:
        """Whether answers are streams of events."""
        return self.kind is RouteKind.STREAMING

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class ModelSpec(typing.NamedTuple):
    """A declared model; load times by where its weights lie."""

    name: str
    megabytes: float
    load_seconds: float
    memory_load_seconds: float
    disk_load_seconds: float
    adapters: int
    adapter_megabytes: float


class EngineSpec(typing.NamedTuple):
    """What each server of a service with models can hold and run."""

    slots: int
    cache_tokens: int
    megabytes: float
    max_adapters: int
    loads_per_second: float
    models: dict[str, ModelSpec]


class Service(typing.NamedTuple):
    """A group of servers; ``engine`` is missing for plain services."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None


class CallerLimits(typing.NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


class Configuration(typing.NamedTuple):
    """One version of the operators' configuration, whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
