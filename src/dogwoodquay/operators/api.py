"""The JSON messages of the operators' interface.

Sizes are in bytes, times in seconds since the Unix epoch.
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
    """An instance, as known to the reporting instance."""

    instance_id: str
    address: str
    port: int
    failure_domain: str
    state: str


class RefusedStatus(msgspec.Struct, frozen=True):
    """A refused record and the reason."""

    offset: int
    kind: str
    name: str
    reason: str
    explanation: str


class ConfigurationStatus(msgspec.Struct, frozen=True):
    """The active configuration of the instance.

    ``log_reachable`` is the result of the last access to the log.
    """

    offset: int
    digest: str
    log_reachable: bool
    refused: tuple[RefusedStatus, ...]


class ServerStatus(msgspec.Struct, frozen=True):
    """Memory, contents and open orders of one server."""

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
    """A declared artifact that cannot be placed, and why."""

    artifact: str
    reason: str
    needed_bytes: int
    free_bytes: int


class PoolStatus(msgspec.Struct, frozen=True):
    """A pool, its owner and its servers."""

    pool: str
    owner: str
    epoch: int
    version: int
    moves: int
    servers: tuple[ServerStatus, ...]
    infeasible: tuple[InfeasibleStatus, ...] = ()


class TargetStatus(msgspec.Struct, frozen=True):
    """A declared model, adapter or service and its ready servers."""

    kind: str
    name: str
    artifact: str
    ready_on: tuple[str, ...]


class Status(msgspec.Struct, frozen=True):
    """The status of an instance and of the system, as known to it."""

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
    """The live instances by whether they reached a configuration offset.

    ``in_force`` have, ``behind`` have not, ``silent`` did not respond.
    """

    offset: int
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    silent: tuple[str, ...]


class StatusSource(typing.Protocol):
    """The state of an instance that the operators' interface shows."""

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests."""

    def status(self) -> Status:
        """Return the current status."""

    async def in_force(self, offset: int, deadline: float) -> InForce:
        """Ask every live instance for the offset of its configuration."""
