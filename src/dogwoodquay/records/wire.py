"""Records as they are stored in the log: a class for each kind and version.

The meaning of a field never changes within a version; a new field or a new
meaning needs a new version. Sizes are bytes unless the name says otherwise.
"""

from __future__ import annotations

import typing

import msgspec

from . import api
from . import bounds

__all__ = [
    'KINDS',
    'POLICY_NAME',
    'AdapterV1',
    'CallerV1',
    'Kind',
    'ModelV1',
    'ModelV2',
    'PolicyV1',
    'PoolV1',
    'Record',
    'RolloutV1',
    'ServiceV1',
    'Withdrawal',
]

POLICY_NAME: typing.Final = 'default'
MAX_SERVERS: typing.Final = 5000
MAX_LIST_LENGTH: typing.Final = 2000

Kind = typing.Literal[
    'adapter', 'caller', 'model', 'policy', 'pool', 'rollout', 'service'
]
_Targets = typing.Annotated[
    tuple[bounds.Target, ...],
    msgspec.Meta(min_length=1, max_length=MAX_LIST_LENGTH),
]


class _Strict(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The base of all parts of a record; unknown fields are errors."""


class Record(_Strict, frozen=True, kw_only=True):
    """The fields common to all records.

    ``expected_offset`` makes the record conditional: it is refused unless
    the active record of that kind and name has this offset, or -1 if there
    is none. ``record_id`` lets a publisher recognize its record in the log.
    """

    name: bounds.Name
    expected_offset: bounds.Offset | None = None
    record_id: bounds.RecordId = ''

    @property
    def kind_name(self) -> str:
        """The kind, for code that handles every kind of record."""
        return str(getattr(self, 'kind', ''))

    @property
    def version_number(self) -> int:
        """The schema version, for code that handles every version."""
        return int(getattr(self, 'schema_version', 0))


class Withdrawal(Record, frozen=True, kw_only=True):
    """Withdraws the record of a kind and name."""

    schema_version: typing.Literal[1, 2]
    kind: Kind
    withdraw: typing.Literal[True]


class ModelV1(Record, frozen=True, kw_only=True):
    """A model, with its memory size in whole GiB."""

    schema_version: typing.Literal[1]
    kind: typing.Literal['model']
    version: bounds.Version
    memory_gib: bounds.MemoryGib
    pool: bounds.Name


class ModelV2(Record, frozen=True, kw_only=True):
    """A model with its minimum replicas and its service level targets."""

    schema_version: typing.Literal[2]
    kind: typing.Literal['model']
    version: bounds.Version
    memory_bytes: bounds.MemoryBytes
    pool: bounds.Name
    min_replicas: bounds.Count = 1
    first_token_seconds: bounds.FirstTokenSeconds = 0.98
    tokens_per_second: bounds.Rate = 2000.0


class AdapterV1(Record, frozen=True, kw_only=True):
    """An adapter of a model."""

    schema_version: typing.Literal[1]
    kind: typing.Literal['adapter']
    version: bounds.Version
    base: bounds.Name
    memory_bytes: bounds.MemoryBytes


class RolloutV1(Record, frozen=True, kw_only=True):
    """A new version of the model or adapter with the record's name."""

    schema_version: typing.Literal[1]
    kind: typing.Literal['rollout']
    version: bounds.Version
    memory_bytes: bounds.MemoryBytes
    share: bounds.Share = 1.0


class ServerBody(_Strict, frozen=True, kw_only=True):
    """A server of a plain service."""

    server_id: bounds.Name
    address: bounds.Address
    port: bounds.Port
    failure_domain: bounds.Name


class EngineServerBody(ServerBody, frozen=True, kw_only=True):
    """A server of a pool."""

    capacity_bytes: bounds.MemoryBytes
    accelerators: bounds.Count = 1


class OperationBody(_Strict, frozen=True, kw_only=True):
    """An operation that is not idempotent."""

    method: bounds.Method
    path: bounds.Path


class ServiceV1(Record, frozen=True, kw_only=True):
    """A plain service."""

    schema_version: typing.Literal[1]
    kind: typing.Literal['service']
    servers: typing.Annotated[
        tuple[ServerBody, ...],
        msgspec.Meta(min_length=1, max_length=MAX_SERVERS),
    ]
    non_idempotent: typing.Annotated[
        tuple[OperationBody, ...], msgspec.Meta(max_length=MAX_LIST_LENGTH)
    ] = ()


class CallerV1(Record, frozen=True, kw_only=True):
    """A caller and its limits."""

    schema_version: typing.Literal[1]
    kind: typing.Literal['caller']
    key_sha256: bounds.KeyDigest
    targets: _Targets = (api.ALL,)
    requests_per_second: bounds.Rate = 50.0
    max_in_flight: bounds.Count = 200
    max_priority: bounds.Priority = 5


class PoolV1(Record, frozen=True, kw_only=True):
    """A group of servers on which models are placed together."""

    schema_version: typing.Literal[1]
    kind: typing.Literal['pool']
    servers: typing.Annotated[
        tuple[EngineServerBody, ...],
        msgspec.Meta(min_length=1, max_length=MAX_SERVERS),
    ]
    fencing: bool = True
    order_bound_seconds: bounds.Seconds = 0.0


class FreezeWindowBody(_Strict, frozen=True, kw_only=True):
    """A period during which models are not moved."""

    start: bounds.Time
    end: bounds.Time
    models: _Targets = (api.ALL,)


class PolicyV1(Record, frozen=True, kw_only=True):
    """Parameters of the planner and the request path; its name is fixed."""

    schema_version: typing.Literal[1]
    kind: typing.Literal['policy']
    attainment_weight: bounds.Weight = 1.0
    move_weight: bounds.Weight = 0.2
    freeze_windows: typing.Annotated[
        tuple[FreezeWindowBody, ...], msgspec.Meta(max_length=MAX_LIST_LENGTH)
    ] = ()
    default_deadline_seconds: bounds.FirstTokenSeconds = 30.0
    loads_per_second: bounds.LoadsPerSecond = 1.6
    parallel_loads: bounds.Count = 6
    key_lifetime_seconds: bounds.Seconds = 86_400.0


KINDS: typing.Final[dict[str, dict[int, type[Record]]]] = {
    'adapter': {1: AdapterV1},
    'caller': {1: CallerV1},
    'model': {1: ModelV1, 2: ModelV2},
    'policy': {1: PolicyV1},
    'pool': {1: PoolV1},
    'rollout': {1: RolloutV1},
    'service': {1: ServiceV1},
}
