"""Decodes the operators' configuration from the platform's store."""

from __future__ import annotations

import typing

import expression
import msgspec

from ..external import decoding
from ..routes import api
from . import tenants

__all__ = ['decode']

_MILLISECONDS = 1000.0


class _Body(msgspec.Struct, rename='pascal'):
    """The base of all parts of a configuration; ignores unknown fields."""


class _Backend(_Body):
    service: str
    weight: float = 1.0


class _Route(_Body):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    # The objective for the first event of a stream or a complete plain answer.
    target_latency_ms: float = 0.0
    # Zero is the most urgent.
    priority: int = 0
    service: str = ''
    weighted_backends: list[_Backend] = []
    max_attempts: int = 1
    resumable: bool = False
    # The longest pause between events that meets the objective.
    gap_aim_ms: float = 0.0
    # Whether requests need no API key; only the value true says so.
    public: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class _Model(_Body):
    name: str
    weights_mb: float
    load_time_s: float
    adapters: int = 0
    adapter_mb: float = 0.0
    # Despite its name the time of a load from the server's own memory.
    warmup_s: float | None = None
    # The time of a load from the server's own disk.
    disk_s: float | None = None


class _Engine(_Body):
    slots: int = 1
    kv_capacity: int = 0
    models: list[_Model] = []
    # A server's memory for weights and adapters together.
    weights_mb: float = 0.0
    max_adapters: int = 0
    loads_per_s: typing.Annotated[
        float, msgspec.Meta(ge=0.0, le=1_000_000.0)
    ] = msgspec.field(name='LoadsPerS', default=1.0)


class _Service(_Body):
    name: str
    health_path: str = '/healthz'
    max_connections: int = 100
    engine: _Engine | None = None


class _Limits(_Body):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Manifest(_Body):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[msgspec.Raw] | msgspec.UnsetType | None = msgspec.UNSET


_KINDS = {
    'idempotent': api.RouteKind.IDEMPOTENT,
    'non_idempotent': api.RouteKind.NON_IDEMPOTENT,
    'streaming': api.RouteKind.STREAMING,
}


def decode(body: bytes) -> expression.Result[api.Configuration, str]:
    """Decode a configuration; the error describes the first wrong value."""
    decoded = decoding.decode_json(body, _Manifest)
    if decoded.is_error():
        return expression.Error(decoded.error)
    manifest = decoded.ok
    declared = tenants.decode(manifest.tenants or ())
    return expression.Ok(
        api.Configuration(
            manifest.version,
            tuple(_route(route) for route in manifest.routes),
            {item.name: _service(item) for item in manifest.services},
            _limits(manifest.limits),
            *declared,
        )
    )


def _route(route: _Route) -> api.Route:
    services = tuple(
        api.WeightedService(item.service, item.weight)
        for item in route.weighted_backends
    )
    return api.Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_KINDS.get(route.type, api.RouteKind.NON_IDEMPOTENT),
        timeout_seconds=route.timeout_ms / _MILLISECONDS,
        objective_seconds=route.target_latency_ms / _MILLISECONDS,
        priority=route.priority,
        services=services or (api.WeightedService(route.service, 1.0),),
        max_attempts=max(1, route.max_attempts),
        resumable=route.resumable,
        gap_objective_seconds=route.gap_aim_ms / _MILLISECONDS,
        public=isinstance(route.public, msgspec.Raw)
        and bytes(route.public) == b'true',
    )


def _service(service: _Service) -> api.Service:
    engine = service.engine
    return api.Service(
        service.name,
        service.health_path,
        service.max_connections,
        None if engine is None else _engine(engine),
    )


def _engine(engine: _Engine) -> api.EngineSpec:
    return api.EngineSpec(
        slots=engine.slots,
        cache_tokens=engine.kv_capacity,
        megabytes=engine.weights_mb,
        max_adapters=engine.max_adapters,
        loads_per_second=engine.loads_per_s,
        models={model.name: _model(model) for model in engine.models},
    )


def _model(model: _Model) -> api.ModelSpec:
    load_seconds = model.load_time_s
    return api.ModelSpec(
        name=model.name,
        megabytes=model.weights_mb,
        load_seconds=load_seconds,
        memory_load_seconds=load_seconds
        if model.warmup_s is None
        else model.warmup_s,
        disk_load_seconds=load_seconds
        if model.disk_s is None
        else model.disk_s,
        adapters=model.adapters,
        adapter_megabytes=model.adapter_mb,
    )


def _limits(limits: _Limits) -> api.CallerLimits:
    return api.CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / _MILLISECONDS,
        limits.idle_timeout_ms / _MILLISECONDS,
    )
