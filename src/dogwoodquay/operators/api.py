"""What an instance tells operators, as typed messages in JSON.

Sizes are bytes, times are seconds since the Unix epoch.
"""

from __future__ import annotations

import typing

import msgspec

__all__ = [
    'ConfigurationStatus',
    'InForce',
    'InfeasibleStatus',
    'MemberStatus',
    'PoolStatus',
    'RefusedStatus',
    'ServerStatus',
    'Status',
    'StatusSource',
    'TargetStatus',
]


class MemberStatus(msgspec.Struct, frozen=True):
    """One instance as this one sees it."""

    instance_id: str
    address: str
    port: int
    failure_domain: str
    state: str


class RefusedStatus(msgspec.Struct, frozen=True):
    """A record that was refused, and why."""

    offset: int
    kind: str
    name: str
    reason: str
    explanation: str


class ConfigurationStatus(msgspec.Struct, frozen=True):
    """The configuration in force here; ``log_reachable`` is the last word."""

    offset: int
    digest: str
    log_reachable: bool
    refused: tuple[RefusedStatus, ...]


class ServerStatus(msgspec.Struct, frozen=True):
    """Memory and contents of one server, and its orders without an end."""

    server_id: str
    failure_domain: str
    leaving: bool
    capacity_bytes: int
    confirmed_bytes: int
    possible_bytes: int
    artifacts: tuple[str, ...]
    loading: tuple[str, ...]
    orders: tuple[str, ...] = ()


class InfeasibleStatus(msgspec.Struct, frozen=True):
    """A declaration that has no room, with the numbers."""

    artifact: str
    reason: str
    needed_bytes: int
    free_bytes: int


class PoolStatus(msgspec.Struct, frozen=True):
    """One pool, its owner and its servers."""

    pool: str
    owner: str
    epoch: int
    version: int
    moves: int
    servers: tuple[ServerStatus, ...]
    infeasible: tuple[InfeasibleStatus, ...] = ()


class TargetStatus(msgspec.Struct, frozen=True):
    """A declared model, adapter or service, and where it is ready."""

    kind: str
    name: str
    artifact: str
    ready_on: tuple[str, ...]


class Status(msgspec.Struct, frozen=True):
    """All that an instance tells of itself and of what it sees."""

    instance_id: str
    incarnation: int
    time: float
    ready: bool
    leaving: bool
    configuration: ConfigurationStatus
    members: tuple[MemberStatus, ...]
    targets: tuple[TargetStatus, ...]
    pools: tuple[PoolStatus, ...]
    weights_owner: str = ''


class InForce(msgspec.Struct, frozen=True):
    """On which live instances a configuration offset is in force."""

    offset: int
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    silent: tuple[str, ...]


class StatusSource(typing.Protocol):
    """What the operators' interface asks of an instance."""

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests."""

    def status(self) -> Status:
        """Return the present status."""

    async def in_force(self, offset: int, deadline: float) -> InForce:
        """Ask every live instance which offset is in force there."""
