"""The effects that the failure detector asks its caller to perform."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from . import api
    from ..wire import api as wire_api

__all__ = [
    'Contact',
    'Effect',
    'IndirectProbe',
    'NotifyWatchers',
    'Probe',
    'Publish',
    'SetNeighbours',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Ping a member directly."""

    probe_id: int
    target: api.Member
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Ask ``relay`` to ping a member."""

    probe_id: int
    relay: api.Member
    target: api.Member
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """Ping a listed instance that is not a known member."""

    instance_id: str
    address: wire_api.PeerAddress
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Publish a report about a member by gossip."""

    member: api.Member


@dataclasses.dataclass(frozen=True, slots=True)
class NotifyWatchers:
    """Notify the watchers of a change of a member."""

    member: api.Member


@dataclasses.dataclass(frozen=True, slots=True)
class SetNeighbours:
    """Replace the neighbours that this instance gossips with."""

    members: tuple[api.Member, ...]


Effect = (
    Probe | IndirectProbe | Contact | Publish | NotifyWatchers | SetNeighbours
)
